package directory

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Probe asks the driver to check a silent node: directly, or through another
// node when Via is not empty.
type Probe struct {
	Host, PeerAddress string
	Via               string
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

// Tick moves failure detection on and returns what is to be sent.
func (r *Relay) Tick(now time.Duration) Work {
	if gap := now - r.lastTick; gap > tickStall {
		// This process was stopped (suspended, or starved by a neighbour).
		// Its own silence must not count as the nodes': it would mark a whole
		// data centre failed at the moment it wakes.
		r.creditStall(gap)
	}
	r.lastTick = now
	var work Work
	r.adopt(now)
	r.detect(now, &work)
	r.plan(now, &work)
	r.expire(now)
	return work
}

func (r *Relay) creditStall(gap time.Duration) {
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
	for host := range r.own {
		e := r.table.Get(host)
		if Gone(e) || r.watched[host] != nil || slices.Contains(live, e.Relay) {
			continue
		}
		if Rendezvous(host, live)[0] == r.self.Host {
			r.watched[host] = &watch{heard: now + adoptAfter - suspectAfter}
		}
	}
}

// detect probes silent nodes and marks those failed that no probe reached.
func (r *Relay) detect(now time.Duration, work *Work) {
	for _, host := range slices.Sorted(maps.Keys(r.watched)) {
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
	changed := proto.Clone(e).(*apiv1.Entry)
	changed.State = state
	return changed
}

// expire forgets entries that have been gone for long.
func (r *Relay) expire(now time.Duration) {
	for host, since := range r.gone {
		if now-since > goneKept {
			r.table.Forget(host)
			delete(r.gone, host)
			delete(r.own, host)
		}
	}
}
