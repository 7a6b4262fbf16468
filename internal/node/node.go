// Package node runs beside one backend server: it serves callers, guards the
// backend server with its gate, takes part in the directory, holds the
// configuration, and acts as a relay of its data centre when chosen.
package node

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
	"cactuspath/core/mechanism"
	"cactuspath/core/rollout"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/front"
	"cactuspath/internal/hop"
	"cactuspath/internal/proxy"
	"cactuspath/internal/transport"
)

// Options set up a Node.
type Options struct {
	Host, DataCenter, Region string
	// Callers, Peer and Admin are open listeners; Reports is the UDP socket on
	// the peer address.
	Callers, Peer, Admin net.Listener
	Reports              net.PacketConn
	PeerAddress          string
	Security             *transport.Security
	Control              *controlclient.Client
	StopTimeout          time.Duration
	// Dialect names the header fields of callers and backend servers; nil for ours.
	Dialect *hop.Dialect
	// Service is the service beside this node, if the settings say so; otherwise
	// it is what the backend server announces.
	Service string
	// Backend is the address of the backend server, if the settings say so. The node
	// then looks for it itself at the start and does not wait to be told.
	Backend string
	// WatchControl has the node watch control replicas, so that changes are in
	// force within milliseconds; without it they come with the heartbeats.
	WatchControl bool
	// Retry bounds the second attempts of all nodes; zero for the estate's terms.
	Retry proxy.Shared
	// Disabled are mechanisms of the decision code that are switched off.
	Disabled mechanism.Set
}

// Node is one node. Safe for concurrent use.
type Node struct {
	options     Options
	start       time.Time
	incarnation atomic.Uint64
	// revision is that of records. Every call reads it, without waiting for a
	// heartbeat's answer to be taken in.
	revision atomic.Uint64
	proxy    *proxy.Handler
	calls    *proxy.Counters
	gates    *endpoint.Counters
	counters counters
	member   *member
	relay    *relay
	peers    *peerClients
	reports  *reports
	watcher  *watcher
	front    *front.Server
	callers  *inFlight

	mu      sync.Mutex
	records *rollout.Records
	view    *directory.View
	server  *server
	retired retired
	// served: a backend server was announced since this node started.
	served   bool
	disabled mechanism.Set
	sequence uint64
	// unready: a planned stop began. stopping: its gate has closed.
	unready, stopping bool
	departed          bool
	// needed are services that callers asked for, beside the hosted one and
	// those it depends on.
	needed map[string]bool
	// changed is closed and replaced when records or view change.
	changed chan struct{}
	// confirmed: the configuration came from a relay that a leader confirmed.
	confirmed bool
}

// New returns a node that is ready to run.
func New(options Options) *Node {
	n := &Node{
		options: options, start: time.Now(), calls: proxy.NewCounters(), gates: endpoint.NewCounters(),
		records: rollout.NewRecords(), view: directory.NewView(), needed: map[string]bool{}, changed: make(chan struct{}), callers: &inFlight{},
	}
	n.incarnation.Store(uint64(time.Now().UnixMilli()))
	n.peers = newPeerClients(options.Security)
	n.reports = newReports(n)
	n.relay = newRelay(n)
	n.member = newMember(n)
	n.watcher = newWatcher(n)
	n.proxy = proxy.New(proxy.Options{
		Host: options.Host, DataCenter: options.DataCenter, Security: options.Security, Local: n, Need: n.need, Heard: n.heard, Revision: n.Revision, Revoke: n.revoke, Counters: n.calls,
		Dialect: options.Dialect, CallerService: n.service, Shared: options.Retry, Alive: n.alive,
	})
	n.disabled = options.Disabled
	n.proxy.Disable(options.Disabled)
	n.front = front.New(n.callers.count(n.proxy))
	return n
}

