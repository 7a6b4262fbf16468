package directory

import (
	"slices"
	"sort"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Timing of failure detection, in virtual or real time alike.
const (
	// HeartbeatInterval is how often a node reports to its relay.
	HeartbeatInterval = time.Second
	// suspectAfter is a silence that makes a relay probe the node.
	suspectAfter = 3 * HeartbeatInterval
	// confirmAfter is a silence after which, with every probe failed, the node
	// is marked failed.
	confirmAfter = 6 * HeartbeatInterval
	// adoptAfter is how long a node may lack a live relay before another relay
	// watches it.
	adoptAfter = 6 * HeartbeatInterval
	// tickStall is a gap between ticks that means this relay itself was stopped.
	tickStall = 2 * HeartbeatInterval
	// goneKept is how long a failed or departed entry is remembered. A peer
	// that was cut off for less cannot bring the entry back; one cut off for
	// longer can for as long as it takes to probe the host.
	goneKept = 24 * time.Hour
	// relaySilence is how long a relay may not be heard and still counts, where
	// the control replicas do not say that it is gone.
	relaySilence = 15 * HeartbeatInterval
	// readyAfter is how long a relay that knows nothing waits for the others.
	readyAfter = 5 * HeartbeatInterval
	// siblingsAtOnce is how many siblings a relay pulls from at a time, each in
	// turn. News spread from relay to relay in a few rounds; pulling from all
	// every time would cost more than the nodes' heartbeats.
	siblingsAtOnce = 2
	// maxEntries bounds the changes that one answer carries, about 20 KB. After a
	// data centre's loss the rest comes with the next heartbeats, so that no node
	// gets more than its bytes a second; the oldest changes come first.
	maxEntries = 150
	// pullInterval spaces the exchanges with another relay.
	pullInterval = HeartbeatInterval
	// probeInterval spaces the probes of one suspect.
	probeInterval = HeartbeatInterval
)

// Probe asks the driver to check a silent node: directly, or through another
// node when Via is not empty.
type Probe struct {
	Host, PeerAddress string
	Via               string
}

// Pull asks the driver to send an exchange to a relay.
type Pull struct {
	Relay   *apiv1.RelayInfo
	Request *apiv1.ExchangeRequest
}

// Work is what a tick asks of the driver.
type Work struct {
	Probes []Probe
	Pulls  []Pull
}

type watch struct {
	heard     time.Duration
	probed    time.Duration
	suspected bool
	report    *apiv1.NodeReport
}

type peer struct {
	info   *apiv1.RelayInfo
	cursor *apiv1.Cursor
	// heard is when it last answered; a peer never heard counts from added.
	heard time.Duration
}

// Relay is the directory's state at a node that acts as a relay: every entry,
// the heartbeats of the nodes that report to it, and the other relays.
type Relay struct {
	self    *apiv1.RelayInfo
	epoch   uint64
	table   *Table
	watched map[string]*watch
	peers   map[string]*peer
	// cursors of relays that left the list, for when they are back.
	cursors map[string]*apiv1.Cursor
	gone    map[string]time.Duration
	turn    int

	started     time.Duration
	listed      bool
	lastTick    time.Duration
	lastPlan    time.Duration
	lastContact time.Duration

	// FalseAlarms counts suspicions that a probe or heartbeat disproved.
	FalseAlarms uint64
	// Failures counts entries this relay marked failed.
	Failures uint64
}

// NewRelay returns a relay that knows nothing yet. Epoch must differ from that
// of any earlier relay on this host: cursors of another epoch are not continued.
func NewRelay(self *apiv1.RelayInfo, epoch uint64, now time.Duration) *Relay {
	return &Relay{self: self, epoch: epoch, table: NewTable(), watched: map[string]*watch{}, peers: map[string]*peer{}, cursors: map[string]*apiv1.Cursor{},
		gone: map[string]time.Duration{}, started: now, lastTick: now, lastPlan: now - pullInterval, lastContact: now}
}

// Table gives the entries. The caller must not modify it.
func (r *Relay) Table() *Table { return r.table }

// Watched counts the nodes that report to this relay.
func (r *Relay) Watched() int { return len(r.watched) }

// SetRelays replaces the list of relays of all data centres.
func (r *Relay) SetRelays(list []*apiv1.RelayInfo, now time.Duration) {
	r.listed = true
	listed := map[string]bool{}
	for _, info := range list {
		if info.Host == r.self.Host {
			continue
		}
		listed[info.Host] = true
		if p := r.peers[info.Host]; p != nil && p.info.PeerAddress == info.PeerAddress {
			p.info = info
			continue
		}
		r.peers[info.Host] = &peer{info: info, heard: now, cursor: r.cursors[info.Host]}
	}
	for host, p := range r.peers {
		if !listed[host] {
			r.cursors[host] = p.cursor
			delete(r.peers, host)
		}
	}
}

// Ready tells whether the relay has heard from its siblings, and from the data
// centres that it answers for, or has waited for long enough. Until then it must
// not answer nodes with its entries: it would tell them that services have no
// endpoints which it merely has not heard of yet.
func (r *Relay) Ready(now time.Duration) bool {
	if now-r.started >= readyAfter {
		return true
	}
	if !r.listed {
		return false
	}
	for _, p := range r.peers {
		if p.info.DataCenter == r.self.DataCenter && p.cursor == nil {
			return false
		}
	}
	for center, hosts := range r.otherCenters() {
		if r.answersFor(now, center) && !r.heardAny(hosts) {
			return false
		}
	}
	return true
}

func (r *Relay) heardAny(hosts []string) bool {
	for _, host := range hosts {
		if r.peers[host].cursor != nil {
			return true
		}
	}
	return false
}

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

// Relays lists this data centre's relays, itself included.
func (r *Relay) Relays() []*apiv1.RelayInfo {
	list := []*apiv1.RelayInfo{r.self}
	for _, p := range r.peers {
		if p.info.DataCenter == r.self.DataCenter {
			list = append(list, p.info)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// Heartbeat takes in a node's report. It returns the entry the relay holds of
// the node, or nil, and whether the relay needs a newer one.
func (r *Relay) Heartbeat(now time.Duration, report *apiv1.NodeReport, entry *apiv1.Entry) (held *apiv1.Entry, needEntry bool) {
	r.lastContact = now
	if entry != nil && entry.DataCenter == r.self.DataCenter {
		r.merge(now, entry)
	}
	held = r.table.Get(report.Host)
	if held == nil || held.Incarnation < report.Incarnation || held.Incarnation == report.Incarnation && held.Sequence < report.Sequence {
		return held, true
	}
	if held.Relay == r.self.Host && held.Incarnation == report.Incarnation && !Gone(held) {
		r.hear(now, report.Host).report = report
	}
	return held, false
}

func (r *Relay) hear(now time.Duration, host string) *watch {
	w := r.watched[host]
	if w == nil {
		w = &watch{}
		r.watched[host] = w
	}
	if w.suspected {
		r.FalseAlarms++
	}
	w.heard, w.suspected = now, false
	return w
}

// merge takes in a claim and keeps the bookkeeping that hangs on it.
func (r *Relay) merge(now time.Duration, e *apiv1.Entry) {
	if !r.table.Merge(e) {
		return
	}
	if Gone(e) {
		r.gone[e.Host] = now
		delete(r.watched, e.Host)
		return
	}
	delete(r.gone, e.Host)
	if e.Relay != r.self.Host {
		delete(r.watched, e.Host)
	}
}

// Reports returns the newest report of every node that reports here.
func (r *Relay) Reports() []*apiv1.NodeReport {
	var list []*apiv1.NodeReport
	for _, w := range r.watched {
		if w.report != nil {
			list = append(list, w.report)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// Entries returns what a node at a cursor lacks of the services it needs;
// complete means that it replaces all the node knew.
func (r *Relay) Entries(cursor *apiv1.Cursor, services []string, fresh bool) (entries []*apiv1.Entry, next *apiv1.Cursor, complete bool) {
	wanted := make(map[string]bool, len(services))
	for _, s := range services {
		wanted[s] = true
	}
	next = &apiv1.Cursor{Epoch: r.epoch, Version: r.table.Version()}
	complete = fresh || cursor.GetEpoch() != r.epoch
	if !complete {
		entries, next.Version = r.changes(cursor.Version, func(e *apiv1.Entry) bool { return wanted[e.Service] })
		return entries, next, false
	}
	r.table.All(func(e *apiv1.Entry) {
		if wanted[e.Service] && !Gone(e) {
			entries = append(entries, e)
		}
	})
	sort.Slice(entries, func(i, j int) bool { return entries[i].Host < entries[j].Host })
	return entries, next, true
}

// changes lists up to maxEntries of the changes after a version that wanted
// picks, and the version that the reader then has.
func (r *Relay) changes(version uint64, wanted func(*apiv1.Entry) bool) (entries []*apiv1.Entry, next uint64) {
	next = r.table.Since(version, func(e *apiv1.Entry) bool {
		if !wanted(e) {
			return true
		}
		if len(entries) == maxEntries {
			return false
		}
		entries = append(entries, e)
		return true
	})
	return entries, next
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
	own := r.table.Digests(r.scope(req.FromDataCenter))
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
func (r *Relay) scope(other string) string {
	if other == r.self.DataCenter {
		return AllCenters
	}
	return r.self.DataCenter
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

// Tick moves failure detection on and returns what is to be sent.
func (r *Relay) Tick(now time.Duration) Work {
	if gap := now - r.lastTick; gap > tickStall {
		// This process was stopped (suspended, or starved by a neighbour).
		// Its own silence must not count as the nodes': it would mark a whole
		// data centre failed at the moment it wakes.
		r.forgive(gap)
	}
	r.lastTick = now
	var work Work
	r.adopt(now)
	r.detect(now, &work)
	r.plan(now, &work)
	r.expire(now)
	return work
}

func (r *Relay) forgive(gap time.Duration) {
	r.lastContact += gap
	for _, w := range r.watched {
		w.heard += gap
	}
	for _, p := range r.peers {
		p.heard += gap
	}
}

// adopt watches the nodes whose relay is gone. Live relays agree on who does
// it by rendezvous; a node that found another relay says so in its entry.
func (r *Relay) adopt(now time.Duration) {
	live := r.liveSiblings(now)
	r.table.All(func(e *apiv1.Entry) {
		if e.DataCenter != r.self.DataCenter || Gone(e) || r.watched[e.Host] != nil || slices.Contains(live, e.Relay) {
			return
		}
		if Rendezvous(e.Host, live)[0] == r.self.Host {
			r.watched[e.Host] = &watch{heard: now + adoptAfter - suspectAfter}
		}
	})
}

// detect probes silent nodes and marks those failed that no probe reached.
func (r *Relay) detect(now time.Duration, work *Work) {
	hosts := make([]string, 0, len(r.watched))
	for host := range r.watched {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	for _, host := range hosts {
		w := r.watched[host]
		silence := now - w.heard
		if silence < suspectAfter {
			continue
		}
		w.suspected = true
		if silence >= confirmAfter && now-r.lastContact < suspectAfter {
			r.fail(now, host)
			continue
		}
		if now-w.probed >= probeInterval {
			w.probed = now
			r.probe(host, work)
		}
	}
}

func (r *Relay) probe(host string, work *Work) {
	e := r.table.Get(host)
	if e == nil {
		delete(r.watched, host)
		return
	}
	work.Probes = append(work.Probes, Probe{Host: host, PeerAddress: e.PeerAddress})
	if helper := r.helper(host); helper != "" {
		work.Probes = append(work.Probes, Probe{Host: host, PeerAddress: e.PeerAddress, Via: helper})
	}
}

// helper picks a node of this data centre that was heard lately, to probe from
// another place: a cut between the relay and one node is no failure of it.
func (r *Relay) helper(suspect string) string {
	var names []string
	for host, w := range r.watched {
		if host != suspect && host != r.self.Host && !w.suspected {
			names = append(names, host)
		}
	}
	if len(names) == 0 {
		return ""
	}
	best := Rendezvous(suspect, names)[0]
	return r.table.Get(best).GetPeerAddress()
}

// Probed takes in the outcome of a probe.
func (r *Relay) Probed(now time.Duration, host string, incarnation uint64, ok bool) {
	e := r.table.Get(host)
	if !ok || e == nil || r.watched[host] == nil {
		return
	}
	r.lastContact = now
	if e.Incarnation == incarnation {
		r.hear(now, host)
	}
}

// fail marks a node failed. It is not done while this relay hears nobody at
// all: then the relay itself is cut off, and the others can judge better.
func (r *Relay) fail(now time.Duration, host string) {
	e := r.table.Get(host)
	if e == nil || Gone(e) {
		delete(r.watched, host)
		return
	}
	r.Failures++
	r.merge(now, withState(e, apiv1.EndpointState_ENDPOINT_STATE_FAILED))
}

func withState(e *apiv1.Entry, state apiv1.EndpointState) *apiv1.Entry {
	return &apiv1.Entry{Host: e.Host, DataCenter: e.DataCenter, Region: e.Region, Service: e.Service, PeerAddress: e.PeerAddress,
		Incarnation: e.Incarnation, Sequence: e.Sequence, State: state, Slots: e.Slots, Relay: e.Relay, ChangedUnixMs: e.ChangedUnixMs}
}

// plan pulls from some siblings, and from one relay of each other data centre
// that this relay answers for.
func (r *Relay) plan(now time.Duration, work *Work) {
	if now-r.lastPlan < pullInterval {
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

func (r *Relay) pull(p *peer) Pull {
	req := &apiv1.ExchangeRequest{FromHost: r.self.Host, FromDataCenter: r.self.DataCenter, Cursor: p.cursor}
	if p.cursor == nil || r.otherEpoch(p) {
		scope := p.info.DataCenter
		if scope == r.self.DataCenter {
			scope = AllCenters
		}
		req.Digests = r.table.Digests(scope)
	}
	return Pull{Relay: p.info, Request: req}
}

// otherEpoch is unknown before the answer; digests are sent along when the
// peer was silent long enough to have restarted.
func (r *Relay) otherEpoch(p *peer) bool { return r.lastTick-p.heard > relaySilence }

// expire forgets entries that have been gone for long.
func (r *Relay) expire(now time.Duration) {
	for host, since := range r.gone {
		if now-since > goneKept {
			r.table.Forget(host)
			delete(r.gone, host)
		}
	}
}
