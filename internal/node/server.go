package node

import (
	"context"
	"slices"
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
	// serverLease is the lease of a registration: how long it is valid after the last
	// announcement.
	serverLease        = 10 * time.Second
	leaseCheckInterval = time.Second
	// If a backend server is registered within predecessorWindow after the start of
	// this process, the gate assumes that the previous process of the node has just
	// sent requests to the server. They count towards the server's limits.
	predecessorWindow = 2 * time.Second
)

// server is the registered backend server and the endpoint that contains its gate.
type server struct {
	service  string
	address  string
	slots    uint32
	draining bool
	instance string
	// startedAt is the start time of the backend server in Unix milliseconds by its own
	// clock, or 0 if unknown.
	startedAt int64
	sequence  uint64
	expires   time.Time
	endpoint  *endpoint.Endpoint
	// siblingsSetAt is when the gate was given its siblings, those of siblingEntries with
	// the evacuations of siblingsGeneration; guarded by applyMu.
	siblingsSetAt      time.Time
	siblingEntries     []*apiv1.Entry
	siblingsGeneration uint64
}

var errServiceMismatch = errors.New("this node serves a backend server of another service; withdraw that one first, or run one node for each")

// Ready reports whether callers may send requests to this node: it has a configuration
// and no planned stop has begun.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.records.Revision() > 0 && !n.unready
}

// newServer creates the server described by an announcement. The caller holds the lock.
// The gate gets its slots before any other node can learn of the server. A heartbeat
// sent between these two steps would bring requests to a gate without slots, which
// refuses all of them as full.
func (n *Node) newServer(a Announcement) *server {
	config := gate.Config{}
	if spec, slots := n.specAndSlots(a.Service, a.Slots); slots > 0 {
		config = n.gateConfig(spec, slots, 1)
	}
	e := endpoint.New(endpoint.Options{
		Host: n.options.Host, Incarnation: n.incarnation.Load, SendReport: n.reports.send, Revision: n.Revision, ObserveRevision: n.observeRevision, LeavingChanged: n.applyLeaving, Counters: n.gates, Dialect: n.options.Dialect, Quarantine: n.quarantine, Overload: n.overload, Link: n.link, LinkBacklog: n.link.Backlog,
	}, config)
	if n.records.Revision() > 0 {
		// The first requests may arrive before the configuration is applied to the gate.
		e.SetHealthPath(n.records.Service(a.Service).GetSpec().GetHealthPath())
	}
	if n.hadServer {
		e.SetReplacesEarlierEndpoint()
	}
	if n.hadServer || time.Since(n.start) < predecessorWindow {
		e.AssumeEarlierStarts()
	}
	n.hadServer = true
	return &server{service: a.Service, endpoint: e}
}

// specAndSlots returns the specification of a service, or a default if it is not
// configured, and the number of slots of its backend server: the announced number or,
// if that is 0, the configured one. The caller holds the lock.
func (n *Node) specAndSlots(service string, announced uint32) (*apiv1.ServiceSpec, uint32) {
	spec := n.records.Service(service).GetSpec()
	slots := spec.GetSlots()
	if announced > 0 {
		slots = announced
	}
	if spec == nil {
		// Other nodes may already have the configuration and send requests here, and
		// the announcement of the server suffices to run them. The rate that the server
		// can handle while it is cold is unknown; one request per second and slot is
		// less than any server can handle.
		spec = &apiv1.ServiceSpec{Queue: slots, ColdRequestsPerSecond: slots}
	}
	return spec, slots
}

// gateConfig returns the configuration of one gate of a service that has the given
// number of gates. The caller holds the lock.
func (n *Node) gateConfig(spec *apiv1.ServiceSpec, slots uint32, gates int) gate.Config {
	m := spec.Measure
	return gate.Config{
		Slots: int(slots), Queue: int(spec.Queue), SlowStart: time.Duration(spec.SlowStartMs) * time.Millisecond, ColdStarts: int(spec.ColdRequestsPerSecond), Siblings: true,
		ReportsPerSecond:   max(measure.GateShare(m.GetReportsPerSecond(), gates), int(m.GetReportsPerEndpoint())),
		BytesPerSecond:     max(measure.GateShare(m.GetBytesPerSecond(), gates), int(m.GetBytesPerEndpoint())),
		LinkBytesPerSecond: n.options.LinkBytesPerSecond, Disabled: n.disabled,
	}
}

// withdraw ends the registration of the backend server for good: no later announcement of this
// process is accepted.
func (n *Node) withdraw(why string) {
	n.mu.Lock()
	s := n.server
	if s == nil {
		n.mu.Unlock()
		return
	}
	if s.instance != "" {
		n.endedProcesses.add(s.instance, s.startedAt)
	}
	n.unregister()
	n.mu.Unlock()
	n.closeUnregistered(s, why)
}