// Disable switches mechanisms of the decision code off, and all others on.
func (n *Node) Disable(off mechanism.Set) {
	n.mu.Lock()
	same := n.disabled == off
	n.disabled = off
	n.mu.Unlock()
	if same {
		return
	}
	klog.InfoS("Mechanisms switched", "host", n.options.Host, "disabled", off.Names())
	n.proxy.Disable(off)
	n.apply()
}

// Run serves until ctx ends, then stops as planned: no new work, work in
// flight ends, the directory is told.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := n.serve()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){n.member.run, n.relay.run, n.reports.run, n.watchServer, n.watcher.run, n.watcher.announce, n.findServer} {
		loops.Go(func() { loop(background) })
	}
	klog.InfoS("Node started", "host", n.options.Host, "callers", n.options.Callers.Addr(), "peer", n.options.PeerAddress, "admin", n.options.Admin.Addr(),
		"disabled", n.options.Disabled.Names())
	<-ctx.Done()
	err := n.stop(servers)
	cancel()
	_ = n.options.Reports.Close()
	loops.Wait()
	n.closeServer()
	klog.InfoS("Node stopped", "host", n.options.Host, "cut", err)
	return err
}

// Address returns where callers reach this node.
func (n *Node) Address() string { return n.options.Callers.Addr().String() }

// AdminAddress returns where the backend server announces itself.
func (n *Node) AdminAddress() string { return n.options.Admin.Addr().String() }

// listening is a server with its listener.
type listening interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

func (n *Node) serve() []listening {
	peer := &http.Server{Handler: n.peerHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	admin := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: headerTimeout}
	start := func(s listening, l net.Listener) {
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "Listener failed", "address", l.Addr())
			}
		}()
	}
	start(n.front, n.options.Callers)
	start(peer, n.options.Security.Wrap(n.options.Peer))
	start(admin, n.options.Admin)
	return []listening{n.front, peer, admin}
}

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	drainPoll     = 20 * time.Millisecond
)

const (
	// serveOnTime is for how long a node that stops still gives its backend server
	// work. Its own callers take about two seconds to see that it is not ready, and
	// the process has to wait for them; a gate that closed at once would take the
	// backend server out of its service for all of that time.
	serveOnTime = time.Second
	// lingerTime is how long a node answers after its gate closed: by then the
	// directory has told everybody. A connection closed under a request that was just
	// sent would leave its outcome unknown; refused, it goes elsewhere.
	lingerTime = 2 * time.Second
	// departTime is how long it answers after it told the directory that it is gone.
	// Nodes that have it for their relay ask once a heartbeat, and learn so of
	// another one.
	departTime = directory.HeartbeatInterval
)

// stop carries out a planned stop. The error names what was cut because the
// stop timeout passed.
func (n *Node) stop(servers []listening) error {
	klog.InfoS("Planned stop began", "host", n.options.Host, "callersInFlight", n.callers.now(), "gateInFlight", n.InFlight())
	n.front.Drain()
	n.mu.Lock()
	n.unready = true
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.options.StopTimeout)
	defer cancel()
	n.serveOn(ctx)
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.applyDraining()
	n.member.kick()
	closed := time.Now()
	klog.InfoS("Gate closed for the planned stop", "host", n.options.Host, "callersInFlight", n.callers.now(), "gateInFlight", n.InFlight())
	n.waitDrained(ctx)
	n.depart(ctx)
	n.linger(ctx, max(departTime, lingerTime-time.Since(closed)))
	var cut error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			cut = errors.Wrap(err, "requests were still in flight when stopTimeout passed and were cut; allow more in the settings")
			_ = s.Close()
		}
	}
	return cut
}

