package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Aims: which waiting requests can still be in time, and what becomes of the others.

// demote puts a request that misses its aim behind those that can still be in
// time. One for which there is no room there is refused now: it would wait for
// slots that others get, and be refused later.
func (g *Gate) demote(now time.Duration, it *item) {
	g.queue.remove(it)
	it.rank.late = true
	if g.queue.late >= g.lateRoom(now) {
		g.drop(it, QueueFull, g.retryAfter(now))
		return
	}
	g.queue.push(it)
}

// hopeless tells whether a waiting request cannot end before its deadline, even
// if it started now and the server were at its best.
func (g *Gate) hopeless(now time.Duration, it *item) bool {
	return now+g.shortest(now, it.Request) >= it.Deadline
}

// aimMargin is how many times its usual work a waiting request needs before its
// aim. What the mean allows just so, half of the requests miss: work varies by a
// third, and a request calls others or its server turns slow under it. Refused or
// put behind, they leave the slot to one that makes it.
const aimMargin = 2.4

// missesAim tells whether a waiting request is not likely to be answered within
// its aim if it started now.
func (g *Gate) missesAim(now time.Duration, it *item) bool {
	if g.off(mechanism.Aims) || it.rank.late || it.AimAt == 0 || g.short(now, it.Request) {
		return false
	}
	needs := g.margin(now) * g.crowdAt(g.running+1) * float64(g.shortest(now, it.Request))
	return now+time.Duration(needs) > it.AimAt
}

// keptMargin is aimMargin on servers whose requests keep the pace of their start: no
// slow time can catch them, so that their work alone varies. Of work that varies by a
// third, one in twenty takes 1.6 times the mean.
const keptMargin = 1.6

func (g *Gate) margin(now time.Duration) float64 {
	if g.keepsPace(now) {
		return keptMargin
	}
	return aimMargin
}

// demoteLate looks for waiting requests that no longer make their aim.
func (g *Gate) demoteLate(now time.Duration) {
	var late []*item
	g.queue.each(func(it *item) {
		if g.missesAim(now, it) {
			late = append(late, it)
		}
	})
	for _, it := range late {
		g.demote(now, it)
	}
}
