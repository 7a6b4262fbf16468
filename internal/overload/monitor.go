// Package overload monitors whether this process gets enough processor time, and refuses
// requests while it does not.
package overload

import (
	"context"
	"expvar"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/overload"
)

// reportInterval is the interval between log lines during an overload.
const reportInterval = time.Second

// sampleInterval is the interval between measurements of the scheduling delay. It gives
// the detector several samples per window, at a cost of a few microseconds each.
const sampleInterval = 40 * time.Millisecond

const (
	// idleSampleInterval is the interval while the process has little to do: it is woken by
	// nothing else then, and a process that is short of processor time shows it by the first
	// sample.
	idleSampleInterval = 160 * time.Millisecond
	// idleRequests is the number of requests between two samples up to which a process has
	// little to do, and busyDelay the delay from which it is watched closely.
	idleRequests = 1
	busyDelay    = 2 * time.Millisecond
)

// Monitor measures scheduling delays, that is, how late this process handles timers, and
// refuses requests during an overload. Safe for concurrent use.
type Monitor struct {
	host  string
	start time.Time

	mu       sync.Mutex
	shedder  overload.Shedder
	disabled bool
	// lastDelayed is when the delay was last above raiseGCDelay.
	lastDelayed time.Time
	gcRaised    bool
	// overloadedSince is when the current overload was detected; zero if there is none.
	overloadedSince time.Time
	// lastReport is the time of the last log line about the current overload, maxDelay its
	// longest delay.
	lastReport time.Time
	maxDelay   time.Duration
	// refusedBefore is the value of Refused when the current overload began.
	refusedBefore int64

	// lastSample is when the scheduling delay was last measured, and lastLate when it was last
	// lateDelay or longer, in nanoseconds since start.
	lastSample, lastLate atomic.Int64
	// interval is the time between the last sample and the next one, in nanoseconds.
	interval atomic.Int64
	// requests counts the requests that Admit has decided on, requestsBefore those at the last
	// sample.
	requests       atomic.Int64
	requestsBefore int64

	// Shortages counts the overloads, that is, the times when processor time became short;
	// Refused counts the requests refused during overloads.
	Shortages, Refused expvar.Int
}

// NewMonitor returns a monitor that logs under the given host name.
func NewMonitor(host string) *Monitor {
	m := &Monitor{host: host, start: time.Now()}
	m.interval.Store(int64(sampleInterval))
	return m
}

// Run measures the scheduling delay until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	interval := sampleInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		due := time.Now().Add(interval)
		timer.Reset(interval)
		select {
		case <-ctx.Done():
			m.mu.Lock()
			m.raiseGC(false)
			m.mu.Unlock()
			return
		case <-timer.C:
			// The scheduler runs a goroutine woken by a timer ahead of other runnable ones.
			// Yield, so that the measured delay includes the run queue, as for requests.
			runtime.Gosched()
			delay := time.Since(due)
			interval = m.nextInterval(delay)
			m.observe(delay)
		}
	}
}

// nextInterval returns the time until the next sample, after one with the given delay.
func (m *Monitor) nextInterval(delay time.Duration) time.Duration {
	requests := m.requests.Load()
	idle := requests-m.requestsBefore <= idleRequests && delay < busyDelay
	m.requestsBefore = requests
	next := sampleInterval
	if idle {
		next = idleSampleInterval
	}
	m.interval.Store(int64(next))
	return next
}

const (
	// lateDelay is the scheduling delay from which Delayed considers requests as read late.
	lateDelay = 50 * time.Millisecond
	// lateTime is how long after such a delay requests may still be read late.
	lateTime = time.Second
)

// Delayed reports whether a request that this process reads now may have waited unread for
// lateDelay or longer: its scheduling was that late in the last second, or the next
// measurement is that late already. A nil Monitor does not know and returns true.
func (m *Monitor) Delayed() bool {
	if m == nil {
		return true
	}
	now := time.Since(m.start)
	if now-time.Duration(m.lastSample.Load()) > time.Duration(m.interval.Load())+lateDelay {
		return true
	}
	late := time.Duration(m.lastLate.Load())
	return late > 0 && now-late < lateTime
}

