package endpoint

import (
	"expvar"

	"cactuspath/core/gate"
)

// Counters count what gates decided, over all backend servers of a node.
type Counters struct {
	Started, Moved, Probes, LoadMalformed expvar.Int
	Refused                               expvar.Map
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
