package gate

import (
	"math"
	"strconv"
	"time"
)

// A backend server in need names in its answers how many requests per second it can handle.
// Only the gate beside the server starts requests on it, so that this gate alone enforces the
// limit for all nodes together. What exceeds it moves or is refused at once: unlike that of a
// cold server, the limit has no known end for which a request could wait.

const (
	// maxLimitCount is the largest number of request starts that is counted in one window
	// of a named limit; for a higher limit, the window is shorter.
	maxLimitCount = 1000
	// minTrialRate replaces a lower limit that only answers to requests name: without any
	// request, the gate would never learn that the server has withdrawn it.
	minTrialRate = 0.1
	// minRate is the lowest limit that is not taken for 0; it allows a request in a quarter
	// of an hour.
	minRate = 0.001
	// firstAnswerTimeout is how long a new gate process waits for the first answer of a
	// server, which may name a limit that the preceding process knew.
	firstAnswerTimeout = 300 * time.Millisecond
	// maxLimitRetryAfter bounds the time that a refused request is told to wait: the
	// server may withdraw its limit at any moment.
	maxLimitRetryAfter = 2 * time.Second
)

// Answer is what a backend server says of itself in the header of an answer.
type Answer struct {
	// Health is set for an answer to a health query.
	Health bool
	// LimitNamed is set if the answer names a limit; Limit is the number of requests per
	// second that the server accepts from all nodes together.
	LimitNamed bool
	Limit      float64
}

// namedLimit is the limit that a server names. It is in force until the newest answer of each
// kind that named it does not: servers may name a limit in one kind of answer only.
type namedLimit struct {
	rate               float64
	byHealth, byAnswer bool
	// healthNames is set once an answer to a health query has named a limit.
	healthNames bool
	// count requests may start in a sliding window.
	count  int
	window time.Duration
	// nextReturn is when the next refused request is told to come back, so that refused
	// requests do not all return at the same moment.
	nextReturn time.Duration
}

func (l *namedLimit) inForce() bool { return l.byHealth || l.byAnswer }

// ObserveAnswer applies what the backend server says of itself in an answer. It reports
// whether the limit changed.
func (g *Gate) ObserveAnswer(now time.Duration, a Answer) (changed bool, events []Event) {
	before, first := g.NamedLimit(), g.awaitsFirstAnswer(now)
	g.unheardUntil = 0
	g.limit.observe(a)
	if changed = before != g.NamedLimit(); !changed && !first {
		return false, nil
	}
	g.beginEvents(now)
	g.startWaiting(now)
	g.announce(now)
	return changed, g.takeEvents()
}

func (l *namedLimit) observe(a Answer) {
	switch {
	case a.Health:
		l.byHealth = a.LimitNamed
		if l.healthNames = l.healthNames || a.LimitNamed; l.healthNames && !a.LimitNamed {
			l.byAnswer = false
		}
	default:
		l.byAnswer = a.LimitNamed
	}
	if a.LimitNamed {
		l.set(a.Limit)
	}
}

func (l *namedLimit) set(rate float64) {
	l.rate = rate
	if !l.healthNames {
		rate = max(rate, minTrialRate)
	}
	l.count, l.window = 0, 0
	if rate >= minRate {
		l.count = int(math.Ceil(min(rate, maxLimitCount)))
		l.window = time.Duration(float64(l.count) / rate * float64(time.Second))
	}
}

// Limit is the limit that a server names, in requests per second; InForce is false if there is
// none.
type Limit struct {
	PerSecond float64
	InForce   bool
}

// String returns the limit in requests per second, or "none".
func (l Limit) String() string {
	if !l.InForce {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}

// NamedLimit returns the limit that the server names now.
func (g *Gate) NamedLimit() Limit {
	if !g.limit.inForce() {
		return Limit{}
	}
	return Limit{g.limit.rate, true}
}

// limitStartsLeft is how many requests may start now within the named limit.
func (g *Gate) limitStartsLeft(now time.Duration) int {
	if g.earlierStartsAt > 0 && now-g.earlierStartsAt < g.limit.window {
		return 0
	}
	return max(0, g.limit.count-g.starts.within(now, g.limit.window))
}

// LimitReached reports whether the server has got as many requests as it accepts, so that one
// that arrives now exceeds its named limit.
func (g *Gate) LimitReached(now time.Duration) bool {
	return g.limit.inForce() && g.limitStartsLeft(now) == 0
}

// nearLimit reports whether siblings should not move requests here: half of the limit is left
// for the requests that callers send without knowing of it.
func (g *Gate) nearLimit(now time.Duration) bool {
	return g.limit.inForce() && 2*g.limitStartsLeft(now) <= g.limit.count
}

// estimateLimitWait is how long the named limit delays a request behind the given number of
// others.
func (g *Gate) estimateLimitWait(now time.Duration, ahead int) time.Duration {
	if !g.limit.inForce() {
		return 0
	}
	missing := ahead + 1 - g.limitStartsLeft(now)
	switch {
	case missing <= 0:
		return 0
	case g.limit.count == 0:
		return maxLimitRetryAfter
	}
	return g.starts.waitFor(now, missing, g.limit.count, g.limit.window)
}

// rejectOverLimit moves or refuses the waiting requests of a server that has got as many as
// it accepts.
func (g *Gate) rejectOverLimit(now time.Duration) {
	for _, it := range g.oldestFirst() {
		if !g.tryMove(now, it, 0) {
			g.drop(it, Limited, g.limitRetryAfter(now))
		}
	}
}

// limitRetryAfter is when a request that exceeds the limit should come back. Requests that
// are refused one after the other are told to come back one after the other, as far apart as
// the limit lets them start.
func (g *Gate) limitRetryAfter(now time.Duration) time.Duration {
	at := max(now+g.estimateLimitWait(now, 0), g.limit.nextReturn)
	at = min(at, now+maxLimitRetryAfter)
	g.limit.nextReturn = at + g.limit.window/time.Duration(max(1, g.limit.count))
	return at - now
}

// AssumeEarlierStarts is called in a new gate if another one has, or may have, started
// requests on the server just before, of which this gate has no record: it counts half of the
// cold-start limit as used, takes the server's named limit as used up, and starts one request
// at a time until the server has answered once.
func (g *Gate) AssumeEarlierStarts(now time.Duration) {
	for range (g.config.ColdStarts + 1) / 2 {
		g.recordStart(now)
	}
	g.earlierStartsAt, g.unheardUntil = max(1, now), now+firstAnswerTimeout
}

// awaitsFirstAnswer reports whether a new gate process does not know yet whether the server
// names a limit.
func (g *Gate) awaitsFirstAnswer(now time.Duration) bool { return now < g.unheardUntil }

// recordStart records a request start, for all limits that apply now or may apply later.
func (g *Gate) recordStart(at time.Duration) {
	g.starts.record(at, max(maxLimitCount, g.config.ColdStarts))
}
