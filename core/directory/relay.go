package directory

import (
	"sort"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Parameters of failure detection and exchange. Durations apply to virtual and
// real time alike.
const (
	// HeartbeatInterval is the interval at which a node reports to its relay.
	HeartbeatInterval = time.Second
	// suspectAfter is the time without contact after which a relay suspects a
	// node and probes it.
	suspectAfter = 3 * HeartbeatInterval
	// confirmAfter is the time without contact after which a node is marked
	// failed if every probe has failed.
	confirmAfter = 6 * HeartbeatInterval
	// takeoverAfter is how long a relay that has taken over a node from a failed relay
	// waits for contact with the node before it suspects the node.
	takeoverAfter = 6 * HeartbeatInterval
	// stallThreshold is the gap between ticks above which this relay itself is
	// considered to have been suspended.
	stallThreshold = 2 * HeartbeatInterval
	// tombstoneRetention is how long a failed or departed entry is kept. A peer
	// that was partitioned for less cannot bring the entry back; one partitioned
	// for longer can, until the host has been probed.
	tombstoneRetention = 24 * time.Hour
	// recentTombstone is the age up to which tombstones are part of a complete answer.
	recentTombstone = time.Minute
	// relayTimeout is the time without contact after which a relay counts as
	// failed although the control replicas still list it.
	relayTimeout = 15 * HeartbeatInterval
	// maxReadyWait is the longest time that a relay that has just started waits for
	// entries from the other relays before it becomes ready.
	maxReadyWait = 5 * HeartbeatInterval
	// StartupInterval is the interval of ticks and pulls until the relay is ready.
	StartupInterval = HeartbeatInterval / 10
	// minReadyWait is the shortest time before a relay assumes that its list of relays
	// is complete. Other relays may have been started at the same moment and may not be
	// listed yet.
	minReadyWait = 3 * StartupInterval
	// siblingPullsPerRound is the number of siblings (other relays of the same
	// data centre) that a relay pulls from per round, in round-robin order. Changes
	// reach all siblings within a few rounds; pulling from all of them in every
	// round would cost more than the nodes' heartbeats.
	siblingPullsPerRound = 2
	// maxEntriesPerAnswer limits the changed entries in one answer, to about 20 KB. If
	// more have changed, as after the loss of a data centre, the oldest changes are sent
	// first and the rest in answers to the next heartbeats, so that no node exceeds its
	// bandwidth limit. In addition, up to maxUrgentEntries entries that stop traffic to a
	// host are sent ahead of older changes.
	maxEntriesPerAnswer = 150
	maxUrgentEntries    = 50
	// pullInterval is the interval between rounds of pulls from other relays.
	pullInterval = HeartbeatInterval
	// probeInterval is the interval between probes of a suspected node.
	probeInterval = HeartbeatInterval
)

// peer is another relay, of this or another data centre.
type peer struct {
	info   *apiv1.RelayInfo
	cursor *apiv1.Cursor
	// lastHeard is the time of the last contact, or the time at which the peer
	// was added.
	lastHeard time.Duration
}

// Relay is the directory state of a node that acts as a relay: all entries, the
// heartbeats of the nodes that report to it, and the other relays.
type Relay struct {
	self    *apiv1.RelayInfo
	epoch   uint64
	table   *Table
	watched map[string]*watchedNode
	peers   map[string]*peer
	// cursors holds the cursors of relays that are no longer listed, in case they are
	// listed again.
	cursors    map[string]*apiv1.Cursor
	tombstones map[string]time.Duration
	// localHosts are the hosts of this data centre. They are indexed so that
	// per-tick work does not scan the entries of other data centres.
	localHosts  map[string]bool
	siblingTurn int

	started      time.Duration
	hasRelayList bool
	ready        bool
	lastTick     time.Duration
	lastPull     time.Duration
	lastContact  time.Duration

	// FalseSuspicions counts suspicions that a probe or a heartbeat disproved.
	FalseSuspicions uint64
	// Failures counts the entries that this relay marked failed.
	Failures uint64
}

// NewRelay returns a relay without entries. epoch must differ from that of every earlier
// relay on this host: it tells readers that their cursors are positions in the changes of
// an earlier relay and are no longer valid.
func NewRelay(self *apiv1.RelayInfo, epoch uint64, now time.Duration) *Relay {
	return &Relay{self: self, epoch: epoch, table: NewTable(), watched: map[string]*watchedNode{}, peers: map[string]*peer{}, cursors: map[string]*apiv1.Cursor{}, localHosts: map[string]bool{},
		tombstones: map[string]time.Duration{}, started: now, lastTick: now, lastPull: now - pullInterval, lastContact: now}
}

// HasRelay reports whether a host is in this relay's list of relays.
func (r *Relay) HasRelay(host string) bool { return host == r.self.Host || r.peers[host] != nil }

// Table returns the table of entries. The caller must not modify it.
func (r *Relay) Table() *Table { return r.table }

// WatchedNodes returns the number of nodes that this relay monitors.
func (r *Relay) WatchedNodes() int { return len(r.watched) }

// SetRelays replaces the list of relays of all data centres.
func (r *Relay) SetRelays(list []*apiv1.RelayInfo, now time.Duration) {
	r.hasRelayList = true
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
		r.peers[info.Host] = &peer{info: info, lastHeard: now, cursor: r.cursors[info.Host]}
	}
	for host, p := range r.peers {
		if !listed[host] {
			r.cursors[host] = p.cursor
			delete(r.peers, host)
		}
	}
}

