package gate

import (
	"slices"
	"time"
)

// A server that has just started, or has lost its caches, is cold: it is slow, and
// crashes under more than a certain number of requests per second. Only the gate beside
// the server starts requests on it, so that this gate alone enforces the limit. Without
// the limit, a fleet that had lost power did not recover: each server crashed under its
// load, restarted cold, and crashed again.

// coldWindow is the sliding window in which the starts on a cold server are counted.
const coldWindow = time.Second

// coldState holds the server's current cold period and the recent starts.
type coldState struct {
	since, until time.Duration
	// starts holds the newest starts within coldWindow, oldest first, up to the
	// cold-start limit. They are also recorded while the server is warm, since it may
	// turn cold at any moment.
	starts []time.Duration
}

// SetCold marks the server as cold from now on for the time left; if left is 0, the
// server did not say for how long, and the configured slow start applies. The notice
// may arrive late, so it never shortens the known cold period.
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

// AssumeEarlierStarts counts half of the cold-start limit as used: the preceding
// process, about whose starts this gate knows nothing, ended less than coldWindow ago.
func (g *Gate) AssumeEarlierStarts(now time.Duration) {
	for range (g.config.ColdStarts + 1) / 2 {
		g.cold.recordStart(now, g.config.ColdStarts)
	}
}

func (g *Gate) isCold(now time.Duration) bool { return now < g.cold.until }

// startsLimited reports whether the cold-start limit applies now.
func (g *Gate) startsLimited(now time.Duration) bool { return g.config.ColdStarts > 0 && g.isCold(now) }

// recordStart records a start and keeps at most the newest most starts.
func (c *coldState) recordStart(at time.Duration, most int) {
	if most == 0 {
		return
	}
	if len(c.starts) >= most {
		c.starts = slices.Delete(c.starts, 0, len(c.starts)-most+1)
	}
	c.starts = append(c.starts, at)
}

// removeStart removes a start whose request has not been sent to the server.
func (c *coldState) removeStart(at time.Duration) {
	if i := slices.Index(c.starts, at); i >= 0 {
		c.starts = slices.Delete(c.starts, i, i+1)
	}
}

// recentStarts counts the starts in the coldWindow that ends now.
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
	// The oldest starts leave the window first. The starts that replace them leave it
	// one window later.
	rounds, place := (missing-1)/g.config.ColdStarts, (missing-1)%g.config.ColdStarts
	recentStarts := g.cold.starts[len(g.cold.starts)-g.cold.recentStarts(now):]
	next := now
	if place < len(recentStarts) {
		next = recentStarts[place]
	}
	return min(g.cold.until, next+time.Duration(rounds+1)*coldWindow) - now
}
