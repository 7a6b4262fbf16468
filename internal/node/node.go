// Package node implements the proxy process on a host, next to the backend server of
// that host. A node accepts requests of callers and forwards them to backend servers,
// limits the load on its own backend server with a gate, publishes its state in the
// directory of all nodes and holds the configuration. Some nodes also act as relays:
// they distribute the directory and the configuration to the other nodes of their data
// centre.
package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/balancer"
	"cactuspath/core/directory"
	"cactuspath/core/mechanism"
	"cactuspath/core/rollout"
	coreusage "cactuspath/core/usage"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/front"
	"cactuspath/internal/hangup"
	"cactuspath/internal/hop"
	"cactuspath/internal/link"
	"cactuspath/internal/overload"
	"cactuspath/internal/proxy"
	"cactuspath/internal/quarantine"
	"cactuspath/internal/resources"
	"cactuspath/internal/transport"
	"cactuspath/internal/usage"
)

// Options configure a Node.
type Options struct {
	Host, DataCenter, Region string
	// Callers, Peer and Admin are open listeners; Reports is the UDP socket on the peer
	// address.
	Callers, Peer, Admin net.Listener
	Reports              net.PacketConn
	PeerAddress          string
	Security             *transport.Security
	Control              *controlclient.Client
	StopTimeout          time.Duration
	// Dialect defines the names of the header fields that callers and backend servers
	// use; nil means the default names.
	Dialect *hop.Dialect
	// Service is the service of the backend server next to this node, or empty if the
	// backend server announces its service itself.
	Service string
	// Backend is the address of the backend server, or empty if unknown. If it is set,
	// the node queries the backend server at startup instead of waiting for its
	// announcement.
	Backend string
	// WatchControl makes the node watch control replicas, so that configuration changes
	// take effect within milliseconds. Otherwise, the node receives them from its relay
	// in the responses to its heartbeats.
	WatchControl bool
	// Retry limits the retries that all nodes together send; zero means the limits in
	// the estate.
	Retry proxy.SharedRetryBudget
	// Usage is how far the requests of client accounts may exceed their usage caps.
	Usage coreusage.Tolerance
	// KeyLease is how long keys of client accounts are accepted after the last contact with
	// the control replicas, direct or through a relay; 0 means without limit.
	KeyLease time.Duration
	// ConfigurationLease is how long this node refuses requests for good by its configuration after
	// that was last confirmed; 0 means without limit.
	ConfigurationLease time.Duration
	// LinkBytesPerSecond is the bandwidth of the host's link; 0 means that large responses
	// are not paced.
	LinkBytesPerSecond float64
	// LearnedProfiles makes the gate share what it learns through the control replicas.
	LearnedProfiles bool
	// RetryByNeed makes retries go first to the requests that have no other chance.
	RetryByNeed bool
	// Disabled is the set of decision mechanisms that are switched off.
	Disabled mechanism.Set
	// Resources limit what all connections of the process hold; nil means that they are not limited.
	Resources *resources.Resources
}

// Node serves one host and its backend server. It is safe for concurrent use.
type Node struct {
	options     Options
	start       time.Time
	incarnation atomic.Uint64
	// revision is the revision of records. It is atomic because every call reads it,
	// and a call must not wait for mu while a heartbeat response is applied.
	revision atomic.Uint64
	// controlHeardAt is when the configuration of this node was last known to be the newest, in
	// nanoseconds since start.
	controlHeardAt atomic.Int64
	proxy          *proxy.Handler
	calls          *proxy.Counters
	gates          *endpoint.Counters
	counters       counters
	member         *member
	relay          *relay
	peers          *peerClients
	reports        *reports
	// quarantine holds the contents of requests that repeatedly crash servers, and
	// keeps such requests away from the servers.
	quarantine *quarantine.Tracker
	// overload refuses requests while this process does not get enough processor time.
	overload *overload.Monitor
	// link paces large responses on the link of this host; nil if its bandwidth is unknown.
	link *link.Link
	// usage enforces the usage caps of client accounts.
	usage   *usage.Accountant
	watcher *watcher
	// profiles exchanges service profiles with the control replicas.
	profiles *profiles
	front    *front.Server
	callers  *requestCounter

	mu             sync.Mutex
	records        *rollout.Records
	view           *directory.View
	server         *server
	endedProcesses endedProcesses
	// expired is the last backend server whose lease expired, until a server is registered again.
	expired *expiredServer
	// hadServer is set when the first backend server is announced to this process, and
	// stays set.
	hadServer bool
	disabled  mechanism.Set
	sequence  uint64
	// applyMu is held from reading the current state until it is applied to the proxy
	// and the gate. Without it, of two concurrent calls, the one that read the older
	// state could apply it last: an older configuration or drain state would then stay
	// in effect until the next change. applyMu is locked before mu.
	applyMu sync.Mutex
	// applied are the entries and the generation of the records that were applied last;
	// guarded by applyMu.
	applied appliedEntries
	// candidateLists are the buffers of candidates, by service; guarded by applyMu.
	candidateLists map[string][]balancer.Candidate
	// unready is set when a planned stop begins: callers should use another node.
	// stopping is set later in the stop, when the gate closes.
	unready, stopping bool
	departed          bool
	// evacuated is set while this node's data centre is evacuated by an operator.
	evacuated bool
	// requested holds the services that callers requested, in addition to the service
	// of the local backend server and those that it depends on.
	requested map[string]bool
	// changed is closed and replaced when records or view change.
	changed chan struct{}
	// confirmed is set if a leader of the control replicas recently confirmed to the
	// source of the configuration that it is the newest.
	confirmed bool
}