// Ready reports whether the relay has received the entries of its siblings and of the data
// centres that it pulls from, or has waited for maxReadyWait. Until then it must not answer
// requests of nodes: it would report services as having no endpoints although it has only
// not received their entries yet. A relay that was ready once stays ready.
func (r *Relay) Ready(now time.Duration) bool {
	r.ready = r.ready || now-r.started >= maxReadyWait || now-r.started >= minReadyWait && r.allAnswered(now)
	return r.ready
}

func (r *Relay) allAnswered(now time.Duration) bool {
	if !r.hasRelayList {
		return false
	}
	for _, p := range r.peers {
		if p.info.DataCenter == r.self.DataCenter && p.cursor == nil {
			return false
		}
	}
	for center, hosts := range r.remoteRelays() {
		if r.pullsFrom(now, center) && !r.anyAnswered(hosts) {
			return false
		}
	}
	return true
}

func (r *Relay) anyAnswered(hosts []string) bool {
	for _, host := range hosts {
		if r.peers[host].cursor != nil {
			return true
		}
	}
	return false
}

// Relays returns the relays of this data centre, including this one.
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

// Heartbeat processes a node's report, which may be sent with the node's current entry. It
// returns the entry that the relay holds of the node, or nil. needEntry is set if that entry
// is older than the report, so that the node must send its current one.
func (r *Relay) Heartbeat(now time.Duration, report *apiv1.NodeReport, entry *apiv1.Entry) (held *apiv1.Entry, needEntry bool) {
	r.lastContact = now
	if entry != nil && entry.DataCenter == r.self.DataCenter {
		r.merge(now, entry)
	}
	held = r.table.Get(report.Host)
	if held == nil || held.Incarnation < report.Incarnation || held.Incarnation == report.Incarnation && held.Sequence < report.Sequence {
		return held, true
	}
	if held.Relay == r.self.Host && held.Incarnation == report.Incarnation && !IsTombstone(held) {
		r.recordContact(now, report.Host).report = report
	}
	return held, false
}

// merge stores an entry and updates the state derived from it.
func (r *Relay) merge(now time.Duration, e *apiv1.Entry) {
	if !r.table.Merge(e) {
		return
	}
	if e.DataCenter == r.self.DataCenter {
		r.localHosts[e.Host] = true
	}
	if IsTombstone(e) {
		r.tombstones[e.Host] = now
		delete(r.watched, e.Host)
		return
	}
	delete(r.tombstones, e.Host)
	if e.Relay != r.self.Host {
		delete(r.watched, e.Host)
	}
}

// Reports returns the latest report of every node that reports to this relay.
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

// Entries returns the entries of the given services that a node at cursor lacks, and the
// node's next cursor. If resubscribe is set or the cursor is not from this relay's epoch,
// it returns all entries and sets complete; they replace all entries that the node has. Recent
// tombstones are among them: the node keeps an entry for some time that the relay does not
// know.
func (r *Relay) Entries(now time.Duration, cursor *apiv1.Cursor, services []string, resubscribe bool) (entries []*apiv1.Entry, next *apiv1.Cursor, complete bool) {
	wanted := make(map[string]bool, len(services))
	for _, s := range services {
		wanted[s] = true
	}
	next = &apiv1.Cursor{Epoch: r.epoch, Version: r.table.Version()}
	complete = resubscribe || cursor.GetEpoch() != r.epoch
	if !complete {
		entries, next.Version = r.changesSince(cursor.Version, func(e *apiv1.Entry) bool { return wanted[e.Service] })
		return entries, next, false
	}
	r.table.VisitAll(func(e *apiv1.Entry) {
		if wanted[e.Service] && (!IsTombstone(e) || now-r.tombstones[e.Host] < recentTombstone) {
			entries = append(entries, e)
		}
	})
	sort.Slice(entries, func(i, j int) bool { return entries[i].Host < entries[j].Host })
	return entries, next, true
}

// changesSince returns the entries accepted by wanted that changed after version, within
// the limits of one answer, and the version from which the next answer must continue.
// Urgent entries that are sent ahead of older changes are sent again when it is their turn,
// which has no effect on the reader.
func (r *Relay) changesSince(version uint64, wanted func(*apiv1.Entry) bool) (entries []*apiv1.Entry, next uint64) {
	collect := func(limit int, match func(*apiv1.Entry) bool) func(*apiv1.Entry) bool {
		return func(e *apiv1.Entry) bool {
			if !match(e) {
				return true
			}
			if len(entries) == limit {
				return false
			}
			entries = append(entries, e)
			return true
		}
	}
	next = r.table.VisitChanges(version, collect(maxEntriesPerAnswer, wanted))
	if next < r.table.Version() {
		r.table.VisitChanges(next, collect(maxEntriesPerAnswer+maxUrgentEntries, func(e *apiv1.Entry) bool { return wanted(e) && isUrgent(e) }))
	}
	return entries, next
}

// isUrgent reports whether an entry stops traffic to its host. Until a reader receives such
// an entry, it sends requests to the host that are refused or lost.
func isUrgent(e *apiv1.Entry) bool {
	return e.State != apiv1.EndpointState_ENDPOINT_STATE_SERVING
}
