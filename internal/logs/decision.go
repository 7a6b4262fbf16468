package logs

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// routinePerSecond limits the log lines about requests without a failure. Lines about failures
	// have the separate limit failurePerSecond, so that routine lines cannot displace them: they
	// are the ones needed to investigate a failure. At about 250 bytes per line, both limits
	// together allow 175 KB per second.
	routinePerSecond = 400
	failurePerSecond = 300
)

// rateLimit allows at most perSecond lines in each second.
type rateLimit struct {
	perSecond int
	second    int64
	count     int
}

func (b *rateLimit) take(second int64) bool {
	if b.second != second {
		b.second, b.count = second, 0
	}
	b.count++
	return b.count <= b.perSecond
}

// limiter limits how many log lines about requests the process writes per second.
type limiter struct {
	mu                sync.Mutex
	routine, failures rateLimit
	start             time.Time
	skipped           atomic.Int64
	reported          int64
}

var requestLines = &limiter{routine: rateLimit{perSecond: routinePerSecond}, failures: rateLimit{perSecond: failurePerSecond}, start: time.Now()}

func (l *limiter) allow(failure bool) (ok bool, skipped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	second := int64(time.Since(l.start) / time.Second)
	if failure && l.failures.take(second) || !failure && l.routine.take(second) {
		skipped = l.skipped.Load() - l.reported
		l.reported += skipped
		return true, skipped
	}
	l.skipped.Add(1)
	return false, 0
}

// Skipped returns the number of log lines about requests that were not written because they
// exceeded the limits.
func Skipped() int64 { return requestLines.skipped.Load() }

// Decision logs a decision about a request, with the data on which it is based as keys and values,
// unless the limit of lines per second is reached. Set failure for decisions that make a request
// fail or otherwise affect its caller. These have a separate limit, so that many routine lines do
// not suppress them.
func Decision(failure bool, message string, keysAndValues ...any) {
	ok, skipped := requestLines.allow(failure)
	if skipped > 0 {
		klog.InfoSDepth(1, "Lines about requests skipped: more than the bound in a second", "lines", skipped)
	}
	if ok {
		klog.InfoSDepth(1, message, keysAndValues...)
	}
}
