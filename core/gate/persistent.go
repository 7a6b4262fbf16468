package gate

import (
	"math"
	"time"
)

const (
	// persistentSpan and persistentSpans set how far back the persistent part of a
	// slowdown is measured: the minimum over one and a half to two seconds. A slowdown
	// by noisy neighbours that is present a third of the time, decided at random each
	// half second, lasts that long once in thirty times; a server that is slow for a
	// reason of its own never reports a lower slowdown.
	persistentSpan  = 500 * time.Millisecond
	persistentSpans = 4
)

// persistentSlowdown tracks the persistent part of a slowdown: the minimum of the
// recent reports. Without this, a server that is twelve times slower for ten seconds
// would be expected to recover within moments, and would be given requests that it
// cannot finish in time.
type persistentSlowdown struct {
	// minima is a ring buffer of the minimum in each of the last persistentSpans spans,
	// 0 for a span without a report. span is the number of the newest span.
	minima [persistentSpans]float64
	span   int64
}

// update adds a reported slowdown.
func (l *persistentSlowdown) update(now time.Duration, factor float64) {
	span := int64(now / persistentSpan)
	l.span = max(l.span, span-persistentSpans)
	for l.span < span {
		l.span++
		l.minima[l.span%persistentSpans] = 0
	}
	minimum := &l.minima[span%persistentSpans]
	if *minimum == 0 || factor < *minimum {
		*minimum = factor
	}
}

// minimum is the smallest slowdown reported in the recent spans. It is 1 until every
// span has a report: with fewer, a short slow period would count as persistent.
func (l *persistentSlowdown) minimum() float64 {
	minimum := l.minima[0]
	for _, m := range l.minima {
		minimum = min(minimum, m)
	}
	return max(1, minimum)
}

// minimumSeen is the smallest slowdown reported in the recent spans, ignoring spans
// without reports.
func (l *persistentSlowdown) minimumSeen() float64 {
	least := math.Inf(1)
	for _, m := range l.minima {
		if m > 0 {
			least = min(least, m)
		}
	}
	if math.IsInf(least, 1) {
		return 1
	}
	return least
}
