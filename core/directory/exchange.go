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

// Exchange returns the response to another relay's request for changed entries. A relay of
// this data centre gets the changes of all entries. A relay of another data centre gets
// only those of this data centre, for which this relay is authoritative.
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

// reconcile adds the full contents of the digest buckets that differ between the two
// relays. It is used if the requesting relay cannot continue from its cursor. After a
// partition or a restart most buckets match, and a matching one costs only the 8 bytes of
// its digest.
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

// digestScope returns the data centre whose entries two relays compare by digests: all
// data centres if both relays are in the same one, otherwise that of the answering relay.
func digestScope(asking, answering string) string {
	if asking == answering {
		return AllDataCenters
	}
	return answering
}

// HandleExchangeResponse processes a relay's response to a Pull. It is nil if the relay did
// not respond.
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

// planPulls adds the pulls that are due: from some siblings (other relays of this data
// centre), and from one relay of each other data centre for which this relay is the one
// that pulls.
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

// siblingsToPull returns the siblings to pull from now: the next ones in round-robin order
// and all that have never responded.
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

// selectRemoteRelay returns the relay of another data centre to pull from: the first live
// one in rendezvous order or, if none is known to be live, each of them in turn.
func (r *Relay) selectRemoteRelay(now time.Duration, center string, hosts []string) string {
	order := Rendezvous(r.self.DataCenter+"/"+center, hosts)
	for _, host := range order {
		if now-r.peers[host].lastHeard <= relayTimeout {
			return host
		}
	}
	return order[int(now/HeartbeatInterval)%len(order)]
}

// TriggerPull makes the next Tick pull from other relays without waiting for pullInterval.
// It is used when new relays have appeared.
func (r *Relay) TriggerPull() { r.lastPull -= pullInterval }

// NextPull returns another pull from the given relay, to be sent at once because its last
// response contained changes and there may be more. ok is false if the relay is no longer
// in the list of relays.
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
// restarted with a new epoch. Digests are then sent with the request, since the peer needs
// them if its epoch has changed.
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
