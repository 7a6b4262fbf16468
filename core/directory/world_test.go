package directory

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

type fakeNode struct {
	entry *apiv1.Entry
	alive bool
}

// world is a set of nodes and relays in virtual time, with links that can be
// cut. Messages arrive at once or not at all.
type world struct {
	t      *testing.T
	now    time.Duration
	nodes  map[string]*fakeNode
	order  []string
	relays map[string]*Relay
	hosts  []string
	cut    func(from, to string) bool
	// frozen relays do nothing until they are let go.
	frozen map[string]bool
	leased map[string]time.Duration
	bytes  int
}

func newWorld(t *testing.T) *world {
	return &world{t: t, nodes: map[string]*fakeNode{}, relays: map[string]*Relay{}, frozen: map[string]bool{}, leased: map[string]time.Duration{},
		cut: func(string, string) bool { return false }}
}

// center adds a data centre of nodes, the first ones of which are relays.
func (w *world) center(name string, nodes, relays int) {
	for i := range nodes {
		host := fmt.Sprintf("%s-%d", name, i)
		w.nodes[host] = &fakeNode{alive: true, entry: &apiv1.Entry{Host: host, DataCenter: name, Service: "s", PeerAddress: host, Incarnation: 1000, Sequence: 1, State: serving}}
		w.order = append(w.order, host)
		if i < relays {
			w.addRelay(host, name, 1)
		}
	}
}

func (w *world) addRelay(host, center string, epoch uint64) {
	if w.relays[host] == nil {
		w.hosts = append(w.hosts, host)
	}
	w.relays[host] = NewRelay(&apiv1.RelayInfo{Host: host, PeerAddress: host, DataCenter: center}, epoch, w.now)
	w.list()
}

// list tells the relays of each other, as the control replicas do: a relay that
// they have not heard from for the length of its lease is left out. A relay that
// is cut off from them keeps the list it had.
func (w *world) list() {
	const lease = 5 * time.Second
	var list []*apiv1.RelayInfo
	for _, host := range w.hosts {
		if w.reachControl(host) {
			w.leased[host] = w.now
		}
		if w.now-w.leased[host] <= lease {
			list = append(list, w.relays[host].self)
		}
	}
	for _, host := range w.hosts {
		if w.reachControl(host) {
			w.relays[host].SetRelays(list, w.now)
		}
	}
}

func (w *world) reachControl(host string) bool {
	return w.up(host) && !w.cut(host, "control") && !w.cut("control", host)
}

func (w *world) up(host string) bool {
	return w.nodes[host].alive && !w.frozen[host]
}

func (w *world) reach(from, to string) bool {
	return w.up(from) && w.up(to) && !w.cut(from, to) && !w.cut(to, from)
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += step
		if w.now%HeartbeatInterval == 0 {
			w.list()
		}
		for _, host := range w.order {
			if w.up(host) && w.now%HeartbeatInterval == 0 {
				w.heartbeat(w.nodes[host])
			}
		}
		for _, host := range w.hosts {
			if w.up(host) {
				w.carryOut(w.relays[host])
			}
		}
	}
}

func (w *world) heartbeat(n *fakeNode) {
	relay := w.relayFor(n)
	if relay == "" {
		return
	}
	e := proto.Clone(n.entry).(*apiv1.Entry)
	if e.Relay != relay {
		e.Relay = relay
		e.Sequence++
	}
	r := w.relays[relay]
	report := &apiv1.NodeReport{Host: e.Host, Incarnation: e.Incarnation, Sequence: e.Sequence}
	held, need := r.Heartbeat(w.now, report, nil)
	if held != nil && held.Incarnation == e.Incarnation && held.State == failed {
		e.Sequence = held.Sequence + 1
		need = true
	}
	if need {
		report.Sequence = e.Sequence
		r.Heartbeat(w.now, report, e)
	}
	n.entry = e
}

func (w *world) relayFor(n *fakeNode) string {
	var names []string
	for _, host := range w.hosts {
		if w.relays[host].self.DataCenter == n.entry.DataCenter && w.reach(n.entry.Host, host) {
			names = append(names, host)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return Rendezvous(n.entry.Host, names)[0]
}

func (w *world) carryOut(r *Relay) {
	work := r.Tick(w.now)
	for _, p := range work.Probes {
		at := r.self.Host
		if p.Via != "" {
			if !w.reach(r.self.Host, p.Via) {
				continue
			}
			at = p.Via
		}
		if n := w.nodes[p.Host]; n != nil && w.reach(at, p.Host) {
			r.Probed(w.now, p.Host, n.entry.Incarnation, true)
		}
	}
	for _, p := range work.Pulls {
		if !w.reach(r.self.Host, p.Relay.Host) {
			continue
		}
		resp := w.relays[p.Relay.Host].Exchange(w.now, p.Request)
		w.bytes += proto.Size(resp) + proto.Size(p.Request)
		r.Pulled(w.now, p.Relay.Host, resp)
	}
}

// count tells how many entries of a data centre a relay holds in a state.
func (w *world) count(relay, center string, state apiv1.EndpointState) int {
	n := 0
	w.relays[relay].Table().All(func(e *apiv1.Entry) {
		if e.DataCenter == center && e.State == state {
			n++
		}
	})
	return n
}
