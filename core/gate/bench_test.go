package gate

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest is one request through a gate with as many siblings as it keeps,
// each of which has told what a crowd costs: arrival, a figure, and the end.
func BenchmarkRequest(b *testing.B) {
	g := New("self", Config{Slots: 15, Queue: 30, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20}, 0)
	var list []Sibling
	for i := range fewSiblings {
		list = append(list, Sibling{Host: fmt.Sprint("s", i), Distance: time.Millisecond})
	}
	g.SetSiblings(list)
	for i, s := range list {
		g.Learn(0, Report{Host: s.Host, Incarnation: 1, Sequence: 1, Load: Load{Running: 12, Slots: 12, Service: 100 * ms, Crowd: 1.5 + float64(i)/100}})
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for i := range b.N {
		h := Handle(i + 1)
		g.Observe(now, 1)
		g.Arrive(now, classed(h, "lookup", 200*ms, now))
		now += 60 * ms
		g.Finish(now, h, Completed)
	}
}
