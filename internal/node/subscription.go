package node

import (
	"context"
	"maps"
	"slices"
)

// The services whose endpoints this node follows.

// awaitService waits until a relay has answered for a service that this node did not
// know. It returns immediately for a service that a relay has answered for, whatever
// the answer was: a service without endpoints must not delay its callers.
func (n *Node) awaitService(ctx context.Context, service string) error {
	for {
		n.mu.Lock()
		answered := n.view.Answered(service)
		asked := n.requested[service]
		n.requested[service] = true
		changed := n.changed
		n.mu.Unlock()
		if answered {
			return nil
		}
		if !asked {
			n.member.requestSync()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maxPrefetched is the largest number of services with routes that a node subscribes to
// in advance, so that no first request waits for a round trip to a relay. In a fleet of
// hundreds of services a node subscribes only to those that are called.
const maxPrefetched = 64

// subscribedServices lists the services for which this node needs all entries and the
// full configuration.
func (n *Node) subscribedServices() []string {
	set := map[string]bool{}
	for s := range n.requested {
		set[s] = true
	}
	if routed := n.proxy.RoutedServices(); len(routed) <= maxPrefetched {
		for _, s := range routed {
			set[s] = true
		}
	}
	if n.server != nil {
		set[n.server.service] = true
		for _, d := range n.records.Service(n.server.service).GetSpec().GetDependsOn() {
			set[d] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}
