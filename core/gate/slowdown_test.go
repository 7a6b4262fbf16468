package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

func classRequest(h Handle, class string, aim time.Duration, now time.Duration) Request {
	r := request(h)
	r.Class, r.Aim, r.AimAt, r.Deadline = class, aim, now+aim, now+10*aim
	return r
}

// gateWithReports returns a gate whose server reports normal speed and which has
// completed thirty requests of 100 ms.
func gateWithReports(slots int) (*Gate, time.Duration) {
	g := New("a", Config{Slots: slots, Queue: 100, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20}, 0)
	now := time.Duration(0)
	for i := range 30 {
		g.ObserveSlowdown(now, 1)
		g.Arrive(now, classRequest(Handle(1000+i), "work", 400*ms, now))
		now += 100 * ms
		g.ObserveSlowdown(now, 1)
		g.Finish(now, Handle(1000+i), Completed)
	}
	return g, now
}

func setSibling(g *Gate, now time.Duration, host string, load Load) {
	g.SetSiblings([]Sibling{{Host: host, Distance: ms}})
	g.ApplyReport(now, Report{Host: host, Incarnation: 1, Sequence: uint64(now) + 1, Load: load})
}

// Guards against noticing a slowdown only when requests complete: another user of the
// host becomes busy, and the server is seven times slower from one moment to the next.
// The next request must move to a sibling before any request has completed.
func TestRequestMovesWhenServerReportsSlowdown(t *testing.T) {
	g, now := gateWithReports(10)
	setSibling(g, now, "b", Load{Slots: 10, Service: 100 * ms})
	assert.DeepEqual(t, kinds(g.Arrive(now, classRequest(1, "work", 400*ms, now))), []EventKind{Started})
	g.ObserveSlowdown(now, 7)
	assert.DeepEqual(t, kinds(g.Arrive(now, classRequest(2, "work", 400*ms, now))), []EventKind{Moved})
}

// A reported slowdown must not be used after slowdownTTL without a further report.
func TestStaleSlowdownIsIgnored(t *testing.T) {
	g, now := gateWithReports(10)
	setSibling(g, now+slowdownTTL, "b", Load{Slots: 10, Service: 100 * ms})
	g.ObserveSlowdown(now, 7)
	later := now + slowdownTTL + ms
	assert.DeepEqual(t, kinds(g.Arrive(later, classRequest(2, "work", 400*ms, later))), []EventKind{Started})
}

// The demand of a request must be measured correctly if the server's speed changes
// while it runs: 250 ms at a slowdown of five and 50 ms at normal speed are a demand of
// 100 ms.
func TestDemandIsMeasuredOnTheWorkClock(t *testing.T) {
	g, now := gateWithReports(1)
	g.ObserveSlowdown(now, 5)
	g.Arrive(now, classRequest(1, "other", 0, now))
	g.ObserveSlowdown(now+250*ms, 1)
	g.Finish(now+300*ms, 1, Completed)
	got := time.Duration(g.speed.demandOf(Request{Class: "other"}))
	assert.Equal(t, got.Round(ms), 100*ms)
}

// A repeatable request is running when its server turns slow, and the request's speed
// follows the server's. The request's caller is told once of the sibling that would
// finish a second attempt sooner.
func TestStuckRequestIsHinted(t *testing.T) {
	g, now := variableSpeedGate(10)
	setSibling(g, now, "b", Load{Slots: 10, Service: 100 * ms})
	r := classRequest(1, "work", 400*ms, now)
	r.Repeatable = true
	g.Arrive(now, r)
	g.Arrive(now, classRequest(2, "work", 400*ms, now))
	var hints []Handle
	for range 3 {
		now += 10 * ms
		for _, e := range g.ObserveSlowdown(now, 7) {
			if e.Kind == Hint {
				hints = append(hints, e.Handle)
				assert.Equal(t, e.To, "b")
			}
		}
	}
	assert.DeepEqual(t, hints, []Handle{1})
}

// A gate does not suggest a second attempt at a sibling without spare slots: it would
// displace first attempts there.
func TestNoHintToABusySibling(t *testing.T) {
	g, now := variableSpeedGate(10)
	setSibling(g, now, "b", Load{Slots: 10, Running: 8, Service: 100 * ms})
	r := classRequest(1, "work", 400*ms, now)
	r.Repeatable = true
	g.Arrive(now, r)
	for _, e := range g.ObserveSlowdown(now+10*ms, 7) {
		assert.Assert(t, e.Kind != Hint)
	}
}