func (m *Monitor) observe(delay time.Duration) {
	now := int64(time.Since(m.start))
	m.lastSample.Store(now)
	if delay >= lateDelay {
		m.lastLate.Store(now)
	}
	m.observeLoad(delay)
}

// observeLoad adjusts shedding and garbage collection to a measured delay.
func (m *Monitor) observeLoad(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.shedder.Observe(time.Since(m.start), delay) {
		return
	}
	now := time.Now()
	if m.shedder.Delay() > raiseGCDelay {
		m.lastDelayed = now
	}
	m.raiseGC(now.Sub(m.lastDelayed) < raiseGCTime)
	m.report(now)
}

// report logs the start and the end of an overload, and its state once per reportInterval.
func (m *Monitor) report(now time.Time) {
	m.maxDelay = max(m.maxDelay, m.shedder.Delay())
	switch overloaded := m.shedder.Overloaded() || m.shedder.Share() > 0; {
	case overloaded && m.overloadedSince.IsZero():
		m.overloadedSince, m.lastReport, m.maxDelay = now, now, m.shedder.Delay()
		m.refusedBefore = m.Refused.Value()
		m.Shortages.Add(1)
		klog.InfoS("Process overloaded: not enough processor time to read requests on time", "host", m.host, "delay", m.shedder.Delay(),
			"remedy", "give the process more processor time or reduce its load")
	case overloaded && now.Sub(m.lastReport) >= reportInterval:
		m.lastReport = now
		klog.InfoS("Process still overloaded", "host", m.host, "delay", m.shedder.Delay(), "share", m.shedder.Share(), "refused", m.Refused.Value()-m.refusedBefore)
	case !overloaded && !m.overloadedSince.IsZero():
		klog.InfoS("Process no longer overloaded", "host", m.host, "took", now.Sub(m.overloadedSince), "longestDelay", m.maxDelay, "refused", m.Refused.Value()-m.refusedBefore)
		m.overloadedSince = time.Time{}
	}
}

const (
	// raiseGCDelay is the delay above which the GC percentage is raised. It is below the
	// delay at which requests are refused.
	raiseGCDelay = 4 * time.Millisecond
	// raiseGCTime is how long the GC percentage stays raised after the last such delay. It
	// is several times the interval between load bursts.
	raiseGCTime = 10 * time.Second
)

// raiseGC raises the GC percentage, which saves processor time at the cost of memory, or
// restores the normal one.
func (m *Monitor) raiseGC(raise bool) {
	if raise == m.gcRaised {
		return
	}
	m.gcRaised = raise
	if raise {
		processGC.raise()
	} else {
		processGC.release()
	}
}

// SetDisabled switches refusals off or on.
func (m *Monitor) SetDisabled(disabled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disabled = disabled
}

// Admit reports whether to serve a request, given where it comes from and how important it
// is. A nil Monitor admits all requests.
func (m *Monitor) Admit(from overload.Origin, rank overload.Rank) bool {
	if m == nil {
		return true
	}
	m.requests.Add(1)
	m.mu.Lock()
	admitted := m.shedder.Admit(from, rank) || m.disabled
	m.mu.Unlock()
	if !admitted {
		m.Refused.Add(1)
	}
	return admitted
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of refused requests. Clearing a
	// backlog takes a few tenths of a second; the jitter avoids simultaneous retries.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

// RetryAfter returns a random delay after which a refused request may be retried.
func RetryAfter() time.Duration {
	return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
}

// Share returns the fraction of callers' requests that is currently refused.
func (m *Monitor) Share() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shedder.Share()
}

// Delay returns the mean scheduling delay in the last measuring window.
func (m *Monitor) Delay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shedder.Delay()
}
