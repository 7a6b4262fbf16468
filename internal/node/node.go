// Package node runs beside one backend server: it serves callers, guards the
// backend server with its gate, takes part in the directory, holds the
// configuration, and acts as a relay of its data centre when chosen.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/directory"
	"cactuspath/core/mechanism"
	"cactuspath/core/rollout"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/front"
	"cactuspath/internal/hop"
	"cactuspath/internal/overload"
	"cactuspath/internal/proxy"
	"cactuspath/internal/quarantine"
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
	// quarantine keeps requests under which servers keep ending away from servers.
	quarantine *quarantine.Keeper
	// overload refuses requests while this process is short of processor time.
	overload *overload.Monitor
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
	// applying is held from the reading of what is in force to its last use: of two
	// that apply at once the one that read first may otherwise write last, and an older
	// configuration, or the end of a drain, takes the place of a newer one until the
	// next change. It is taken before mu.
	applying sync.Mutex
	// unready: a planned stop began. stopping: its gate has closed.
	unready, stopping bool
	departed          bool
	// evacuated: the operator has emptied this node's data centre.
	evacuated bool
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
	n.quarantine = quarantine.New(quarantine.Options{Host: options.Host, Send: n.reports.sendNews, Counters: &n.counters.quarantine})
	n.relay = newRelay(n)
	n.member = newMember(n)
	n.watcher = newWatcher(n)
	n.overload = overload.NewMonitor(options.Host)
	n.proxy = proxy.New(proxy.Options{
		Host: options.Host, DataCenter: options.DataCenter, Security: options.Security, Local: n, Need: n.need, Heard: n.heard, Revision: n.Revision, Revoke: n.revoke, Counters: n.calls,
		Dialect: options.Dialect, CallerService: n.service, Shared: options.Retry, Alive: n.alive, Quarantine: n.quarantine, Overload: n.overload,
	})
	n.disabled = options.Disabled
	n.proxy.Disable(options.Disabled)
	n.overload.SetDisabled(options.Disabled.Has(mechanism.Shedding))
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
	n.overload.SetDisabled(off.Has(mechanism.Shedding))
	n.apply()
}

// Run serves until ctx ends, then stops as planned: no new work, work in
// flight ends, the directory is told.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := n.serve()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){n.member.run, n.relay.run, n.reports.run, n.quarantine.Run, n.overload.Run, n.tellControl, n.watchServer, n.watcher.run, n.watcher.announce, n.findServer} {
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
)

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
