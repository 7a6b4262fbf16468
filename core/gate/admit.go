package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Admission: estimating how long an arriving request would wait, deciding whether it is
// accepted, and choosing which waiting request to evict for it from a full queue.

// estimateWait estimates how long a request that joins the end of the queue now would
// wait.
func (g *Gate) estimateWait(now time.Duration) time.Duration {
	return g.estimateWaitBehind(now, g.queue.size, g.queue.work())
}

// estimateWaitBehind estimates the wait behind the given number of waiting requests:
// the time until these have been served and a slot is free. work is the sum of their
// mean demands, in nanoseconds.
func (g *Gate) estimateWaitBehind(now time.Duration, ahead int, work float64) time.Duration {
	return max(g.estimateColdWait(now, ahead), g.estimateLimitWait(now, ahead), g.estimateSlotWait(now, ahead, work))
}

// estimateSlotWait is the part of the wait caused by busy slots, as opposed to the
// cold-start limit.
func (g *Gate) estimateSlotWait(now time.Duration, ahead int, work float64) time.Duration {
	if g.freeSlots(now) > 0 && ahead == 0 {
		return 0
	}
	slots := float64(max(1, g.slots(now)))
	switch {
	case g.speedFixedAtStart(now):
		return g.estimateFixedSpeedSlotWait(now, ahead, work)
	case g.slowdownKnown(now):
		return g.speed.serviceTime((work + g.speed.meanDemand()) / slots)
	}
	turns := float64(ahead+1) / slots
	return time.Duration(turns * float64(g.meanServiceTime(now)))
}

// estimateFinish estimates the total time of a request that arrives now: wait, service and,
// for a large response, the time on the host's link.
func (g *Gate) estimateFinish(now time.Duration, it *item) time.Duration {
	return g.finishOnLink(now, it, g.estimateServerFinish(now, it))
}

// estimateServerFinish estimates the wait and the service time of a request that arrives
// now.
func (g *Gate) estimateServerFinish(now time.Duration, it *item) time.Duration {
	ahead, work := g.queue.ahead(it.rank)
	wait := g.estimateWaitBehind(now, ahead, work)
	if g.speedFixedAtStart(now) {
		return wait + g.serviceTimeAfter(wait, it.Request)
	}
	return wait + g.serviceTimeOf(now, it.Request, g.running+1)
}

// minHoldSpeedup is how many times shorter a sibling's service time must be for this
// gate to hold a request back. A server not affected by noisy neighbours is about four
// times faster than an affected one, averaged over the rest of the slow period.
const minHoldSpeedup = 2

// shouldHold reports whether a request is better off waiting than starting here now:
// the server is temporarily slow, so the request would miss its aim, and a sibling is
// not slow. A request that has started can no longer move. A held request goes to the
// first sibling with room, or starts here when the slow period ends. A request whose
// aim has passed is not held.
func (g *Gate) shouldHold(now time.Duration, it *item) bool {
	switch {
	case g.disabled(mechanism.Holds):
		return false
	case g.speedFixedAtStart(now):
		return g.shouldHoldFixedSpeed(now, it)
	case !g.slowdownKnown(now) || !it.Movable || it.rank.late || now >= it.AimAt:
		return false
	case g.speed.factor < minHintSlowdown*g.speed.persistentFactor():
		return false
	case now+g.serviceTimeOf(now, it.Request, g.running+1) <= it.AimAt:
		return false
	case g.cannotMeetDeadline(now, it) || g.missesAim(now, it):
		return false
	}
	for _, sib := range g.siblings.list {
		if sib.fresh(now) && sib.report.Load.acceptsRequests() && minHoldSpeedup*sib.report.Load.Service < g.meanServiceTime(now) {
			return true
		}
	}
	return false
}

