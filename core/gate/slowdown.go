package gate

import (
	"math"
	"time"

	"cactuspath/core/mechanism"
)

// A backend server that shares its host may report how many times longer than normal
// requests take at the moment (its slowdown). The value changes every half second, far
// faster than completed requests could show it. Where the slowdown is known, it
// therefore replaces the estimate from completions (see estimator): a request that
// arrives at a server which just turned seven times slower moves to a sibling before it
// runs.
const (
	// slowdownTTL is how long a reported slowdown is used: a few of the intervals at
	// which the driver asks for a new one.
	slowdownTTL = 350 * time.Millisecond
	// defaultSlowPeriod is the assumed remaining time of a slow period at any moment.
	// Slow periods change every half second; with a longer value, the gate would refuse
	// requests that would finish in time.
	defaultSlowPeriod = 300 * time.Millisecond
	// typicalRateGain is the weight of one second of new observations in the typical
	// rate of progress, an EWMA.
	typicalRateGain = 0.05
	// minTypicalRate is the lower limit of the typical rate of progress.
	minTypicalRate = 1.0 / 16
)

// speedTracker tracks the slowdown reported by the server. Its work clock advances at
// the server's speed, so that the demand of a request is known however often the speed
// changed while it ran.
type speedTracker struct {
	factor             float64
	reportedAt         time.Duration
	known              bool
	last               time.Duration
	workClock          float64 // nanoseconds of work at normal speed
	demand             movingMean
	classes            map[string]*class
	typicalRate        float64 // mean rate of progress relative to that at the persistent slowdown, 0 to 1
	persistentSlowdown persistentSlowdown
	initialDemand      float64 // initial estimate of the mean demand, from aims
	// coldUntil is the end of the cold period that the server announced.
	coldUntil   time.Duration
	disabled    mechanism.Set
	contention  contention
	speedModel  speedModel
	slowPeriods slowPeriods
	// seed is the service's profile.
	seed seed
}

func newSpeedTracker(now time.Duration) speedTracker {
	return speedTracker{factor: 1, last: now, demand: movingMean{value: float64(firstEstimate)}, classes: map[string]*class{}, typicalRate: 1, speedModel: newSpeedModel()}
}

func (s *speedTracker) advance(now time.Duration) {
	elapsed := float64(now - s.last)
	if elapsed <= 0 {
		return
	}
	s.last = now
	s.workClock += elapsed / s.factor
	if s.known {
		weight := 1 - math.Exp(-elapsed*typicalRateGain/float64(time.Second))
		s.typicalRate += (s.persistentFactor()/s.factor - s.typicalRate) * weight
	}
}

// restart discards the server's slowdown. The work clock keeps running, since running
// requests refer to it.
func (s *speedTracker) restart(now time.Duration) {
	s.advance(now)
	s.factor, s.typicalRate, s.persistentSlowdown = 1, 1, persistentSlowdown{}
	s.reportedAt, s.coldUntil = now-slowdownTTL-1, 0
}

// isCold reports whether the server has announced a cold period that has not ended.
func (s *speedTracker) isCold() bool { return s.last < s.coldUntil && !s.disabled.Has(mechanism.Cold) }

// persistentFactor is the persistent part of the slowdown. If the server has announced
// how long it stays cold, its reports count immediately: if the gate waited for two
// seconds of reports, a fleet that has just started would accept requests that it
// cannot finish in time.
func (s *speedTracker) persistentFactor() float64 {
	if s.disabled.Has(mechanism.PersistentSlowdown) {
		return 1
	}
	if s.isCold() {
		return s.persistentSlowdown.minimumSeen()
	}
	return s.persistentSlowdown.minimum()
}

// update applies a reported slowdown.
func (s *speedTracker) update(now time.Duration, factor float64) {
	s.advance(now)
	s.factor, s.reportedAt, s.known = max(1, factor), now, true
	s.persistentSlowdown.update(now, s.factor)
	s.slowPeriods.update(now, s.isSlow())
}

// fresh reports whether the last reported slowdown is recent enough to use.
func (s *speedTracker) fresh(now time.Duration) bool {
	return s.known && now-s.reportedAt <= slowdownTTL
}

// finish adds a completed request to the statistics of demand and contention. occupancy
// is the server's occupancy while the request ran, and factor the contention factor.
func (s *speedTracker) finish(it *item, occupancy occupancy, factor float64) {
	stats := s.class(it.Class)
	demand, certain := s.measuredDemand(it, stats)
	if !certain {
		return
	}
	if s.known && stats != nil {
		// Without the server's reports, a slow host would look like contention.
		s.addContentionSample(stats, demand, occupancy)
	}
	if s.known {
		s.checkSeed(it.Class, demand, occupancy)
	}
	if occupancy == highOccupancy {
		// The time at high occupancy includes the contention.
		demand /= factor
	}
	s.demand.add(demand)
	if stats != nil {
		stats.add(demand)
	}
}

