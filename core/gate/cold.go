package gate

import (
	"slices"
	"time"
)

// A server that has just started, or whose caches were lost, is cold: it is slow, and
// ends under more than a certain number of requests a second. The gate beside it is
// the only one that starts work there, so that it keeps the limit alone. Without it a
// fleet that lost power never came back: each server ended under what it was sent,
// came back cold, and ended again.

// coldSpan is the span in which a cold server's starts are counted.
const coldSpan = time.Second

// coldness is what is known of a server's cold time, and of the starts before now.
type coldness struct {
	since, until time.Duration
	// begun are the newest starts within coldSpan, oldest first: as many as a cold
	// server bears. They are kept while the server is warm too, since it may turn cold
	// at any moment.
	begun []time.Duration
}

// SetCold tells that the server is cold for a while from now on; left is 0 if the
// server does not say for how long, and the estate's slow start counts then. News of it
// may be late, so that it never shortens what is known.
func (g *Gate) SetCold(now, left time.Duration) {
	if left == 0 {
		left = g.config.SlowStart
	}
	if !g.isCold(now) {
		g.cold.since = now
	}
	g.cold.until = max(g.cold.until, now+left)
	g.slow.coldUntil = g.cold.until
}

// ObserveCold takes in what the server itself says at this moment of how long it stays
// cold.
func (g *Gate) ObserveCold(now, left time.Duration) []Event {
	g.begin(now)
	g.cold.until = min(g.cold.until, now)
	if left > 0 {
		g.SetCold(now, left)
	}
	g.slow.coldUntil = g.cold.until
	g.fill(now)
	g.announce(now)
	return g.take()
}

// AssumeStarts takes a part of what a cold server bears for started already: the
// process before this one, of which this gate knows nothing, ended less than coldSpan
// ago.
func (g *Gate) AssumeStarts(now time.Duration) {
	for range (g.config.ColdStarts + 1) / 2 {
		g.cold.add(now, g.config.ColdStarts)
	}
}

func (g *Gate) isCold(now time.Duration) bool { return now < g.cold.until }

// limited tells whether starts are bounded now.
func (g *Gate) limited(now time.Duration) bool { return g.config.ColdStarts > 0 && g.isCold(now) }

// add notes a start, of which the newest most are kept.
func (c *coldness) add(at time.Duration, most int) {
	if most == 0 {
		return
	}
	if len(c.begun) >= most {
		c.begun = slices.Delete(c.begun, 0, len(c.begun)-most+1)
	}
	c.begun = append(c.begun, at)
}

// undo takes back a start whose request has not been sent.
func (c *coldness) undo(at time.Duration) {
	if i := slices.Index(c.begun, at); i >= 0 {
		c.begun = slices.Delete(c.begun, i, i+1)
	}
}

// within counts the starts in the coldSpan that ends now.
func (c *coldness) within(now time.Duration) int {
	i, _ := slices.BinarySearch(c.begun, now-coldSpan+1)
	return len(c.begun) - i
}

// coldRoom is how many requests may start now on a cold server.
func (g *Gate) coldRoom(now time.Duration) int {
	return max(0, g.config.ColdStarts-g.cold.within(now))
}

// coldWait is how long the limit keeps a request waiting behind a number of others.
func (g *Gate) coldWait(now time.Duration, ahead int) time.Duration {
	if !g.limited(now) {
		return 0
	}
	missing := ahead + 1 - g.coldRoom(now)
	if missing <= 0 {
		return 0
	}
	// The oldest starts leave the span first. Those that follow them do so a span later.
	rounds, place := (missing-1)/g.config.ColdStarts, (missing-1)%g.config.ColdStarts
	within := g.cold.begun[len(g.cold.begun)-g.cold.within(now):]
	next := now
	if place < len(within) {
		next = within[place]
	}
	return min(g.cold.until, next+time.Duration(rounds+1)*coldSpan) - now
}
