package gate

import (
	"math"
	"sort"
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
	// lastingSpan and lastingSpans bound how far back the lasting part of a slowdown
	// is looked for: the smallest figure of one and a half to two seconds. Noise of
	// neighbours that is on for a third of the time, drawn anew each half second,
	// stays on so long once in thirty times; a server that is slow of itself shows
	// no smaller figure however long one waits.
	lastingSpan  = 500 * time.Millisecond
	lastingSpans = 4
	// demandGain moves the mean demand, per completion: some thirty completions.
	demandGain = 1.0 / 30
	// typicalGain moves the typical rate of progress, per second.
	typicalGain = 0.05
	// slowestRate bounds the typical rate of progress from below.
	slowestRate = 1.0 / 16
	// maxClasses bounds the classes of requests whose demand is kept apart.
	maxClasses = 64
	// aimOverWork is how many times the usual work an aim allows, where no request of
	// the class has completed yet: 2.6 to 4 in the users' deployments.
	aimOverWork = 3
	// classSamples is how many completions a class needs before its mean replaces
	// the guess from its aim: the first to complete are the shortest.
	classSamples = 5
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
}

// mean is a moving mean of demands in nanoseconds at the usual speed.
type mean struct {
	value float64
	seen  int
}

func (m *mean) add(v float64) {
	m.seen++
	m.value += (v - m.value) * max(demandGain, 1/float64(m.seen))
}

