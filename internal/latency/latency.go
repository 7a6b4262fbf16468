// Package latency keeps histograms of times for the metrics.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// shortest and longest bound what is told apart, in microseconds.
	shortest = 1
	longest  = int64(time.Hour / time.Microsecond)
	digits   = 2
)

// Histogram collects times. Safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// New returns an empty histogram.
func New() *Histogram { return &Histogram{histogram: hdrhistogram.New(shortest, longest, digits)} }

// Observe adds a time.
func (h *Histogram) Observe(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(min(longest, max(shortest, took.Microseconds())))
}

// Summary gives the count, quantiles and maximum since the start, microseconds.
func (h *Histogram) Summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int64{
		"count": h.histogram.TotalCount(), "p50": h.histogram.ValueAtQuantile(50), "p99": h.histogram.ValueAtQuantile(99),
		"p999": h.histogram.ValueAtQuantile(99.9), "max": h.histogram.Max(),
	}
}
