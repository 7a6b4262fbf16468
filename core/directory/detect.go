package directory

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Probe asks the caller of Tick to check whether a silent node is reachable: directly or,
// if Via is set, indirectly through the node with that address.
type Probe struct {
	Host, PeerAddress string
	Via               string
}

// Work lists the requests that the caller of Tick must send.
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
		// This process was suspended, or other processes left it no CPU time. The gap
		// must not count as silence of the nodes, or the relay would mark a whole data
		// centre failed when it resumes.
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

// compensateStall moves all times of last contact forward by a gap in which this process
// did not run.
func (r *Relay) compensateStall(gap time.Duration) {
	r.lastContact += gap
	for _, w := range r.watched {
		w.lastHeard += gap
	}
	for _, p := range r.peers {
		p.lastHeard += gap
	}
}

// takeOver begins to monitor nodes of this data centre whose relay has failed. Rendezvous
// hashing selects one live relay for each such node. Nodes that have found another relay
// by themselves are not taken over: their entries name a live relay.
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

// detectFailures probes silent nodes, and marks those failed that no probe has reached
// within confirmAfter. It marks none while this relay receives nothing from any host: then
// the relay itself is probably partitioned, and the other relays can detect failures.
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

// helper returns the address of a node of this data centre with recent contact, through
// which to probe a suspected node indirectly: if only the link between the relay and the
// suspected node is broken, the node has not failed. It returns "" if there is no helper.
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

// HandleProbeResult processes the result of a probe. ok reports whether the node replied,
// and incarnation identifies the run of the node's process that did.
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

// markFailed marks the entry of a node failed and no longer monitors the node.
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
