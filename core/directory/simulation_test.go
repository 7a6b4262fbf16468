package directory

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// simulatedNode is a node that sends heartbeats while it is alive.
type simulatedNode struct {
	entry *apiv1.Entry
	alive bool
}

// simulation runs nodes and relays in virtual time over links that can be blocked.
// Messages are delivered immediately or not at all.
type simulation struct {
	t          *testing.T
	now        time.Duration
	nodes      map[string]*simulatedNode
	nodeHosts  []string
	relays     map[string]*Relay
	relayHosts []string
	blocked    func(from, to string) bool
	// paused hosts do nothing until they are resumed.
	paused         map[string]bool
	leaseRenewed   map[string]time.Duration
	exchangedBytes int
}

func newSimulation(t *testing.T) *simulation {
	return &simulation{t: t, nodes: map[string]*simulatedNode{}, relays: map[string]*Relay{}, paused: map[string]bool{}, leaseRenewed: map[string]time.Duration{},
		blocked: func(string, string) bool { return false }}
}

// addDataCenter adds a data centre with the given number of nodes. The first of them, as
// many as relays states, are also relays.
func (s *simulation) addDataCenter(name string, nodes, relays int) {
	for i := range nodes {
		host := fmt.Sprintf("%s-%d", name, i)
		s.nodes[host] = &simulatedNode{alive: true, entry: &apiv1.Entry{Host: host, DataCenter: name, Service: "s", PeerAddress: host, Incarnation: 1000, Sequence: 1, State: serving}}
		s.nodeHosts = append(s.nodeHosts, host)
		if i < relays {
			s.addRelay(host, name, 1)
		}
	}
}

func (s *simulation) addRelay(host, center string, epoch uint64) {
	if s.relays[host] == nil {
		s.relayHosts = append(s.relayHosts, host)
	}
	s.relays[host] = NewRelay(&apiv1.RelayInfo{Host: host, PeerAddress: host, DataCenter: center}, epoch, s.now)
	s.publishRelayList()
}

// publishRelayList distributes the list of relays as the control replicas do. The list
// contains the relays whose leases have not expired. A relay that cannot reach the control
// replicas keeps its previous list.
func (s *simulation) publishRelayList() {
	const lease = 5 * time.Second
	var list []*apiv1.RelayInfo
	for _, host := range s.relayHosts {
		if s.reachesControl(host) {
			s.leaseRenewed[host] = s.now
		}
		if s.now-s.leaseRenewed[host] <= lease {
			list = append(list, s.relays[host].self)
		}
	}
	for _, host := range s.relayHosts {
		if s.reachesControl(host) {
			s.relays[host].SetRelays(list, s.now)
		}
	}
}

func (s *simulation) reachesControl(host string) bool {
	return s.running(host) && !s.blocked(host, "control") && !s.blocked("control", host)
}

func (s *simulation) running(host string) bool {
	return s.nodes[host].alive && !s.paused[host]
}

func (s *simulation) connected(from, to string) bool {
	return s.running(from) && s.running(to) && !s.blocked(from, to) && !s.blocked(to, from)
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simulationStep
		if s.now%HeartbeatInterval == 0 {
			s.publishRelayList()
		}
		for _, host := range s.nodeHosts {
			if s.running(host) && s.now%HeartbeatInterval == 0 {
				s.heartbeat(s.nodes[host])
			}
		}
		for _, host := range s.relayHosts {
			if s.running(host) {
				s.tickRelay(s.relays[host])
			}
		}
	}
}

func (s *simulation) heartbeat(n *simulatedNode) {
	relay := s.relayFor(n)
	if relay == "" {
		return
	}
	e := proto.Clone(n.entry).(*apiv1.Entry)
	if e.Relay != relay {
		e.Relay = relay
		e.Sequence++
	}
	r := s.relays[relay]
	report := &apiv1.NodeReport{Host: e.Host, Incarnation: e.Incarnation, Sequence: e.Sequence}
	held, need := r.Heartbeat(s.now, report, nil)
	if held != nil && held.Incarnation == e.Incarnation && held.State == failed {
		e.Sequence = held.Sequence + 1
		need = true
	}
	if need {
		report.Sequence = e.Sequence
		r.Heartbeat(s.now, report, e)
	}
	n.entry = e
}

func (s *simulation) relayFor(n *simulatedNode) string {
	var names []string
	for _, host := range s.relayHosts {
		if s.relays[host].self.DataCenter == n.entry.DataCenter && s.connected(n.entry.Host, host) {
			names = append(names, host)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return Rendezvous(n.entry.Host, names)[0]
}

func (s *simulation) tickRelay(r *Relay) {
	work := r.Tick(s.now)
	for _, p := range work.Probes {
		at := r.self.Host
		if p.Via != "" {
			if !s.connected(r.self.Host, p.Via) {
				continue
			}
			at = p.Via
		}
		if n := s.nodes[p.Host]; n != nil && s.connected(at, p.Host) {
			r.HandleProbeResult(s.now, p.Host, n.entry.Incarnation, true)
		}
	}
	for _, p := range work.Pulls {
		if !s.connected(r.self.Host, p.Relay.Host) {
			continue
		}
		resp := s.relays[p.Relay.Host].Exchange(s.now, p.Request)
		s.exchangedBytes += proto.Size(resp) + proto.Size(p.Request)
		r.HandleExchangeResponse(s.now, p.Relay.Host, resp)
	}
}

// countEntries returns the number of entries of a data centre in the given state in a
// relay's table.
func (s *simulation) countEntries(relay, center string, state apiv1.EndpointState) int {
	n := 0
	s.relays[relay].Table().VisitAll(func(e *apiv1.Entry) {
		if e.DataCenter == center && e.State == state {
			n++
		}
	})
	return n
}
