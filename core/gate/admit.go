package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Admission: estimates how long an arriving request would wait, decides whether it is
// accepted, and chooses the request to evict in its favour.

// estimateWait estimates how long a request that joins the end of the queue now would
// wait.
func (g *Gate) estimateWait(now time.Duration) time.Duration {
	return g.estimateWaitBehind(now, g.queue.size, g.queue.work())
}

// estimateWaitBehind estimates the wait behind the given number of waiting requests and
// their total work: the time until the slots have served them and one is free.
func (g *Gate) estimateWaitBehind(now time.Duration, ahead int, work float64) time.Duration {
	return max(g.estimateColdWait(now, ahead), g.estimateSlotWait(now, ahead, work))
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

// estimateFinish estimates the total time, wait and service, of a request that arrives
// now.
func (g *Gate) estimateFinish(now time.Duration, it *item) time.Duration {
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

// checkCapacity refuses a request that does not fit in the queue or cannot finish in
// time. It refuses immediately: a refusal at the deadline would leave the caller no
// time to try another gate.
func (g *Gate) checkCapacity(now time.Duration, it *item) bool {
	if g.canStart(now, it) {
		return true
	}
	finish := now + g.estimateFinish(now, it)
	if it.AimAt > 0 && finish > it.AimAt && !g.disabled(mechanism.Aims) && !g.isShort(now, it.Request) {
		// A short request that is late keeps its rank: it costs little, and its parent
		// request may still meet its aim.
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

// maxLate is how many waiting requests may have missed their aim. They only use slots
// that no other request needs; with more of them, some would be refused after a long
// wait. On a cold server the limit is 0: a start uses up part of the limit for a
// second, and a request that could still meet its aim would find no start left.
func (g *Gate) maxLate(now time.Duration) int {
	if g.startsLimited(now) {
		return 0
	}
	return max(1, g.slots(now)/2)
}

func (g *Gate) refuse(now time.Duration, it *item, reason Reason) {
	g.emit(Event{Kind: Refused, Handle: it.Handle, Reason: reason, RetryAfter: g.retryAfter(now), SiblingsFull: g.fullEverywhere(now)})
}

// queueFullPercent is the fill level of the queue, in percent, that is reported to
// siblings as full, so that requests they have already sent still find room.
const queueFullPercent = 75

// evictionShareFactor is how many times its share a caller must hold of a full queue
// before another caller's request evicts one of its requests. With a lower value,
// callers of equal load evict each other, and refusals come late.
const evictionShareFactor = 4

// evictFor makes room in a full queue by evicting a request of a lower rank, or of the
// caller with the most waiting requests in the lowest rank, unless that is the arriving
// caller.
func (g *Gate) evictFor(now time.Duration, it *item) bool {
	last := g.queue.last()
	if last == nil {
		g.refuse(now, it, QueueFull)
		return false
	}
	longest := last.longest()
	if !it.rank.before(last.rank) && longest.length < evictionShareFactor*(last.lengthOf(it.Caller)+1) {
		g.refuse(now, it, QueueFull)
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
	canStart := g.canStart(now, it)
	gain := g.waitingMoveGain(now)
	if canStart {
		gain = moveGainFree
	}
	if g.tryMove(now, it, gain) || !g.checkCapacity(now, it) {
		return
	}
	g.items[it.Handle], g.byID[it.ID] = it, it
	if canStart {
		g.run(now, it)
		return
	}
	it.state = stateWaiting
	g.queue.push(it)
}
