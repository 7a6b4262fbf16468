package directory

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Probe asks the caller to check a silent node, directly or, if Via is set,
// indirectly through another node.
type Probe struct {
	Host, PeerAddress string
	Via               string
}

// Work is the network work that a tick asks the caller to do.
type Work struct {
	Probes []Probe
	Pulls  []Pull
}

// watchedNode is the failure-detection state of a node that this relay monitors.
type watchedNode struct {
	lastHeard  time.Duration
	lastProbed time.Duration
	suspected  bool
	report     *apiv1.NodeReport
}

func (r *Relay) recordContact(now time.Duration, host string) *watchedNode {
	w := r.watched[host]
	if w == nil {
		w = &watchedNode{}
		r.watched[host] = w
	}
	if w.suspected {
		r.FalseSuspicions++
	}
	w.lastHeard, w.suspected = now, false
	return w
}

// Tick advances failure detection and returns the requests to send.
func (r *Relay) Tick(now time.Duration) Work {
	if gap := now - r.lastTick; gap > stallThreshold {
		// This process was suspended or starved of CPU by another process. The
		// gap must not count as silence of the nodes, or the relay would mark a
		// whole data centre failed when it resumes.
		r.compensateStall(gap)
	}
	r.lastTick = now
	var work Work
	r.takeOver(now)
	r.detectFailures(now, &work)
	r.planPulls(now, &work)
	r.expireTombstones(now)
	return work
}

func (r *Relay) compensateStall(gap time.Duration) {
	r.lastContact += gap
	for _, w := range r.watched {
		w.lastHeard += gap
	}
	for _, p := range r.peers {
		p.lastHeard += gap
	}
}

// takeOver starts to monitor nodes whose relay has failed. The live relays choose
// which one does so by rendezvous hashing; a node that has found another relay
// names it in its entry.
func (r *Relay) takeOver(now time.Duration) {
	live := r.liveLocalRelays(now)
	for host := range r.localHosts {
		e := r.table.Get(host)
		if IsTombstone(e) || r.watched[host] != nil || slices.Contains(live, e.Relay) {
			continue
		}
		if Rendezvous(host, live)[0] == r.self.Host {
			r.watched[host] = &watchedNode{lastHeard: now + takeoverAfter - suspectAfter}
		}
	}
}

// detectFailures probes silent nodes and marks failed those that no probe reached.
// It marks none while this relay hears from nobody: the relay itself is then
// probably partitioned, and others can judge better.
func (r *Relay) detectFailures(now time.Duration, work *Work) {
	for _, host := range slices.Sorted(maps.Keys(r.watched)) {
		w := r.watched[host]
		silence := now - w.lastHeard
		if silence < suspectAfter {
			continue
		}
		w.suspected = true
		if silence >= confirmAfter && now-r.lastContact < suspectAfter {
			r.markFailed(now, host)
			continue
		}
		if now-w.lastProbed >= probeInterval {
			w.lastProbed = now
			r.addProbes(host, work)
		}
	}
}

func (r *Relay) addProbes(host string, work *Work) {
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

// helper returns the address of a node of this data centre with recent contact, for
// an indirect probe: a broken link between the relay and one node is not a failure
// of that node. It returns "" if there is none.
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

// HandleProbeResult processes the result of a probe.
func (r *Relay) HandleProbeResult(now time.Duration, host string, incarnation uint64, ok bool) {
	e := r.table.Get(host)
	if !ok || e == nil || r.watched[host] == nil {
		return
	}
	r.lastContact = now
	if e.Incarnation == incarnation {
		r.recordContact(now, host)
	}
}

// markFailed marks a node failed.
func (r *Relay) markFailed(now time.Duration, host string) {
	e := r.table.Get(host)
	if e == nil || IsTombstone(e) {
		delete(r.watched, host)
		return
	}
	r.Failures++
	r.merge(now, withState(e, apiv1.EndpointState_ENDPOINT_STATE_FAILED))
}

func withState(e *apiv1.Entry, state apiv1.EndpointState) *apiv1.Entry {
	changed := proto.Clone(e).(*apiv1.Entry)
	changed.State = state
	return changed
}

// expireTombstones deletes tombstones older than tombstoneRetention.
func (r *Relay) expireTombstones(now time.Duration) {
	for host, since := range r.tombstones {
		if now-since > tombstoneRetention {
			r.table.Delete(host)
			delete(r.tombstones, host)
			delete(r.localHosts, host)
		}
	}
}