// Guards against a new gate that assumes a demand of zero because no request has
// completed yet, and lets dozens of requests wait that cannot meet their aim.
func TestAimProvidesInitialDemandEstimate(t *testing.T) {
	g := New("a", Config{Slots: 2, Queue: 100}, 0)
	g.ObserveSlowdown(0, 1)
	waiting := 0
	for h := range Handle(40) {
		events := g.Arrive(0, classRequest(h+1, "work", 300*ms, 0))
		if len(kinds(events)) == 0 {
			waiting++
		}
	}
	// Two run; with a demand of 100 ms and two slots, about four more meet an aim of
	// 300 ms.
	assert.Assert(t, waiting >= 2 && waiting <= 6, "%d requests wait", waiting)
}

// Guards against treating a permanent slowdown of twelve times as one by a noisy
// neighbour, which lasts half a second. The gate would expect the slow period to end
// soon, and a request that takes 160 ms elsewhere would time out here. After two
// seconds without a lower report, the slowdown counts as persistent.
func TestPersistentSlowdownIsNotTreatedAsTransient(t *testing.T) {
	g, now := gateWithReports(10)
	setSibling(g, now, "b", Load{Slots: 10, Service: 900 * ms})
	for range 25 {
		g.ObserveSlowdown(now, 12)
		now += 100 * ms
	}
	setSibling(g, now, "b", Load{Slots: 10, Service: 600 * ms})
	load := g.Load(now)
	assert.Assert(t, load.Service > 1000*ms, "reported service time %v for requests of 100 ms", load.Service)
	events := g.Arrive(now, classRequest(1, "work", 400*ms, now))
	assert.Equal(t, events[0].Kind, Moved)
}

// If a persistently slow server is the only one, a request that cannot finish before
// its deadline is refused immediately: it would hold a slot until its deadline, and its
// caller would learn too late to try elsewhere.
func TestPersistentlySlowServerRefusesRequestsPastDeadline(t *testing.T) {
	g, now := gateWithReports(2)
	for range 25 {
		g.ObserveSlowdown(now, 12)
		now += 100 * ms
	}
	for h := Handle(1); h <= 2; h++ {
		g.Arrive(now, classRequest(h, "work", 400*ms, now))
	}
	r := classRequest(3, "work", 400*ms, now)
	r.Deadline = now + 1000*ms
	events := g.Arrive(now, r)
	assert.Equal(t, events[0].Kind, Refused)
	assert.Equal(t, events[0].Reason, TooLate)
}

// A noisy neighbour makes the server seven times slower for periods of half a second.
// The smallest recent report is normal speed, so no part of the slowdown counts as
// persistent.
func TestTransientNoiseIsNotTreatedAsPersistent(t *testing.T) {
	g, now := gateWithReports(10)
	for i := range 60 {
		factor := 1.0
		if i/5%3 != 0 {
			factor = 7
		}
		g.ObserveSlowdown(now, factor)
		now += 100 * ms
		assert.Equal(t, g.Speed(now).Persistent, 1.0)
	}
}

// A persistent slowdown ends with the first lower report.
func TestPersistentSlowdownEndsWithFirstLowerReport(t *testing.T) {
	g, now := gateWithReports(10)
	for range 25 {
		g.ObserveSlowdown(now, 12)
		now += 100 * ms
	}
	assert.Equal(t, g.Speed(now).Persistent, 12.0)
	g.ObserveSlowdown(now, 1)
	assert.Equal(t, g.Speed(now).Persistent, 1.0)
}

// A slot is free, but the server is seven times slower at the moment and its sibling is
// not. If the request started here, it would miss its aim and could no longer move. It
// waits instead and moves to the sibling as soon as that has a free slot, where it can
// finish in time.
func TestRequestWaitsRatherThanStartOnASlowServer(t *testing.T) {
	g, now := gateWithReports(10)
	g.ObserveSlowdown(now, 7)
	busy := Load{Slots: 10, Running: 10, Waiting: 40, Service: 100 * ms}
	setSibling(g, now, "b", busy)
	assert.Equal(t, len(kinds(g.Arrive(now, classRequest(1, "work", 300*ms, now)))), 0, "the request waits")
	now += 20 * ms
	g.ApplyReport(now, Report{Host: "b", Incarnation: 2, Sequence: 1, Load: Load{Slots: 10, Running: 9, Service: 100 * ms}})
	assert.DeepEqual(t, kinds(g.Tick(now)), []EventKind{Moved})
}

// No sibling is faster: the request starts on the slow server, since its speed follows
// the server's when the slow period ends.
func TestRequestStartsOnASlowServerIfAllAreSlow(t *testing.T) {
	g, now := variableSpeedGate(10)
	g.ObserveSlowdown(now, 7)
	setSibling(g, now, "b", Load{Slots: 10, Running: 10, Waiting: 12, Service: 390 * ms})
	assert.DeepEqual(t, kinds(g.Arrive(now, classRequest(1, "work", 300*ms, now))), []EventKind{Started})
}

