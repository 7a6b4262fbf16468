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

// Which relay this node reports to.

const (
	// avoidRelayFor is how long a relay that did not answer is left alone.
	avoidRelayFor = 5 * time.Second
	// firstSearch and longestSearch bound the pause between searches for a relay,
	// so that a data centre that restarts whole does not herd on the replicas.
	firstSearch   = 100 * time.Millisecond
	longestSearch = 5 * time.Second
)

// order ranks the relays for this node, those that failed lately left out.
func (m *member) order() []*apiv1.RelayInfo {
	byHost := map[string]*apiv1.RelayInfo{}
	var hosts []string
	for _, r := range m.relays {
		if time.Now().After(m.avoid[r.Host]) {
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

// search asks the control replicas for relays.
func (m *member) search(ctx context.Context) time.Duration {
	req := &apiv1.FindRelaysRequest{Host: m.n.options.Host, DataCenter: m.n.options.DataCenter, Region: m.n.options.Region, PeerAddress: m.n.options.PeerAddress}
	for host, until := range m.avoid {
		if time.Now().Before(until) {
			req.Unreachable = append(req.Unreachable, host)
		}
	}
	sort.Strings(req.Unreachable)
	var resp *apiv1.FindRelaysResponse
	err := m.n.options.Control.Once(ctx, func(ctx context.Context, r *controlclient.Replica) error {
		answer, err := r.Control.FindRelays(ctx, connect.NewRequest(req))
		if err == nil {
			resp = answer.Msg
		}
		return err
	})
	m.n.counters.relaySearches.Add(1)
	wait := jitter(m.pause)
	m.pause = min(2*m.pause, longestSearch)
	if err != nil {
		return wait
	}
	m.relays = resp.Relays
	if resp.BecomeRelay {
		m.n.relay.begin()
		m.relays = append(m.relays, m.n.relay.info())
		delete(m.avoid, m.n.options.Host)
		return 0
	}
	if len(m.order()) > 0 {
		return 0
	}
	return wait
}
