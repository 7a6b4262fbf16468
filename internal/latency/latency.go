// Package latency provides histograms of durations for the metrics.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicros and maxMicros limit the recorded durations. Values outside this range are
	// recorded as the limit.
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// Histogram records the distribution of durations. It is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Observe records a duration. Durations below 1 µs or above 1 hour are recorded as these
// limits.
func (h *Histogram) Observe(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(min(maxMicros, max(minMicros, took.Microseconds())))
}

// Summary returns the number of durations recorded since New, and their median, 99th and
// 99.9th percentile and maximum in microseconds, for the metrics.
func (h *Histogram) Summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int64{
		"count": h.histogram.TotalCount(), "p50": h.histogram.ValueAtQuantile(50), "p99": h.histogram.ValueAtQuantile(99),
		"p999": h.histogram.ValueAtQuantile(99.9), "max": h.histogram.Max(),
	}
}