// expire ends the registration of a backend server whose lease has expired. The server may be well:
// it was paused, or its announcements did not arrive or were refused. It is registered again with
// its next announcement.
func (n *Node) expire() {
	n.mu.Lock()
	s := n.server
	if s == nil || time.Now().Before(s.expires) {
		n.mu.Unlock()
		return
	}
	if s.instance != "" {
		n.expired = &expiredServer{instanceProcess{s.instance, s.startedAt}, s.sequence}
	}
	n.unregister()
	n.mu.Unlock()
	n.closeUnregistered(s, "lease expired")
}

// unregister removes the backend server. The caller holds the lock.
func (n *Node) unregister() {
	n.server = nil
	n.sequence++
}

// closeUnregistered closes the gate of a backend server that is not registered any more.
func (n *Node) closeUnregistered(s *server, why string) {
	klog.InfoS("Backend server withdrawn", "host", n.options.Host, "service", s.service, "why", why)
	s.endpoint.SetDraining(true)
	n.profiles.forget()
	n.member.requestSync()
	go n.closeWhenDrained(s.endpoint)
}

// closeWhenDrained closes the endpoint of a withdrawn backend server once its requests
// have finished or the stop timeout has passed.
func (n *Node) closeWhenDrained(e *endpoint.Endpoint) {
	for deadline := time.Now().Add(n.options.StopTimeout); e.InFlight() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	e.Close()
}

// watchServer ends the registration of a backend server that has not renewed it within
// the lease.
func (n *Node) watchServer(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.expire()
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

// Endpoint returns the local endpoint if its backend server runs the service, and nil
// otherwise.
func (n *Node) Endpoint(service string) *endpoint.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil || n.server.service != service {
		return nil
	}
	return n.server.endpoint
}

// apply passes the newest records and entries to the proxy and the gate.
func (n *Node) apply() {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.mu.Lock()
	revision, generation := n.records.Revision(), n.records.Generation()
	// Most changes concern entries only. The routing table of a large configuration takes
	// milliseconds to build, of which a small host has few.
	var configure func()
	if revision > 0 && generation != n.applied.generation {
		configure = n.configuration()
	}
	byService := n.view.ByService()
	s := n.server
	n.mu.Unlock()
	if configure != nil {
		configure()
	}
	changed := n.changedServices(byService, generation)
	if len(changed) > 0 {
		// The addresses come first: a report to a keeper without one would be lost.
		n.quarantine.SetPeers(n.reports.setPeers(byService))
		if n.usage.HasCaps() {
			n.usage.SetMembers(usageMembers(byService, n.proxy.RoutedServices()))
		}
		n.proxy.UpdateServices(n.candidates(changed))
	}
	if s != nil {
		n.configureGate(s, byService[s.service])
	}
	n.updateGateState()
}

// changedServices returns the services whose entries differ from those of the last call, with
// their entries; all services if the generation of the records, and so perhaps an evacuation,
// differs. In a large fleet, a change of one entry must not cost as much as one of all. The
// caller holds applyMu.
func (n *Node) changedServices(byService map[string][]*apiv1.Entry, generation uint64) map[string][]*apiv1.Entry {
	before := n.applied
	n.applied = appliedEntries{byService, generation}
	changed := map[string][]*apiv1.Entry{}
	for service, entries := range byService {
		if generation != before.generation || !sameEntries(entries, before.byService[service]) {
			changed[service] = entries
		}
	}
	for service := range before.byService {
		if _, present := byService[service]; !present {
			changed[service] = nil
		}
	}
	return changed
}

// appliedEntries are the entries that the proxy, the gate and the reports use, and the
// generation of the records: of the configuration in use, and of the evacuations that were
// applied to the entries.
type appliedEntries struct {
	byService  map[string][]*apiv1.Entry
	generation uint64
}