// neverHeard is the value of controlHeardAt before the configuration was confirmed.
const neverHeard = math.MinInt64 / 2

// New returns a node that is ready to run.
func New(options Options) *Node {
	n := &Node{
		options: options, start: time.Now(), calls: proxy.NewCounters(), gates: endpoint.NewCounters(),
		records: rollout.NewRecords(), view: directory.NewView(), requested: map[string]bool{}, candidateLists: map[string][]balancer.Candidate{}, changed: make(chan struct{}), callers: &requestCounter{},
	}
	n.incarnation.Store(uint64(time.Now().UnixMilli()))
	n.controlHeardAt.Store(neverHeard)
	n.peers = newPeerClients(options.Security)
	n.reports = newReports(n)
	n.quarantine = quarantine.New(quarantine.Options{Host: options.Host, Send: n.reports.sendDatagram, Counters: &n.counters.quarantine})
	n.usage = usage.New(usage.Options{Host: options.Host, DataCenter: options.DataCenter, Tolerance: options.Usage, Send: n.reports.sendDatagram, Counters: &n.counters.usage})
	n.relay = newRelay(n)
	n.member = newMember(n)
	n.watcher = newWatcher(n)
	n.profiles = newProfiles(n)
	n.overload = overload.NewMonitor(options.Host)
	n.link = link.New(options.LinkBytesPerSecond)
	n.proxy = proxy.New(proxy.Options{
		Host: options.Host, DataCenter: options.DataCenter, Security: options.Security, Local: n, Subscribe: n.subscribe, DiscoverService: n.awaitService, ObserveRevision: n.observeRevision, Revision: n.Revision, Revoke: n.revoke, Counters: n.calls,
		Dialect: options.Dialect, CallerService: n.service, SharedRetryBudget: options.Retry, RetryByNeed: options.RetryByNeed, ProbePeer: n.alive, Quarantine: n.quarantine, Overload: n.overload, Usage: n.usage, KeysTrusted: n.keysTrusted, Link: n.link,
		ConfigurationAge: n.sinceControlHeard, ConfigurationLease: options.ConfigurationLease,
	})
	n.disabled = options.Disabled
	n.proxy.SetDisabled(options.Disabled)
	n.overload.SetDisabled(options.Disabled.Has(mechanism.Shedding))
	n.link.SetDisabled(options.Disabled.Has(mechanism.Link))
	n.usage.SetDisabled(options.Disabled)
	n.front = front.New(n.callers.wrap(n.proxy), options.Resources)
	return n
}

// Disable switches off the given decision mechanisms and switches on all others.
func (n *Node) Disable(off mechanism.Set) {
	n.mu.Lock()
	same := n.disabled == off
	n.disabled = off
	n.mu.Unlock()
	if same {
		return
	}
	klog.InfoS("Mechanisms switched", "host", n.options.Host, "disabled", off.Names())
	n.proxy.SetDisabled(off)
	n.overload.SetDisabled(off.Has(mechanism.Shedding))
	n.link.SetDisabled(off.Has(mechanism.Link))
	n.usage.SetDisabled(off)
	n.apply()
}

