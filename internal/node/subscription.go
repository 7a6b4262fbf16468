package node

import (
	"context"
	"maps"
	"slices"
)

// A node receives directory entries only for the services that it subscribes to.

// subscribe subscribes to a service that is called here. Without a subscription, the
// endpoints that a control replica names are lost once a relay responds.
func (n *Node) subscribe(service string) {
	n.mu.Lock()
	asked := n.requested[service]
	n.requested[service] = true
	n.mu.Unlock()
	if !asked {
		n.member.requestSync()
	}
}

// awaitService subscribes to a service that this node does not know and waits until a
// relay has responded for it. It returns immediately if a relay has responded before,
// even if the service has no endpoints, because requests for such a service must fail
// without delay.
func (n *Node) awaitService(ctx context.Context, service string) error {
	n.subscribe(service)
	for {
		n.mu.Lock()
		answered, changed := n.view.Answered(service), n.changed
		n.mu.Unlock()
		if answered {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maxPrefetched is the number of services up to which a node subscribes in advance to
// all services with routes, so that the first request for a service does not wait for a
// round trip to a relay. If there are more, as in a fleet with hundreds of services,
// the node subscribes only to those that are called.
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
