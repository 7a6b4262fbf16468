// Package gate decides which requests to one backend server run, wait, move to a
// sibling (the gate of another backend server of the same service), or are refused
// before they run.
//
// All requests to the backend server pass through its gate, so the gate knows the load
// without asking the server. A request that the gate refuses or moves has not reached
// the backend server, so it is always true when the gate reports the request as "not
// run".
//
// A Gate does no I/O, reads no clock, and is not safe for concurrent use. Times are
// durations since any fixed start and must not decrease. Methods return the resulting
// events, which the driver (the code that calls the gate and does the I/O) carries out.
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

// item is a request that waits or runs at the gate.
type item struct {
	Request
	arrived time.Duration
	started time.Duration
	// workClockAtStart is the reading of the server's work clock (see speedTracker)
	// when the request started.
	workClockAtStart float64
	// startSpeed is the server's speed when the request started.
	startSpeed speedAtStart
	// occupancy is how full the server has been since the request started.
	occupancy occupancy
	// hinted: the caller has been told of a sibling that would finish sooner.
	hinted bool
	rank   rank
	// work is the mean demand of the request's class when the request arrived, in
	// nanoseconds.
	work float64
	// responseBytes is the mean response size of the request's class when the request
	// arrived, 0 if it is not known; expectedBytes is what of it linkState.expected
	// includes.
	responseBytes, expectedBytes int64
	// responded: the response has begun.
	responded bool
	// receiverWaits: the server has waited for the receiver of the response, so that the
	// request's duration says nothing about the server's speed.
	receiverWaits bool

	byRank *rankQueue
	state  itemState

	byCaller   *callerQueue
	prev, next *item
}

// Gate is the admission state of one backend server.
type Gate struct {
	config   Config
	estimate estimator
	speed    speedTracker
	queue    rankedQueue
	history  history
	items    map[Handle]*item
	byID     map[AttemptID]*item
	running  int
	draining bool
	down     bool
	// evacuated: the operator has evacuated the server's data centre.
	evacuated bool
	cold      coldState
	limit     namedLimit
	starts    startLog
	link      linkState
	// earlierStartsAt is when this gate assumed that another one had just started requests;
	// 0 if it has not. Until unheardUntil, the gate waits for the server's first answer.
	earlierStartsAt, unheardUntil time.Duration

	outlier    outlier
	siblings   siblings
	arrivals   arrivalRate
	events     []Event
	lastRescan time.Duration
	// lastShortAt is when the last short request arrived.
	lastShortAt time.Duration
	// cachedContention is the contention factor computed by updateContention;
	// contentionFactors is a buffer reused by updateContention.
	cachedContention float64
	// slotFreeTimes is a buffer reused by freeTimes.
	slotFreeTimes     []time.Duration
	contentionFactors []float64
}

// New returns the gate of the given host.
func New(host string, config Config, now time.Duration) *Gate {
	g := &Gate{estimate: newEstimator(), speed: newSpeedTracker(now), history: newHistory(), items: map[Handle]*item{}, byID: map[AttemptID]*item{}, cachedContention: 1}
	g.estimate.last = now
	g.siblings = newSiblings(host)
	g.Configure(now, config)
	return g
}

// Configure replaces the configuration; requests in flight are not affected.
func (g *Gate) Configure(now time.Duration, config Config) []Event {
	g.beginEvents(now)
	g.config = config
	g.speed.disabled = config.Disabled
	g.siblings.budget.Set(config.ReportsPerSecond, config.BytesPerSecond)
	g.startWaiting(now)
	return g.takeEvents()
}

// disabled reports whether a mechanism is switched off.
func (g *Gate) disabled(m mechanism.Set) bool { return g.config.Disabled.Has(m) }

// beginEvents starts an empty list of events and advances the service time estimate and
// the work clock to now.
func (g *Gate) beginEvents(now time.Duration) {
	g.events = nil
	g.estimate.advance(now)
	g.speed.advance(now)
}

func (g *Gate) takeEvents() []Event {
	events := g.events
	g.events = nil
	return events
}

func (g *Gate) emit(e Event) { g.events = append(g.events, e) }

// Arrive decides whether an arriving request starts, waits, moves to a sibling or is
// refused.
func (g *Gate) Arrive(now time.Duration, r Request) []Event {
	g.beginEvents(now)
	g.arrivals.record(now)
	if g.disabled(mechanism.FairShares) {
		r.Caller = ""
	}
	it := &item{Request: r, arrived: now, work: g.speed.demandOf(r), responseBytes: g.meanResponse(r)}
	if !g.disabled(mechanism.Ranks) {
		it.rank = rank{priority: r.Priority, aim: r.Aim}
	}
	g.speed.seedDemand(r)
	if reason := g.rejectReason(now, r); reason != 0 {
		g.emit(Event{Kind: Refused, Handle: r.Handle, Reason: reason, RetryAfter: g.retryAfter(now)})
		return g.takeEvents()
	}
	if reason := g.closedReason(); reason != 0 {
		if !g.tryMove(now, it, 0) {
			g.emit(Event{Kind: Refused, Handle: r.Handle, Reason: reason, RetryAfter: g.retryAfter(now)})
		}
		return g.takeEvents()
	}
	g.admit(now, it)
	g.announce(now)
	return g.takeEvents()
}

