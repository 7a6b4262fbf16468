package gate

import "time"

// Starting requests: how many may run at the same time, and which waiting request
// starts next.

// slots is how many requests may run now. The gate of a cold server without slowdown
// reports uses a tenth of the slots at first and adds the others over the cold period:
// the first requests on a cold server are slow and would accumulate.
func (g *Gate) slots(now time.Duration) int {
	all := g.config.Slots
	if g.speed.known {
		all = g.usefulSlots()
	}
	if !g.rampsUp(now) {
		return all
	}
	ramp := 0.1 + 0.9*float64(now-g.cold.since)/float64(g.cold.until-g.cold.since)
	return max(1, int(ramp*float64(all)))
}

// rampsUp reports whether the number of usable slots of a cold server increases
// gradually. A server that reports its slowdown needs no such ramp: with one, the gate
// would refuse requests that the server can handle.
func (g *Gate) rampsUp(now time.Duration) bool { return g.isCold(now) && !g.speed.known }

// freeSlots counts the slots without a running request.
func (g *Gate) freeSlots(now time.Duration) int { return g.slots(now) - g.running }

// canStart reports whether an arriving request may start immediately.
func (g *Gate) canStart(now time.Duration, it *item) bool {
	if g.shouldHold(now, it) {
		return false
	}
	ahead, _ := g.queue.ahead(it.rank)
	return g.startsAvailable(now, it.Request) > 0 && ahead == 0
}

// ReconsiderAfterBody decides again about a request that the gate has started but the
// driver has not yet sent to the server, because its body had to arrive first. The
// request runs, or waits if a slow period has begun or the cold-start limit has been
// reached while the body arrived: how long the request takes depends on the server's
// speed when the work begins. If the gate has been evacuated or the server's named limit
// reached meanwhile, the request is refused. The request no longer moves to a sibling, since its body would have to be
// sent a second time.
func (g *Gate) ReconsiderAfterBody(now time.Duration, h Handle) []Event {
	g.beginEvents(now)
	it := g.items[h]
	if it == nil || it.state != stateRunning {
		return g.takeEvents()
	}
	g.running--
	if !it.receiverWaits {
		g.estimate.abandon(now)
	}
	g.starts.remove(it.started)
	it.Movable = false
	if g.evacuated {
		// A body may take as long to arrive as its caller allows, far longer than the
		// time within which an evacuation must take effect.
		g.drop(it, Evacuated, 0)
		g.announce(now)
		return g.takeEvents()
	}
	if g.LimitReached(now) {
		g.drop(it, Limited, g.limitRetryAfter(now))
		g.announce(now)
		return g.takeEvents()
	}
	if g.closedReason() == 0 && (g.shouldHold(now, it) || g.startsLimited(now) && g.coldStartsLeft(now) == 0) {
		it.state = stateWaiting
		g.queue.push(it)
	} else {
		g.run(now, it)
	}
	g.announce(now)
	return g.takeEvents()
}

func (g *Gate) run(now time.Duration, it *item) {
	it.state, it.started, it.workClockAtStart = stateRunning, now, g.speed.workClock
	it.startSpeed, it.receiverWaits = speedAtStart{factor: g.speed.factor}, false
	g.recordStart(now)
	g.running++
	it.occupancy = lowOccupancy
	if isHighOccupancy(g.running, g.config.Slots) {
		it.occupancy = highOccupancy
		g.markMixedOccupancy(lowOccupancy)
	}
	g.estimate.start(now)
	g.emit(Event{Kind: Started, Handle: it.Handle})
}

// markMixedOccupancy marks all running requests that have the given occupancy as mixed,
// because the server's occupancy has changed while they run.
func (g *Gate) markMixedOccupancy(kind occupancy) {
	for _, other := range g.items {
		if other.state == stateRunning && other.occupancy == kind {
			other.occupancy = mixedOccupancy
		}
	}
}

// startWaiting starts waiting requests while slots are free.
func (g *Gate) startWaiting(now time.Duration) {
	for {
		if g.queue.size > 0 && g.LimitReached(now) {
			g.rejectOverLimit(now)
			return
		}
		it := g.nextToRun(now)
		if it == nil || g.startsAvailable(now, it.Request) <= 0 {
			return
		}
		g.queue.take(it)
		switch {
		case g.cannotMeetDeadline(now, it):
			g.dropTooLate(now, it)
		case g.missesAim(now, it) && g.queue.size > 0:
			g.demote(now, it)
		default:
			g.run(now, it)
		}
	}
}

// nextToRun is the first waiting request that is not held back; nil if there is none.
func (g *Gate) nextToRun(now time.Duration) *item {
	if g.queue.size == 0 {
		return nil
	}
	if first := g.queue.first(); !g.shouldHold(now, first) {
		return first
	}
	var next *item
	g.queue.each(func(it *item) {
		if next == nil && !g.shouldHold(now, it) {
			next = it
		}
	})
	return next
}
