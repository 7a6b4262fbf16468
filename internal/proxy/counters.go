package proxy

import (
	"expvar"

	"cactuspath/internal/latency"
)

// Counters count calls. Latencies are those of the callers' side.
type Counters struct {
	Answered, Retries, Moves, Lost, Canceled, CutShort, Hedges, Silent expvar.Int
	Faults, Revokes                                                    expvar.Map

	// Took is the time from a request's head to the end of its answer.
	Took *latency.Histogram
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{Took: latency.New()}
}
