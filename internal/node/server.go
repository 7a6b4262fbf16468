package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/core/measure"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/front"

	apiv1 "cactuspath/api/cactuspath/v1"
)

const (
	// serverLease is how long an announcement counts without renewal.
	serverLease = 10 * time.Second
	leaseCheck  = time.Second
	// forerunnerTime is how young a process is that may follow one whose last starts
	// still count on a cold server.
	forerunnerTime = 2 * time.Second
)

// server is the announced backend server with its gate.
type server struct {
	service  string
	address  string
	slots    uint32
	draining bool
	instance string
	// startedAt is when the backend server started, in Unix milliseconds by its own
	// clock; 0 if it does not tell.
	startedAt int64
	sequence  uint64
	expires   time.Time
	endpoint  *endpoint.Endpoint
}

var errOtherService = errors.New("this node serves a backend server of another service; withdraw that one first, or run one node for each")

// Ready tells whether callers may be sent here: there is a configuration and no
// planned stop.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.records.Revision() > 0 && !n.unready
}

// newServer sets up what an announcement tells of; the caller holds the lock. The
// gate has its slots before anybody can hear of the server: a heartbeat that went
// out between the two brought requests to a gate without any, which refused them
// all as full.
func (n *Node) newServer(a Announcement) *server {
	config := gate.Config{}
	if spec, slots := n.serving(a.Service, a.Slots); slots > 0 {
		config = n.gateConfig(spec, slots, 1)
	}
	e := endpoint.New(endpoint.Options{
		Host: n.options.Host, Incarnation: n.incarnation.Load, Send: n.reports.send, Revision: n.Revision, Heard: n.heard, Counters: n.gates, Dialect: n.options.Dialect, Quarantine: n.quarantine, Overload: n.overload,
	}, config)
	if n.served {
		e.SetSuccessor()
	}
	if time.Since(n.start) < forerunnerTime {
		e.AssumeStarts()
	}
	n.served = true
	return &server{service: a.Service, endpoint: e}
}

// serving is what is known of a service, and the slots of a backend server that
// announced a number, or none; the caller holds the lock.
func (n *Node) serving(service string, announced uint32) (*apiv1.ServiceSpec, uint32) {
	spec := n.records.Service(service).GetSpec()
	slots := spec.GetSlots()
	if announced > 0 {
		slots = announced
	}
	if spec == nil {
		// Other nodes may have the configuration already and send requests here: the
		// server's own word is enough to run them. What it bears while it is cold is
		// not known: one request a second for each slot is less than any server does.
		spec = &apiv1.ServiceSpec{Queue: slots, ColdRequestsPerSecond: slots}
	}
	return spec, slots
}

// gateConfig is a gate's part of what the estate says of a service with a number of
// gates; the caller holds the lock.
func (n *Node) gateConfig(spec *apiv1.ServiceSpec, slots uint32, gates int) gate.Config {
	m := spec.Measure
	return gate.Config{
		Slots: int(slots), Queue: int(spec.Queue), SlowStart: time.Duration(spec.SlowStartMs) * time.Millisecond, ColdStarts: int(spec.ColdRequestsPerSecond), Siblings: true,
		ReportsPerSecond: max(measure.GateShare(m.GetReportsPerSecond(), gates), int(m.GetReportsPerEndpoint())),
		BytesPerSecond:   max(measure.GateShare(m.GetBytesPerSecond(), gates), int(m.GetBytesPerEndpoint())),
		Off:              n.disabled,
	}
}

// withdraw ends an announcement.
func (n *Node) withdraw(why string) {
	n.mu.Lock()
	s := n.server
	if s == nil {
		n.mu.Unlock()
		return
	}
	n.server = nil
	if s.instance != "" {
		n.retired.add(s.instance, s.startedAt)
	}
	n.sequence++
	n.mu.Unlock()
	klog.InfoS("Backend server withdrawn", "host", n.options.Host, "service", s.service, "why", why)
	s.endpoint.SetDraining(true)
	n.member.kick()
	go n.retire(s.endpoint)
}

// retire closes the endpoint of a withdrawn backend server once its requests
// have ended, or the stop timeout has passed.
func (n *Node) retire(e *endpoint.Endpoint) {
	for deadline := time.Now().Add(n.options.StopTimeout); e.InFlight() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPoll)
	}
	e.Close()
}

// watchServer ends an announcement that is not renewed.
func (n *Node) watchServer(ctx context.Context) {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		expired := n.server != nil && time.Now().After(n.server.expires)
		n.mu.Unlock()
		if expired {
			n.withdraw("its lease ran out")
		}
	}
}

func (n *Node) closeServer() {
	if e := n.currentEndpoint(); e != nil {
		e.Close()
	}
}

func (n *Node) currentEndpoint() *endpoint.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil {
		return nil
	}
	return n.server.endpoint
}

