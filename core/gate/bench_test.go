package gate

import (
	"fmt"
	"testing"
	"time"
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