// serveOn lets the gate go on for a while, unless its backend server is leaving
// or gone.
func (n *Node) serveOn(ctx context.Context) {
	for end := time.Now().Add(serveOnTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(drainPoll) {
		n.mu.Lock()
		serving := n.server != nil && !n.draining()
		n.mu.Unlock()
		if !serving {
			return
		}
	}
}

// waitDrained waits until nothing runs or waits at the gate. Callers' requests
// that this node sends elsewhere are not waited for here: new ones may go on
// coming until the listeners close, which lets those under way end.
func (n *Node) waitDrained(ctx context.Context) {
	for n.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

// depart tells the directory that this node is gone for good.
func (n *Node) depart(ctx context.Context) {
	n.mu.Lock()
	n.departed = true
	n.mu.Unlock()
	n.member.syncNow(ctx)
}

func (n *Node) linger(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// InFlight counts the requests that run or wait at the gate here.
func (n *Node) InFlight() int {
	if e := n.currentEndpoint(); e != nil {
		return e.InFlight()
	}
	return 0
}

// Revision is the newest configuration this node holds.
func (n *Node) Revision() uint64 { return n.revision.Load() }

// heard takes note of a revision that another node mentioned: one that missed
// a change pulls it at once.
func (n *Node) heard(revision uint64) {
	if revision > n.Revision() && !n.options.WatchControl {
		n.member.kick()
	}
}

// need waits until a relay has answered for a service that this node did not
// know. It returns at once for one that a relay has answered for, whatever the
// answer was: a service without endpoints must not hold its callers up.
func (n *Node) need(ctx context.Context, service string) error {
	for {
		n.mu.Lock()
		answered := n.view.Answered(service)
		asked := n.needed[service]
		n.needed[service] = true
		changed := n.changed
		n.mu.Unlock()
		if answered {
			return nil
		}
		if !asked {
			n.member.kick()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// service is the service beside this node.
func (n *Node) service() string {
	if n.options.Service != "" {
		return n.options.Service
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.server == nil {
		return ""
	}
	return n.server.service
}

// signalChange wakes those who wait for records or entries.
func (n *Node) signalChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// maxPrefetched is up to how many services a node asks for all that have routes,
// so that no first request waits for a round trip to a relay. In a fleet of
// hundreds of services it asks for those that are called.
const maxPrefetched = 64

// subscription lists the services this node needs in full.
func (n *Node) subscription() []string {
	set := map[string]bool{}
	for s := range n.needed {
		set[s] = true
	}
	if routed := n.proxy.RoutedServices(); len(routed) <= maxPrefetched {
		for _, s := range routed {
			set[s] = true
		}
	}
	if n.server != nil {
		set[n.server.service] = true
		for _, d := range n.records.Service(n.server.service).GetSpec().GetDependsOn() {
			set[d] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// entry renders what this node says of itself.
func (n *Node) entry(relay string) *apiv1.Entry {
	e := &apiv1.Entry{Host: n.options.Host, DataCenter: n.options.DataCenter, Region: n.options.Region, PeerAddress: n.options.PeerAddress,
		Incarnation: n.incarnation.Load(), Sequence: n.sequence, State: n.state(), Relay: relay, ChangedUnixMs: time.Now().UnixMilli()}
	if n.server != nil {
		e.Service, e.Slots = n.server.service, n.server.slots
	}
	return e
}

// claim is what an entry would say anew; the caller holds the lock.
func (n *Node) claim() claim { return claim{n.incarnation.Load(), n.sequence, n.state()} }

func (n *Node) state() apiv1.EndpointState {
	switch {
	case n.departed:
		return apiv1.EndpointState_ENDPOINT_STATE_DEPARTED
	case n.draining():
		return apiv1.EndpointState_ENDPOINT_STATE_DRAINING
	}
	return apiv1.EndpointState_ENDPOINT_STATE_SERVING
}

// draining: a planned stop was announced by the operator, by the backend
// server, or by stopping this process.
func (n *Node) draining() bool {
	return n.stopping || n.records.Draining(n.options.Host) || n.server != nil && n.server.draining
}

// inFlight counts callers' requests.
type inFlight struct{ requests atomic.Int64 }

func (f *inFlight) now() int { return int(f.requests.Load()) }

func (f *inFlight) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		defer f.requests.Add(-1)
		next.ServeHTTP(w, r)
	})
}
