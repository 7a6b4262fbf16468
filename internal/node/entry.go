package node

import (
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// The node's own entry in the directory.

// entryVersion identifies a version of this node's directory entry. The entry is sent
// again when its version changes.
type entryVersion struct {
	incarnation, sequence uint64
	state                 apiv1.EndpointState
}

// entry builds this node's directory entry.
func (n *Node) entry(relay string) *apiv1.Entry {
	e := &apiv1.Entry{Host: n.options.Host, DataCenter: n.options.DataCenter, Region: n.options.Region, PeerAddress: n.options.PeerAddress,
		Incarnation: n.incarnation.Load(), Sequence: n.sequence, State: n.state(), Relay: relay, ChangedUnixMs: time.Now().UnixMilli()}
	if n.server != nil {
		e.Service, e.Slots = n.server.service, n.server.slots
	}
	return e
}

// entryVersion returns the version of the current entry. The caller holds the lock.
func (n *Node) entryVersion() entryVersion {
	return entryVersion{n.incarnation.Load(), n.sequence, n.state()}
}

func (n *Node) state() apiv1.EndpointState {
	switch {
	case n.departed:
		return apiv1.EndpointState_ENDPOINT_STATE_DEPARTED
	case n.draining():
		return apiv1.EndpointState_ENDPOINT_STATE_DRAINING
	}
	return apiv1.EndpointState_ENDPOINT_STATE_SERVING
}

// draining reports whether a planned stop was announced by the operator, by the backend
// server or by the shutdown of this process.
func (n *Node) draining() bool {
	return n.stopping || n.records.Draining(n.options.Host) || n.server != nil && (n.server.draining || n.server.endpoint.Leaving())
}
