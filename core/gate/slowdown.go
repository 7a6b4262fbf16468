package gate

import (
	"math"
	"time"

	"cactuspath/core/mechanism"
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
	// typicalGain moves the typical rate of progress, per second.
	typicalGain = 0.05
	// slowestRate bounds the typical rate of progress from below.
	slowestRate = 1.0 / 16
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
	demand  mean
	classes map[string]*class
	typical float64 // mean rate of progress over that of the lasting slowdown, 0 to 1
	lasting lasting
	guess   float64 // of the mean demand, from aims
	// coldUntil is the end of the cold start that the server announced.
	coldUntil time.Duration
	off       mechanism.Set
	crowd     crowd
	pace      pace
	spells    spells
}

func newSlowdown(now time.Duration) slowdown {
	return slowdown{factor: 1, last: now, demand: mean{value: float64(firstEstimate)}, classes: map[string]*class{}, typical: 1, pace: newPace()}
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
		s.typical += (s.lastingFactor()/s.factor - s.typical) * weight
	}
}

// restart forgets how slow the server was. The work clock runs on, since requests that
// run were started by it.
func (s *slowdown) restart(now time.Duration) {
	s.advance(now)
	s.factor, s.typical, s.lasting = 1, 1, lasting{}
	s.told, s.coldUntil = now-slowdownLife-1, 0
}

// isCold tells whether the server says that it is slow since it has just started.
func (s *slowdown) isCold() bool { return s.last < s.coldUntil && !s.off.Has(mechanism.Cold) }

// lastingFactor is the part of the slowdown that stays. A server that announced how
// long it stays cold is believed at once: during two seconds of figures that had to be
// waited for, a fleet that had just started took in what it could not end in time.
func (s *slowdown) lastingFactor() float64 {
	if s.off.Has(mechanism.Lasting) {
		return 1
	}
	if s.isCold() {
		return s.lasting.heard()
	}
	return s.lasting.least()
}

// tell takes in a figure.
func (s *slowdown) tell(now time.Duration, factor float64) {
	s.advance(now)
	s.factor, s.told, s.known = max(1, factor), now, true
	s.lasting.tell(now, s.factor)
	s.spells.tell(now, s.isSlow())
}

// fresh tells whether the figure may be relied on.
func (s *slowdown) fresh(now time.Duration) bool { return s.known && now-s.told <= slowdownLife }

// finish takes in a completed request that started when the work clock showed
// it.workedAt; crowding tells how full the server was while it ran, and factor what
// that costs.
func (s *slowdown) finish(it *item, crowding crowding, factor float64) {
	usual := s.class(it.Class)
	demand, certain := s.demandFrom(it, usual)
	if !certain {
		return
	}
	if s.known && usual != nil {
		// Without the server's figure a slow host would pass for a crowd.
		s.compare(usual, demand, crowding)
	}
	if crowding == full {
		// A crowded server's time says nothing of the request.
		demand /= factor
	}
	s.demand.add(demand)
	if usual != nil {
		usual.add(demand)
	}
}

// demandFrom is what a completed request took at the usual speed. It is not certain
// where the speed changed near the start of one that kept the pace of its start.
func (s *slowdown) demandFrom(it *item, usual *class) (demand float64, certain bool) {
	following := max(0, s.worked-it.workedAt)
	if !s.known || !it.pace.confirmed {
		// Without figures both clocks show the same.
		return following, true
	}
	atStart := max(0, float64(s.last-it.started)/it.pace.factor)
	if it.pace.sure() && usual != nil && usual.seen >= classSamples {
		s.pace.compare(atStart, following, usual.value)
	}
	if !s.keepsPace() {
		return following, true
	}
	return atStart, it.pace.sure()
}

// expected is the time that work of the demand takes if it starts now.
func (s *slowdown) expected(demand float64) time.Duration {
	atOnce := demand * s.factor
	if s.keepsPace() || atOnce <= float64(spell) {
		return time.Duration(atOnce)
	}
	left := demand - float64(spell)/s.factor
	return spell + time.Duration(left*s.lastingFactor()/max(s.typical, slowestRate))
}

// stretch is how many times longer than usual the usual work takes that starts now.
func (s *slowdown) stretch() float64 {
	usual := s.usual()
	if usual <= 0 {
		return s.factor
	}
	return float64(s.expected(usual)) / usual
}

// atBest is the time that work of the demand takes if nothing slows the server
// but what lasts.
func (s *slowdown) atBest(demand float64) time.Duration {
	return time.Duration(demand * s.lastingFactor())
}

// Observe takes in what the backend server says of its load.
func (g *Gate) Observe(now time.Duration, factor float64) []Event {
	g.begin(now)
	if g.off(mechanism.Told) {
		return g.take()
	}
	g.slow.tell(now, factor)
	g.confirm(g.slow.factor)
	g.hintStuck(now)
	g.fill(now)
	g.announce(now)
	return g.take()
}

// Speed is what the gate goes by when it predicts how long requests take.
type Speed struct {
	// Slowdown is how many times longer than usual work takes; 1 if the server does
	// not tell. Lasting is the part of it that is taken to stay.
	Slowdown, Lasting float64
	// Crowd is how many times longer work is found to take when nearly all slots
	// are taken.
	Crowd float64
	// Usual is the mean time of a request at the usual speed.
	Usual time.Duration
}

// Speed tells what the gate predicts by.
func (g *Gate) Speed(now time.Duration) Speed {
	s := Speed{Slowdown: 1, Lasting: g.slow.lastingFactor(), Crowd: g.crowdFactor(), Usual: time.Duration(g.slow.usual())}
	if g.told(now) {
		s.Slowdown = g.slow.factor
	}
	return s
}

// told tells whether the server's own figure is what the gate goes by.
func (g *Gate) told(now time.Duration) bool { return g.slow.fresh(now) }

// service is the time that one request is expected to take.
func (g *Gate) service(now time.Duration) time.Duration {
	if g.told(now) {
		return g.slow.expected(g.slow.usual())
	}
	return g.estimate.mean(now)
}

// serviceOf is the time that a request is expected to take when the given number
// run.
func (g *Gate) serviceOf(now time.Duration, r Request, running int) time.Duration {
	if !g.told(now) {
		return g.estimate.mean(now)
	}
	return time.Duration(g.crowdAt(running) * float64(g.slow.expected(g.slow.demandOf(r))))
}

// shortest is the least time that a request can take.
func (g *Gate) shortest(now time.Duration, r Request) time.Duration {
	if !g.told(now) {
		return 0
	}
	return g.slow.atBest(g.slow.demandOf(r))
}
