package node

import (
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// What this node says of itself in the directory.

// claim is what makes an entry worth sending again.
type claim struct {
	incarnation, sequence uint64
	state                 apiv1.EndpointState
}

// entry renders what this node says of itself.
func (n *Node) entry(relay string) *apiv1.Entry {
	e := &apiv1.Entry{Host: n.options.Host, DataCenter: n.options.DataCenter, Region: n.options.Region, PeerAddress: n.options.PeerAddress,
		Incarnation: n.incarnation.Load(), Sequence: n.sequence, State: n.state(), Relay: relay, ChangedUnixMs: time.Now().UnixMilli()}
	if n.server != nil {
		e.Service, e.Slots = n.server.service, n.server.slots
	}
	return e
}

// claim is what an entry would say anew; the caller holds the lock.
func (n *Node) claim() claim { return claim{n.incarnation.Load(), n.sequence, n.state()} }

func (n *Node) state() apiv1.EndpointState {
	switch {
	case n.departed:
		return apiv1.EndpointState_ENDPOINT_STATE_DEPARTED
	case n.draining():
		return apiv1.EndpointState_ENDPOINT_STATE_DRAINING
	}
	return apiv1.EndpointState_ENDPOINT_STATE_SERVING
}

// draining: a planned stop was announced by the operator, by the backend
// server, or by stopping this process.
func (n *Node) draining() bool {
	return n.stopping || n.records.Draining(n.options.Host) || n.server != nil && n.server.draining
}
