package gate

import (
	"math"
	"time"
)

const (
	// lastingSpan and lastingSpans bound how far back the lasting part of a slowdown
	// is looked for: the smallest figure of one and a half to two seconds. Noise of
	// neighbours that is on for a third of the time, drawn anew each half second,
	// stays on so long once in thirty times; a server that is slow of itself shows
	// no smaller figure however long one waits.
	lastingSpan  = 500 * time.Millisecond
	lastingSpans = 4
)

// lasting finds the part of a slowdown that stays: the smallest of the recent
// figures. A server that is twelve times slower for ten seconds was taken to be
// its usual self again in a moment, and given requests that it could not end in
// their time.
type lasting struct {
	// minima are the smallest figures of the last spans, the newest at span.
	minima [lastingSpans]float64
	span   int64
}

// tell takes in a figure.
func (l *lasting) tell(now time.Duration, factor float64) {
	span := int64(now / lastingSpan)
	l.span = max(l.span, span-lastingSpans)
	for l.span < span {
		l.span++
		l.minima[l.span%lastingSpans] = 0
	}
	held := &l.minima[span%lastingSpans]
	if *held == 0 || factor < *held {
		*held = factor
	}
}

// least is the smallest figure of the recent spans. It is 1 until one is heard in
// each of them: less would take a short slow time for a lasting one.
func (l *lasting) least() float64 {
	least := l.minima[0]
	for _, m := range l.minima {
		least = min(least, m)
	}
	return max(1, least)
}

// heard is the smallest figure of the recent spans in which any was heard.
func (l *lasting) heard() float64 {
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
