package directory

import (
	"slices"
	"sort"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Pull asks the driver to send an exchange to a relay.
type Pull struct {
	Relay   *apiv1.RelayInfo
	Request *apiv1.ExchangeRequest
}

// Exchange answers another relay. A relay of this data centre gets every
// entry; one of another gets only this data centre's, since only those are
// vouched for here.
func (r *Relay) Exchange(now time.Duration, req *apiv1.ExchangeRequest) *apiv1.ExchangeResponse {
	r.lastContact = now
	if p := r.peers[req.FromHost]; p != nil {
		p.heard = now
	}
	sibling := req.FromDataCenter == r.self.DataCenter
	resp := &apiv1.ExchangeResponse{Cursor: &apiv1.Cursor{Epoch: r.epoch, Version: r.table.Version()}}
	ours := func(e *apiv1.Entry) bool { return sibling || e.DataCenter == r.self.DataCenter }
	if req.Cursor.GetEpoch() == r.epoch {
		resp.Entries, resp.Cursor.Version = r.changes(req.Cursor.Version, ours)
		return resp
	}
	r.reconcile(req, ours, resp)
	return resp
}

// reconcile sends whole the buckets whose digests differ: after a cut or a
// restart most buckets agree, and agreeing ones cost 8 bytes each.
func (r *Relay) reconcile(req *apiv1.ExchangeRequest, ours func(*apiv1.Entry) bool, resp *apiv1.ExchangeResponse) {
	differs := make([]bool, Buckets)
	own := r.table.Digests(scope(req.FromDataCenter, r.self.DataCenter))
	for i := range differs {
		differs[i] = len(req.Digests) != Buckets || req.Digests[i] != own[i]
		if differs[i] {
			resp.WholeBuckets = append(resp.WholeBuckets, uint32(i))
		}
	}
	r.table.All(func(e *apiv1.Entry) {
		if ours(e) && differs[Bucket(e.Host)] {
			resp.Entries = append(resp.Entries, e)
		}
	})
	sort.Slice(resp.Entries, func(i, j int) bool { return resp.Entries[i].Host < resp.Entries[j].Host })
}

// scope is whose entries two relays compare: all of them within a data centre,
// otherwise those of the answering relay's.
func scope(asking, answering string) string {
	if asking == answering {
		return AllCenters
	}
	return answering
}

// Pulled takes in a relay's answer to a Pull. A nil answer means none came.
func (r *Relay) Pulled(now time.Duration, host string, resp *apiv1.ExchangeResponse) {
	p := r.peers[host]
	if p == nil || resp == nil {
		return
	}
	r.lastContact = now
	p.heard = now
	p.cursor = resp.Cursor
	sibling := p.info.DataCenter == r.self.DataCenter
	for _, e := range resp.Entries {
		if sibling || e.DataCenter == p.info.DataCenter {
			r.merge(now, e)
		}
	}
}

// plan pulls from some siblings, and from one relay of each other data centre
// that this relay answers for.
func (r *Relay) plan(now time.Duration, work *Work) {
	interval := pullInterval
	if !r.Ready(now) {
		interval = SettleInterval
	}
	if now-r.lastPlan < interval {
		return
	}
	r.lastPlan = now
	for _, host := range r.siblingsDue() {
		work.Pulls = append(work.Pulls, r.pull(r.peers[host]))
	}
	for center, hosts := range r.otherCenters() {
		if r.answersFor(now, center) {
			work.Pulls = append(work.Pulls, r.pull(r.peers[r.answering(now, center, hosts)]))
		}
	}
	sort.Slice(work.Pulls, func(i, j int) bool { return work.Pulls[i].Relay.Host < work.Pulls[j].Relay.Host })
}

// siblingsDue lists the siblings to pull from now: those whose turn it is, and
// all that were never heard.
func (r *Relay) siblingsDue() []string {
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
	for range min(siblingsAtOnce, len(siblings)) {
		r.turn++
		if host := siblings[r.turn%len(siblings)]; !slices.Contains(due, host) {
			due = append(due, host)
		}
	}
	return due
}

// answering picks the remote relay to pull from: the first in rendezvous order
// that answers, or, when none does, each in turn.
func (r *Relay) answering(now time.Duration, center string, hosts []string) string {
	order := Rendezvous(r.self.DataCenter+"/"+center, hosts)
	for _, host := range order {
		if now-r.peers[host].heard <= relaySilence {
			return host
		}
	}
	return order[int(now/HeartbeatInterval)%len(order)]
}

// PullSoon has the next tick pull from those whose turn it is, for relays that
// just appeared.
func (r *Relay) PullSoon() { r.lastPlan -= pullInterval }

// PullAgain is the next pull from a relay that had news; ok is false if it is no
// peer any more.
func (r *Relay) PullAgain(host string) (p Pull, ok bool) {
	held := r.peers[host]
	if held == nil {
		return Pull{}, false
	}
	return r.pull(held), true
}

func (r *Relay) pull(p *peer) Pull {
	req := &apiv1.ExchangeRequest{FromHost: r.self.Host, FromDataCenter: r.self.DataCenter, Cursor: p.cursor}
	if p.cursor == nil || r.otherEpoch(p) {
		req.Digests = r.table.Digests(scope(r.self.DataCenter, p.info.DataCenter))
	}
	return Pull{Relay: p.info, Request: req}
}

// otherEpoch is unknown before the answer; digests are sent along when the
// peer was silent long enough to have restarted.
func (r *Relay) otherEpoch(p *peer) bool { return r.lastTick-p.heard > relaySilence }

// otherCenters lists the relays of every other data centre.
func (r *Relay) otherCenters() map[string][]string {
	out := map[string][]string{}
	for host, p := range r.peers {
		if p.info.DataCenter != r.self.DataCenter {
			out[p.info.DataCenter] = append(out[p.info.DataCenter], host)
		}
	}
	return out
}

// answersFor tells whether this relay is the one of its data centre that pulls
// from another data centre.
func (r *Relay) answersFor(now time.Duration, center string) bool {
	return Rendezvous(center, r.liveSiblings(now))[0] == r.self.Host
}

// liveSiblings lists this data centre's relays that answer, itself included.
func (r *Relay) liveSiblings(now time.Duration) []string {
	live := []string{r.self.Host}
	for host, p := range r.peers {
		if p.info.DataCenter == r.self.DataCenter && now-p.heard <= relaySilence {
			live = append(live, host)
		}
	}
	return live
}
