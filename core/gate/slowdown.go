package gate

import (
	"math"
	"time"
)

// A backend server that shares its host may say how many times longer than usual
// work takes at this moment. The figure jumps by the half second, far faster
// than completions could show it, so that it replaces the estimate where it is
// known: a request that arrives at a server which just turned seven times slower
// moves to a sibling before it runs.
const (
	// slowdownLife is how long a figure bears on decisions: a few of the intervals
	// at which the driver asks for a fresh one.
	slowdownLife = 350 * time.Millisecond
	// spell is how long a slow time is taken to last from any moment on. Slow times
	// change by the half second; a longer assumption refuses what would end in time.
	spell = 300 * time.Millisecond
	// demandGain moves the mean demand, per completion: some thirty completions.
	demandGain = 1.0 / 30
	// typicalGain moves the typical rate of progress, per second.
	typicalGain = 0.05
	// crowdedShare of the slots taken is where some servers slow down, by
	// crowdedFactor (both as the users' deployments show them).
	crowdedShare  = 0.8
	crowdedFactor = 1.5
)

// slowdown follows the figure that the server tells. It keeps a clock that runs
// as the server's work progresses, so that the demand of a request is known
// however often the speed changed while it ran.
type slowdown struct {
	factor  float64
	told    time.Duration
	known   bool
	last    time.Duration
	worked  float64 // nanoseconds of work at the usual speed
	demand  float64 // nanoseconds, mean
	typical float64 // mean rate of progress, 0 to 1
	seen    int
}

func newSlowdown(now time.Duration) slowdown {
	return slowdown{factor: 1, last: now, demand: float64(firstEstimate), typical: 1}
}

func (s *slowdown) advance(now time.Duration) {
	elapsed := float64(now - s.last)
	if elapsed <= 0 {
		return
	}
	s.last = now
	s.worked += elapsed / s.factor
	if s.known {
		weight := 1 - math.Exp(-elapsed*typicalGain/float64(time.Second))
		s.typical += (1/s.factor - s.typical) * weight
	}
}

// tell takes in a figure.
func (s *slowdown) tell(now time.Duration, factor float64) {
	s.advance(now)
	s.factor, s.told, s.known = max(1, factor), now, true
}

// fresh tells whether the figure may be relied on.
func (s *slowdown) fresh(now time.Duration) bool { return s.known && now-s.told <= slowdownLife }

// finish takes in a completed request that started when the work clock showed
// startedAt.
func (s *slowdown) finish(startedAt float64) {
	s.seen++
	gain := max(demandGain, 1/float64(s.seen))
	s.demand += (max(0, s.worked-startedAt) - s.demand) * gain
}

// expected is the time that a request of the mean demand takes from now on.
func (s *slowdown) expected() time.Duration {
	atOnce := s.demand * s.factor
	if atOnce <= float64(spell) {
		return time.Duration(atOnce)
	}
	left := s.demand - float64(spell)/s.factor
	return spell + time.Duration(left/max(s.typical, 1.0/16))
}

// Observe takes in what the backend server says of its load.
func (g *Gate) Observe(now time.Duration, factor float64) []Event {
	g.begin(now)
	g.slow.tell(now, factor)
	g.announce(now)
	return g.take()
}

// service is the time that one request is expected to take.
func (g *Gate) service(now time.Duration) time.Duration {
	if g.slow.fresh(now) && g.slow.seen > 0 {
		return g.slow.expected()
	}
	return g.estimate.mean(now)
}
