package directory

import (
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
	// SettleInterval is the time between ticks, and pulls, until the relay is ready.
	SettleInterval = HeartbeatInterval / 10
	// settleTime is how long a relay waits at least before it takes those that it
	// heard of for all there are: others start at the same moment.
	settleTime = 3 * SettleInterval
	// siblingsAtOnce is how many siblings a relay pulls from at a time, each in
	// turn. News spread from relay to relay in a few rounds; pulling from all
	// every time would cost more than the nodes' heartbeats.
	siblingsAtOnce = 2
	// maxEntries bounds the changes that one answer carries, about 20 KB. After a
	// data centre's loss the rest comes with the next heartbeats, so that no node
	// gets more than its bytes a second; the oldest changes come first. Up to
	// maxUrgent that say not to send work somewhere come ahead of their turn.
	maxEntries = 150
	maxUrgent  = 50
	// pullInterval spaces the exchanges with another relay.
	pullInterval = HeartbeatInterval
	// probeInterval spaces the probes of one suspect.
	probeInterval = HeartbeatInterval
)

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
	// own are the hosts of this data centre, so that what is done for them each
	// tick does not look through all others.
	own  map[string]bool
	turn int

	started     time.Duration
	listed      bool
	ready       bool
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
	return &Relay{self: self, epoch: epoch, table: NewTable(), watched: map[string]*watch{}, peers: map[string]*peer{}, cursors: map[string]*apiv1.Cursor{}, own: map[string]bool{},
		gone: map[string]time.Duration{}, started: now, lastTick: now, lastPlan: now - pullInterval, lastContact: now}
}

// Knows tells whether a relay is in the list that this one holds.
func (r *Relay) Knows(host string) bool { return host == r.self.Host || r.peers[host] != nil }

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
	r.ready = r.ready || now-r.started >= readyAfter || now-r.started >= settleTime && r.heardAll(now)
	return r.ready
}

func (r *Relay) heardAll(now time.Duration) bool {
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

// merge takes in a claim and keeps the bookkeeping that hangs on it.
func (r *Relay) merge(now time.Duration, e *apiv1.Entry) {
	if !r.table.Merge(e) {
		return
	}
	if e.DataCenter == r.self.DataCenter {
		r.own[e.Host] = true
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

// changes lists the changes after a version that wanted picks, within the limits
// of one answer, and the version that the reader then has. What came ahead of
// its turn is sent again in its turn, and changes nothing then.
func (r *Relay) changes(version uint64, wanted func(*apiv1.Entry) bool) (entries []*apiv1.Entry, next uint64) {
	take := func(limit int, pick func(*apiv1.Entry) bool) func(*apiv1.Entry) bool {
		return func(e *apiv1.Entry) bool {
			if !pick(e) {
				return true
			}
			if len(entries) == limit {
				return false
			}
			entries = append(entries, e)
			return true
		}
	}
	next = r.table.Since(version, take(maxEntries, wanted))
	if next < r.table.Version() {
		r.table.Since(next, take(maxEntries+maxUrgent, func(e *apiv1.Entry) bool { return wanted(e) && urgent(e) }))
	}
	return entries, next
}

// urgent tells whether an entry keeps work away from its host: a reader that
// lacks it sends requests there that are refused or lost.
func urgent(e *apiv1.Entry) bool {
	return e.State != apiv1.EndpointState_ENDPOINT_STATE_SERVING
}
