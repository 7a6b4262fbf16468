package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

// profileOf returns a profile with a contention factor and the class "work" of 100 ms.
func profileOf(contention float64) Learned {
	return Learned{Contention: contention, ContentionGates: 3, Classes: map[string]ClassLearned{"work": {Demand: 100 * ms, Samples: 1000}}}
}

// coldSeededGate returns the gate of a cold server with ten slots that reports its
// slowdown, with a profile.
func coldSeededGate(contention float64) *Gate {
	g := New("a", Config{Slots: 10, Queue: 10, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20}, 0)
	g.SetCold(0, 3*time.Second)
	g.ObserveSlowdown(0, 2)
	g.Seed(0, profileOf(contention))
	return g
}

// completeAtHighOccupancy completes requests of the class "work" that took the given
// demand while nearly all slots were in use.
func completeAtHighOccupancy(g *Gate, count int, demand time.Duration) {
	for range count {
		it := &item{Request: Request{Class: "work"}, workClockAtStart: g.speed.workClock - float64(demand)}
		g.speed.finish(it, highOccupancy, 1)
	}
}

// Guards against empty slots while demand is highest: all gates of a service restart after
// a power loss, and had measured that there is no contention. Requests that wait must start
// when the profile arrives, up to all slots, although the server is cold.
func TestProfileWithoutContentionFillsColdServer(t *testing.T) {
	g := New("a", Config{Slots: 10, Queue: 10}, 0)
	g.SetCold(0, 3*time.Second)
	g.ObserveSlowdown(0, 2)
	for h := range Handle(10) {
		g.Arrive(0, request(h+1))
	}
	assert.Equal(t, g.running, 8)
	assert.DeepEqual(t, startsOf(g.Seed(0, profileOf(1.05))), []Handle{9, 10})
	g.ObserveSlowdown(4*time.Second, 1)
	assert.Equal(t, g.usefulSlots(), 10, "warm")
}

// The last slots of servers that are known to have contention stay empty, and estimates use
// the factor.
func TestProfileWithContentionKeepsLastSlotsEmpty(t *testing.T) {
	g := coldSeededGate(1.7)
	assert.Equal(t, g.usefulSlots(), 8)
	assert.Equal(t, g.Speed(0).Contention, 1.7)
}

// Guards against a profile that outweighs measurements: a sibling has measured contention,
// or its absence, since the program changed.
func TestSiblingsMeasurementOverrulesProfile(t *testing.T) {
	for _, c := range []struct {
		profile, measured float64
		slots             int
	}{{1, 1.7, 8}, {1, 1.1, 10}, {1.7, 1.1, 8}} {
		g := coldSeededGate(c.profile)
		setSibling(g, 0, "b", Load{Slots: 10, Service: 100 * ms, Contention: c.measured})
		assert.Equal(t, g.usefulSlots(), c.slots, "profile %v, measured %v", c.profile, c.measured)
		assert.Equal(t, g.Speed(0).Contention, c.measured)
	}
}

// Guards against a profile with contention that is never checked: the last slots stay
// empty, so that no request runs at high occupancy. Once the server is warm and enough
// requests ran at low occupancy, the gate must fill its slots to measure, as without a
// profile.
func TestProfileWithContentionIsMeasuredAgain(t *testing.T) {
	g := coldSeededGate(1.7)
	for range minContentionSamples {
		g.speed.contention.add(1, lowOccupancy)
	}
	assert.Equal(t, g.usefulSlots(), 8, "cold")
	g.ObserveSlowdown(3*time.Second, 1)
	assert.Equal(t, g.usefulSlots(), 10)
	for range minContentionSamples {
		g.speed.contention.add(1, highOccupancy)
	}
	g.updateContention()
	assert.Equal(t, g.Speed(3*time.Second).Contention, 1.0)
}