// sameEntries reports whether two lists are the same slice.
func sameEntries(a, b []*apiv1.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// configuration returns a function that applies the current records to the proxy and the
// front. An empty configuration must not be applied: every request would be answered with "no
// route", after which callers do not retry. The caller holds the lock.
func (n *Node) configuration() func() {
	services, routes, limits := n.records.Services(), n.records.Routes(), n.records.Limits()
	accountRecords := n.records.AccountRecords()
	return func() {
		n.proxy.Configure(services, routes, accountRecords)
		n.usage.SetCaps(usageCaps(accountRecords))
		n.front.SetLimits(frontLimits(limits))
	}
}

func frontLimits(l *apiv1.CallerLimits) front.Limits {
	return front.Limits{MaxHeaderBytes: int(l.MaxHeaderBytes), MaxBodyBytes: int64(l.MaxBodyBytes),
		HeaderTimeout: time.Duration(l.HeaderTimeoutMs) * time.Millisecond, IdleTimeout: time.Duration(l.IdleTimeoutMs) * time.Millisecond}
}

// candidates returns the candidates of the given services, in lists that the next call
// reuses. The caller holds applyMu.
func (n *Node) candidates(byService map[string][]*apiv1.Entry) map[string][]balancer.Candidate {
	evacuated := n.evacuatedDataCenters()
	out := make(map[string][]balancer.Candidate, len(byService))
	for service, entries := range byService {
		list := n.candidateLists[service][:0]
		for _, e := range entries {
			list = append(list, balancer.Candidate{Host: e.Host, PeerAddress: e.PeerAddress, Incarnation: e.Incarnation, Slots: int(e.Slots),
				Distance: n.distance(e), Near: e.DataCenter == n.options.DataCenter, Draining: e.State == apiv1.EndpointState_ENDPOINT_STATE_DRAINING,
				Evacuated: evacuated(e.DataCenter)})
		}
		out[service] = list
		n.candidateLists[service] = list
	}
	return out
}

// evacuatedDataCenters returns a function that reports whether a data centre was
// evacuated at the time of the call to evacuatedDataCenters.
func (n *Node) evacuatedDataCenters() func(dataCenter string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	evacuated := map[string]bool{}
	for _, d := range n.records.DataCenters() {
		evacuated[d.DataCenter] = d.Evacuated
	}
	return func(dataCenter string) bool { return evacuated[dataCenter] }
}

// One-way network delays that are assumed until a delay has been measured on a
// connection.
const (
	sameHostDelay       = 50 * time.Microsecond
	sameDataCenterDelay = 250 * time.Microsecond
	sameRegionDelay     = 1500 * time.Microsecond
	otherRegionDelay    = 20 * time.Millisecond
	// distanceRefresh is the age from which the siblings' distances are updated with the next
	// change of an entry.
	distanceRefresh = 5 * time.Second
)

func (n *Node) distance(e *apiv1.Entry) time.Duration {
	if d := n.proxy.Distance(e.PeerAddress); d > 0 {
		return d
	}
	switch {
	case e.Host == n.options.Host:
		return sameHostDelay
	case e.DataCenter == n.options.DataCenter:
		return sameDataCenterDelay
	case e.Region == n.options.Region:
		return sameRegionDelay
	}
	return otherRegionDelay
}

// applyLeaving tells the directory that the backend server has said in an answer that it
// is shutting down, or no longer says so.
func (n *Node) applyLeaving() {
	n.mu.Lock()
	n.sequence++
	n.mu.Unlock()
	n.apply()
	n.member.requestSync()
}

// configureGate applies the configuration and the entries of the service. The caller holds
// applyMu.
func (n *Node) configureGate(s *server, entries []*apiv1.Entry) {
	n.mu.Lock()
	spec, slots := n.specAndSlots(s.service, s.slots)
	config, configured := n.gateConfig(spec, slots, max(1, len(entries))), n.records.Revision() > 0
	n.mu.Unlock()
	if slots == 0 {
		return
	}
	s.endpoint.Configure(config)
	if configured {
		s.endpoint.SetHealthPath(spec.HealthPath)
	}
	// Siblings are selected by their hosts, whatever the state of their entries is.
	if generation := n.applied.generation; time.Since(s.siblingsSetAt) > distanceRefresh || s.siblingsGeneration != generation || !sameHosts(s.siblingEntries, entries) {
		s.endpoint.SetSiblings(n.siblings(entries))
		s.siblingsSetAt, s.siblingsGeneration, s.siblingEntries = time.Now(), generation, entries
	}
}

// sameHosts reports whether two lists, ordered by host, have the same hosts.
func sameHosts(a, b []*apiv1.Entry) bool {
	return slices.EqualFunc(a, b, func(a, b *apiv1.Entry) bool { return a.Host == b.Host })
}

// siblings returns the gates of other hosts for the same service to which requests may
// be sent.
func (n *Node) siblings(entries []*apiv1.Entry) []gate.Sibling {
	evacuated := n.evacuatedDataCenters()
	list := make([]gate.Sibling, 0, len(entries))
	for _, e := range entries {
		if e.Host != n.options.Host && !evacuated(e.DataCenter) {
			list = append(list, gate.Sibling{Host: e.Host, Distance: n.distance(e), DataCenter: e.DataCenter, Near: e.DataCenter == n.options.DataCenter})
		}
	}
	return list
}

// applyDraining closes or opens the gate according to the drain state of the node.
func (n *Node) applyDraining() {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.updateGateState()
}

// updateGateState closes or opens the gate. The caller holds applyMu.
func (n *Node) updateGateState() {
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
