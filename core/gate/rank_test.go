package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func startedHandles(events []Event) []Handle {
	var out []Handle
	for _, e := range events {
		if e.Kind == Started {
			out = append(out, e.Handle)
		}
	}
	return out
}

// Three requests wait for one slot. The one with the operator's highest priority goes
// first; at equal priority, the one with the shortest aim, such as a call that another
// server makes for a request which holds a slot there.
func TestPriorityThenAimOrderTheQueue(t *testing.T) {
	g := New("a", config(1, 10), 0)
	g.Arrive(0, request(1))
	low, call, normal := request(2), request(3), request(4)
	low.Priority, low.Aim, low.AimAt = 2, 100*ms, 10*time.Second
	call.Priority, call.Aim, call.AimAt = 1, 50*ms, 10*time.Second
	normal.Priority, normal.Aim, normal.AimAt = 1, 500*ms, 10*time.Second
	for _, r := range []Request{low, normal, call} {
		g.Arrive(0, r)
	}
	var order []Handle
	for h := Handle(1); len(order) < 3; h = order[len(order)-1] {
		order = append(order, startedHandles(g.Finish(ms, h, Completed))...)
	}
	assert.DeepEqual(t, order, []Handle{3, 4, 2})
}

// A request that can no longer meet its aim is demoted behind those that can, and is
// refused immediately when the limit of late requests is reached: if it were refused
// later, its caller could not retry it in time.
func TestLateRequestsAreDemotedAndLimited(t *testing.T) {
	g, now := gateWithReports(1)
	g.Arrive(now, classRequest(1, "work", 400*ms, now))
	tight := func(h Handle) Request {
		r := classRequest(h, "work", 400*ms, now)
		r.AimAt = now + 50*ms
		return r
	}
	assert.Equal(t, len(kinds(g.Arrive(now, tight(2)))), 0, "one late request may wait")
	refused := g.Arrive(now, tight(3))
	assert.DeepEqual(t, kinds(refused), []EventKind{Refused})
	assert.Assert(t, refused[0].RetryAfter > 0)
	g.Arrive(now, classRequest(4, "work", 400*ms, now))
	assert.DeepEqual(t, startedHandles(g.Finish(now+100*ms, 1, Completed)), []Handle{4})
}

// A server that slows down at high occupancy achieves more with its last slots empty.
// The gate learns this from completions and reserves these slots for short requests.
func TestLastSlotsStayEmptyUnderContention(t *testing.T) {
	g, now := gateWithReports(6)
	h := Handle(1)
	for range 20 {
		now = runBurst(g, now, &h, 18, 170*ms)
		now = runBurst(g, now, &h, 3, 100*ms)
	}
	assert.Assert(t, g.contentionFactor() > contentionThreshold, "contention factor %.2f", g.contentionFactor())
	running := 0
	for range 6 {
		g.ObserveSlowdown(now, 1)
		h++
		running += len(startedHandles(g.Arrive(now, classRequest(h, "work", 400*ms, now))))
	}
	assert.Equal(t, running, 4)
	short := classRequest(h+1, "call", 60*ms, now)
	assert.DeepEqual(t, kinds(g.Arrive(now, short)), []EventKind{Started})
}

// runBurst sends the given number of requests at the same time and returns the time
// after the last one has ended. Each takes the given time once it runs.
func runBurst(g *Gate, now time.Duration, h *Handle, number int, took time.Duration) time.Duration {
	type run struct {
		h   Handle
		end time.Duration
	}
	var running []run
	start := func(list []Handle) {
		for _, h := range list {
			running = append(running, run{h, now + took})
		}
	}
	g.ObserveSlowdown(now, 1)
	for range number {
		*h++
		start(startedHandles(g.Arrive(now, classRequest(*h, "work", 4*time.Second, now))))
	}
	for len(running) > 0 {
		next := running[0]
		running = running[1:]
		for now = max(now, next.end-100*ms); now < next.end; now += 50 * ms {
			g.ObserveSlowdown(now, 1)
		}
		now = next.end
		start(startedHandles(g.Finish(now, next.h, Completed)))
	}
	return now + ms
}

// The queue's size, number of late requests and total work must match its contents
// after any sequence of operations.
func TestRankedQueueTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q rankedQueue
		held := map[*item]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				it := &item{Request: Request{Caller: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "caller")}, work: float64(rapid.IntRange(1, 9).Draw(t, "work")),
					rank: rank{late: rapid.Bool().Draw(t, "late"), priority: rapid.IntRange(0, 2).Draw(t, "priority")}}
				q.push(it)
				held[it] = true
			case 1:
				for it := range held {
					q.remove(it)
					delete(held, it)
					break
				}
			case 2:
				if q.size > 0 {
					first := q.first()
					it := q.pop()
					if it != first {
						t.Fatal("pop did not return the first request")
					}
					for other := range held {
						if other.rank.before(it.rank) {
							t.Fatal("pop skipped a request of a higher rank")
						}
					}
					delete(held, it)
				}
			}
			late, work := 0, 0.0
			for it := range held {
				work += it.work
				if it.rank.late {
					late++
				}
			}
			if q.size != len(held) || q.late != late || q.work() != work {
				t.Fatalf("size %d, late %d, work %v; want %d, %d, %v", q.size, q.late, q.work(), len(held), late, work)
			}
		}
	})
}

// A waiting request has hardly more than its mean demand left before its aim. Since
// demand varies, about half of such requests would be late. The request behind it has
// enough time, so the free slot goes to that one.
func TestSlotGoesToARequestThatIsLikelyToMakeItsAim(t *testing.T) {
	g, now := gateWithReports(1)
	g.Arrive(now, classRequest(1, "work", 400*ms, now))
	tight := classRequest(2, "work", 400*ms, now)
	tight.AimAt = now + 230*ms
	g.Arrive(now, tight)
	g.Arrive(now, classRequest(3, "work", 400*ms, now))
	assert.DeepEqual(t, startedHandles(g.Finish(now+100*ms, 1, Completed)), []Handle{3})
}
