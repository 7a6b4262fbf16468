package proxy

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	shortestLatency = 1
	longestLatency  = int64(time.Hour / time.Microsecond)
	latencyDigits   = 2
)

// Counters count calls. Latencies are those of the callers' side, in
// microseconds.
type Counters struct {
	Answered, Retries, Moves, Lost, Canceled, CutShort expvar.Int
	Faults, Revokes                                    expvar.Map

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{latency: hdrhistogram.New(shortestLatency, longestLatency, latencyDigits)}
}

func (c *Counters) observe(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latency.RecordValue(max(shortestLatency, took.Microseconds()))
}

// Latency gives quantiles since the start, microseconds.
func (c *Counters) Latency() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]int64{
		"count": c.latency.TotalCount(), "p50": c.latency.ValueAtQuantile(50), "p99": c.latency.ValueAtQuantile(99),
		"p999": c.latency.ValueAtQuantile(99.9), "max": c.latency.Max(),
	}
}
