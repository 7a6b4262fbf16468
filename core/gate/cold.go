package gate

import "time"

// A server that has just started, or has lost its caches, is cold: it is slow, and
// crashes under more than a certain number of requests per second. Only the gate beside
// the server starts requests on it, so that this gate alone enforces the limit. Without
// the limit, a fleet does not recover from a power loss: each server crashes under its
// load, restarts cold, and crashes again.

// coldWindow is the sliding window in which the requests started on a cold server are
// counted.
const coldWindow = time.Second

// coldState holds the server's current cold period.
type coldState struct{ since, until time.Duration }

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

func (g *Gate) isCold(now time.Duration) bool { return now < g.cold.until }

// startsLimited reports whether the cold-start limit applies now.
func (g *Gate) startsLimited(now time.Duration) bool { return g.config.ColdStarts > 0 && g.isCold(now) }

// coldStartsLeft is how many requests may start now on a cold server.
func (g *Gate) coldStartsLeft(now time.Duration) int {
	return max(0, g.config.ColdStarts-g.starts.within(now, coldWindow))
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
	return min(g.cold.until-now, g.starts.waitFor(now, missing, g.config.ColdStarts, coldWindow))
}
