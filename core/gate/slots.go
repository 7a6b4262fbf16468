package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Slot limits: how many of the slots a request may use. Short requests may use more.

const (
	// shortShare is the share of the mean demand below which a request is short. Calls
	// that backend servers make for their own requests are short: while such a call
	// waits, its parent request holds a slot, and when the call is refused, the work
	// already spent on the parent is lost.
	shortShare = 0.5
	// reservedSlotsDivisor determines the slots reserved for short requests: one in
	// nine, and at least one on a server with minSlotsToReserve slots or more.
	reservedSlotsDivisor = 9
	minSlotsToReserve    = 4
)

// isShort reports whether a request has a much smaller demand than the mean.
func (g *Gate) isShort(now time.Duration, r Request) bool {
	return g.slowdownKnown(now) && r.Aim > 0 && g.speed.demandOf(r) < shortShare*g.speed.meanDemand()
}

// startsAvailable is how many more requests may start if the next one is r. Short
// requests may use the slots that are left empty on a server that slows down at high
// occupancy.
func (g *Gate) startsAvailable(now time.Duration, r Request) int {
	available := g.slotsAvailable(now, r)
	if g.startsLimited(now) {
		available = min(available, g.coldStartsLeft(now))
	}
	if g.limit.inForce() {
		available = min(available, g.limitStartsLeft(now))
	}
	if g.awaitsFirstAnswer(now) {
		available = min(available, 1-g.running)
	}
	return available
}

func (g *Gate) slotsAvailable(now time.Duration, r Request) int {
	switch {
	case g.rampsUp(now):
	case !g.disabled(mechanism.KeptSlots) && g.isShort(now, r):
		return g.config.Slots - g.running
	case !g.disabled(mechanism.KeptSlots) && g.shortSeenRecently(now) && g.slots(now) == g.config.Slots:
		return g.config.Slots - reservedSlots(g.config.Slots) - g.running
	}
	return g.freeSlots(now)
}

func reservedSlots(slots int) int {
	if slots < minSlotsToReserve {
		return 0
	}
	return max(1, slots/reservedSlotsDivisor)
}

// shortSeenRecently reports whether short requests arrived recently among the normal
// ones.
func (g *Gate) shortSeenRecently(now time.Duration) bool {
	return g.lastShortAt > 0 && now-g.lastShortAt < reservationPeriod
}

// reservationPeriod is how long slots stay reserved after a short request arrives.
const reservationPeriod = 2 * time.Second
