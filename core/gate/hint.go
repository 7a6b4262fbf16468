package gate

import (
	"sort"
	"time"

	"cactuspath/core/mechanism"
)

// Hints: when the caller of a running request on a slow server is told of a sibling
// that would finish a second attempt (a hedged request) sooner.

const (
	// hintGain is how many times sooner a sibling must be expected to finish a second
	// attempt than this server finishes the first. Unlike a move, a second attempt
	// costs work and budget, so it must gain more time.
	hintGain = 1.3
	// minHintSlowdown is the slowdown from which a server is slow enough for hints for
	// its running requests and for holding back new ones.
	minHintSlowdown = 2.5
	// minRemainingShare is the share of its mean demand that a request is assumed to
	// have left once it has already received most or all of that demand.
	minRemainingShare = 0.25
)

// hintStuck sends hints for running requests that are stuck on a slow server and that a
// sibling would finish sooner. Only the gate notices immediately that its server turned
// slow; the request's caller decides whether to make a second attempt.
func (g *Gate) hintStuck(now time.Duration) {
	if g.disabled(mechanism.Hints) || !g.config.Siblings || !g.slowdownKnown(now) {
		return
	}
	for _, it := range g.runningByHandle() {
		if !it.Repeatable || it.hinted {
			continue
		}
		here := g.stuckRemaining(now, it)
		if here == 0 {
			continue
		}
		sib, there := g.fastestSibling(now, it)
		if sib == nil || !sib.hasSpareSlots() || float64(there)*hintGain > float64(here) || now+there > it.Deadline {
			continue
		}
		it.hinted = true
		sib.recordMove(now, it)
		g.emit(Event{Kind: Hint, Handle: it.Handle, To: sib.Host})
	}
}

// overdueFactor is how many times its expected service time a request must have run to
// count as stuck if the reported slowdowns do not show that it is. With a demand that
// varies by a third, one request in a hundred takes twice its mean.
const overdueFactor = 2

// stuckRemaining is how much longer a stuck running request is expected to take; 0 if
// it is not stuck.
func (g *Gate) stuckRemaining(now time.Duration, it *item) time.Duration {
	demand := g.speed.demandOf(it.Request)
	if !g.speed.speedFixedAtStart() {
		if g.speed.factor < minHintSlowdown {
			return 0
		}
		return g.speed.serviceTime(max(minRemainingShare*demand, demand-(g.speed.workClock-it.workClockAtStart)))
	}
	took := float64(now - it.started)
	slowest := demand * it.startSpeed.slowestFactor()
	switch {
	case it.startSpeed.isCertain() && it.startSpeed.factor >= minHintSlowdown*g.speed.persistentFactor():
		// The request started in a slow period because no other server was better.
		return time.Duration(max(minRemainingShare*slowest, slowest-took))
	case it.startSpeed.confirmed && it.startSpeed.slowestFactor() >= minHintSlowdown*g.speed.persistentFactor() && took > 1.5*demand*min(it.startSpeed.factor, it.startSpeed.next):
		// The speed changed near the request's start, and the request has run for
		// longer than it would at the higher of the two speeds.
		return time.Duration(max(minRemainingShare*slowest, slowest-took))
	case took > overdueFactor*demand*it.startSpeed.factor:
		// The remaining time is unknown; assume that it equals the time taken so far.
		return time.Duration(took)
	}
	return 0
}

// maxHintOccupancy is the highest share of a sibling's slots in use at which it
// receives second attempts: on a busy service they would displace first attempts.
const maxHintOccupancy = 0.7

// hasSpareSlots reports whether a sibling has slots for second attempts.
func (s *sibling) hasSpareSlots() bool {
	l := s.report.Load
	return float64(l.Running+l.Waiting+len(s.unreportedMoves)) < maxHintOccupancy*float64(l.Slots)
}

func (g *Gate) runningByHandle() []*item {
	var list []*item
	for _, it := range g.items {
		if it.state == stateRunning {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Handle < list[j].Handle })
	return list
}
