package gate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// These tests model a service of a hundred endpoints in five data centres, where a
// quarter of the servers are slow at any moment, changing every half second. If a gate
// knows 16 siblings selected by their names, four of them are in its own data centre,
// and two moves in three cross a long link between data centres. That adds 0.05 GB of
// traffic to these links in half a minute of 630 requests per second (one run of 195
// nodes each).

// makeSiblings returns a service's gates as seen by one of them, with the given numbers
// in its own data centre and elsewhere.
func makeSiblings(near, far int) []Sibling {
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
		desc                                           string
		near, far                                      int
		knownNear, knownFar, reportedNear, reportedFar int
	}{
		{"many near and far", 40, 160, maxNear, maxFar, maxNear, minFarFanout},
		{"some near", 20, 87, 20, maxFar, 20, minFarFanout},
		{"few near, filled up with far ones", 2, 20, 2, 14, 2, 3},
		{"small service, all known", 4, 9, 4, 9, 4, minFarFanout},
		{"none near", 0, 30, 0, minKnownSiblings, 0, minFanout},
		{"one sibling", 0, 1, 0, 1, 0, 1},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := New("self", Config{}, 0)
			g.SetSiblings(append(makeSiblings(c.near, c.far), Sibling{Host: "self", Near: true}))
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
			reportedNear, reportedFar := count(g.siblings.fanout)
			assert.DeepEqual(t, []int{knownNear, knownFar, reportedNear, reportedFar}, []int{c.knownNear, c.knownFar, c.reportedNear, c.reportedFar})
		})
	}
}

// Guards against a gate that knows siblings which do not report to it: of these it has
// no load reports and cannot move requests to them.
func TestMostKnownSiblingsReport(t *testing.T) {
	const gates = 30
	list := makeSiblings(gates, 0)
	reportsTo := map[string]map[string]bool{}
	for _, from := range list {
		g := New(from.Host, Config{}, 0)
		g.SetSiblings(list)
		reportsTo[from.Host] = map[string]bool{}
		for _, to := range g.siblings.fanout {
			reportsTo[from.Host][to.Host] = true
		}
	}
	known, reporting := 0, 0
	for _, self := range list {
		g := New(self.Host, Config{}, 0)
		g.SetSiblings(list)
		for _, other := range g.siblings.list {
			known++
			if reportsTo[other.Host][self.Host] {
				reporting++
			}
		}
	}
	assert.Assert(t, reporting*4 >= known*3, "%d of %d known siblings report", reporting, known)
}

// A server turns slow just after its gate has sent a report. The siblings must learn of
// it immediately and not with the next scheduled report: requests that they move to the
// server before they know are late.
func TestTurningSlowIsReportedImmediately(t *testing.T) {
	g := New("self", Config{Slots: 4, Queue: 10, Siblings: true, ReportsPerSecond: 10, BytesPerSecond: 1 << 20}, 0)
	g.SetSiblings(makeSiblings(2, 0))
	now := time.Second
	assert.Equal(t, len(reports(g.ObserveSlowdown(now, 1))), 2, "first report")
	now += urgentSpacing
	assert.Equal(t, len(reports(g.ObserveSlowdown(now, 1))), 0, "unchanged load")
	events := reports(g.ObserveSlowdown(now, 7))
	assert.Equal(t, len(events), 2)
	assert.Equal(t, events[0].Report.Load.Slowdown, 7.0)
}

