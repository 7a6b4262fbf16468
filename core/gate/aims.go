package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Aims (target latencies): which waiting requests can still meet their aim, and how the
// others are handled.

// demote moves a request that would miss its aim behind those that can still meet their
// aim. If the limit of late requests is reached (see maxLate), the request is refused
// now: otherwise it would wait for slots that other requests get, and be refused later.
func (g *Gate) demote(now time.Duration, it *item) {
	g.queue.remove(it)
	it.rank.late = true
	if g.queue.late >= g.maxLate(now) {
		g.drop(it, QueueFull, g.retryAfter(now))
		return
	}
	g.queue.push(it)
}

// cannotMeetDeadline reports whether a waiting request cannot finish before its
// deadline even if it starts now and the server runs at its best speed, or because of the
// host's link.
func (g *Gate) cannotMeetDeadline(now time.Duration, it *item) bool {
	return now+g.minServiceTime(now, it.Request) >= it.Deadline || g.linkTooLate(now, it)
}

// aimMargin is how many times its mean service time a waiting request must have left
// before its aim. Half of the requests with just the mean time left would miss their
// aim: service demand varies by a third, a request may call other services, and the
// server may slow down while the request runs. Such a request is refused or demoted,
// which leaves the slot to one that meets its aim.
const aimMargin = 2.4

// missesAim reports whether a waiting request would probably miss its aim if it started
// now.
func (g *Gate) missesAim(now time.Duration, it *item) bool {
	if g.disabled(mechanism.Aims) || it.rank.late || it.AimAt == 0 || g.isShort(now, it.Request) {
		return false
	}
	needs := g.workMargin(now) * g.contentionFactorAt(g.running+1) * float64(g.minServiceTime(now, it.Request))
	return now+g.finishOnLink(now, it, time.Duration(needs)) > it.AimAt
}

// fixedSpeedAimMargin replaces aimMargin on servers where a request's speed is fixed at
// its start: a later slow period does not affect the request, so that only its service
// demand varies. With a variation of a third, one request in twenty takes 1.6 times the
// mean.
const fixedSpeedAimMargin = 1.6

func (g *Gate) workMargin(now time.Duration) float64 {
	if g.speedFixedAtStart(now) {
		return fixedSpeedAimMargin
	}
	return aimMargin
}

// demoteLate demotes waiting requests that can no longer meet their aim.
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