// measuredDemand is the demand of a completed request. It is not certain if the speed
// changed near the start of a request whose speed is fixed at its start.
func (s *speedTracker) measuredDemand(it *item, stats *class) (demand float64, certain bool) {
	following := max(0, s.workClock-it.workClockAtStart)
	if !s.known || !it.startSpeed.confirmed {
		// Without reports, the elapsed time and the work clock agree.
		return following, true
	}
	atStart := max(0, float64(s.last-it.started)/it.startSpeed.factor)
	if it.startSpeed.isCertain() && stats != nil && stats.seen >= minClassSamples {
		s.speedModel.compare(atStart, following, stats.value)
	}
	if !s.speedFixedAtStart() {
		return following, true
	}
	return atStart, it.startSpeed.isCertain()
}

// serviceTime is the expected service time of the given demand if it starts now.
func (s *speedTracker) serviceTime(demand float64) time.Duration {
	atOnce := demand * s.factor
	if s.speedFixedAtStart() || atOnce <= float64(defaultSlowPeriod) {
		return time.Duration(atOnce)
	}
	left := demand - float64(defaultSlowPeriod)/s.factor
	return defaultSlowPeriod + time.Duration(left*s.persistentFactor()/max(s.typicalRate, minTypicalRate))
}

// effectiveSlowdown is how many times longer than normal a request with the mean demand
// takes if it starts now.
func (s *speedTracker) effectiveSlowdown() float64 {
	meanDemand := s.meanDemand()
	if meanDemand <= 0 {
		return s.factor
	}
	return float64(s.serviceTime(meanDemand)) / meanDemand
}

// minTime is the service time of the given demand with only the persistent slowdown.
func (s *speedTracker) minTime(demand float64) time.Duration {
	return time.Duration(demand * s.persistentFactor())
}

// ObserveSlowdown applies the slowdown reported by the backend server.
func (g *Gate) ObserveSlowdown(now time.Duration, factor float64) []Event {
	g.beginEvents(now)
	if g.disabled(mechanism.ReportedSlowdown) {
		return g.takeEvents()
	}
	g.speed.update(now, factor)
	g.confirmStartSpeeds(g.speed.factor)
	g.hintStuck(now)
	g.startWaiting(now)
	g.announce(now)
	return g.takeEvents()
}

// Speed holds the values from which a gate predicts how long requests take on its
// server.
type Speed struct {
	// Slowdown is how many times longer than normal requests take; 1 if the server does
	// not report it. Persistent is the part of the slowdown that is not expected to end
	// soon: the minimum reported in the last one and a half to two seconds.
	Slowdown, Persistent float64
	// Contention is the contention factor: how many times longer requests take when
	// nearly all slots are in use.
	Contention float64
	// MeanServiceTime is the mean service time of a request at normal speed.
	MeanServiceTime time.Duration
}

// Speed returns the values on which predictions are based.
func (g *Gate) Speed(now time.Duration) Speed {
	s := Speed{Slowdown: 1, Persistent: g.speed.persistentFactor(), Contention: g.contentionFactor(), MeanServiceTime: time.Duration(g.speed.meanDemand())}
	if g.slowdownKnown(now) {
		s.Slowdown = g.speed.factor
	}
	return s
}

// slowdownKnown reports whether the gate uses the slowdown reported by the server.
func (g *Gate) slowdownKnown(now time.Duration) bool { return g.speed.fresh(now) }

// meanServiceTime is the expected service time of one request.
func (g *Gate) meanServiceTime(now time.Duration) time.Duration {
	if g.slowdownKnown(now) {
		return g.speed.serviceTime(g.speed.meanDemand())
	}
	return g.estimate.mean(now)
}

// serviceTimeOf is the expected service time of a request when the given number of
// requests run.
func (g *Gate) serviceTimeOf(now time.Duration, r Request, running int) time.Duration {
	if !g.slowdownKnown(now) {
		return g.estimate.mean(now)
	}
	return time.Duration(g.contentionFactorAt(running) * float64(g.speed.serviceTime(g.speed.demandOf(r))))
}

// minServiceTime is the minimum service time of a request.
func (g *Gate) minServiceTime(now time.Duration, r Request) time.Duration {
	if !g.slowdownKnown(now) {
		return 0
	}
	return g.speed.minTime(g.speed.demandOf(r))
}