// A slow period ends while a request is held back because of it: the request starts as
// soon as the server reports normal speed.
func TestHeldRequestStartsWhenSlowPeriodEnds(t *testing.T) {
	g, now := gateWithReports(10)
	g.ObserveSlowdown(now, 7)
	setSibling(g, now, "b", Load{Slots: 10, Running: 10, Waiting: 40, Service: 100 * ms})
	g.Arrive(now, classRequest(1, "work", 300*ms, now))
	now += 50 * ms
	assert.DeepEqual(t, startedHandles(append(g.ObserveSlowdown(now, 1), g.Tick(now)...)), []Handle{1})
}

// A gate that has just started has no contention samples. Its siblings have measured
// that the servers of the service slow down at high occupancy, so the gate leaves its
// last slots empty, as the siblings do.
func TestContentionIsLearnedFromSiblings(t *testing.T) {
	g := New("a", Config{Slots: 6, Queue: 100, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20}, 0)
	g.ObserveSlowdown(0, 1)
	g.SetSiblings([]Sibling{{Host: "b", Distance: ms}, {Host: "c", Distance: ms}, {Host: "d", Distance: ms}})
	for host, found := range map[string]float64{"b": 1.1, "c": 1.6, "d": 1.7} {
		g.ApplyReport(0, Report{Host: host, Incarnation: 1, Sequence: 1, Load: Load{Slots: 4, Service: 100 * ms, Contention: found}})
	}
	assert.Equal(t, g.Speed(0).Contention, 1.6)
	assert.Equal(t, g.usefulSlots(), 4)
}

// Guards against losing the contention estimate on a server that stays full, where
// every request takes 1.7 times as long. The mean demand of the requests' class rises
// accordingly, and relative to that mean, contention seems to cost nothing. The last
// slots would then be filled permanently, and each of them would lower the throughput.
func TestFullServerKeepsItsContentionEstimate(t *testing.T) {
	s := newSpeedTracker(0)
	s.known = true
	serve := func(demand time.Duration, kind occupancy) {
		it := &item{Request: Request{Class: "lookup"}, workClockAtStart: s.workClock - float64(demand)}
		s.finish(it, kind, 1)
	}
	for range 2 * contentionWindow {
		serve(80*time.Millisecond, lowOccupancy)
	}
	for range 10 * contentionWindow {
		serve(136*time.Millisecond, highOccupancy)
	}
	assert.Assert(t, s.contention.localFactor() > 1.6, "contention factor %.2f", s.contention.localFactor())
}

// Guards against accepting too much after a power loss: every server of a service
// restarts cold, is twice as slow for three seconds, and reports that. From the first
// report on, requests that cannot finish in time must be refused. A gate that treats
// the slowdown as one by a noisy neighbour for the first two seconds starts all
// requests, and they finish late.
func TestAnnouncedColdStartCountsImmediately(t *testing.T) {
	for _, c := range []struct {
		desc string
		left time.Duration
		want float64
	}{{"announced", 3 * time.Second, 2}, {"not announced", 0, 1}} {
		g := New("a", Config{Slots: 4, Queue: 4}, 0)
		g.SetCold(0, c.left)
		g.ObserveSlowdown(10*time.Millisecond, 8)
		g.ObserveSlowdown(310*time.Millisecond, 2)
		assert.Equal(t, g.Speed(320*time.Millisecond).Persistent, c.want, c.desc)
		g.ObserveSlowdown(3*time.Second, 1)
		assert.Equal(t, g.Speed(3*time.Second).Persistent, 1.0, c.desc)
	}
}

// The gate of a cold server has enough contention samples at low occupancy and none at
// high occupancy. It must not fill the last slots to collect those before the cold
// period ends.
func TestColdServerDoesNotFillLastSlotsToMeasureContention(t *testing.T) {
	g := New("a", Config{Slots: 10, Queue: 4}, 0)
	g.SetCold(0, 3*time.Second)
	g.ObserveSlowdown(0, 2)
	for range minContentionSamples {
		g.speed.contention.add(1, lowOccupancy)
	}
	assert.Equal(t, g.usefulSlots(), 8)
	g.ObserveSlowdown(3*time.Second, 1)
	assert.Equal(t, g.usefulSlots(), 10)
}

// A mechanism that is switched off has no effect from the next request on, and takes
// effect again once it is switched on.
func TestDisabledMechanismHasNoEffect(t *testing.T) {
	g, now := gateWithReports(10)
	setSibling(g, now, "b", Load{Slots: 10, Service: 100 * ms})
	g.ObserveSlowdown(now, 7)
	config := g.config
	config.Disabled = mechanism.Moves | mechanism.Holds
	g.Configure(now, config)
	assert.DeepEqual(t, kinds(g.Arrive(now, classRequest(1, "work", 400*ms, now))), []EventKind{Started})
	config.Disabled = 0
	g.Configure(now, config)
	assert.DeepEqual(t, kinds(g.Arrive(now, classRequest(2, "work", 400*ms, now))), []EventKind{Moved})
}
