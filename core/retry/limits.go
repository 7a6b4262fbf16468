package retry

import "time"

// Limits learns the time limits that the callers of a route state, and tells the requests of
// callers that come back after an earlier try of their own: what is left of their time is
// clearly less than what callers usually allow. The zero Limits knows nothing.
type Limits struct {
	// seen holds the last limits as a ring; count is the number ever seen.
	seen  [limitsKept]seenLimit
	count uint64
}

type seenLimit struct {
	at    time.Duration
	limit time.Duration
}

// MinRejectedRetryAfter and MaxRejectedRetryAfter bound the time after which the caller of a
// request that servers rejected should come back while gates have free slots. The next server
// may accept the request, so waiting longer only takes from the time in which the answer is
// worth most; callers that are given up together are spread over 40 ms.
const (
	MinRejectedRetryAfter = 20 * time.Millisecond
	MaxRejectedRetryAfter = 60 * time.Millisecond
)

const (
	// limitsKept is the number of limits that are kept, and that must have been seen before
	// a request can be told from a first try. A caller that allows less time from now on is
	// taken for one that comes back during this many requests.
	limitsKept = 20
	// limitsMaxAge is the age from which limits no longer count, except the last
	// minLimitsCounted: a route with a request in some seconds has no newer ones.
	limitsMaxAge     = 10 * time.Second
	minLimitsCounted = 8
	// upperShare is the divisor for the number of limits above the usual one. At least a
	// third of all requests are first tries, however many are refused, as callers come back
	// once or twice, so a fifth of the limits is never made of later tries only; and four
	// callers in twenty that allow more time than all others do not raise the usual limit.
	upperShare = 5
	// alikeShare is the divisor for the number of limits that must be alike for the usual
	// limit to be one that callers state exactly, and alikeSpread is by how much they may
	// differ: limits are whole milliseconds, and a caller may subtract what it has spent
	// before it sends. With 5 ms, limits spread over 100 ms were taken for exact ones.
	alikeShare  = 3
	alikeSpread = 2 * time.Millisecond
	// exactMargin is how much less a returning caller states at least if the usual limit is
	// exact. It is below MinRejectedRetryAfter, the shortest time that callers are told to
	// wait.
	exactMargin = 15 * time.Millisecond
	// spreadMargin and a spreadDivisor-th of the usual limit are the margin where callers
	// state various limits.
	spreadMargin  = 20 * time.Millisecond
	spreadDivisor = 10
)

// Observe records the time limit that the caller of a request states and reports whether the
// caller has come back.
func (l *Limits) Observe(now, limit time.Duration) (cameBack bool) {
	if l.count >= limitsKept {
		usual, exact := l.usual(now)
		margin := spreadMargin + usual/spreadDivisor
		if exact {
			margin = exactMargin
		}
		cameBack = limit < usual-margin
	}
	l.seen[l.count%limitsKept] = seenLimit{at: now, limit: limit}
	l.count++
	return cameBack
}

// usual returns the upper end of the limits seen recently, and whether it is one that callers
// state exactly.
func (l *Limits) usual(now time.Duration) (limit time.Duration, exact bool) {
	counted := l.countedAt(now)
	var highest [limitsKept/upperShare + 1]time.Duration
	for i := range counted {
		insertHighest(highest[:], l.newest(i).limit)
	}
	limit = highest[counted/upperShare]
	alike := 0
	for i := range counted {
		if (l.newest(i).limit - limit).Abs() <= alikeSpread {
			alike++
		}
	}
	return limit, alike*alikeShare >= counted
}

// newest returns the limit seen i limits before the last one.
func (l *Limits) newest(i int) seenLimit {
	return l.seen[(l.count-1-uint64(i))%limitsKept]
}

// countedAt returns the number of last limits that count.
func (l *Limits) countedAt(now time.Duration) int {
	counted := minLimitsCounted
	for counted < limitsKept && now-l.newest(counted).at < limitsMaxAge {
		counted++
	}
	return counted
}

// insertHighest inserts a limit into a list of the highest ones, in descending order.
func insertHighest(highest []time.Duration, limit time.Duration) {
	for i, h := range highest {
		if limit > h {
			copy(highest[i+1:], highest[i:])
			highest[i] = limit
			return
		}
	}
}
