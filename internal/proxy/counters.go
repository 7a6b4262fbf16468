package proxy

import (
	"expvar"

	"cactuspath/internal/latency"
)

// Counters holds the metrics of calls, measured at the callers' node.
type Counters struct {
	// Answered counts the calls that got a response of a backend server, Canceled those whose
	// callers disconnected, and Truncated the responses of backend servers that ended
	// prematurely, whether another response took their place or not. Retries, Moves
	// and Hedges count the additional attempts after a failure, after a move by a gate and
	// concurrently with a stuck attempt. LostAttempts counts the attempts without a valid
	// response, SilentPeers the failed probes of silent nodes. Faults counts the fault
	// responses by kind, Revokes the revoked attempts by the gate's answer.
	Answered, Retries, Moves, LostAttempts, Canceled, Truncated, Hedges, SilentPeers expvar.Int
	Faults, Revokes                                                                  expvar.Map

	// RetriesByNeed counts the retries by the need of their requests. It stays empty unless
	// retries go by need.
	RetriesByNeed expvar.Map

	// Latency records the time from when the head of a request was read to the end of its
	// response.
	Latency *latency.Histogram
}

// NewCounters returns Counters with all metrics at zero.
func NewCounters() *Counters {
	return &Counters{Latency: latency.New()}
}
