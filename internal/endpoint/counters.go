package endpoint

import (
	"expvar"

	"cactuspath/core/gate"
	"cactuspath/internal/latency"
)

// Counters count the decisions of the gates of all backend servers of a node.
type Counters struct {
	// Waited is the time from a request's arrival until the gate lets it run, Ran the time
	// from sending it to the backend server to the end of the response.
	// Transit is how long requests of other nodes were held up on their way here.
	Waited, Ran, Transit *latency.Histogram

	// Started, Moved and Refused count the gate's decisions, Refused by reason. Probes counts
	// the load queries, LoadMalformed the load reports that could not be parsed.
	Started, Moved, Probes, LoadMalformed expvar.Int
	// LimitChanges counts how often the backend server named another limit or withdrew it,
	// LimitMalformed the limits that could not be parsed.
	LimitChanges, LimitMalformed expvar.Int
	Refused                      expvar.Map
	// SenderGone counts the requests that were not sent to the backend server because their
	// senders had disconnected.
	SenderGone expvar.Int
	// ReadAhead is the number of bytes of large responses that are held in memory for their
	// receivers.
	ReadAhead expvar.Int
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{Waited: latency.New(), Ran: latency.New(), Transit: latency.New()}
}

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
