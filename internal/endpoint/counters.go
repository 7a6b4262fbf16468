package endpoint

import (
	"expvar"

	"cactuspath/core/gate"
	"cactuspath/internal/latency"
)

// Counters count the decisions of the gates of all backend servers of a node.
type Counters struct {
	// Waited is the time from a request's arrival to its start, Ran that from its start
	// to the end of its response.
	Waited, Ran *latency.Histogram

	Started, Moved, Probes, LoadMalformed expvar.Int
	Refused                               expvar.Map
}

// NewCounters returns counters at zero.
func NewCounters() *Counters { return &Counters{Waited: latency.New(), Ran: latency.New()} }

func (c *Counters) count(e gate.Event) {
	switch e.Kind {
	case gate.Started:
		c.Started.Add(1)
	case gate.Moved:
		c.Moved.Add(1)
	case gate.Refused:
		c.Refused.Add(e.Reason.String(), 1)
	}
}
