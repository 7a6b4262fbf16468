package node

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
	"cactuspath/internal/controlclient"
)

// The choice of the relay to which this node reports.

const (
	// relayAvoidPeriod is how long a node does not try a relay again that failed to
	// respond.
	relayAvoidPeriod = 5 * time.Second
	// minSearchBackoff and maxSearchBackoff limit the backoff between searches for a
	// relay, so that the nodes of a data centre that restarts as a whole do not
	// overload the replicas.
	minSearchBackoff = 100 * time.Millisecond
	maxSearchBackoff = 5 * time.Second
)

// rankRelays returns the relays that did not fail recently, in the order in which this
// node tries them. Rendezvous hashing gives each node its own order, which spreads the
// nodes over the relays.
func (m *member) rankRelays() []*apiv1.RelayInfo {
	byHost := map[string]*apiv1.RelayInfo{}
	var hosts []string
	for _, r := range m.relays {
		if time.Now().After(m.unreachableUntil[r.Host]) {
			byHost[r.Host] = r
			hosts = append(hosts, r.Host)
		}
	}
	var list []*apiv1.RelayInfo
	for _, host := range directory.Rendezvous(m.n.options.Host, hosts) {
		list = append(list, byHost[host])
	}
	return list
}

// findRelays asks the control replicas for relays. It returns how long to wait before
// the next round.
func (m *member) findRelays(ctx context.Context) time.Duration {
	req := &apiv1.FindRelaysRequest{Host: m.n.options.Host, DataCenter: m.n.options.DataCenter, Region: m.n.options.Region, PeerAddress: m.n.options.PeerAddress}
	for host, until := range m.unreachableUntil {
		if time.Now().Before(until) {
			req.Unreachable = append(req.Unreachable, host)
		}
	}
	sort.Strings(req.Unreachable)
	var resp *apiv1.FindRelaysResponse
	err := m.n.options.Control.Call(ctx, func(ctx context.Context, r *controlclient.Replica) error {
		answer, err := r.Control.FindRelays(ctx, connect.NewRequest(req))
		if err == nil {
			resp = answer.Msg
		}
		return err
	})
	m.n.counters.relaySearches.Add(1)
	wait := jitter(m.searchBackoff)
	m.searchBackoff = min(2*m.searchBackoff, maxSearchBackoff)
	if err != nil {
		return wait
	}
	m.relays = resp.Relays
	if resp.BecomeRelay {
		m.n.relay.start()
		m.relays = append(m.relays, m.n.relay.info())
		delete(m.unreachableUntil, m.n.options.Host)
		return 0
	}
	if len(m.rankRelays()) > 0 {
		return 0
	}
	return wait
}
