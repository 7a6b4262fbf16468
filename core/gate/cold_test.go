package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// coldLimit is how many requests per second the servers of these tests can handle while
// they are cold.
const coldLimit = 17

func coldGate(now time.Duration) *Gate {
	return New("a", Config{Slots: 6, Queue: 128, SlowStart: 3 * time.Second, ColdStarts: coldLimit}, now)
}

// startsOf lists the handles of the requests that events start.
func startsOf(events []Event) (list []Handle) {
	for _, e := range events {
		if e.Kind == Started {
			list = append(list, e.Handle)
		}
	}
	return list
}

// Guards against overloading a cold server until it crashes: whatever the order of
// arrivals, completions, request bodies and reports that the server is cold, no more
// requests are started in any second than the limit once the gate knows that the server
// is cold.
func TestColdServerGetsNoMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		g := coldGate(now)
		var running []Handle
		sent := map[Handle]time.Duration{}
		var coldFrom, coldTo time.Duration
		take := func(events []Event) {
			for _, h := range startsOf(events) {
				running = append(running, h)
				sent[h] = now
			}
		}
		for i := range 400 {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if now >= coldTo {
					coldFrom = now
				}
				g.SetCold(now, 2*time.Second)
				coldTo = now + 2*time.Second
			case 1:
				if len(running) > 0 {
					h := running[len(running)-1]
					running = running[:len(running)-1]
					delete(sent, h)
					take(g.ReconsiderAfterBody(now, h))
				}
			case 2, 3:
				if len(running) > 0 {
					h := running[0]
					running = running[1:]
					take(g.Finish(now, h, Outcome(rapid.IntRange(0, 3).Draw(t, "end"))))
				}
			case 4:
				take(g.Tick(now))
			default:
				take(g.Arrive(now, request(Handle(i+1))))
			}
			if now < coldFrom || now >= coldTo {
				continue
			}
			startsInWindow, startsSinceCold := 0, 0
			for _, at := range sent {
				if at > now-time.Second {
					startsInWindow++
					if at >= coldFrom {
						startsSinceCold++
					}
				}
			}
			if startsSinceCold > 0 && startsInWindow > coldLimit && startsSinceCold > max(0, coldLimit-(startsInWindow-startsSinceCold)) {
				t.Fatalf("%d starts in the second up to %v, %d of them since the server turned cold", startsInWindow, now, startsSinceCold)
			}
		}
	})
}

// Guards against overloading a server that turns cold while it is busy: requests
// started just before that count towards the limit in the second that follows.
func TestStartsBeforeTheServerTurnedColdCount(t *testing.T) {
	g := coldGate(0)
	h := Handle(0)
	for now := time.Duration(0); now < 500*ms; now += 20 * ms {
		h++
		g.Arrive(now, request(h))
		g.Finish(now+10*ms, h, Completed)
	}
	g.SetCold(500*ms, 3*time.Second)
	assert.Equal(t, len(startsOf(g.Arrive(500*ms, request(100)))), 0)
	assert.Equal(t, len(startsOf(g.Tick(1500*ms))), 1)
}

// Guards against using up the cold-start limit for requests that will miss their aim:
// the next request that could meet its aim could then not start for a second.
func TestLateRequestsGetNoStartsOfAColdServer(t *testing.T) {
	g, now := gateWithReports(6)
	g.Configure(now, Config{Slots: 6, Queue: 128, ColdStarts: coldLimit})
	g.SetCold(now, 3*time.Second)
	for i := range coldLimit {
		g.Arrive(now, classRequest(Handle(i+1), "work", 400*ms, now))
		g.Finish(now, Handle(i+1), Completed)
	}
	late := classRequest(100, "work", 400*ms, now)
	late.AimAt = now + 100*ms
	events := g.Arrive(now, late)
	assert.DeepEqual(t, kinds(events), []EventKind{Refused})
	assert.Assert(t, events[0].RetryAfter > 0)
	later := now + 1000*ms
	g.ObserveSlowdown(later, 1)
	assert.DeepEqual(t, kinds(g.Arrive(later, classRequest(101, "work", 400*ms, later))), []EventKind{Started})
}

// Guards against delayed reports that the server is cold: a report of an earlier end of
// the cold period that arrives later must not lift the limit.
func TestDelayedColdReportDoesNotShortenColdTime(t *testing.T) {
	g := coldGate(0)
	g.SetCold(0, 3*time.Second)
	g.SetCold(100*ms, time.Second)
	assert.Assert(t, g.isCold(2*time.Second))
	g.ObserveCold(200*ms, 0)
	assert.Assert(t, !g.isCold(200*ms), "the server itself reports that it is warm")
}

// Guards against two consecutive gate processes that each start as many requests as the
// cold-start limit allows within the same second.
func TestNewProcessLeavesRoomForEarlierStarts(t *testing.T) {
	g := coldGate(0)
	g.AssumeEarlierStarts(0)
	g.SetCold(0, 3*time.Second)
	started := 0
	for now := time.Duration(0); now < time.Second; now += 10 * ms {
		next := startsOf(append(g.Arrive(now, request(Handle(now/ms+1))), g.Tick(now)...))
		for len(next) > 0 {
			started++
			next = append(next[1:], startsOf(g.Finish(now, next[0], Completed))...)
		}
	}
	assert.Equal(t, started, coldLimit/2)
}

// Guards against requests that wait although the cold-start limit lets them start only
// after their deadline: they are refused on arrival, with the time after which to
// retry.
func TestRequestBeyondColdLimitIsRefusedImmediately(t *testing.T) {
	g := coldGate(0)
	g.SetCold(0, 3*time.Second)
	var refused []Event
	for i := range 40 {
		r := request(Handle(i + 1))
		r.Deadline = 200 * ms
		for _, e := range g.Arrive(0, r) {
			if e.Kind == Refused {
				refused = append(refused, e)
			}
			if e.Kind == Started {
				g.Finish(0, e.Handle, Completed)
			}
		}
	}
	assert.Equal(t, len(refused), 40-coldLimit)
	assert.Equal(t, refused[0].Reason, TooLate)
	assert.Assert(t, refused[0].RetryAfter > 0)
}

// Guards against siblings that move requests to a cold server which has reached its
// cold-start limit: it has empty slots and looks idle.
func TestReportShowsThatAColdServerHasNoStartsLeft(t *testing.T) {
	g := coldGate(0)
	g.SetCold(0, 3*time.Second)
	for i := range coldLimit {
		g.Arrive(0, request(Handle(i+1)))
		g.Finish(0, Handle(i+1), Completed)
	}
	l := g.Load(0)
	assert.Equal(t, l.Running, 0)
	assert.Assert(t, l.estimateWait(0) > 0)
	assert.Assert(t, l.estimateFinish(0) > l.Service)
}
