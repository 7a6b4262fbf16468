package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load that these tests answer: a service of a hundred endpoints in five data
// centres, a quarter of whose servers are slow at any moment, and change by the half
// second. A gate that knew 16 of them chosen by their names had four in its own data
// centre; two moves in three crossed a long link, and took 0.05 GB more over them in half
// a minute of 630 requests a second (one play of 195 nodes each).

// fleet is a service's gates as one of them sees them: so many in its own data centre
// and elsewhere.
func fleet(near, far int) []Sibling {
	var list []Sibling
	for i := range near {
		list = append(list, Sibling{Host: fmt.Sprintf("near-%d", i), DataCenter: "a", Near: true})
	}
	for i := range far {
		list = append(list, Sibling{Host: fmt.Sprintf("far-%d", i), DataCenter: "b"})
	}
	return list
}

func TestSiblingsAreNearFirst(t *testing.T) {
	for _, c := range []struct {
		desc                                   string
		near, far                              int
		knownNear, knownFar, toldNear, toldFar int
	}{
		{"many here and elsewhere", 40, 160, maxNear, maxFar, maxNear, farFanout},
		{"some here", 20, 87, 20, maxFar, 20, farFanout},
		{"few here: others make up for them", 2, 20, 2, 14, 2, 3},
		{"a small service is known whole", 4, 9, 4, 9, 4, farFanout},
		{"nobody here", 0, 30, 0, fewSiblings, 0, leastFanout},
		{"one other", 0, 1, 0, 1, 0, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := New("self", Config{}, 0)
			g.SetSiblings(append(fleet(c.near, c.far), Sibling{Host: "self", Near: true}))
			count := func(list []*sibling) (near, far int) {
				for _, s := range list {
					if s.Near {
						near++
					} else {
						far++
					}
				}
				return near, far
			}
			knownNear, knownFar := count(g.siblings.list)
			toldNear, toldFar := count(g.siblings.fanout)
			assert.DeepEqual(t, []int{knownNear, knownFar, toldNear, toldFar}, []int{c.knownNear, c.knownFar, c.toldNear, c.toldFar})
		})
	}
}

// A gate may only rely on siblings that report to it.
func TestMostOfThoseThatAreKnownReport(t *testing.T) {
	const gates = 30
	list := fleet(gates, 0)
	tells := map[string]map[string]bool{}
	for _, from := range list {
		g := New(from.Host, Config{}, 0)
		g.SetSiblings(list)
		tells[from.Host] = map[string]bool{}
		for _, to := range g.siblings.fanout {
			tells[from.Host][to.Host] = true
		}
	}
	known, told := 0, 0
	for _, self := range list {
		g := New(self.Host, Config{}, 0)
		g.SetSiblings(list)
		for _, other := range g.siblings.list {
			known++
			if tells[other.Host][self.Host] {
				told++
			}
		}
	}
	assert.Assert(t, told*4 >= known*3, "%d of %d known siblings report", told, known)
}

// A server turns slow a moment after a report. Its siblings must hear of it at once and
// not when the next report is due: what they move there meanwhile is late.
func TestTurningSlowIsReportedAtOnce(t *testing.T) {
	g := New("self", Config{Slots: 4, Queue: 10, Siblings: true, ReportsPerSecond: 10, BytesPerSecond: 1 << 20}, 0)
	g.SetSiblings(fleet(2, 0))
	now := time.Second
	assert.Equal(t, len(reports(g.Observe(now, 1))), 2, "the first load")
	now += urgentSpacing
	assert.Equal(t, len(reports(g.Observe(now, 1))), 0, "nothing has changed")
	events := reports(g.Observe(now, 7))
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Report.Load.Slowdown, 7.0)
}

// A server whose speed jumps about all the time does not spend more than the budget.
func TestUrgentReportsStayWithinTheBudget(t *testing.T) {
	g := New("self", Config{Slots: 4, Queue: 10, Siblings: true, ReportsPerSecond: 10, BytesPerSecond: 1 << 20}, 0)
	g.SetSiblings(fleet(2, 0))
	sent := 0
	for i := range 50 {
		now := time.Second + time.Duration(i)*urgentSpacing
		sent += len(reports(g.Observe(now, float64(1+6*(i%2)))))
	}
	assert.Equal(t, sent, 10)
}

func reports(events []Event) []Event {
	var list []Event
	for _, e := range events {
		if e.Kind == Send {
			list = append(list, e)
		}
	}
	return list
}
