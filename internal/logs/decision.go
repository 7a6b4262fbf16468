package logs

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// usualPerSecond bounds the lines about requests that go well; failurePerSecond
	// is kept for those that do not, which are the ones that are looked for. At
	// some 250 bytes a line both are 175 KB a second.
	usualPerSecond   = 400
	failurePerSecond = 300
)

// bucket lets a number of lines pass in each second.
type bucket struct {
	perSecond int
	second    int64
	used      int
}

func (b *bucket) take(second int64) bool {
	if b.second != second {
		b.second, b.used = second, 0
	}
	b.used++
	return b.used <= b.perSecond
}

// limiter bounds the lines about requests of one process.
type limiter struct {
	mu              sync.Mutex
	usual, failures bucket
	start           time.Time
	skipped         atomic.Int64
	told            int64
}

var lines = &limiter{usual: bucket{perSecond: usualPerSecond}, failures: bucket{perSecond: failurePerSecond}, start: time.Now()}

func (l *limiter) allow(failure bool) (ok bool, skipped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	second := int64(time.Since(l.start) / time.Second)
	if failure && l.failures.take(second) || !failure && l.usual.take(second) {
		skipped = l.skipped.Load() - l.told
		l.told += skipped
		return true, skipped
	}
	l.skipped.Add(1)
	return false, 0
}

// Skipped counts the lines about requests that did not fit the bound.
func Skipped() int64 { return lines.skipped.Load() }

// Decision logs a decision that touches a request: what was decided, and what it
// rests on. Failure marks one that a caller will notice; such lines have a bound
// of their own, so that a flood of good ones does not hide them.
func Decision(failure bool, message string, keysAndValues ...any) {
	ok, skipped := lines.allow(failure)
	if skipped > 0 {
		klog.InfoSDepth(1, "Lines about requests skipped: more than the bound in a second", "lines", skipped)
	}
	if ok {
		klog.InfoSDepth(1, message, keysAndValues...)
	}
}
