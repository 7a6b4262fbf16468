package proxy

import (
	"expvar"

	"cactuspath/internal/latency"
)

// Counters holds the metrics of calls, measured on the callers' side.
type Counters struct {
	Answered, Retries, Moves, Lost, Canceled, CutShort, Hedges, Silent expvar.Int
	Faults, Revokes                                                    expvar.Map

	// Took records the time from a request's head to the end of its response.
	Took *latency.Histogram
}

// NewCounters returns Counters with all metrics at zero.
func NewCounters() *Counters {
	return &Counters{Took: latency.New()}
}
