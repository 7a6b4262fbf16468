package gate

import (
	"sort"
	"time"
)

// Periodic re-evaluation of waiting requests, for changes that no other event reveals.

const (
	// rescanInterval is the minimum interval between re-evaluations of waiting
	// requests.
	rescanInterval = 2 * time.Millisecond
	rescanDivisor  = 16
)

// rescan re-evaluates the waiting requests, oldest first, since a sibling may have
// become free or this server slow since they arrived.
func (g *Gate) rescan(now time.Duration) {
	g.lastRescan = now
	for _, it := range g.oldestFirst() {
		if now >= it.Deadline || g.cannotMeetDeadline(now, it) {
			g.dropTooLate(now, it)
			continue
		}
		if !g.tryMove(now, it, g.waitingMoveGain(now)) {
			break
		}
	}
	g.demoteLate(now)
}

func (g *Gate) oldestFirst() []*item {
	list := make([]*item, 0, g.queue.size)
	g.queue.each(func(it *item) { list = append(list, it) })
	sort.Slice(list, func(i, j int) bool { return list[i].Handle < list[j].Handle })
	return list
}

// Tick re-evaluates the waiting requests and reports load changes that no request
// revealed. The driver calls it at the time given by NextTimer.
func (g *Gate) Tick(now time.Duration) []Event {
	g.beginEvents(now)
	g.rescan(now)
	g.startWaiting(now)
	g.announce(now)
	return g.takeEvents()
}

// NextTimer returns when Tick is due; ok is false if no call is needed.
func (g *Gate) NextTimer() (at time.Duration, ok bool) {
	if !g.config.Siblings || len(g.siblings.list) == 0 {
		return g.lastRescan + g.rescanSpacing(), g.queue.size > 0
	}
	refresh := g.siblings.reportedAt + max(refreshInterval, g.reportSpacing(len(g.siblings.fanout)))
	if g.queue.size > 0 {
		return min(refresh, g.lastRescan+g.rescanSpacing()), true
	}
	return refresh, true
}

// rescanSpacing is the interval between re-evaluations: a small part of the mean
// demand, since a service of long requests does not benefit from shorter intervals.
func (g *Gate) rescanSpacing() time.Duration {
	if !g.speed.known {
		return rescanInterval
	}
	return max(rescanInterval, time.Duration(g.speed.demand.value)/rescanDivisor)
}
