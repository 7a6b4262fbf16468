package gate

import (
	"slices"
	"time"

	"cactuspath/core/mechanism"
)

// Wait estimates for servers on which a request's speed is fixed at its start (see
// speedModel): the expected ends of the running requests determine when slots become
// free, and a request may be held back until a slow period ends.

// speedFixedAtStart reports whether the server's last slowdown report is recent enough
// to use and the speed of its requests is assumed to be fixed at their start.
func (g *Gate) speedFixedAtStart(now time.Duration) bool {
	return g.slowdownKnown(now) && g.speed.speedFixedAtStart()
}

// remaining is how much longer a running request is expected to take, and at least
// minRemainingShare of its expected service time.
func (g *Gate) remaining(now time.Duration, it *item) time.Duration {
	whole := g.speed.demandOf(it.Request) * it.startSpeed.slowestFactor()
	if it.occupancy == highOccupancy {
		whole *= g.contentionFactor()
	}
	return time.Duration(max(minRemainingShare*whole, whole-float64(now-it.started)))
}

// estimateFixedSpeedSlotWait estimates how long a request waits for a slot if it queues
// behind the given number of waiting requests. work is the sum of the mean demands of
// these requests, in nanoseconds. Slots are refilled in the order in which they become
// free; during a slow period they are refilled only when it ends, if a request with the
// mean demand then finishes sooner.
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

// freeTimes returns how long it takes until each slot can be refilled, in ascending
// order. No slot is refilled before earliest, which is a duration from now.
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

// serviceTimeAfter is the expected time from the end of the given wait to the end of
// the request. If the server is temporarily slow, the request starts at the current
// speed or after the slow period, whichever finishes it sooner.
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
// a slow period than if it starts now. A request that starts in a slow period occupies
// its slot for as many times longer as the server is slower. A request that would miss
// its deadline by waiting is not held if it can meet the deadline by starting now.
func (g *Gate) shouldHoldFixedSpeed(now time.Duration, it *item) bool {
	demand := g.speed.demandOf(it.Request)
	if !g.speed.fasterAfterSlowPeriod(demand) {
		return false
	}
	inTime := func(took time.Duration) bool { return now+took < it.Deadline }
	return inTime(g.speed.timeAfterSlowPeriod(demand)) || !inTime(time.Duration(demand*g.speed.factor))
}
