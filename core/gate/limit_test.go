package gate

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// named is an answer to a request that names a limit.
func named(perSecond float64) Answer { return Answer{LimitNamed: true, Limit: perSecond} }

// observe applies an answer and returns the events.
func (g *Gate) observeForTest(now time.Duration, a Answer) []Event {
	_, events := g.ObserveAnswer(now, a)
	return events
}

func limitRequest(h Handle, now time.Duration) Request {
	return Request{Handle: h, ID: AttemptID{Request: [2]uint64{1, uint64(h)}, Attempt: 1}, Caller: "c", Deadline: now + 5*time.Second, Movable: true}
}

// Guards against sending a server in need more than the limit that it names: whatever the order
// of arrivals, completions, bodies that arrive late, and answers that raise, lower or withdraw
// the limit, no sliding window of four seconds throughout which a limit was in force has more
// starts than the highest limit in it allows, plus one second's worth.
func TestServerGetsNoMoreThanItsNamedLimit(t *testing.T) {
	const span = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		g := New("a", Config{Slots: 6, Queue: 32}, now)
		var running []Handle
		sent := map[Handle]time.Duration{}
		type change struct {
			at   time.Duration
			rate float64
		}
		limits := []change{{0, math.Inf(1)}}
		take := func(events []Event) {
			for _, h := range startsOf(events) {
				running = append(running, h)
				sent[h] = now
			}
		}
		end := func(outcome Outcome) {
			if len(running) > 0 {
				h := running[0]
				running = running[1:]
				take(g.Finish(now, h, outcome))
			}
		}
		for i := range 500 {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				rate := rapid.Float64Range(0.3, 30).Draw(t, "rate")
				take(g.observeForTest(now, Answer{Health: rapid.Bool().Draw(t, "health"), LimitNamed: true, Limit: rate}))
				limits = append(limits, change{now, rate})
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "withdraw") == 0 {
					take(g.observeForTest(now, Answer{Health: true}))
					take(g.observeForTest(now, Answer{}))
					limits = append(limits, change{now, math.Inf(1)})
				}
			case 2:
				if len(running) > 0 {
					h := running[len(running)-1]
					running = running[:len(running)-1]
					delete(sent, h)
					take(g.ReconsiderAfterBody(now, h))
				}
			case 3, 4, 5:
				end(Completed)
			default:
				take(g.Arrive(now, limitRequest(Handle(i+1), now)))
			}
			take(g.Tick(now))
		}
		highest := func(from, to time.Duration) float64 {
			rate := 0.0
			for i, c := range limits {
				if c.at <= to && (i+1 == len(limits) || limits[i+1].at > from) {
					rate = max(rate, c.rate)
				}
			}
			return rate
		}
		for from := time.Duration(0); from+span <= now; from += 250 * ms {
			starts := 0
			for _, at := range sent {
				if at >= from && at < from+span {
					starts++
				}
			}
			if rate := highest(from, from+span); !math.IsInf(rate, 1) {
				assert.Assert(t, float64(starts) <= rate*(span.Seconds()+1)+1, "%d starts from %v, limit %v", starts, from, rate)
			}
		}
	})
}

// Guards against leaving a caller waiting for a limit without a known end: what exceeds it is
// refused at once with a time to come back, also if it waits for a slot when the limit is
// reached.
func TestRequestsOverTheNamedLimitAreRefusedAtOnce(t *testing.T) {
	now := time.Second
	g := New("a", Config{Slots: 2, Queue: 32}, now)
	g.observeForTest(now, named(3))
	var refused []Event
	for h := range Handle(8) {
		for _, e := range g.Arrive(now, limitRequest(h+1, now)) {
			if e.Kind == Refused {
				refused = append(refused, e)
			}
		}
	}
	assert.Equal(t, len(refused), 0, "two run and six wait for a slot")
	started := g.Finish(now, 1, Completed)
	assert.Equal(t, len(startsOf(started)), 1)
	for _, e := range append(started, g.Tick(now+ms)...) {
		if e.Kind == Refused {
			refused = append(refused, e)
		}
	}
	assert.Equal(t, len(refused), 5, "the limit is reached")
	for i, e := range refused {
		assert.Equal(t, e.Reason, Limited)
		assert.Assert(t, e.RetryAfter > 500*ms && e.RetryAfter <= maxLimitRetryAfter, "%v", e.RetryAfter)
		assert.Assert(t, i == 0 || e.RetryAfter > refused[i-1].RetryAfter || e.RetryAfter == maxLimitRetryAfter, "all come back at once")
	}
}

