package gate

import (
	"math"
	"time"

	"cactuspath/core/mechanism"
)

// A service profile is what the gates of a service have learned of the program that its
// backend servers run. Control replicas keep it, and a gate that has just started uses it
// until it has measurements of its own. Without it, all gates that start together leave
// their last slots empty while their servers are cold and demand is highest, although
// they had measured before that these slots are worth filling.

// Learned is what gates have learned of the program that their servers run.
type Learned struct {
	// Contention is the contention factor, 0 if it is not known, and ContentionGates is
	// how many gates have measured it.
	Contention      float64
	ContentionGates int
	Classes         map[string]ClassLearned
}

// ClassLearned is what gates have learned of the requests of one class.
type ClassLearned struct {
	// Demand is the mean time that a request takes at normal speed.
	Demand time.Duration
	// ResponseBytes is the mean size of a response; 0 if it is not known.
	ResponseBytes int64
	// Samples is the number of completed requests that the means are based on.
	Samples int
}

const (
	// MinContentionGates is how many gates must have measured the contention factor
	// before others use it from a profile, or all gates of a smaller service: a single
	// gate measures 1.0 to 2.2 where the true factor is 1.7.
	MinContentionGates = 3
	// learnedChange is the ratio from which a learned value counts as changed.
	learnedChange = 1.1
	// maxUncomparedHigh is how many requests may complete at high occupancy on a warm
	// server whose slots are all in use because of a profile, before the gate leaves the
	// last slots empty to measure again. Otherwise, contention after a change of the
	// program would never be measured on a server that stays full. It corresponds to a
	// few seconds at full load.
	maxUncomparedHigh = 4 * contentionWindow
)

// seed is the profile that a gate was given.
type seed struct {
	contention float64
	classes    map[string]ClassLearned
	// high holds the demands at high occupancy relative to those in the profile, while the
	// gate has too few samples at low occupancy to compare them with. contradicted is set
	// while they are so long that there seems to be contention.
	high         window
	contradicted bool
	// uncomparedHigh counts the samples that the profile was trusted for; see
	// maxUncomparedHigh.
	uncomparedHigh int
}

// Learned returns what this gate has measured, with the contention factor that it shares
// with its siblings. Nothing in it stems from a profile: otherwise a wrong profile would
// confirm itself.
func (g *Gate) Learned() Learned {
	l := Learned{Classes: make(map[string]ClassLearned, len(g.speed.classes))}
	if n := len(g.contentionFactors); n >= min(MinContentionGates, len(g.siblings.list)+1) {
		l.Contention, l.ContentionGates = g.cachedContention, n
	}
	for name, c := range g.speed.classes {
		if c.seen >= minClassSamples {
			learned := ClassLearned{Demand: time.Duration(c.value), Samples: c.seen}
			if c.responseSize.seen >= minClassSamples {
				learned.ResponseBytes = int64(c.responseSize.value)
			}
			l.Classes[name] = learned
		}
	}
	return l
}

// IsEmpty reports whether nothing has been learned.
func (l Learned) IsEmpty() bool { return l.Contention == 0 && len(l.Classes) == 0 }

// DiffersFrom reports whether l holds a value that is not in the earlier one, or that
// differs by a tenth or more.
func (l Learned) DiffersFrom(earlier Learned) bool {
	if differs(l.Contention, earlier.Contention) {
		return true
	}
	for name, c := range l.Classes {
		before := earlier.Classes[name]
		if differs(float64(c.Demand), float64(before.Demand)) || differs(float64(c.ResponseBytes), float64(before.ResponseBytes)) {
			return true
		}
	}
	return false
}

// differs reports whether a known value has changed; an unknown one, 0, has not.
func differs(value, before float64) bool {
	return value > 0 && (value >= before*learnedChange || before >= value*learnedChange)
}

// Seed gives the gate the profile of its service. It is used for what neither the gate
// nor, in case of the contention factor, a sibling has measured.
func (g *Gate) Seed(now time.Duration, l Learned) []Event {
	g.beginEvents(now)
	g.speed.seed = seed{classes: l.Classes}
	if l.Contention > 0 && !math.IsInf(l.Contention, 0) {
		g.speed.seed.contention = min(maxContentionFactor, max(1, l.Contention))
	}
	g.startWaiting(now)
	g.announce(now)
	return g.takeEvents()
}

// seededContention is the contention factor in the profile; 0 if there is none.
func (g *Gate) seededContention() float64 {
	if g.disabled(mechanism.Profile) {
		return 0
	}
	return g.speed.seed.contention
}

// fillsBySeed reports whether all slots are used because the profile says that there is
// no contention, also on a cold server, while no measurement says otherwise.
func (g *Gate) fillsBySeed() bool {
	factor := g.seededContention()
	if factor == 0 {
		return g.fillsColdUntested()
	}
	if factor > contentionThreshold || g.contentionFactor() > contentionThreshold {
		return false
	}
	if g.contentionMeasured() {
		return true
	}
	return !g.speed.seed.contradicted && (g.speed.isCold() || g.speed.seed.uncomparedHigh < maxUncomparedHigh)
}

// fillsColdUntested reports whether all slots of a cold server are used although the profile
// has no contention factor. A service whose slots never fill has none, and it fills them for
// the first time when all its servers are cold. The demands in the profile were then measured
// at low occupancy, so that a few completions show whether the server slows down.
func (g *Gate) fillsColdUntested() bool {
	s := &g.speed
	return len(s.seed.classes) > 0 && !g.disabled(mechanism.Profile) && s.isCold() && !g.contentionMeasured() && !s.seed.contradicted
}

// contentionMeasured reports whether the gate or a sibling has measured the contention
// factor.
func (g *Gate) contentionMeasured() bool { return len(g.contentionFactors) > 0 }

// seededDemand is the mean demand of a class in the profile; 0 if it is not known.
func (s *speedTracker) seededDemand(class string) float64 {
	if s.disabled.Has(mechanism.Profile) {
		return 0
	}
	return float64(s.seed.classes[class].Demand)
}

// seededResponse is the mean response size of a class in the profile, in bytes; 0 if it is
// not known.
func (s *speedTracker) seededResponse(class string) int64 {
	if s.disabled.Has(mechanism.Profile) {
		return 0
	}
	return s.seed.classes[class].ResponseBytes
}

// checkSeed compares a completed request at high occupancy with the profile, until there
// are enough samples at low occupancy. A program that was replaced by one with contention
// would otherwise run with all slots in use while its servers are cold, and the gates could
// not measure it. The median is compared, since requests that wait for calls to other
// backend servers may take longer for reasons elsewhere.
func (s *speedTracker) checkSeed(class string, demand float64, occupancy occupancy) {
	if s.seed.contention == 0 && len(s.seed.classes) == 0 || occupancy != highOccupancy || s.contention.lowOccupancy.seen >= minContentionSamples {
		return
	}
	if !s.isCold() {
		s.seed.uncomparedHigh++
	}
	if seeded := s.seededDemand(class); seeded > 0 {
		s.seed.high.add(demand / seeded)
		s.seed.contradicted = s.seed.high.seen >= minContentionSamples && s.seed.high.quantile(0.5) > contentionThreshold
	}
}
