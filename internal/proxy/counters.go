package proxy

import (
	"expvar"

	"cactuspath/internal/latency"
)

// Counters holds the metrics of calls, measured on the callers' side.
type Counters struct {
	Answered, Retries, Moves, LostAttempts, Canceled, Truncated, Hedges, SilentPeers expvar.Int
	Faults, Revokes                                                                  expvar.Map

	// Latency records the time from a request's head to the end of its
	// response.
	Latency *latency.Histogram
}

// NewCounters returns Counters with all metrics at zero.
func NewCounters() *Counters {
	return &Counters{Latency: latency.New()}
}