// Run serves until ctx is canceled, then performs a planned stop: it accepts no new
// work, lets requests in flight finish and notifies the directory.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := n.serve()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){n.member.run, n.relay.run, n.reports.run, n.quarantine.Run, n.overload.Run, n.exchangeQuarantine, n.watchServer, n.watcher.run, n.watcher.announce, n.profiles.run, n.discoverServer} {
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
	n.usage.Close()
	klog.InfoS("Node stopped", "host", n.options.Host, "cut", err)
	return err
}

// Address returns the address at which callers reach this node.
func (n *Node) Address() string { return n.options.Callers.Addr().String() }

// AdminAddress returns the address at which the backend server announces itself.
func (n *Node) AdminAddress() string { return n.options.Admin.Addr().String() }

// httpServer is the common interface of the HTTP servers of a node.
type httpServer interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

func (n *Node) serve() []httpServer {
	peer := &http.Server{Handler: n.peerHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: hangup.Watch}
	// The shutdown waits for all responses, and held ones would use up the stop timeout.
	peer.RegisterOnShutdown(n.relay.releaseHeld)
	admin := &http.Server{Handler: resources.HoldBodies(n.adminHandler()), ReadHeaderTimeout: headerTimeout}
	transport.CloseUnusedOnShutdown(peer)
	transport.CloseUnusedOnShutdown(admin)
	start := func(s httpServer, l net.Listener) {
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "Listener failed", "address", l.Addr())
			}
		}()
	}
	start(n.front, n.options.Callers)
	start(peer, n.options.Resources.Listen(peer, n.options.Security.Wrap(n.options.Peer), resources.Peers))
	start(admin, n.options.Resources.Listen(admin, n.options.Admin, resources.Others))
	return []httpServer{n.front, peer, admin}
}

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// InFlight returns the number of requests that the local backend server is running or
// that wait at its gate.
func (n *Node) InFlight() int {
	if e := n.currentEndpoint(); e != nil {
		return e.InFlight()
	}
	return 0
}

// Revision returns the newest configuration revision that this node holds.
func (n *Node) Revision() uint64 { return n.revision.Load() }

// configurationConfirmed records that a control replica, or a relay that has heard from one,
// confirmed this node's configuration. The response to a request that was sent at the given time
// was held, and the confirmation had the given age at the end of the hold. The time that the
// response was under way adds to the age, and that of the request is taken for it as well.
func (n *Node) configurationConfirmed(sent time.Time, heldMs uint32, age time.Duration) {
	held := time.Duration(heldMs) * time.Millisecond
	n.controlHeard(max(0, time.Since(sent)-held) + age)
}

// controlHeard records that the configuration was the newest the given time ago.
func (n *Node) controlHeard(ago time.Duration) {
	at := int64(time.Since(n.start) - ago)
	for before := n.controlHeardAt.Load(); at > before && !n.controlHeardAt.CompareAndSwap(before, at); {
		before = n.controlHeardAt.Load()
	}
}

// sinceControlHeard returns how long ago the configuration of this node was last known to be the
// newest.
func (n *Node) sinceControlHeard() time.Duration {
	return time.Since(n.start) - time.Duration(n.controlHeardAt.Load())
}

// keysTrusted reports whether this node may accept keys of client accounts: one that is cut
// off does not learn which keys were taken away.
func (n *Node) keysTrusted() bool {
	lease := n.options.KeyLease
	return lease == 0 || n.sinceControlHeard() < lease
}

// observeRevision is called with the configuration revision that another node uses. If
// it is newer than the revision of this node, the node fetches the change immediately
// instead of with the next heartbeat.
func (n *Node) observeRevision(revision uint64) {
	if revision > n.Revision() && !n.options.WatchControl {
		n.member.requestSync()
	}
}

// service returns the service of the backend server next to this node, or "" if it is
// unknown.
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

// signalChange wakes the goroutines that wait for records or entries.
func (n *Node) signalChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// requestCounter counts the callers' requests in flight.
type requestCounter struct{ requests atomic.Int64 }

func (f *requestCounter) current() int { return int(f.requests.Load()) }

func (f *requestCounter) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.requests.Add(1)
		defer f.requests.Add(-1)
		next.ServeHTTP(w, r)
	})
}
