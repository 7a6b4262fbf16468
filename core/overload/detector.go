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
	// delayThreshold is the highest mean delay that is not an overload. A request is read
	// about six times on its way, so this adds about a tenth of a second to it.
	delayThreshold = 20 * time.Millisecond
	// window is the period over which the delay is averaged.
	window = 200 * time.Millisecond
	// minLateWindows is the number of consecutive windows over the threshold that count as
	// an overload. A single pause, such as a freeze of the host, makes one window late.
	minLateWindows = 2
)

// Detector detects overload from scheduling delays.
type Detector struct {
	windowStart time.Duration
	// delayIntegral is the wait until the end of a delay, integrated over the arrival times
	// in the delays of this window, in seconds squared.
	delayIntegral float64
	meanDelay     time.Duration
	lateWindows   int
}

// Observe records a period of the given length in which the process was not scheduled.
// It reports whether this completed a window.
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

// Delay returns the mean time that a request arriving during the last window waited
// until it was read.
func (d *Detector) Delay() time.Duration { return d.meanDelay }

// Overloaded reports whether the process is short of processor time.
func (d *Detector) Overloaded() bool { return d.lateWindows >= minLateWindows }