// The gate of a server whose speed changes all the time must not send more reports than
// the measuring budget allows.
func TestUrgentReportsStayWithinTheBudget(t *testing.T) {
	g := New("self", Config{Slots: 4, Queue: 10, Siblings: true, ReportsPerSecond: 10, BytesPerSecond: 1 << 20}, 0)
	g.SetSiblings(makeSiblings(2, 0))
	sent := 0
	for i := range 50 {
		now := time.Second + time.Duration(i)*urgentSpacing
		sent += len(reports(g.ObserveSlowdown(now, float64(1+6*(i%2)))))
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

// Models a service of hundreds of endpoints of which each gets a request a second, and whose
// servers change their speed every half second. Guards against reports that cost more than
// the requests: every gate told two dozen siblings of every change.
func TestIdleGatesReportLittle(t *testing.T) {
	// A busy gate tells all its siblings at least once in reportTTL.
	const all = maxNear + minFarFanout
	for _, c := range []struct {
		requestsPerSecond, low, high int
	}{{0, 1, all}, {1, 1, all}, {10, all, 8 * all}} {
		t.Run(fmt.Sprint(c.requestsPerSecond), func(t *testing.T) {
			g := New("self", Config{Slots: 16, Queue: 10, Siblings: true, ReportsPerSecond: 100, BytesPerSecond: 1 << 20}, 0)
			g.SetSiblings(makeSiblings(200, 300))
			const seconds = 20
			sent, handle := 0, Handle(0)
			for now := time.Duration(0); now < seconds*time.Second; now += 10 * time.Millisecond {
				slowdown := 1.0
				if now/(500*time.Millisecond)%4 == 3 {
					slowdown = 7
				}
				sent += len(reports(g.ObserveSlowdown(now, slowdown)))
				if c.requestsPerSecond > 0 && now%(time.Second/time.Duration(c.requestsPerSecond)) == 0 {
					handle++
					sent += len(reports(g.Arrive(now, Request{Handle: handle, ID: AttemptID{Request: [2]uint64{1, uint64(handle)}}, Deadline: now + 4*time.Second})))
					sent += len(reports(g.Finish(now+5*time.Millisecond, handle, Completed)))
				}
			}
			assert.Assert(t, sent >= c.low*seconds && sent <= c.high*seconds, "%d reports a second", sent/seconds)
		})
	}
}

// A gate that stops accepting requests must tell all siblings that it reports to, also when
// it gets few requests: they would move requests to it.
func TestIdleGateTellsAllSiblingsThatItDrains(t *testing.T) {
	g := New("self", Config{Slots: 4, Queue: 10, Siblings: true, ReportsPerSecond: 100, BytesPerSecond: 1 << 20}, 0)
	g.SetSiblings(makeSiblings(40, 0))
	assert.Equal(t, len(reports(g.ObserveSlowdown(time.Second, 1))), minFanout)
	assert.Equal(t, len(reports(g.SetDraining(2*time.Second, true))), maxNear)
}

// Guards against a gate with a full queue that tells the caller's node to try no other
// endpoint although the queue of a sibling has room.
func TestFullQueueDoesNotRuleOutSiblingsWithRoom(t *testing.T) {
	const slots, queue = 4, 8
	for _, c := range []struct {
		desc         string
		load         Load
		siblingsFull bool
	}{
		{"the sibling's slots are in use and its queue is empty", Load{Running: slots}, false},
		{"the sibling's queue has room", Load{Running: slots, Waiting: 5}, false},
		{"the sibling reports itself as full", Load{Running: slots, Waiting: queue, Full: true}, true},
		{"the sibling drains", Load{Running: 1, Draining: true}, true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			g := New("self", Config{Slots: slots, Queue: queue, Siblings: true}, 0)
			g.SetSiblings(makeSiblings(1, 0))
			c.load.Slots, c.load.Service = slots, time.Second
			g.ApplyReport(0, Report{Host: "near-0", Sequence: 1, Load: c.load})
			var last []Event
			for i := range slots + queue + 1 {
				r := request(Handle(i + 1))
				r.Movable = false
				last = g.Arrive(0, r)
			}
			assert.DeepEqual(t, kinds(last), []EventKind{Refused})
			assert.Equal(t, last[0].Reason, QueueFull)
			assert.Equal(t, last[0].SiblingsFull, c.siblingsFull)
		})
	}
}
