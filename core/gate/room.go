package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Room: how many of the slots a request may take. Short ones may take more.

const (
	// shortShare is up to which part of the usual work a request is short. Calls that
	// backend servers make for a request of theirs are: while one waits, its parent
	// holds a slot, and when it is refused, what the parent has cost is lost.
	shortShare = 0.5
	// keptShare is the part of the slots that only short requests get, one in nine,
	// and one at least on a server that has fewestToKeep.
	keptShare    = 9
	fewestToKeep = 4
)

// short tells whether a request takes much less work than the usual one.
func (g *Gate) short(now time.Duration, r Request) bool {
	return g.told(now) && r.Aim > 0 && g.slow.demandOf(r) < shortShare*g.slow.usual()
}

// roomFor is how many more requests may run, if the next one is r. Short ones may
// take the slots that are left empty on a server which slows down in a crowd.
func (g *Gate) roomFor(now time.Duration, r Request) int {
	room := g.roomInSlots(now, r)
	if g.limited(now) {
		return min(room, g.coldRoom(now))
	}
	return room
}

func (g *Gate) roomInSlots(now time.Duration, r Request) int {
	switch {
	case g.rampsUp(now):
	case !g.off(mechanism.KeptSlots) && g.short(now, r):
		return g.config.Slots - g.running
	case !g.off(mechanism.KeptSlots) && g.mixed(now) && g.slots(now) == g.config.Slots:
		return g.config.Slots - kept(g.config.Slots) - g.running
	}
	return g.free(now)
}

func kept(slots int) int {
	if slots < fewestToKeep {
		return 0
	}
	return max(1, slots/keptShare)
}

// mixed tells whether short requests came lately beside the usual ones.
func (g *Gate) mixed(now time.Duration) bool {
	return g.lastShort > 0 && now-g.lastShort < shortMemory
}

// shortMemory is for how long slots are kept after a short request.
const shortMemory = 2 * time.Second
