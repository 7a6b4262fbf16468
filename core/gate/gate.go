// Package gate decides, beside one backend server, which requests run, wait,
// move to a sibling gate, or are refused before they run.
//
// The gate sees every request to its backend server, so it knows the load
// without asking. A request that it refuses or moves never reached the backend
// server: "not run" is true by construction.
//
// A Gate is pure and not safe for concurrent use. Time is a duration since any
// fixed start and must not go back. Methods return the events that follow.
package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

type itemState int

const (
	stateWaiting itemState = iota
	stateRunning
)

type item struct {
	Request
	arrived time.Duration
	started time.Duration
	// workedAt is what the server's work clock showed at the start.
	workedAt float64
	// pace is how fast the server was at the start.
	pace startPace
	// crowding is how full the server has been since the start.
	crowding crowding
	// hinted: its caller was told of a sibling that would be sooner.
	hinted bool
	rank   rank
	// work is the usual work of its class when it arrived, in nanoseconds.
	work  float64
	home  *rankQueue
	state itemState

	queue      *callerQueue
	prev, next *item
}

// Gate is the admission state of one backend server.
type Gate struct {
	config   Config
	estimate estimator
	slow     slowdown
	queue    rankedQueue
	memory   memory
	items    map[Handle]*item
	byID     map[AttemptID]*item
	running  int
	draining bool
	down     bool
	// evacuated: the operator has emptied the server's data centre.
	evacuated bool
	cold      coldness

	outlier  outlier
	siblings siblings
	events   []Event
	lastScan time.Duration
	// lastShort is when a short request last came.
	lastShort time.Duration
	// crowdCost is what crowdFactor tells; crowdFound is scratch space for it.
	crowdCost float64
	// freeAt is scratch space for freeTimes.
	freeAt     []time.Duration
	crowdFound []float64
}

// New returns a gate named host among its siblings.
func New(host string, config Config, now time.Duration) *Gate {
	g := &Gate{estimate: newEstimator(), slow: newSlowdown(now), memory: newMemory(), items: map[Handle]*item{}, byID: map[AttemptID]*item{}, crowdCost: 1}
	g.estimate.last = now
	g.siblings = newSiblings(host)
	g.Configure(now, config)
	return g
}

// Configure changes what the estate says; requests in flight are untouched.
func (g *Gate) Configure(now time.Duration, config Config) []Event {
	g.begin(now)
	g.config = config
	g.slow.off = config.Off
	g.siblings.budget.Set(config.ReportsPerSecond, config.BytesPerSecond)
	g.fill(now)
	return g.take()
}

// off tells whether a mechanism is switched off.
func (g *Gate) off(m mechanism.Set) bool { return g.config.Off.Has(m) }

// begin starts a batch of events.
func (g *Gate) begin(now time.Duration) {
	g.events = nil
	g.estimate.advance(now)
	g.slow.advance(now)
}

func (g *Gate) take() []Event {
	events := g.events
	g.events = nil
	return events
}

func (g *Gate) emit(e Event) { g.events = append(g.events, e) }

// Arrive takes in a request.
func (g *Gate) Arrive(now time.Duration, r Request) []Event {
	g.begin(now)
	if g.off(mechanism.FairShares) {
		r.Caller = ""
	}
	it := &item{Request: r, arrived: now, work: g.slow.demandOf(r)}
	if !g.off(mechanism.Ranks) {
		it.rank = rank{priority: r.Priority, aim: r.Aim}
	}
	g.slow.expect(r)
	if reason := g.unfit(now, r); reason != 0 {
		g.emit(Event{Kind: Refused, Handle: r.Handle, Reason: reason, RetryAfter: g.retryAfter(now)})
		return g.take()
	}
	if reason := g.closed(); reason != 0 {
		if !g.rebind(now, it, 0) {
			g.emit(Event{Kind: Refused, Handle: r.Handle, Reason: reason, RetryAfter: g.retryAfter(now)})
		}
		return g.take()
	}
	g.admit(now, it)
	g.announce(now)
	return g.take()
}

func (g *Gate) unfit(now time.Duration, r Request) Reason {
	switch {
	case g.memory.fenced(now, r.ID):
		return Fenced
	case g.byID[r.ID] != nil:
		return Duplicate
	case now >= r.Deadline:
		return TooLate
	}
	if _, ran := g.memory.finished[r.ID]; ran {
		return Duplicate
	}
	return 0
}

// closed tells why the gate takes no new work at all.
func (g *Gate) closed() Reason {
	switch {
	case g.draining:
		return Draining
	case g.down:
		return Down
	case g.evacuated:
		return Evacuated
	}
	return 0
}

// Finish takes in the end of a running request.
func (g *Gate) Finish(now time.Duration, h Handle, outcome Outcome) []Event {
	g.begin(now)
	it := g.items[h]
	if it == nil || it.state != stateRunning {
		return g.take()
	}
	g.running--
	if !isCrowd(g.running, g.config.Slots) {
		g.mix(full)
	}
	delete(g.items, h)
	delete(g.byID, it.ID)
	if outcome == Completed {
		g.estimate.finish(now, now-it.started)
		g.slow.finish(it, it.crowding, g.crowdFactor())
		g.weighCrowd()
	} else {
		g.estimate.abandon(now)
	}
	if outcome != Abandoned {
		g.outlier.answer(outcome != Completed)
	}
	if outcome != NeverReached {
		g.memory.finish(it.ID, it.arrived)
	}
	g.fill(now)
	g.announce(now)
	return g.take()
}

// Cancel takes out a request that has not started; one that runs is left to
// the driver, which ends it by Finish.
func (g *Gate) Cancel(now time.Duration, h Handle) []Event {
	g.begin(now)
	if it := g.items[h]; it != nil && it.state != stateRunning {
		g.drop(it, Canceled, 0)
		g.fill(now)
	}
	return g.take()
}

// drop takes out a request that has not started.
func (g *Gate) drop(it *item, reason Reason, retryAfter time.Duration) {
	g.forget(it)
	g.emit(Event{Kind: Refused, Handle: it.Handle, Reason: reason, RetryAfter: retryAfter})
}

func (g *Gate) forget(it *item) {
	g.queue.remove(it)
	delete(g.items, it.Handle)
	delete(g.byID, it.ID)
}

// retryAfter is when a refused caller may expect room: once the queue that
// stands now has been worked off.
func (g *Gate) retryAfter(now time.Duration) time.Duration {
	const shortest, longest = 10 * time.Millisecond, 5 * time.Second
	return min(max(g.wait(now), shortest), longest)
}

// InFlight counts requests that run or wait here.
func (g *Gate) InFlight() int { return len(g.items) }

// Load is what answers and siblings are told.
func (g *Gate) Load(now time.Duration) Load {
	g.estimate.advance(now)
	l := Load{
		Running: g.running, Waiting: g.queue.size, Slots: g.slots(now),
		Service: g.service(now), Draining: g.closed() != 0,
		Full:      g.queue.size >= g.config.Queue*fullPercent/100 && g.free(now) <= 0,
		FailRatio: g.outlier.ratio, Failing: g.failing(now), Crowd: g.slow.crowd.own(),
	}
	if g.limited(now) {
		l.ColdStarts, l.StartsLeft = g.config.ColdStarts, g.coldRoom(now)
	}
	if g.told(now) {
		l.Slowdown, l.Wait = g.slow.stretch(), g.wait(now)
	}
	return l
}
