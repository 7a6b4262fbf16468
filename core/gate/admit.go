package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Admission: how long a request that arrives would wait, whether it is taken, and
// at whose cost.

// wait estimates how long a request that joins the queue now, behind all that
// wait, would wait.
func (g *Gate) wait(now time.Duration) time.Duration {
	return g.waitBehind(now, g.queue.size, g.queue.work())
}

// waitBehind estimates the wait behind a number of waiting requests and their
// work: until the slots have done that, and one of them is free.
func (g *Gate) waitBehind(now time.Duration, ahead int, work float64) time.Duration {
	return max(g.coldWait(now, ahead), g.waitForSlots(now, ahead, work))
}

// waitForSlots is the part of the wait that the slots are the reason for.
func (g *Gate) waitForSlots(now time.Duration, ahead int, work float64) time.Duration {
	if g.free(now) > 0 && ahead == 0 {
		return 0
	}
	slots := float64(max(1, g.slots(now)))
	switch {
	case g.keepsPace(now):
		return g.waitForSlot(now, ahead, work)
	case g.told(now):
		return g.slow.expected((work + g.slow.usual()) / slots)
	}
	turns := float64(ahead+1) / slots
	return time.Duration(turns * float64(g.service(now)))
}

// finishIn estimates how long a request that arrives now would take in all.
func (g *Gate) finishIn(now time.Duration, it *item) time.Duration {
	ahead, work := g.queue.ahead(it.rank)
	wait := g.waitBehind(now, ahead, work)
	if g.keepsPace(now) {
		return wait + g.serviceAfter(wait, it.Request)
	}
	return wait + g.serviceOf(now, it.Request, g.running+1)
}

// heldFactor is how many times sooner a sibling must run requests for this gate to
// hold one back: a server that noise has not struck is some four times faster than
// one that it has, over the rest of the slow time.
const heldFactor = 2

// holds tells whether a request is better off waiting than running here now: the
// server is slow at the moment, so that the request would miss its aim, and there
// is a sibling that is not. Once it runs it can move no more. While it waits it
// goes to the first sibling that has room, or runs here when the slow time is
// over; one whose aim has passed is not held.
func (g *Gate) holds(now time.Duration, it *item) bool {
	switch {
	case g.off(mechanism.Holds):
		return false
	case g.keepsPace(now):
		return g.holdsForSpeed(now, it)
	case !g.told(now) || !it.Movable || it.rank.late || now >= it.AimAt:
		return false
	case g.slow.factor < hintSlowdown*g.slow.lastingFactor():
		return false
	case now+g.serviceOf(now, it.Request, g.running+1) <= it.AimAt:
		return false
	case g.hopeless(now, it) || g.missesAim(now, it):
		return false
	}
	for _, sib := range g.siblings.list {
		if sib.fresh(now) && sib.report.Load.open() && heldFactor*sib.report.Load.Service < g.service(now) {
			return true
		}
	}
	return false
}

// room refuses a request that would not fit or not finish in time. The refusal
// is made at once: one that came only at the deadline would cost the caller
// the time to try elsewhere.
func (g *Gate) room(now time.Duration, it *item) bool {
	if g.starts(now, it) {
		return true
	}
	finish := now + g.finishIn(now, it)
	if it.AimAt > 0 && finish > it.AimAt && !g.off(mechanism.Aims) && !g.short(now, it.Request) {
		// A short one that is late keeps its place: it costs little, and its parent
		// may still be in time.
		it.rank.late = true
		finish = now + g.finishIn(now, it)
	}
	if finish > it.Deadline {
		g.refuse(now, it, TooLate)
		return false
	}
	if it.rank.late && g.queue.late >= g.lateRoom(now) {
		g.refuse(now, it, QueueFull)
		return false
	}
	if g.queue.size < g.config.Queue {
		return true
	}
	return g.pushOut(now, it)
}

// lateRoom is how many requests may wait that miss their aim. They only use
// slots that nobody else wants; more of them would be refused after a long wait. On a
// cold server there are none: a start is spent for a second, in which one that can be
// in time would find none left.
func (g *Gate) lateRoom(now time.Duration) int {
	if g.limited(now) {
		return 0
	}
	return max(1, g.slots(now)/2)
}

func (g *Gate) refuse(now time.Duration, it *item, reason Reason) {
	g.emit(Event{Kind: Refused, Handle: it.Handle, Reason: reason, RetryAfter: g.retryAfter(now), Everywhere: g.fullEverywhere(now)})
}

// fullPercent of the queue taken counts as full for siblings, so that what they
// have on the way still finds room.
const fullPercent = 75

// unfairFactor is how many times its share a caller must hold of a full queue
// before another's request takes its place. With less, callers of equal load
// push each other out, and refusals come late.
const unfairFactor = 4

// pushOut makes room in a full queue at the cost of a lower rank, or of the
// caller that holds most of the lowest one, if that is not the arriving one.
func (g *Gate) pushOut(now time.Duration, it *item) bool {
	last := g.queue.last()
	if last == nil {
		g.refuse(now, it, QueueFull)
		return false
	}
	longest := last.longest()
	if !it.rank.before(last.rank) && longest.length < unfairFactor*(last.of(it.Caller)+1) {
		g.refuse(now, it, QueueFull)
		return false
	}
	g.drop(longest.tail, QueueFull, g.retryAfter(now))
	return true
}

// admit starts a request, moves it, queues it, or refuses it.
func (g *Gate) admit(now time.Duration, it *item) {
	if g.short(now, it.Request) {
		g.lastShort = max(1, now)
	}
	starts := g.starts(now, it)
	gain := g.waitingGain(now)
	if starts {
		gain = gainFree
	}
	if g.rebind(now, it, gain) || !g.room(now, it) {
		return
	}
	g.items[it.Handle], g.byID[it.ID] = it, it
	if starts {
		g.run(now, it)
		return
	}
	it.state = stateWaiting
	g.queue.push(it)
}
