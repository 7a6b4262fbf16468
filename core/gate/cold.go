package gate

import (
	"slices"
	"time"
)

// A server that has just started, or has lost its caches, is cold: it is slow, and
// crashes under more than a certain number of requests per second. Only the gate beside
// the server starts requests on it, so that this gate alone enforces the limit. Without
// the limit, a fleet does not recover from a power loss: each server crashes under its
// load, restarts cold, and crashes again.

// coldWindow is the sliding window in which the requests started on a cold server are
// counted.
const coldWindow = time.Second

// coldState holds the server's current cold period and the times of recent request
// starts.
type coldState struct {
	since, until time.Duration
	// starts holds the times of the newest request starts, oldest first, at most as
	// many as the cold-start limit. Request starts are also recorded while the server
	// is warm, since it may turn cold at any moment.
	starts []time.Duration
}

// SetCold marks the server as cold from now on for the time left; if left is 0, the
// server did not report for how long, and Config.SlowStart applies. The server's report
// may arrive late, so SetCold never shortens the known cold period.
func (g *Gate) SetCold(now, left time.Duration) {
	if left == 0 {
		left = g.config.SlowStart
	}
	if !g.isCold(now) {
		g.cold.since = now
	}
	g.cold.until = max(g.cold.until, now+left)
	g.speed.coldUntil = g.cold.until
}

// ObserveCold applies the server's own current report of how long it stays cold. Unlike
// SetCold, it may shorten the cold period.
func (g *Gate) ObserveCold(now, left time.Duration) []Event {
	g.beginEvents(now)
	g.cold.until = min(g.cold.until, now)
	if left > 0 {
		g.SetCold(now, left)
	}
	g.speed.coldUntil = g.cold.until
	g.startWaiting(now)
	g.announce(now)
	return g.takeEvents()
}

// AssumeEarlierStarts counts half of the cold-start limit as used. It is called in a
// new gate process if the preceding one ended less than coldWindow ago: that process
// may have started requests on the server of which this gate has no record.
func (g *Gate) AssumeEarlierStarts(now time.Duration) {
	for range (g.config.ColdStarts + 1) / 2 {
		g.cold.recordStart(now, g.config.ColdStarts)
	}
}

func (g *Gate) isCold(now time.Duration) bool { return now < g.cold.until }

// startsLimited reports whether the cold-start limit applies now.
func (g *Gate) startsLimited(now time.Duration) bool { return g.config.ColdStarts > 0 && g.isCold(now) }

// recordStart records the time of a request start and discards the oldest ones, so that
// at most the given number remain.
func (c *coldState) recordStart(at time.Duration, most int) {
	if most == 0 {
		return
	}
	if len(c.starts) >= most {
		c.starts = slices.Delete(c.starts, 0, len(c.starts)-most+1)
	}
	c.starts = append(c.starts, at)
}

// removeStart removes the recorded start of a request that has not been sent to the
// server.
func (c *coldState) removeStart(at time.Duration) {
	if i := slices.Index(c.starts, at); i >= 0 {
		c.starts = slices.Delete(c.starts, i, i+1)
	}
}

// recentStarts counts the requests started in the sliding window of length coldWindow
// that ends now.
func (c *coldState) recentStarts(now time.Duration) int {
	i, _ := slices.BinarySearch(c.starts, now-coldWindow+1)
	return len(c.starts) - i
}

// coldStartsLeft is how many requests may start now on a cold server.
func (g *Gate) coldStartsLeft(now time.Duration) int {
	return max(0, g.config.ColdStarts-g.cold.recentStarts(now))
}

// estimateColdWait is how long the cold-start limit delays a request behind the given
// number of others.
func (g *Gate) estimateColdWait(now time.Duration, ahead int) time.Duration {
	if !g.startsLimited(now) {
		return 0
	}
	missing := ahead + 1 - g.coldStartsLeft(now)
	if missing <= 0 {
		return 0
	}
	// The oldest request starts leave the sliding window first. Those that replace them
	// leave it one window length later.
	rounds, place := (missing-1)/g.config.ColdStarts, (missing-1)%g.config.ColdStarts
	recentStarts := g.cold.starts[len(g.cold.starts)-g.cold.recentStarts(now):]
	next := now
	if place < len(recentStarts) {
		next = recentStarts[place]
	}
	return min(g.cold.until, next+time.Duration(rounds+1)*coldWindow) - now
}
