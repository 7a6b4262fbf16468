package gate

import (
	"slices"
	"time"

	"cactuspath/core/mechanism"
)

// Waiting on servers where a request's speed is fixed at its start: the running
// requests determine when slots will be free, and a start may be delayed to the end of
// a slow period.

// speedFixedAtStart reports whether the gate uses the server's reports and the speed of
// its requests is fixed at their start.
func (g *Gate) speedFixedAtStart(now time.Duration) bool {
	return g.slowdownKnown(now) && g.speed.speedFixedAtStart()
}

// remaining is how much longer a running request is expected to take.
func (g *Gate) remaining(now time.Duration, it *item) time.Duration {
	whole := g.speed.demandOf(it.Request) * it.startSpeed.slowestFactor()
	if it.occupancy == highOccupancy {
		whole *= g.contentionFactor()
	}
	return time.Duration(max(minRemainingShare*whole, whole-float64(now-it.started)))
}

// estimateFixedSpeedSlotWait estimates when a slot is free for a request behind the
// given number of waiting requests and their total work. Slots are refilled in the
// order in which they become free, but not before the slow period ends.
func (g *Gate) estimateFixedSpeedSlotWait(now time.Duration, ahead int, work float64) time.Duration {
	mean := g.speed.meanDemand()
	if ahead > 0 {
		mean = work / float64(ahead)
	}
	earliest := time.Duration(0)
	if g.speed.fasterAfterSlowPeriod(mean) && !g.disabled(mechanism.Holds) {
		earliest = g.speed.slowPeriods.remaining()
	}
	each := g.speed.minTime(mean)
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

// freeTimes returns how long it takes until each slot is free, in ascending order.
func (g *Gate) freeTimes(now, earliest time.Duration) []time.Duration {
	free := g.slotFreeTimes[:0]
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
	g.slotFreeTimes = free
	// More requests may run than there are useful slots: the first ones to end do not
	// free a useful slot.
	return free[len(free)-slots:]
}

// serviceTimeAfter is the service time of a request after the given wait: at the
// current speed, or with a start after the slow period, whichever ends sooner.
func (g *Gate) serviceTimeAfter(wait time.Duration, r Request) time.Duration {
	demand := g.speed.demandOf(r)
	contention := g.contentionFactorAt(g.running + 1)
	later := max(0, g.speed.slowPeriods.remaining()-wait) + time.Duration(contention*float64(g.speed.minTime(demand)))
	if !g.speed.isSlow() || g.disabled(mechanism.Holds) {
		return time.Duration(contention * demand * g.speed.factor)
	}
	return min(later, time.Duration(contention*demand*g.speed.factor))
}

// shouldHoldFixedSpeed reports whether a request ends sooner if it waits for the end of
// a slow period than if it starts now. A start in a slow period occupies a slot for
// that much longer. A request that would miss its deadline by waiting starts now, if it
// can then meet it.
func (g *Gate) shouldHoldFixedSpeed(now time.Duration, it *item) bool {
	demand := g.speed.demandOf(it.Request)
	if !g.speed.fasterAfterSlowPeriod(demand) {
		return false
	}
	inTime := func(took time.Duration) bool { return now+took < it.Deadline }
	return inTime(g.speed.timeAfterSlowPeriod(demand)) || !inTime(time.Duration(demand*g.speed.factor))
}
