package gate

import "time"

// Starts: how many requests run, and which of those that wait is next.

// slots is how many requests may run now. A cold server starts with a tenth
// and gains the rest over its cold time, since its first requests are
// slow and would pile up.
func (g *Gate) slots(now time.Duration) int {
	all := g.config.Slots
	if g.slow.known {
		all = g.usefulSlots()
	}
	if !g.rampsUp(now) {
		return all
	}
	ramp := 0.1 + 0.9*float64(now-g.cold.since)/float64(g.cold.until-g.cold.since)
	return max(1, int(ramp*float64(all)))
}

// rampsUp tells whether a cold server is filled slowly. One that tells how slow it is
// needs no guess: filling it slowly would refuse what it can do.
func (g *Gate) rampsUp(now time.Duration) bool { return g.isCold(now) && !g.slow.known }

// free counts the slots that nothing runs in.
func (g *Gate) free(now time.Duration) int { return g.slots(now) - g.running }

// starts tells whether an arriving request may run at once.
func (g *Gate) starts(now time.Duration, it *item) bool {
	if g.holds(now, it) {
		return false
	}
	ahead, _ := g.queue.ahead(it.rank)
	return g.roomFor(now, it.Request) > 0 && ahead == 0
}

// Reconsider decides anew on a request that was started and has not been sent to the
// server yet, since its body had to come first. It starts, or waits for the end of a
// slow time that began meanwhile: the server's speed counts when the work begins. It
// is not moved, since the body would have to come a second time.
func (g *Gate) Reconsider(now time.Duration, h Handle) []Event {
	g.begin(now)
	it := g.items[h]
	if it == nil || it.state != stateRunning {
		return g.take()
	}
	g.running--
	g.estimate.abandon(now)
	g.cold.undo(it.started)
	it.Movable = false
	if g.evacuated {
		// A body may take as long to come as its caller allows, far longer than an
		// evacuation may take to hold.
		g.drop(it, Evacuated, 0)
		g.announce(now)
		return g.take()
	}
	if g.closed() == 0 && (g.holds(now, it) || g.limited(now) && g.coldRoom(now) == 0) {
		it.state = stateWaiting
		g.queue.push(it)
	} else {
		g.run(now, it)
	}
	g.announce(now)
	return g.take()
}

func (g *Gate) run(now time.Duration, it *item) {
	it.state, it.started, it.workedAt = stateRunning, now, g.slow.worked
	it.pace = startPace{factor: g.slow.factor}
	g.cold.add(now, g.config.ColdStarts)
	g.running++
	it.crowding = roomy
	if isCrowd(g.running, g.config.Slots) {
		it.crowding = full
		g.mix(roomy)
	}
	g.estimate.start(now)
	g.emit(Event{Kind: Started, Handle: it.Handle})
}

// mix marks running requests of one kind as mixed: the server filled up, or
// thinned out, while they ran.
func (g *Gate) mix(kind crowding) {
	for _, other := range g.items {
		if other.state == stateRunning && other.crowding == kind {
			other.crowding = mixed
		}
	}
}

// fill starts waiting requests while slots are free.
func (g *Gate) fill(now time.Duration) {
	for {
		it := g.nextToRun(now)
		if it == nil || g.roomFor(now, it.Request) <= 0 {
			return
		}
		g.queue.take(it)
		switch {
		case g.hopeless(now, it):
			g.drop(it, TooLate, g.retryAfter(now))
		case g.missesAim(now, it) && g.queue.size > 0:
			g.demote(now, it)
		default:
			g.run(now, it)
		}
	}
}

// nextToRun is the first waiting request that is not held back; nil if there is
// none.
func (g *Gate) nextToRun(now time.Duration) *item {
	if g.queue.size == 0 {
		return nil
	}
	if first := g.queue.first(); !g.holds(now, first) {
		return first
	}
	var next *item
	g.queue.each(func(it *item) {
		if next == nil && !g.holds(now, it) {
			next = it
		}
	})
	return next
}
