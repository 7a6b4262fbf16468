package gate

import (
	"fmt"
	"testing"
	"time"

	"cactuspath/core/mechanism"
)

// BenchmarkRequest measures one request through a gate that knows the maximum number of
// siblings, each of which has reported its contention factor: arrival, a slowdown
// report and completion.
func BenchmarkRequest(b *testing.B) {
	g := New("self", Config{Slots: 15, Queue: 30, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20}, 0)
	var list []Sibling
	for i := range minKnownSiblings {
		list = append(list, Sibling{Host: fmt.Sprint("s", i), Distance: time.Millisecond})
	}
	g.SetSiblings(list)
	for i, s := range list {
		g.ApplyReport(0, Report{Host: s.Host, Incarnation: 1, Sequence: 1, Load: Load{Running: 12, Slots: 12, Service: 100 * ms, Contention: 1.5 + float64(i)/100}})
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for i := range b.N {
		h := Handle(i + 1)
		g.ObserveSlowdown(now, 1)
		g.Arrive(now, classRequest(h, "lookup", 200*ms, now))
		now += 60 * ms
		g.Finish(now, h, Completed)
	}
}

// BenchmarkDecision measures the decision on an arriving request alone, at a gate that knows
// the maximum number of siblings: a short request, and requests with large responses that
// stay, move and are refused because of the links.
func BenchmarkDecision(b *testing.B) {
	for _, c := range []struct {
		desc, class string
		disabled    mechanism.Set
		here, there time.Duration
		want        EventKind
	}{
		{"without the link", "download", mechanism.Link, 1200 * ms, 0, Started},
		{"short", "live", 0, 1200 * ms, 0, Started},
		{"stays", "download", 0, 0, 0, Started},
		{"late everywhere", "download", 0, 1200 * ms, 1200 * ms, Started},
		{"moves", "download", 0, 1200 * ms, 0, Moved},
		{"refused", "download", 0, 3 * time.Second, 3 * time.Second, Refused},
	} {
		b.Run(c.desc, func(b *testing.B) {
			var list []Sibling
			for i := range minKnownSiblings {
				list = append(list, Sibling{Host: fmt.Sprint("s", i), Distance: time.Millisecond})
			}
			g, now := linkGate(list...)
			g.config.Disabled = c.disabled
			spent := time.Duration(0)
			b.ReportAllocs()
			for i := range b.N {
				if i%10 == 0 {
					for _, s := range list {
						report(g, now, s.Host, c.there)
					}
				}
				now += ms
				g.ObserveSlowdown(now, 1)
				g.ObserveLink(now, c.here)
				h := Handle(1_000_000 + i)
				r := download(h, c.class, now)
				start := time.Now()
				events := g.Arrive(now, r)
				spent += time.Since(start)
				if i%10 == 1 && events[0].Kind != c.want {
					b.Fatalf("decision %v", events[0].Kind)
				}
				g.Finish(now+100*ms, h, Completed)
				now += 100 * ms
			}
			b.ReportMetric(float64(spent)/float64(b.N), "ns/decision")
		})
	}
}
