package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Moves: when a sibling gets a request instead of this server.

const (
	// gainWaiting and gainFree are how many times sooner a sibling must be
	// expected to finish a request that would wait here, or that could start.
	// Lower values move on noise; higher ones leave requests at slow servers.
	gainWaiting = 1.6
	gainFree    = 1.7
	// gainTold is gainWaiting where the servers tell how slow they are: what gates
	// expect of each other is then no guess from completions.
	gainTold = 1.3
	// herdFactor stands for the other gates that move requests to the same sibling
	// at the same time and whose moves are not seen here: each own move since
	// the sibling's report counts that often. With 1 the gates herd.
	herdFactor = 3
	// awayCost and bulkyCost are what it takes to leave the caller's data centre:
	// an answer of 5 KB is worth a fifteenth of its request, an upload of 60 KB a
	// third, by the users' prices.
	awayCost  = 15 * time.Millisecond
	bulkyCost = 150 * time.Millisecond
)

// cost stands for the bytes that a request and its answer take between data
// centres, as a time: what a caller gains by less than that is not worth them.
func (s *siblings) cost(sib *sibling, it *item) time.Duration {
	if it == nil || it.From == "" || sib.DataCenter == "" || sib.DataCenter == it.From {
		return 0
	}
	if it.Bulky {
		return bulkyCost
	}
	return awayCost
}

// soonest is the sibling expected to finish a request first, travel included. Without
// a request it is for the usual one.
func (g *Gate) soonest(now time.Duration, it *item) (best *sibling, finish time.Duration) {
	for _, sib := range g.siblings.list {
		if !sib.fresh(now) || !sib.report.Load.open() {
			continue
		}
		f := g.finishAt(sib, it) + 2*sib.Distance + g.siblings.cost(sib, it)
		if best == nil || f < finish {
			best, finish = sib, f
		}
	}
	return best, finish
}

// finishAt is how long a sibling is expected to take for a request. Where servers tell
// their speed, the work is that of the request's own class: a call of 160 ms looked as
// slow at a fast sibling whose usual request takes 900 ms as at a slow server here, and
// stayed.
func (g *Gate) finishAt(sib *sibling, it *item) time.Duration {
	l := sib.report.Load
	extra := herdFactor * len(sib.sent)
	if it == nil || l.Slowdown == 0 || !g.slow.known {
		return l.finishIn(extra)
	}
	return l.waitIn(extra) + time.Duration(g.slow.demandOf(it.Request)*l.Slowdown)
}

// waitingGain is how many times sooner a sibling must finish a request that waits.
func (g *Gate) waitingGain(now time.Duration) float64 {
	if g.told(now) {
		return gainTold
	}
	return gainWaiting
}

// rebind moves a request when a sibling is expected to finish it gain times
// sooner. A server that is leaving or cannot be reached moves everything, one
// that fails where its siblings do not all but a trial.
func (g *Gate) rebind(now time.Duration, it *item, gain float64) bool {
	if !g.config.Siblings || !it.Movable {
		return false
	}
	sib, there := g.soonest(now, it)
	if sib == nil {
		return false
	}
	forced := g.closed() != 0 || g.failing(now) && !g.outlier.trial(now)
	if !forced && g.off(mechanism.Moves) {
		return false
	}
	if !forced && float64(there)*gain > float64(g.finishIn(now, it)) {
		return false
	}
	sib.sent = append(sib.sent, now)
	g.forget(it)
	g.emit(Event{Kind: Moved, Handle: it.Handle, To: sib.Host})
	return true
}

// fullEverywhere tells whether the siblings that this gate knows of are as busy
// as it is, so that trying one of them would only add to the load.
func (g *Gate) fullEverywhere(now time.Duration) bool {
	if g.off(mechanism.Everywhere) {
		return false
	}
	known := false
	for _, sib := range g.siblings.list {
		known = known || sib.fresh(now)
	}
	sib, there := g.soonest(now, nil)
	return known && (sib == nil || float64(there)*g.waitingGain(now) > float64(g.wait(now)+g.service(now)))
}