// checkCapacity reports whether a request is accepted. It refuses one that does not fit
// in the queue or cannot finish before its deadline, and does so immediately: a refusal
// at the deadline would leave the caller no time to try another gate.
func (g *Gate) checkCapacity(now time.Duration, it *item) bool {
	if g.refuseForLink(now, it) {
		return false
	}
	if g.canStart(now, it) {
		return true
	}
	finish := now + g.estimateFinish(now, it)
	if it.AimAt > 0 && finish > it.AimAt && !g.disabled(mechanism.Aims) && !g.isShort(now, it.Request) {
		// A short request that will miss its aim keeps its rank: it costs little, and
		// its parent request may still meet its aim.
		it.rank.late = true
		finish = now + g.estimateFinish(now, it)
	}
	if finish > it.Deadline {
		g.refuse(now, it, TooLate)
		return false
	}
	if it.rank.late && g.queue.late >= g.maxLate(now) {
		g.refuse(now, it, QueueFull)
		return false
	}
	if g.queue.size < g.config.Queue {
		return true
	}
	return g.evictFor(now, it)
}

// maxLate is how many requests that will miss their aim may wait. They only use slots
// that no other request needs; with more of them, some would be refused after a long
// wait. On a cold server with a cold-start limit the number is 0: each request started
// uses up part of the cold-start limit for a second, and a request that could still
// meet its aim could not start.
func (g *Gate) maxLate(now time.Duration) int {
	if g.startsLimited(now) {
		return 0
	}
	return max(1, g.slots(now)/2)
}

func (g *Gate) refuse(now time.Duration, it *item, reason Reason) {
	g.emit(Event{Kind: Refused, Handle: it.Handle, Reason: reason, RetryAfter: g.retryAfter(now), SiblingsFull: g.fullEverywhere(now)})
}

// refuseForQueue refuses a request for which the queue has no room. A sibling whose queue
// has room would accept it, even if the request waits as long there.
func (g *Gate) refuseForQueue(now time.Duration, it *item) {
	g.emit(Event{Kind: Refused, Handle: it.Handle, Reason: QueueFull, RetryAfter: g.retryAfter(now), SiblingsFull: !g.siblingHasRoom(now) && g.fullEverywhere(now)})
}

// queueFullPercent is the fill level of the queue, in percent, from which the gate
// reports itself as full to its siblings. The rest of the queue is for requests that
// siblings have sent before they received that report.
const queueFullPercent = 75

// evictionShareFactor is how many times as many requests as another caller a caller
// must have in a full queue before a request of the other caller evicts one of them.
// With a lower value, callers of equal load evict each other's requests, which are then
// refused only after a wait.
const evictionShareFactor = 4

// evictFor makes room for an arriving request in a full queue and reports whether it
// could. It evicts the newest request of the caller with the most waiting requests in
// the lowest rank, if the arriving request has a higher rank or that caller exceeds the
// share of the arriving request's caller by evictionShareFactor. Otherwise it refuses
// the arriving request.
func (g *Gate) evictFor(now time.Duration, it *item) bool {
	last := g.queue.last()
	if last == nil {
		g.refuseForQueue(now, it)
		return false
	}
	longest := last.longest()
	if !it.rank.before(last.rank) && longest.length < evictionShareFactor*(last.lengthOf(it.Caller)+1) {
		g.refuseForQueue(now, it)
		return false
	}
	g.drop(longest.tail, QueueFull, g.retryAfter(now))
	return true
}

// admit starts, moves, queues or refuses a request.
func (g *Gate) admit(now time.Duration, it *item) {
	if g.isShort(now, it.Request) {
		g.lastShortAt = max(1, now)
	}
	if g.LimitReached(now) {
		if !g.tryMove(now, it, 0) {
			g.emit(Event{Kind: Refused, Handle: it.Handle, Reason: Limited, RetryAfter: g.limitRetryAfter(now), SiblingsFull: g.fullEverywhere(now)})
		}
		return
	}
	canStart := g.canStart(now, it)
	gain := g.waitingMoveGain(now)
	if canStart {
		gain = moveGainFree
	}
	if g.tryMove(now, it, gain) || !g.checkCapacity(now, it) {
		return
	}
	g.items[it.Handle], g.byID[it.ID] = it, it
	g.link.expect(it)
	if canStart {
		g.run(now, it)
		return
	}
	it.state = stateWaiting
	g.queue.push(it)
}