// Guards against refusing what a sibling could run.
func TestRequestsOverTheNamedLimitMove(t *testing.T) {
	now := time.Second
	g := New("a", Config{Slots: 4, Queue: 32, Siblings: true}, now)
	g.SetSiblings([]Sibling{{Host: "b", Distance: ms}})
	g.ApplyReport(now, Report{Host: "b", Incarnation: 1, Sequence: 1, Load: Load{Slots: 4, Running: 4, Service: time.Second}})
	g.observeForTest(now, named(1))
	assert.Equal(t, len(startsOf(g.Arrive(now, limitRequest(1, now)))), 1)
	events := g.Arrive(now, limitRequest(2, now))
	assert.Equal(t, events[0].Kind, Moved)
	assert.Equal(t, events[0].To, "b")
	assert.Assert(t, !g.Load(now).acceptsRequests(), "siblings would move requests here")
	assert.Assert(t, g.Load(now+2*time.Second).acceptsRequests())
}

// Guards against a limit that outlives its withdrawal, and against one that is dropped because
// one kind of answer never names it.
func TestNamedLimitIsWithdrawnByTheAnswersThatNameIt(t *testing.T) {
	g := New("a", Config{Slots: 4, Queue: 32}, 0)
	at := func(a Answer) Limit {
		g.observeForTest(time.Second, a)
		return g.NamedLimit()
	}
	health := Answer{Health: true, LimitNamed: true, Limit: 5}
	assert.Equal(t, at(named(3)), Limit{3, true})
	assert.Equal(t, at(Answer{Health: true}), Limit{3, true}, "health answers have not named it")
	assert.Equal(t, at(Answer{}), Limit{})
	assert.Equal(t, at(health), Limit{5, true})
	assert.Equal(t, at(Answer{}), Limit{5, true}, "answers to requests have not named it since")
	assert.Equal(t, at(named(4)), Limit{4, true})
	assert.Equal(t, at(Answer{Health: true}), Limit{}, "the newest health answer does not name it")
}

// Guards against a server that is never asked again, so that it can never withdraw its limit.
func TestLimitOfZeroLeavesATrial(t *testing.T) {
	g := New("a", Config{Slots: 4, Queue: 32}, 0)
	g.observeForTest(time.Second, named(0))
	starts := 0
	for now := time.Second; now < 31*time.Second; now += 100 * ms {
		h := Handle(now)
		if len(startsOf(g.Arrive(now, limitRequest(h, now)))) > 0 {
			starts++
			g.Finish(now, h, Completed)
		}
	}
	assert.Equal(t, starts, 3)
	for i, limit := range []float64{0, math.SmallestNonzeroFloat64} {
		g.observeForTest(31*time.Second, Answer{Health: true, LimitNamed: true, Limit: limit})
		assert.Equal(t, len(startsOf(g.Arrive(time.Minute, limitRequest(Handle(i+1), time.Minute)))), 0, "health answers can withdraw it")
	}
	g.observeForTest(time.Minute, Answer{Health: true, LimitNamed: true, Limit: math.MaxFloat64})
	assert.Equal(t, len(startsOf(g.Arrive(time.Minute, limitRequest(3, time.Minute)))), 1, "a limit that is never reached")
}

// Guards against a node that restarts and does not know the limit yet: it must not start a
// burst of requests before the server's first answer, nor use up the limit a second time.
func TestNewGateProcessStartsCarefully(t *testing.T) {
	now := time.Second
	g := New("a", Config{Slots: 6, Queue: 32}, now)
	g.AssumeEarlierStarts(now)
	starts := 0
	for h := range Handle(6) {
		starts += len(startsOf(g.Arrive(now, limitRequest(h+1, now))))
	}
	assert.Equal(t, starts, 1, "before the first answer")
	events := g.observeForTest(now, named(2))
	assert.Equal(t, len(startsOf(events)), 0, "the earlier process may have used up the limit")
	assert.Equal(t, len(startsOf(g.Arrive(now+900*ms, limitRequest(10, now)))), 0)
	assert.Equal(t, len(startsOf(g.Arrive(now+1001*ms, limitRequest(11, now)))), 1)

	g = New("a", Config{Slots: 6, Queue: 32}, now)
	g.AssumeEarlierStarts(now)
	for h := range Handle(6) {
		g.Arrive(now, limitRequest(h+1, now))
	}
	assert.Equal(t, len(startsOf(g.observeForTest(now, Answer{Health: true}))), 5, "no limit is named")
}

// Guards against holding a server to the limit of the one before it.
func TestLimitEndsWithItsServer(t *testing.T) {
	for name, replace := range map[string]func(*Gate){
		"restarted": func(g *Gate) { g.ServerRestarted(time.Second) },
		"replaced":  func(g *Gate) { g.ServerReplaced(time.Second) },
	} {
		g := New("a", Config{Slots: 6, Queue: 32}, 0)
		g.observeForTest(time.Second, named(1))
		replace(g)
		assert.Equal(t, g.NamedLimit(), Limit{}, name)
		assert.Equal(t, len(startsOf(g.Arrive(time.Second, limitRequest(1, time.Second)))), 1, name)
		assert.Equal(t, len(startsOf(g.Arrive(time.Second, limitRequest(2, time.Second)))), 1, name)
	}
}