func newSlowdown(now time.Duration) slowdown {
	return slowdown{factor: 1, last: now, demand: mean{value: float64(firstEstimate)}, classes: map[string]*class{}, typical: 1}
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

// lasting finds the part of a slowdown that stays: the smallest of the recent
// figures. A server that is twelve times slower for ten seconds was taken to be
// its usual self again in a moment, and given requests that it could not end in
// their time.
type lasting struct {
	// minima are the smallest figures of the last spans, the newest at span.
	minima [lastingSpans]float64
	span   int64
}

// tell takes in a figure.
func (l *lasting) tell(now time.Duration, factor float64) {
	span := int64(now / lastingSpan)
	l.span = max(l.span, span-lastingSpans)
	for l.span < span {
		l.span++
		l.minima[l.span%lastingSpans] = 0
	}
	held := &l.minima[span%lastingSpans]
	if *held == 0 || factor < *held {
		*held = factor
	}
}

// least is the smallest figure of the recent spans. It is 1 until one is heard in
// each of them: less would take a short slow time for a lasting one.
func (l *lasting) least() float64 {
	least := l.minima[0]
	for _, m := range l.minima {
		least = min(least, m)
	}
	return max(1, least)
}

// heard is the smallest figure of the recent spans in which any was heard.
func (l *lasting) heard() float64 {
	least := math.Inf(1)
	for _, m := range l.minima {
		if m > 0 {
			least = min(least, m)
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return least
}

// isCold tells whether the server says that it is slow since it has just started.
func (s *slowdown) isCold() bool { return s.last < s.coldUntil && !s.off.Has(mechanism.Cold) }

// lastingFactor is the part of the slowdown that stays. A server that announced how
// long it stays cold is believed at once: during two seconds of figures that had to be
// waited for, a fleet that had just started took in what it could not end in time. Days
// that end with a loss of power earn 0.021 +- 0.010 more of their worth (16 pairs of days).
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
}

// fresh tells whether the figure may be relied on.
func (s *slowdown) fresh(now time.Duration) bool { return s.known && now-s.told <= slowdownLife }

// finish takes in a completed request that started when the work clock showed
// it.workedAt; crowding tells how full the server was while it ran, and factor what
// that costs.
func (s *slowdown) finish(it *item, crowding crowding, factor float64) {
	demand := max(0, s.worked-it.workedAt)
	usual := s.class(it.Class)
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

// compare takes a demand in to find out what a crowd costs. Its measure is the mean of
// those that ran outside a crowd: the mean of all follows the crowd on a server that
// stays full, which then looked as if a crowd cost nothing, and was filled further.
func (s *slowdown) compare(c *class, demand float64, crowding crowding) {
	if crowding == roomy {
		c.roomy.add(demand)
	}
	if c.roomy.seen > 0 {
		s.crowd.add(demand/max(c.roomy.value, 1), crowding)
	}
}

// class is what is known of the demands of one class of requests.
type class struct {
	mean
	// roomy is the mean of those that ran outside a crowd.
	roomy mean
}

// class is the mean of one class of requests; nil if too many are kept already.
func (s *slowdown) class(name string) *class {
	m := s.classes[name]
	if m == nil && len(s.classes) < maxClasses {
		m = &class{}
		s.classes[name] = m
	}
	return m
}

// guessSamples is how many completions the mean demand needs before it replaces
// the guess from aims: the first to complete are the shortest.
const guessSamples = 20

// usual is the mean demand of all requests.
func (s *slowdown) usual() float64 {
	if s.demand.seen < guessSamples && s.guess > 0 {
		return s.guess
	}
	return s.demand.value
}

// expect lets the aims of what arrives stand for the mean demand at first.
func (s *slowdown) expect(r Request) {
	if r.Aim == 0 || s.demand.seen >= guessSamples {
		return
	}
	demand := s.demandOf(r)
	if s.guess == 0 {
		s.guess = demand
	}
	s.guess += (demand - s.guess) / guessSamples
}

// demandOf is the demand of a request's class. Before one of it completed, its
// aim tells: operators set aims to a few times of the usual work.
func (s *slowdown) demandOf(r Request) float64 {
	if m := s.classes[r.Class]; m != nil && (m.seen >= classSamples || m.seen > 0 && r.Aim == 0) {
		return m.value
	}
	if r.Aim > 0 {
		return float64(r.Aim) / aimOverWork
	}
	return s.demand.value
}

// expected is the time that work of the demand takes from now on.
func (s *slowdown) expected(demand float64) time.Duration {
	atOnce := demand * s.factor
	if atOnce <= float64(spell) {
		return time.Duration(atOnce)
	}
	left := demand - float64(spell)/s.factor
	return spell + time.Duration(left*s.lastingFactor()/max(s.typical, slowestRate))
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
	g.hintStuck(now)
	g.announce(now)
	return g.take()
}

const (
	// hintGain is how many times sooner a sibling must be expected to end a request
	// anew than it ends here. A second attempt costs work and budget, so that it
	// has to gain more than a move.
	hintGain = 1.3
	// hintSlowdown is from which slowdown on running requests are looked at.
	hintSlowdown = 2.5
	// restShare is the part of a usual demand that is taken to be left of a request
	// which has had more than that already.
	restShare = 0.25
)

// hintStuck looks for requests that run on a server which turned slow under them.
// Only the gate knows that at once; the request's caller decides what follows.
func (g *Gate) hintStuck(now time.Duration) {
	if g.off(mechanism.Hints) || !g.config.Siblings || !g.told(now) || g.slow.factor < hintSlowdown {
		return
	}
	for _, it := range g.runningByHandle() {
		if !it.Repeatable || it.hinted {
			continue
		}
		usual := g.slow.demandOf(it.Request)
		left := max(restShare*usual, usual-(g.slow.worked-it.workedAt))
		here := g.slow.expected(left)
		sib, there := g.siblings.soonest(now, it)
		if sib == nil || !sib.roomy() || float64(there)*hintGain > float64(here) || now+there > it.Deadline {
			continue
		}
		it.hinted = true
		sib.sent = append(sib.sent, now)
		g.emit(Event{Kind: Hint, Handle: it.Handle, To: sib.Host})
	}
}

// hintRoom is up to which share of its slots a sibling may be taken to get second
// attempts: on a busy service they would push first ones aside.
const hintRoom = 0.7

// roomy tells whether a sibling has slots to spare.
func (s *sibling) roomy() bool {
	l := s.report.Load
	return float64(l.Running+l.Waiting+len(s.sent)) < hintRoom*float64(l.Slots)
}

func (g *Gate) runningByHandle() []*item {
	var list []*item
	for _, it := range g.items {
		if it.state == stateRunning {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Handle < list[j].Handle })
	return list
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
