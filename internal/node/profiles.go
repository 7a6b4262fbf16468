package node

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/gate"
	"cactuspath/core/mechanism"
	"cactuspath/core/profile"
	"cactuspath/internal/endpoint"
)

const (
	// learnedInterval is the least time between two reports of what the gate has learned to
	// one replica. A report has at most 64 classes of some 40 bytes, so that reports to two
	// replicas stay below 1 kB per second with the longest usual names.
	learnedInterval = 5 * time.Second
	// contentionSearch is how long a node that has a profile without a contention factor goes
	// on asking for one with it: replicas hear from different nodes, so that one may know
	// what another does not. Later, the factor comes with the siblings' load reports.
	contentionSearch = 10 * time.Second
	// searchInterval is the least time between two such requests.
	searchInterval = time.Second
	// profileTimeout limits one extra request for a profile; the next watch asks again.
	profileTimeout = 500 * time.Millisecond
)

// profiles exchanges service profiles with the control replicas: it reports what the local
// gate has learned, and gives a gate that has just started the profile of its service. It
// is safe for concurrent use.
type profiles struct {
	n *Node
	// ask makes the node ask for a profile at once instead of with the next watch.
	ask chan struct{}
	// learn returns what the gate of an endpoint has learned.
	learn func(*endpoint.Endpoint) gate.Learned

	mu sync.Mutex
	// service is the service of profile; it is empty until a profile is received.
	service    string
	profile    gate.Learned
	receivedAt time.Time
	// askedAt is when the node last asked for a profile.
	askedAt time.Time
	// seeded is the endpoint whose gate was given a profile, with the contention factor if
	// seededContention is set.
	seeded           *endpoint.Endpoint
	seededContention bool
	// reported holds, by replica address, the last report that the replica has received.
	reported map[string]learnedReport
}

// learnedReport is what the gate of an endpoint had learned when it was reported.
type learnedReport struct {
	endpoint *endpoint.Endpoint
	at       time.Time
	learned  gate.Learned
}

func newProfiles(n *Node) *profiles {
	return &profiles{n: n, ask: make(chan struct{}, 1), learn: (*endpoint.Endpoint).Learned, reported: map[string]learnedReport{}}
}

// enabled reports whether profiles are exchanged. The caller holds the node's lock.
func (p *profiles) enabled() bool {
	return p.n.options.LearnedProfiles && !p.n.disabled.Has(mechanism.Profile)
}

// profileService is the service whose profile the node needs: that of its backend server,
// or the one in its settings before the server is announced. The caller holds the node's
// lock.
func (n *Node) profileService() string {
	if n.server != nil {
		return n.server.service
	}
	return n.options.Service
}

// fill sets the fields of a watch that concern profiles, and returns a function to call
// when the replica has answered. The caller holds the node's lock.
func (p *profiles) fill(address string, req *apiv1.WatchRequest) (answered func(*apiv1.WatchResponse)) {
	service := p.n.profileService()
	if !p.enabled() || service == "" {
		return func(*apiv1.WatchResponse) {}
	}
	req.WantProfile = p.wants(service)
	report := p.report(address)
	if report != nil {
		req.Learned = profile.ToMessage(service, report.learned)
	} else if req.WantProfile {
		// Names the service before the entry has one.
		req.Learned = &apiv1.ServiceLearned{Service: service}
	}
	return func(resp *apiv1.WatchResponse) {
		if report != nil {
			p.mu.Lock()
			p.reported[address] = *report
			p.mu.Unlock()
		}
		p.receive(resp.Profile)
	}
}

// wants reports whether the node should ask now for the profile of the service, since it
// has none or one that is not complete.
func (p *profiles) wants(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.service == service && (p.profile.Contention > 0 || now.Sub(p.receivedAt) > contentionSearch || now.Sub(p.askedAt) < searchInterval) {
		return false
	}
	p.askedAt = now
	return true
}

