package gate

import (
	"sort"
	"time"
)

// Waiting requests are looked at again, since nothing else may bring a change up.

const (
	// scanInterval is how often waiting requests are looked at again.
	scanInterval = 2 * time.Millisecond
	scanParts    = 16
)

// rescan looks at the waiting requests again, oldest first, since a sibling may
// have become free or this server slow since they came.
func (g *Gate) rescan(now time.Duration) {
	g.lastScan = now
	for _, it := range g.oldestFirst() {
		if now >= it.Deadline || g.hopeless(now, it) {
			g.drop(it, TooLate, g.retryAfter(now))
			continue
		}
		if !g.rebind(now, it, g.waitingGain(now)) {
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

// Tick looks at the waiting requests again and reports a change that no request
// brought up. The driver calls it when NextTimer says so.
func (g *Gate) Tick(now time.Duration) []Event {
	g.begin(now)
	g.rescan(now)
	g.fill(now)
	g.announce(now)
	return g.take()
}

// NextTimer tells when Tick is due; ok is false when nothing waits for it.
func (g *Gate) NextTimer() (at time.Duration, ok bool) {
	if !g.config.Siblings || len(g.siblings.list) == 0 {
		return g.lastScan + g.scanEvery(), g.queue.size > 0
	}
	refresh := g.siblings.reportedAt + max(refreshAfter, g.reportSpacing())
	if g.queue.size > 0 {
		return min(refresh, g.lastScan+g.scanEvery()), true
	}
	return refresh, true
}

// scanEvery spaces the looks at waiting requests: a small part of what one takes,
// since a service of long requests gains nothing from more.
func (g *Gate) scanEvery() time.Duration {
	if !g.slow.known {
		return scanInterval
	}
	return max(scanInterval, time.Duration(g.slow.demand.value)/scanParts)
}
