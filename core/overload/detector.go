// Package overload detects that a process does not get enough processor time, and
// selects the requests to refuse until it does.
//
// An overloaded process reads requests late and spends its time on those whose callers
// have already timed out and retried. Refusing a request when it is read costs a small
// fraction of serving it, which leaves processor time for the remaining requests.
//
// The types do no I/O and are not safe for concurrent use. Times are durations since an
// arbitrary fixed start and must not decrease.
package overload

import "time"

const (
	// delayThreshold is the highest mean scheduling delay that does not count as an
	// overload. A request is read by a process about six times on its way, so this delay
	// adds about a tenth of a second to it.
	delayThreshold = 20 * time.Millisecond
	// window is the period over which the delay is averaged.
	window = 200 * time.Millisecond
	// minLateWindows is the number of consecutive windows with a mean delay above the
	// threshold that count as an overload. It is more than one because a single pause, such
	// as a freeze of the host, raises the mean of one window.
	minLateWindows = 2
)

// Detector detects overload from scheduling delays, such as those of a periodic timer that
// fires late.
type Detector struct {
	windowStart time.Duration
	// delayIntegral is the sum of delay²/2 over the delays of this window, in seconds
	// squared: the integral, over all arrival times within a delay, of the time left until
	// the end of the delay. Divided by the window's length, it is the mean waiting time of
	// requests that arrive at random times.
	delayIntegral float64
	meanDelay     time.Duration
	lateWindows   int
}

// Observe records that the process was not scheduled for the given delay, which ended now.
// It reports whether this completed an averaging window.
func (d *Detector) Observe(now, delay time.Duration) bool {
	d.delayIntegral += delay.Seconds() * delay.Seconds() / 2
	elapsed := now - d.windowStart
	if elapsed < window {
		return false
	}
	d.meanDelay = time.Duration(d.delayIntegral / elapsed.Seconds() * float64(time.Second))
	d.windowStart, d.delayIntegral = now, 0
	if d.meanDelay <= delayThreshold {
		d.lateWindows = 0
	} else {
		d.lateWindows++
	}
	return true
}

// Delay returns the mean time for which requests that arrived during the last completed
// window waited until the process could read them.
func (d *Detector) Delay() time.Duration { return d.meanDelay }

// Overloaded reports whether the process is short of processor time.
func (d *Detector) Overloaded() bool { return d.lateWindows >= minLateWindows }
