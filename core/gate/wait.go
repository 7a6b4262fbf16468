package gate

import (
	"slices"
	"time"

	"cactuspath/core/mechanism"
)

// Waiting on servers whose requests keep the pace of their start: when a slot will be
// free is known from what runs, and a start may be put off to the end of a slow time.

// keepsPace tells whether the gate goes by the server's figure and its requests keep
// the pace of their start.
func (g *Gate) keepsPace(now time.Duration) bool { return g.told(now) && g.slow.keepsPace() }

// remaining is how much longer a running request is expected to take.
func (g *Gate) remaining(now time.Duration, it *item) time.Duration {
	whole := g.slow.demandOf(it.Request) * it.pace.worst()
	if it.crowding == full {
		whole *= g.crowdFactor()
	}
	return time.Duration(max(restShare*whole, whole-float64(now-it.started)))
}

// waitForSlot estimates when a slot is free for a request behind a number of waiting
// ones and their work. The slots are filled in turn as they become free, no sooner
// than the slow time ends.
func (g *Gate) waitForSlot(now time.Duration, ahead int, work float64) time.Duration {
	mean := g.slow.usual()
	if ahead > 0 {
		mean = work / float64(ahead)
	}
	earliest := time.Duration(0)
	if g.slow.waitsForSpeed(mean) && !g.off(mechanism.Holds) {
		earliest = g.slow.spells.left()
	}
	each := g.slow.atBest(mean)
	free := g.freeTimes(now, earliest)
	rounds := ahead / len(free)
	for range ahead % len(free) {
		next := free[0] + each
		at, _ := slices.BinarySearch(free, next)
		at = max(1, at)
		copy(free, free[1:at])
		free[at-1] = next
	}
	return free[0] + time.Duration(rounds)*each
}

// freeTimes tells when each of the slots is free, the first one first.
func (g *Gate) freeTimes(now, earliest time.Duration) []time.Duration {
	free := g.freeAt[:0]
	for _, it := range g.items {
		if it.state == stateRunning {
			free = append(free, max(earliest, g.remaining(now, it)))
		}
	}
	slots := max(1, g.slots(now))
	for len(free) < slots {
		free = append(free, earliest)
	}
	slices.Sort(free)
	g.freeAt = free
	// More may run than slots are worth filling: those that end last free none of them.
	return free[len(free)-slots:]
}

// serviceAfter is the time that a request takes once it has waited: at the present
// pace, or after the slow time, whichever ends sooner.
func (g *Gate) serviceAfter(wait time.Duration, r Request) time.Duration {
	demand := g.slow.demandOf(r)
	crowd := g.crowdAt(g.running + 1)
	later := max(0, g.slow.spells.left()-wait) + time.Duration(crowd*float64(g.slow.atBest(demand)))
	if !g.slow.isSlow() || g.off(mechanism.Holds) {
		return time.Duration(crowd * demand * g.slow.factor)
	}
	return min(later, time.Duration(crowd*demand*g.slow.factor))
}

// holdsForSpeed tells whether a request ends sooner if it waits for the end of a slow
// time than if it starts now. A start in a slow time takes a slot for all of that
// longer. One that would so miss its deadline starts, if that is in time.
func (g *Gate) holdsForSpeed(now time.Duration, it *item) bool {
	demand := g.slow.demandOf(it.Request)
	if !g.slow.waitsForSpeed(demand) {
		return false
	}
	inTime := func(took time.Duration) bool { return now+took < it.Deadline }
	return inTime(g.slow.afterSpell(demand)) || !inTime(time.Duration(demand*g.slow.factor))
}