// Endpoint returns the local endpoint if it serves the service.
func (n *Node) Endpoint(service string) *endpoint.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil || n.server.service != service {
		return nil
	}
	return n.server.endpoint
}

// apply carries the newest records and entries to the proxy and the gate.
func (n *Node) apply() {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.mu.Lock()
	revision := n.records.Revision()
	records, routes, limits := n.records.Services(), n.records.Routes(), n.records.Limits()
	byService := n.view.ByService()
	s := n.server
	n.mu.Unlock()
	if revision > 0 {
		// Without a configuration every request would be told that it has no route,
		// which its caller takes for final.
		n.proxy.Configure(records, routes)
		n.front.SetLimits(frontLimits(limits))
	}
	n.proxy.Update(n.candidates(byService))
	n.quarantine.SetPeers(n.reports.setNodes(byService))
	if s != nil {
		n.applyGate(s, byService[s.service])
	}
	n.closeGate()
}

func frontLimits(l *apiv1.CallerLimits) front.Limits {
	return front.Limits{MaxHeaderBytes: int(l.MaxHeaderBytes), MaxBodyBytes: int64(l.MaxBodyBytes),
		HeaderTimeout: time.Duration(l.HeaderTimeoutMs) * time.Millisecond, IdleTimeout: time.Duration(l.IdleTimeoutMs) * time.Millisecond}
}

func (n *Node) candidates(byService map[string][]*apiv1.Entry) map[string][]balancer.Candidate {
	evacuated := n.evacuations()
	out := make(map[string][]balancer.Candidate, len(byService))
	for service, entries := range byService {
		list := make([]balancer.Candidate, 0, len(entries))
		for _, e := range entries {
			list = append(list, balancer.Candidate{Host: e.Host, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation, Slots: int(e.Slots),
				Distance: n.distance(e), Near: e.DataCenter == n.options.DataCenter, Draining: e.State == apiv1.EndpointState_ENDPOINT_STATE_DRAINING,
				Evacuated: evacuated(e.DataCenter)})
		}
		out[service] = list
	}
	return out
}

// evacuations tells which data centres are evacuated, as of now.
func (n *Node) evacuations() func(dataCenter string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	emptied := map[string]bool{}
	for _, d := range n.records.DataCenters() {
		emptied[d.DataCenter] = d.Evacuated
	}
	return func(dataCenter string) bool { return emptied[dataCenter] }
}

// Assumed one-way delays, until a connection was measured.
const (
	sameHost   = 50 * time.Microsecond
	sameCenter = 250 * time.Microsecond
	sameRegion = 1500 * time.Microsecond
	farAway    = 20 * time.Millisecond
)

func (n *Node) distance(e *apiv1.Entry) time.Duration {
	if d := n.proxy.Distance(e.PeerAddress); d > 0 {
		return d
	}
	switch {
	case e.Host == n.options.Host:
		return sameHost
	case e.DataCenter == n.options.DataCenter:
		return sameCenter
	case e.Region == n.options.Region:
		return sameRegion
	}
	return farAway
}

func (n *Node) applyGate(s *server, entries []*apiv1.Entry) {
	n.mu.Lock()
	spec, slots := n.serving(s.service, s.slots)
	config := n.gateConfig(spec, slots, max(1, len(entries)))
	n.mu.Unlock()
	if slots == 0 {
		return
	}
	s.endpoint.Configure(config)
	s.endpoint.SetHealthPath(spec.HealthPath)
	s.endpoint.SetSiblings(n.siblings(entries))
}

// siblings lists the service's other gates that may get requests.
func (n *Node) siblings(entries []*apiv1.Entry) []gate.Sibling {
	evacuated := n.evacuations()
	list := make([]gate.Sibling, 0, len(entries))
	for _, e := range entries {
		if e.Host != n.options.Host && !evacuated(e.DataCenter) {
			list = append(list, gate.Sibling{Host: e.Host, Distance: n.distance(e), DataCenter: e.DataCenter, Near: e.DataCenter == n.options.DataCenter})
		}
	}
	return list
}

// applyDraining closes or opens the gate as the node's drains say.
func (n *Node) applyDraining() {
	n.applying.Lock()
	defer n.applying.Unlock()
	n.closeGate()
}

// closeGate closes or opens the gate; applying is held.
func (n *Node) closeGate() {
	n.mu.Lock()
	draining, evacuated, s := n.draining(), n.records.Evacuated(n.options.DataCenter), n.server
	changed := evacuated != n.evacuated
	n.evacuated = evacuated
	n.mu.Unlock()
	if changed {
		klog.InfoS("Evacuation changed", "host", n.options.Host, "dataCenter", n.options.DataCenter, "evacuated", evacuated, "revision", n.Revision())
	}
	if s != nil {
		s.endpoint.SetDraining(draining)
		s.endpoint.SetEvacuated(evacuated)
	}
}
