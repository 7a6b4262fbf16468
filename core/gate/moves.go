package gate

import (
	"slices"
	"time"

	"cactuspath/core/mechanism"
)

// Moves: when a request goes to a sibling instead of this server.

const (
	// moveGainWaiting and moveGainFree are how many times sooner a sibling must be
	// expected to finish a request for the request to move: moveGainWaiting if it would
	// wait here, moveGainFree if it could start here. With lower values, noise in the
	// estimates moves requests; with higher ones, requests stay at slow servers.
	moveGainWaiting = 1.6
	moveGainFree    = 1.7
	// moveGainReported replaces moveGainWaiting where servers report their slowdown:
	// the gates' estimates are then not derived from completions and are more reliable.
	moveGainReported = 1.3
	// herdFactor accounts for other gates that move requests to the same sibling at the
	// same time, unseen by this gate: each move by this gate since the sibling's report
	// counts that many times. With a factor of 1, the gates herd: they all move
	// requests to the same sibling.
	herdFactor = 3
	// crossDataCenterCost and crossDataCenterUploadCost are how much sooner a sibling
	// outside the caller's data centre must finish a request to justify the cost of the
	// transfer, without and with a large body. By the users' prices, the transfer of a
	// response of 5 KB costs a fifteenth of what its request is worth, that of an
	// upload of 60 KB a third.
	crossDataCenterCost       = 15 * time.Millisecond
	crossDataCenterUploadCost = 150 * time.Millisecond
)

// transferCost is the cost, as a time, of transferring a request and its response
// between data centres. A smaller gain in time does not justify the transfer.
func (s *siblings) transferCost(sib *sibling, it *item) time.Duration {
	if it == nil || it.From == "" || sib.DataCenter == "" || sib.DataCenter == it.From {
		return 0
	}
	cost := time.Duration(it.responseBytes) * transferCostPerKB / bytesPerKB
	if it.LargeBody {
		cost += crossDataCenterUploadCost
	}
	return max(crossDataCenterCost, cost)
}

// fastestSibling is the sibling expected to finish a request first, network delay
// included. With a nil item, a request with the mean demand is assumed. A request with a
// large response goes to a sibling where it meets its aim, if there is one.
func (g *Gate) fastestSibling(now time.Duration, it *item) (best *sibling, finish time.Duration) {
	bestAt := tooLate
	share := g.shareAhead(it)
	for _, sib := range g.siblings.list {
		if !sib.fresh(now) || !sib.report.Load.acceptsRequests() {
			continue
		}
		f := g.estimateFinishAt(sib, it, share) + 2*sib.Distance
		at := g.punctualityOf(now, it, f)
		f += g.siblings.transferCost(sib, it)
		if best == nil || at < bestAt || at == bestAt && f < finish {
			best, finish, bestAt = sib, f, at
		}
	}
	return best, finish
}

// estimateFinishAt is how long a sibling is expected to take for a request. Where
// servers report their slowdown, it uses the demand of the request's own class. With
// the sibling's mean service time, a call of 160 ms would look as slow at a fast
// sibling whose mean request takes 900 ms as at a slow server here, and would not be
// moved. share is the share of the sibling's queue that is served before the request.
func (g *Gate) estimateFinishAt(sib *sibling, it *item, share float64) time.Duration {
	l := sib.report.Load
	extra := herdFactor * len(sib.unreportedMoves)
	if it == nil || l.Slowdown == 0 || !g.speed.known {
		return g.finishOnLinkOf(sib, it, l.estimateFinish(extra))
	}
	wait := l.estimateWait(extra)
	if share < 1 && l.Waiting > 0 && l.estimateColdWait(extra) == 0 {
		// It waits for at least one turn.
		wait = time.Duration(float64(wait) * max(share, 1/float64(l.Waiting)))
	}
	return g.finishOnLinkOf(sib, it, wait+time.Duration(g.speed.demandOf(it.Request)*l.Slowdown))
}

// shareAhead is the share of a sibling's queue that is assumed to be served before a
// request: that of this gate's queue, since the requests of a service are spread over its
// gates alike. A reported wait is that of a request which is served last. Without the share,
// a request with a short aim stays on a slow server because patient requests, which it
// would not wait for, wait at all others.
func (g *Gate) shareAhead(it *item) float64 {
	if it == nil || !g.linkEnabled() || g.queue.size == 0 {
		return 1
	}
	work := g.queue.work()
	if work <= 0 {
		return 1
	}
	_, ahead := g.queue.ahead(it.rank)
	return min(1, ahead/work)
}

// waitingMoveGain is how many times sooner a sibling must finish a request that waits
// here.
func (g *Gate) waitingMoveGain(now time.Duration) float64 {
	if g.slowdownKnown(now) {
		return moveGainReported
	}
	return moveGainWaiting
}

// tryMove moves a request if a sibling is expected to finish it gain times sooner. A
// gate that accepts no new requests, or whose server's named limit is reached, moves all
// of them; a server that fails while its
// siblings do not keeps only an occasional request as a trial, to detect its recovery.
func (g *Gate) tryMove(now time.Duration, it *item, gain float64) bool {
	if !g.config.Siblings || !it.Movable {
		return false
	}
	sib, there := g.fastestSibling(now, it)
	if sib == nil {
		return false
	}
	forced := g.closedReason() != 0 || g.LimitReached(now) || g.failing(now) && !g.outlier.allowTrial(now)
	if !forced && g.disabled(mechanism.Moves) {
		return false
	}
	if !forced && !g.worthMoving(now, it, there, g.siblings.transferCost(sib, it), gain) {
		return false
	}
	sib.recordMove(now, it)
	g.removeItem(it)
	g.emit(Event{Kind: Moved, Handle: it.Handle, To: sib.Host})
	return true
}

// fullEverywhere reports whether the known siblings are as busy as this gate, so that
// an attempt at one of them would only add load.
func (g *Gate) fullEverywhere(now time.Duration) bool {
	if g.disabled(mechanism.SiblingsFull) {
		return false
	}
	known := false
	for _, sib := range g.siblings.list {
		known = known || sib.fresh(now)
	}
	sib, there := g.fastestSibling(now, nil)
	return known && (sib == nil || float64(there)*g.waitingMoveGain(now) > float64(g.estimateWait(now)+g.meanServiceTime(now)))
}

// siblingHasRoom reports whether the queue of a known sibling has room for a request. All
// gates of a service have queues of the same length.
func (g *Gate) siblingHasRoom(now time.Duration) bool {
	return slices.ContainsFunc(g.siblings.list, func(sib *sibling) bool {
		load := sib.report.Load
		return sib.fresh(now) && load.acceptsRequests() && load.Running+load.Waiting+len(sib.unreportedMoves) < load.Slots+g.config.Queue
	})
}