func (g *Gate) rejectReason(now time.Duration, r Request) Reason {
	switch {
	case g.history.fenced(now, r.ID):
		return Fenced
	case g.byID[r.ID] != nil:
		return Duplicate
	case now >= r.Deadline:
		return TooLate
	}
	if _, ran := g.history.finished[r.ID]; ran {
		return Duplicate
	}
	return 0
}

// closedReason is why the gate accepts no new requests at all; 0 if it accepts them.
func (g *Gate) closedReason() Reason {
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

// Finish records the end of a running request and starts waiting requests in the slot
// that it frees.
func (g *Gate) Finish(now time.Duration, h Handle, outcome Outcome) []Event {
	g.beginEvents(now)
	it := g.items[h]
	if it == nil || it.state != stateRunning {
		return g.takeEvents()
	}
	g.running--
	if !isHighOccupancy(g.running, g.config.Slots) {
		g.markMixedOccupancy(highOccupancy)
	}
	delete(g.items, h)
	delete(g.byID, it.ID)
	g.link.forget(it)
	switch {
	case it.receiverWaits:
	case outcome == Completed:
		g.estimate.finish(now, now-it.started)
		g.speed.finish(it, it.occupancy, g.contentionFactor())
		g.updateContention()
	default:
		g.estimate.abandon(now)
	}
	if outcome != Abandoned && outcome != NotSent {
		g.outlier.record(outcome != Completed)
	}
	if outcome != NeverReached && outcome != NotSent {
		g.history.finish(it.ID, it.arrived)
	}
	g.startWaiting(now)
	g.announce(now)
	return g.takeEvents()
}

// ObserveReceiverWait records that the server waits for the receiver of a running request's
// response, for example because the host's link is full. The request keeps its slot, but the
// rest of its duration is not counted: it would be taken for a slow server.
func (g *Gate) ObserveReceiverWait(now time.Duration, h Handle) {
	it := g.items[h]
	if it == nil || it.state != stateRunning || it.receiverWaits {
		return
	}
	it.receiverWaits = true
	// The time until now is the server's. Without a completion for it, each such request would
	// raise the mean.
	g.estimate.finish(now, now-it.started)
}

// Cancel removes a request that has not started. A running request is left to the
// driver, which ends it with Finish.
func (g *Gate) Cancel(now time.Duration, h Handle) []Event {
	g.beginEvents(now)
	if it := g.items[h]; it != nil && it.state != stateRunning {
		g.drop(it, Canceled, 0)
		g.startWaiting(now)
	}
	return g.takeEvents()
}

// drop removes a request that has not started and refuses it.
func (g *Gate) drop(it *item, reason Reason, retryAfter time.Duration) {
	g.removeItem(it)
	g.emit(Event{Kind: Refused, Handle: it.Handle, Reason: reason, RetryAfter: retryAfter})
}

func (g *Gate) removeItem(it *item) {
	g.queue.remove(it)
	g.link.forget(it)
	delete(g.items, it.Handle)
	delete(g.byID, it.ID)
}

// retryAfter is how long a refused caller should wait before a retry: the expected time
// until the current queue has been served.
func (g *Gate) retryAfter(now time.Duration) time.Duration {
	return min(max(g.estimateWait(now), shortestRetryAfter), longestRetryAfter)
}

// shortestRetryAfter and longestRetryAfter limit the wait that a refused caller is told.
const shortestRetryAfter, longestRetryAfter = 10 * time.Millisecond, 5 * time.Second

// InFlight counts the requests that run or wait here.
func (g *Gate) InFlight() int { return len(g.items) }

// Load returns the current load, as reported to callers with responses and to siblings.
func (g *Gate) Load(now time.Duration) Load {
	g.estimate.advance(now)
	l := Load{
		Running: g.running, Waiting: g.queue.size, Slots: g.slots(now),
		Service: g.meanServiceTime(now), Draining: g.closedReason() != 0,
		Full:      g.queue.size >= g.config.Queue*queueFullPercent/100 && g.freeSlots(now) <= 0 || g.nearLimit(now),
		FailRatio: g.outlier.ratio, Failing: g.failing(now), Contention: g.speed.contention.localFactor(),
		LinkWait: g.linkWait(now, nil),
	}
	if g.startsLimited(now) {
		l.ColdStarts, l.StartsLeft = g.config.ColdStarts, g.coldStartsLeft(now)
	}
	if g.slowdownKnown(now) {
		l.Slowdown, l.Wait = g.speed.effectiveSlowdown(), g.estimateWait(now)
	}
	return l
}