// report returns what the replica should be told; nil if there is nothing new. That
// contention became known is reported at once: it needs several gates, and is what a
// restart of all of them needs most. The caller holds the node's lock.
func (p *profiles) report(address string) *learnedReport {
	if p.n.server == nil {
		return nil
	}
	r := &learnedReport{endpoint: p.n.server.endpoint, at: time.Now()}
	r.learned = p.learn(r.endpoint)
	p.mu.Lock()
	before := p.reported[address]
	p.mu.Unlock()
	if before.endpoint != r.endpoint {
		before = learnedReport{}
	}
	contentionIsNew := r.learned.Contention > 0 && before.learned.Contention == 0
	if r.at.Sub(before.at) < learnedInterval && !contentionIsNew || !r.learned.DiffersFrom(before.learned) {
		return nil
	}
	return r
}

// receive stores a profile and seeds the gate.
func (p *profiles) receive(m *apiv1.ServiceLearned) {
	if m == nil {
		return
	}
	l := profile.FromMessage(m)
	p.mu.Lock()
	switch {
	case p.service != m.Service:
		p.service, p.profile, p.receivedAt = m.Service, l, time.Now()
	case p.profile.Contention == 0 && l.Contention > 0:
		p.profile = l
	}
	p.mu.Unlock()
	p.seed()
}

// forget drops the profile when the backend server is withdrawn. The next server may be
// announced much later, and gets the profile of that time.
func (p *profiles) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.profile, p.seeded = "", gate.Learned{}, nil
}

// seed gives the gate of the backend server the profile of its service, if the node has it
// and the gate has not been given it.
func (p *profiles) seed() {
	p.n.mu.Lock()
	s, enabled := p.n.server, p.enabled()
	p.n.mu.Unlock()
	if s == nil || !enabled {
		return
	}
	p.mu.Lock()
	l := p.profile
	if p.service != s.service || p.seeded == s.endpoint && (p.seededContention || l.Contention == 0) {
		p.mu.Unlock()
		return
	}
	p.seeded, p.seededContention = s.endpoint, l.Contention > 0
	p.mu.Unlock()
	s.endpoint.Seed(l)
	klog.InfoS("Gate seeded with the profile of its service", "host", p.n.options.Host, "service", s.service, "contention", l.Contention, "gates", l.ContentionGates, "classes", len(l.Classes))
}

// serverAnnounced seeds the gate of a new backend server, or asks for its profile.
func (p *profiles) serverAnnounced() {
	p.n.mu.Lock()
	enabled, service := p.enabled(), p.n.profileService()
	p.n.mu.Unlock()
	if !enabled {
		return
	}
	p.seed()
	p.mu.Lock()
	missing := p.service != service
	p.mu.Unlock()
	if missing {
		select {
		case p.ask <- struct{}{}:
		default:
		}
	}
}

// run asks the watched replicas for the profile when the service becomes known after the
// watches were sent. Each replica would otherwise answer only when it ends its hold.
func (p *profiles) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.ask:
		}
		for _, address := range p.n.watcher.watchedAddresses() {
			if p.askReplica(ctx, address) {
				break
			}
		}
	}
}

// askReplica asks one replica, without a hold, and reports whether the node need not ask
// another one.
func (p *profiles) askReplica(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, profileTimeout)
	defer cancel()
	p.n.mu.Lock()
	req := &apiv1.WatchRequest{Host: p.n.options.Host, Revision: p.n.Revision()}
	answered := p.fill(address, req)
	p.n.mu.Unlock()
	if !req.WantProfile {
		return true
	}
	resp, err := p.n.options.Control.At(address).Control.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		return false
	}
	answered(resp.Msg)
	return resp.Msg.Profile.GetContentionPercent() > 0
}

// seededGates is 1 if the current gate has been given a profile, and 0 otherwise.
func (p *profiles) seededGates() int {
	e := p.n.currentEndpoint()
	p.mu.Lock()
	defer p.mu.Unlock()
	if e != nil && p.seeded == e {
		return 1
	}
	return 0
}