// Guards against a profile without contention that stays in use after the program was
// replaced by one with contention: requests at high occupancy take 1.7 times as long as the
// profile says, also on a cold server. The gate must then go by its own measurements. One
// with the expected durations keeps its slots.
func TestProfileContradictedByDemandsIsIgnored(t *testing.T) {
	for demand, want := range map[time.Duration]int{170 * ms: 8, 100 * ms: 10} {
		g := coldSeededGate(1)
		completeAtHighOccupancy(g, minContentionSamples-1, demand)
		assert.Equal(t, g.usefulSlots(), 10, "too few samples")
		completeAtHighOccupancy(g, 1, demand)
		assert.Equal(t, g.usefulSlots(), want, "%v", demand)
	}
}

// Guards against empty slots at a service whose slots never filled before all its servers lost
// power: the profile holds demands but no contention factor. The slots of the cold server are
// used, until demands at high occupancy show contention.
func TestProfileWithoutContentionFactorFillsColdServerOnly(t *testing.T) {
	g := coldSeededGate(0)
	assert.Equal(t, g.usefulSlots(), 10)
	completeAtHighOccupancy(g, minContentionSamples, 170*ms)
	assert.Equal(t, g.usefulSlots(), 8, "the demands show contention")

	g = coldSeededGate(0)
	g.ObserveSlowdown(4*time.Second, 1)
	assert.Equal(t, g.usefulSlots(), 8, "a warm server is measured first")

	g = coldSeededGate(0)
	g.Seed(0, Learned{})
	assert.Equal(t, g.usefulSlots(), 8, "an empty profile says nothing")

	g = New("a", Config{Slots: 10, Queue: 10, Disabled: mechanism.Profile}, 0)
	g.SetCold(0, 3*time.Second)
	g.ObserveSlowdown(0, 2)
	g.Seed(0, profileOf(0))
	assert.Equal(t, g.usefulSlots(), 8, "the mechanism is disabled")
}

// Guards against a profile that is never checked on a warm server that stays full. After
// some seconds at full load, the last slots must be left empty until there are samples at
// low occupancy.
func TestFullServerIsMeasuredDespiteProfile(t *testing.T) {
	g := coldSeededGate(1)
	completeAtHighOccupancy(g, 2*maxUncomparedHigh, 100*ms)
	assert.Equal(t, g.usefulSlots(), 10, "a cold server is not measured")
	g.ObserveSlowdown(4*time.Second, 1)
	completeAtHighOccupancy(g, maxUncomparedHigh, 100*ms)
	assert.Equal(t, g.usefulSlots(), 8)
	for range minContentionSamples {
		g.speed.contention.add(1, lowOccupancy)
	}
	assert.Equal(t, g.usefulSlots(), 10)
}

// Guards against crashes of cold servers: a profile must not weaken the limit of starts.
func TestProfileKeepsColdStartLimit(t *testing.T) {
	g := New("a", Config{Slots: 10, Queue: 20, ColdStarts: 5}, 0)
	g.SetCold(0, 3*time.Second)
	g.ObserveSlowdown(0, 2)
	g.Seed(0, profileOf(1))
	for h := range Handle(10) {
		g.Arrive(0, request(h+1))
	}
	assert.Equal(t, g.running, 5)
}

// A cold server that does not report its slowdown still gets its slots step by step.
func TestProfileKeepsSlowStartWithoutReports(t *testing.T) {
	g := New("a", Config{Slots: 10, Queue: 20, SlowStart: 3 * time.Second}, 0)
	g.SetCold(0, 0)
	g.Seed(0, profileOf(1))
	assert.Equal(t, g.slots(0), 1)
}

// The demand of a class is that of the profile until minClassSamples requests of the class
// have completed. Requests without an aim would otherwise count as 5 ms long.
func TestProfileDemandIsUsedUntilMeasured(t *testing.T) {
	g := coldSeededGate(1)
	r := Request{Class: "work"}
	for range minClassSamples {
		assert.Equal(t, g.speed.demandOf(r), float64(100*ms))
		g.speed.class("work").add(float64(40 * ms))
	}
	assert.Equal(t, g.speed.demandOf(r), float64(40*ms))
	arriving := request(1)
	arriving.Class = "work"
	g.Arrive(0, arriving)
	assert.Equal(t, g.Speed(0).MeanServiceTime, 40*ms, "the mean demand follows")
}

