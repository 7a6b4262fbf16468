package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func started(events []Event) []Handle {
	var out []Handle
	for _, e := range events {
		if e.Kind == Started {
			out = append(out, e.Handle)
		}
	}
	return out
}

// Three requests wait for one slot. The operator's priority goes first; at equal
// priority the one that is wanted soonest, as a call of a request that holds a
// slot elsewhere.
func TestPriorityThenAimDecideWhoIsNext(t *testing.T) {
	g := New("a", config(1, 10), 0)
	g.Arrive(0, request(1))
	low, call, usual := request(2), request(3), request(4)
	low.Priority, low.Aim, low.AimAt = 2, 100*ms, 10*time.Second
	call.Priority, call.Aim, call.AimAt = 1, 50*ms, 10*time.Second
	usual.Priority, usual.Aim, usual.AimAt = 1, 500*ms, 10*time.Second
	for _, r := range []Request{low, usual, call} {
		g.Arrive(0, r)
	}
	var order []Handle
	for h := Handle(1); len(order) < 3; h = order[len(order)-1] {
		order = append(order, started(g.Finish(ms, h, Completed))...)
	}
	assert.DeepEqual(t, order, []Handle{3, 4, 2})
}

// A request that cannot make its aim any more gives way to those that can, and is
// refused at once when enough such wait already: refused late it could not come
// back in time.
func TestLateRequestsGiveWayAndAreFewInNumber(t *testing.T) {
	g, now := toldGate(1)
	g.Arrive(now, classed(1, "work", 400*ms, now))
	tight := func(h Handle) Request {
		r := classed(h, "work", 400*ms, now)
		r.AimAt = now + 50*ms
		return r
	}
	assert.Equal(t, len(kinds(g.Arrive(now, tight(2)))), 0, "one late request may wait")
	refused := g.Arrive(now, tight(3))
	assert.DeepEqual(t, kinds(refused), []EventKind{Refused})
	assert.Assert(t, refused[0].RetryAfter > 0)
	g.Arrive(now, classed(4, "work", 400*ms, now))
	assert.DeepEqual(t, started(g.Finish(now+100*ms, 1, Completed)), []Handle{4})
}

// A server that slows down in a crowd does more with its last slots empty. The
// gate learns that from what it sees, and leaves them to short requests.
func TestLastSlotsStayEmptyOnAServerThatSlowsInACrowd(t *testing.T) {
	g, now := toldGate(6)
	h := Handle(1)
	for range 20 {
		now = burst(g, now, &h, 18, 170*ms)
		now = burst(g, now, &h, 3, 100*ms)
	}
	assert.Assert(t, g.crowdFactor() > crowdWorth, "factor %.2f", g.crowdFactor())
	running := 0
	for range 6 {
		g.Observe(now, 1)
		h++
		running += len(started(g.Arrive(now, classed(h, "work", 400*ms, now))))
	}
	assert.Equal(t, running, 4)
	short := classed(h+1, "call", 60*ms, now)
	assert.DeepEqual(t, kinds(g.Arrive(now, short)), []EventKind{Started})
}

// burst has a number of requests come at once; each takes the given time once it
// runs, and one ends after the other.
func burst(g *Gate, now time.Duration, h *Handle, number int, took time.Duration) time.Duration {
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
	g.Observe(now, 1)
	for range number {
		*h++
		start(started(g.Arrive(now, classed(*h, "work", 4*time.Second, now))))
	}
	for len(running) > 0 {
		next := running[0]
		running = running[1:]
		for now = max(now, next.end-100*ms); now < next.end; now += 50 * ms {
			g.Observe(now, 1)
		}
		now = next.end
		start(started(g.Finish(now, next.h, Completed)))
	}
	return now + ms
}

// The queue's sums must follow what is in it, whatever comes and goes.
func TestRankedQueueKeepsItsSums(t *testing.T) {
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
						t.Fatal("pop took another than the first")
					}
					for other := range held {
						if other.rank.before(it.rank) {
							t.Fatal("a request of a higher rank still waits")
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
				t.Fatalf("size %d late %d work %v, want %d %d %v", q.size, q.late, q.work(), len(held), late, work)
			}
		}
	})
}

// A request waits that could end within its aim if all went as usual, but with
// hardly a moment to spare. Work varies, so that about half of such requests come
// late; the one behind it has time. The slot goes to the latter.
func TestSlotGoesToARequestThatIsLikelyToMakeIt(t *testing.T) {
	g, now := toldGate(1)
	g.Arrive(now, classed(1, "work", 400*ms, now))
	tight := classed(2, "work", 400*ms, now)
	tight.AimAt = now + 230*ms
	g.Arrive(now, tight)
	g.Arrive(now, classed(3, "work", 400*ms, now))
	assert.DeepEqual(t, started(g.Finish(now+100*ms, 1, Completed)), []Handle{3})
}
