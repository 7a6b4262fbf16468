package node

import (
	"context"
	"maps"
	"slices"
)

// Which services this node has to know of.

// need waits until a relay has answered for a service that this node did not
// know. It returns at once for one that a relay has answered for, whatever the
// answer was: a service without endpoints must not hold its callers up.
func (n *Node) need(ctx context.Context, service string) error {
	for {
		n.mu.Lock()
		answered := n.view.Answered(service)
		asked := n.needed[service]
		n.needed[service] = true
		changed := n.changed
		n.mu.Unlock()
		if answered {
			return nil
		}
		if !asked {
			n.member.kick()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maxPrefetched is up to how many services a node asks for all that have routes,
// so that no first request waits for a round trip to a relay. In a fleet of
// hundreds of services it asks for those that are called.
const maxPrefetched = 64

// subscription lists the services this node needs in full.
func (n *Node) subscription() []string {
	set := map[string]bool{}
	for s := range n.needed {
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
