package gate

import (
	"slices"
	"time"
)

// startLog holds the times of the newest request starts, oldest first. Starts are recorded
// whether or not a limit applies, since one may apply from any moment on.
type startLog struct{ times []time.Duration }

// record records a request start, and discards the oldest ones, so that at most the given
// number remain.
func (l *startLog) record(at time.Duration, most int) {
	if len(l.times) >= most {
		l.times = slices.Delete(l.times, 0, len(l.times)-most+1)
	}
	l.times = append(l.times, at)
}

// remove removes the recorded start of a request that has not been sent to the server.
func (l *startLog) remove(at time.Duration) {
	if i := slices.Index(l.times, at); i >= 0 {
		l.times = slices.Delete(l.times, i, i+1)
	}
}

// within counts the requests started in the sliding window that ends now.
func (l *startLog) within(now, window time.Duration) int {
	i, _ := slices.BinarySearch(l.times, now-window+1)
	return len(l.times) - i
}

// waitFor is how long it takes until the given number of further requests could have started
// in a sliding window with room for most, if it has room for none now.
func (l *startLog) waitFor(now time.Duration, missing, most int, window time.Duration) time.Duration {
	// The oldest request starts leave the sliding window first. Those that replace them
	// leave it one window length later.
	rounds, place := (missing-1)/most, (missing-1)%most
	recent := l.times[len(l.times)-l.within(now, window):]
	next := now
	if place < len(recent) {
		next = recent[place]
	}
	return next + time.Duration(rounds+1)*window - now
}