// Guards against a wrong profile that confirms itself: what a gate reports must not contain
// what it was given.
func TestLearnedHoldsOnlyMeasurements(t *testing.T) {
	g := coldSeededGate(1.7)
	assert.Assert(t, g.Learned().IsEmpty())
	for range minClassSamples {
		g.speed.class("work").add(float64(40 * ms))
	}
	assert.DeepEqual(t, g.Learned(), Learned{Classes: map[string]ClassLearned{"work": {Demand: 40 * ms, Samples: minClassSamples}}})
}

// Guards against spreading the chance measurement of one gate: the factor is reported once
// three gates of the service have measured it, or all of a smaller one.
func TestLearnedContentionNeedsSeveralGates(t *testing.T) {
	for _, c := range []struct {
		siblings, measured int
		reported           bool
	}{{4, 1, false}, {4, 2, false}, {4, 3, true}, {1, 1, false}, {1, 2, true}, {0, 1, true}} {
		g := New("a", Config{Slots: 10}, 0)
		names := []string{"b", "c", "d", "e"}[:c.siblings]
		var list []Sibling
		for _, name := range names {
			list = append(list, Sibling{Host: name})
		}
		g.SetSiblings(list)
		for range minContentionSamples {
			g.speed.contention.add(1, lowOccupancy)
			g.speed.contention.add(1.5, highOccupancy)
		}
		g.updateContention()
		for _, name := range names[:c.measured-1] {
			g.ApplyReport(0, Report{Host: name, Sequence: 1, Load: Load{Contention: 1.5}})
		}
		assert.Equal(t, g.Learned().Contention > 0, c.reported, "%d of %d", c.measured, c.siblings+1)
	}
}

// A report is repeated after a change by a tenth, not for an unknown value or a small
// change.
func TestLearnedChanges(t *testing.T) {
	before := profileOf(1.5)
	with := func(change func(*Learned)) Learned {
		l := profileOf(1.5)
		change(&l)
		return l
	}
	for _, c := range []struct {
		desc    string
		l       Learned
		differs bool
	}{
		{"same", profileOf(1.5), false},
		{"contention unknown after a restart", profileOf(0), false},
		{"contention 1.6", profileOf(1.6), false},
		{"contention 1.7", profileOf(1.7), true},
		{"contention 1.3", profileOf(1.3), true},
		{"more samples", with(func(l *Learned) { l.Classes["work"] = ClassLearned{Demand: 100 * ms, Samples: 9999} }), false},
		{"longer", with(func(l *Learned) { l.Classes["work"] = ClassLearned{Demand: 111 * ms} }), true},
		{"shorter", with(func(l *Learned) { l.Classes["work"] = ClassLearned{Demand: 90 * ms} }), true},
		{"size known", with(func(l *Learned) { l.Classes["work"] = ClassLearned{Demand: 100 * ms, ResponseBytes: 5000} }), true},
		{"new class", with(func(l *Learned) { l.Classes["more"] = ClassLearned{Demand: ms} }), true},
	} {
		assert.Equal(t, c.l.DiffersFrom(before), c.differs, c.desc)
	}
}

// A disabled mechanism must leave slots and estimates as they are without a profile.
func TestDisabledProfileIsNotUsed(t *testing.T) {
	for _, contention := range []float64{1, 1.7} {
		g := coldSeededGate(contention)
		config := g.config
		config.Disabled = mechanism.Profile
		g.Configure(0, config)
		assert.Equal(t, g.usefulSlots(), 8)
		assert.Equal(t, g.Speed(0).Contention, 1.0)
		assert.Equal(t, g.speed.demandOf(Request{Class: "work", Aim: 600 * ms}), float64(200*ms))
	}
}
