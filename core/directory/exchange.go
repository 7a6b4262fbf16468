package directory

import (
	"slices"
	"sort"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Pull asks the caller to send an exchange request to a relay.
type Pull struct {
	Relay   *apiv1.RelayInfo
	Request *apiv1.ExchangeRequest
}

// Exchange answers another relay's exchange request. A relay of this data centre
// gets all entries; one of another data centre gets only the entries of this data
// centre, the only ones for which this relay is authoritative.
func (r *Relay) Exchange(now time.Duration, req *apiv1.ExchangeRequest) *apiv1.ExchangeResponse {
	r.lastContact = now
	if p := r.peers[req.FromHost]; p != nil {
		p.lastHeard = now
	}
	sibling := req.FromDataCenter == r.self.DataCenter
	resp := &apiv1.ExchangeResponse{Cursor: &apiv1.Cursor{Epoch: r.epoch, Version: r.table.Version()}}
	visible := func(e *apiv1.Entry) bool { return sibling || e.DataCenter == r.self.DataCenter }
	if req.Cursor.GetEpoch() == r.epoch {
		resp.Entries, resp.Cursor.Version = r.changesSince(req.Cursor.Version, visible)
		return resp
	}
	r.reconcile(req, visible, resp)
	return resp
}

// reconcile sends the full contents of the buckets whose digests differ. After a
// partition or a restart most buckets match, and a matching one costs 8 bytes.
func (r *Relay) reconcile(req *apiv1.ExchangeRequest, visible func(*apiv1.Entry) bool, resp *apiv1.ExchangeResponse) {
	differs := make([]bool, BucketCount)
	own := r.table.Digests(digestScope(req.FromDataCenter, r.self.DataCenter))
	for i := range differs {
		differs[i] = len(req.Digests) != BucketCount || req.Digests[i] != own[i]
		if differs[i] {
			resp.WholeBuckets = append(resp.WholeBuckets, uint32(i))
		}
	}
	r.table.VisitAll(func(e *apiv1.Entry) {
		if visible(e) && differs[Bucket(e.Host)] {
			resp.Entries = append(resp.Entries, e)
		}
	})
	sort.Slice(resp.Entries, func(i, j int) bool { return resp.Entries[i].Host < resp.Entries[j].Host })
}

// digestScope returns the data centre whose entries two relays compare: all of them
// within a data centre, otherwise that of the answering relay.
func digestScope(asking, answering string) string {
	if asking == answering {
		return AllDataCenters
	}
	return answering
}

// HandleExchangeResponse processes a relay's answer to a Pull. A nil answer means
// that none came.
func (r *Relay) HandleExchangeResponse(now time.Duration, host string, resp *apiv1.ExchangeResponse) {
	p := r.peers[host]
	if p == nil || resp == nil {
		return
	}
	r.lastContact = now
	p.lastHeard = now
	p.cursor = resp.Cursor
	sibling := p.info.DataCenter == r.self.DataCenter
	for _, e := range resp.Entries {
		if sibling || e.DataCenter == p.info.DataCenter {
			r.merge(now, e)
		}
	}
}

// planPulls adds pulls from some siblings, and from one relay of each other data
// centre that this relay pulls from.
func (r *Relay) planPulls(now time.Duration, work *Work) {
	interval := pullInterval
	if !r.Ready(now) {
		interval = StartupInterval
	}
	if now-r.lastPull < interval {
		return
	}
	r.lastPull = now
	for _, host := range r.siblingsToPull() {
		work.Pulls = append(work.Pulls, r.newPull(r.peers[host]))
	}
	for center, hosts := range r.remoteRelays() {
		if r.pullsFrom(now, center) {
			work.Pulls = append(work.Pulls, r.newPull(r.peers[r.selectRemoteRelay(now, center, hosts)]))
		}
	}
	sort.Slice(work.Pulls, func(i, j int) bool { return work.Pulls[i].Relay.Host < work.Pulls[j].Relay.Host })
}

// siblingsToPull returns the siblings to pull from now: the next ones in turn and
// all that have never answered.
func (r *Relay) siblingsToPull() []string {
	var siblings, due []string
	for host, p := range r.peers {
		if p.info.DataCenter != r.self.DataCenter {
			continue
		}
		siblings = append(siblings, host)
		if p.cursor == nil {
			due = append(due, host)
		}
	}
	sort.Strings(siblings)
	for range min(siblingPullsPerRound, len(siblings)) {
		r.siblingTurn++
		if host := siblings[r.siblingTurn%len(siblings)]; !slices.Contains(due, host) {
			due = append(due, host)
		}
	}
	return due
}

// selectRemoteRelay selects the relay of another data centre to pull from: the first
// live one in rendezvous order or, if none is live, each in turn.
func (r *Relay) selectRemoteRelay(now time.Duration, center string, hosts []string) string {
	order := Rendezvous(r.self.DataCenter+"/"+center, hosts)
	for _, host := range order {
		if now-r.peers[host].lastHeard <= relayTimeout {
			return host
		}
	}
	return order[int(now/HeartbeatInterval)%len(order)]
}

// TriggerPull makes the next tick pull from other relays, for relays that have just
// appeared.
func (r *Relay) TriggerPull() { r.lastPull -= pullInterval }

// NextPull returns the next pull from a relay whose last answer contained changes;
// ok is false if the relay is no longer a peer.
func (r *Relay) NextPull(host string) (p Pull, ok bool) {
	target := r.peers[host]
	if target == nil {
		return Pull{}, false
	}
	return r.newPull(target), true
}

func (r *Relay) newPull(p *peer) Pull {
	req := &apiv1.ExchangeRequest{FromHost: r.self.Host, FromDataCenter: r.self.DataCenter, Cursor: p.cursor}
	if p.cursor == nil || r.mayHaveRestarted(p) {
		req.Digests = r.table.Digests(digestScope(r.self.DataCenter, p.info.DataCenter))
	}
	return Pull{Relay: p.info, Request: req}
}

// mayHaveRestarted reports whether a peer was silent for so long that it may have
// restarted with a new epoch. Its epoch is unknown until it answers, so digests
// are then sent with the request.
func (r *Relay) mayHaveRestarted(p *peer) bool { return r.lastTick-p.lastHeard > relayTimeout }

// remoteRelays returns the relays of every other data centre, by data centre.
func (r *Relay) remoteRelays() map[string][]string {
	out := map[string][]string{}
	for host, p := range r.peers {
		if p.info.DataCenter != r.self.DataCenter {
			out[p.info.DataCenter] = append(out[p.info.DataCenter], host)
		}
	}
	return out
}

// pullsFrom reports whether this relay is the one in its data centre that pulls
// from another data centre.
func (r *Relay) pullsFrom(now time.Duration, center string) bool {
	return Rendezvous(center, r.liveLocalRelays(now))[0] == r.self.Host
}

// liveLocalRelays returns the live relays of this data centre, including this one.
func (r *Relay) liveLocalRelays(now time.Duration) []string {
	live := []string{r.self.Host}
	for host, p := range r.peers {
		if p.info.DataCenter == r.self.DataCenter && now-p.lastHeard <= relayTimeout {
			live = append(live, host)
		}
	}
	return live
}
