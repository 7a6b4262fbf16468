// Package process assembles one process from its settings: a node, a control
// replica, or both.
package process

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"crypto/rand"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"cactuspath/core/link"
	"cactuspath/core/usage"
	"cactuspath/internal/adapter"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/hop"
	"cactuspath/internal/node"
	"cactuspath/internal/proxy"
	"cactuspath/internal/replica"
	"cactuspath/internal/resources"
	"cactuspath/internal/settings"
	"cactuspath/internal/transport"
	"cactuspath/internal/wal"
)

// Process holds the parts of one process: a node, a control replica, or both.
type Process struct {
	Settings *settings.Settings
	Node     *node.Node
	Replica  *replica.Replica
	control  net.Listener
	security *transport.Security
	adapter  adapter.Adapter
	client   *controlclient.Client
	// resources limit what all connections of the process hold.
	resources *resources.Resources
	// extra holds the listeners of the adapter and the metrics.
	extra []extraListener
}

// Open opens the listeners and the data folder; the process serves requests once Run is
// called. adapters are the available platform adapters by name, one of which the
// settings may select.
func Open(s *settings.Settings, adapters map[string]adapter.Adapter) (*Process, error) {
	return OpenOn(s, nil, adapters)
}

// OpenOn is like Open, but uses an existing listener for the control replica. If
// control is nil, it opens one.
func OpenOn(s *settings.Settings, control net.Listener, adapters map[string]adapter.Adapter) (*Process, error) {
	chosen, err := chooseAdapter(s, adapters)
	if err != nil {
		return nil, err
	}
	security, err := transport.NewSecurity(s.TLS)
	if err != nil {
		return nil, err
	}
	p := &Process{Settings: s, security: security, control: control, adapter: chosen, client: controlclient.New(security, s.ControlReplicas, ""),
		resources: resources.New(s.MemoryMB, s.Descriptors)}
	hop.LimitIdle(p.resources.MaxIdle())
	if s.Control != nil {
		if err := p.openControl(); err != nil {
			return nil, err
		}
	}
	if s.Node != nil {
		if err := p.openNode(); err != nil {
			return nil, err
		}
	}
	return p, p.openExtra()
}

func (p *Process) openControl() error {
	c := p.Settings.Control
	p.initDataFolderWithRetry()
	options := replica.Options{Name: c.Name, Address: c.Address, DataFolder: c.DataFolder, Security: p.security, Operators: operators(c), DataCenter: p.Settings.DataCenter, DataCenters: c.DataCenters, LearnedProfiles: p.Settings.LearnedProfiles}
	if c.Group != nil {
		options.Group = &replica.Group{Tolerate: c.Group.Tolerate, Control: p.client}
	}
	r, err := replica.Open(options)
	if err != nil {
		return err
	}
	p.Replica = r
	if p.control == nil {
		p.control, err = p.security.Listen(c.Listen)
	}
	return err
}

// dataFolderRetryInterval is the delay before writing to the data folder is retried
// after an error.
const dataFolderRetryInterval = 500 * time.Millisecond

// initDataFolderWithRetry calls initDataFolder until it succeeds. It waits while the
// disk is full or broken, because a process that exited would only be restarted with
// the same disk.
func (p *Process) initDataFolderWithRetry() {
	for logged := false; ; logged = true {
		err := p.initDataFolder()
		if err == nil {
			return
		}
		if !logged {
			klog.ErrorS(err, "Data folder cannot be written; waiting for the disk", "folder", p.Settings.Control.DataFolder)
		}
		time.Sleep(dataFolderRetryInterval)
	}
}

// initDataFolder writes an identity into an empty data folder. The replica starts as a
// new member that waits to be admitted: it has no vote, and never takes over that of
// the replica it replaces. Only at the first start of the whole system, which the
// settings mark, the replicas at the configured addresses become the founders of the
// group and have a vote from the beginning.
func (p *Process) initDataFolder() error {
	c := p.Settings.Control
	if wal.HasIdentity(c.DataFolder) {
		return nil
	}
	id := wal.Identity{MemberID: newMemberID(), Name: c.Name}
	isFounder := c.Group != nil && c.Group.Bootstrap && slices.Contains(p.Settings.ControlReplicas, c.Address)
	if isFounder {
		id.MemberID, id.Founders = FounderID(c.Address), map[string]wal.Member{}
		for _, address := range p.Settings.ControlReplicas {
			id.Founders[address] = wal.Member{ID: FounderID(address), Address: address}
		}
	}
	if err := wal.WriteIdentity(c.DataFolder, id); err != nil {
		return err
	}
	if isFounder {
		klog.InfoS("Empty data folder: founding the control group", "replica", c.Name, "member", id.MemberID, "founders", p.Settings.ControlReplicas)
		return nil
	}
	klog.InfoS("Empty data folder: waiting to be admitted", "replica", c.Name, "member", id.MemberID, "remedy", "cactusctl replica add, or cactuspath init for a new cluster")
	return nil
}

func operators(c *settings.Control) []replica.Operator {
	var list []replica.Operator
	for _, o := range c.Operators {
		list = append(list, replica.Operator{Name: o.Name, TokenSHA256: o.TokenSHA256, Institutions: o.Institutions, Hosts: o.Hosts})
	}
	return list
}

func newMemberID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// FounderID returns the member id of the founder with the given name, which is its
// address if the group bootstraps itself. Every founder computes the same ids, so that
// they agree on the initial members without communicating.
func FounderID(name string) uint64 { return xxhash.Sum64String("founder/" + name) }

func (p *Process) openNode() error {
	s, n := p.Settings, p.Settings.Node
	callers, err := listen(n.Callers)
	if err != nil {
		return err
	}
	peer, socket, err := listenPeer(n.Peer)
	if err != nil {
		return err
	}
	admin, err := listen(n.Admin)
	if err != nil {
		return err
	}
	peerAddress := n.PeerAddress
	if peerAddress == n.Peer {
		peerAddress = peer.Addr().String()
	}
	p.Node = node.New(node.Options{
		Host: s.Host, DataCenter: s.DataCenter, Region: s.Region, Callers: callers, Peer: peer, Admin: admin, Reports: socket, PeerAddress: peerAddress,
		Security: p.security, Control: p.client, StopTimeout: s.StopTimeout,
		Disabled: s.Disabled, Dialect: p.dialect(), Service: n.Service, Backend: n.Backend, WatchControl: n.WatchControl,
		Retry: proxy.SharedRetryBudget{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window},
		Usage: usage.Tolerance{Slack: s.UsageSlack, Overage: s.UsageOverage}, KeyLease: s.KeyLease, ConfigurationLease: s.ConfigurationLease,
		LinkBytesPerSecond: s.LinkMbps * link.BytesPerMegabit, LearnedProfiles: s.LearnedProfiles, RetryByNeed: s.RetryOrder == settings.RetryByNeed, Resources: p.resources,
	})
	return nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen on %s; check the address in the settings and whether another process uses it", address)
}

// maxPeerPortTries limits the search for a port that is free for both TCP and UDP when
// the settings leave the port open (0).
const maxPeerPortTries = 20

// listenPeer listens on the peer address for TCP and on the same port for UDP.
func listenPeer(address string) (net.Listener, net.PacketConn, error) {
	var lastErr error
	for range maxPeerPortTries {
		peer, err := listen(address)
		if err != nil {
			return nil, nil, err
		}
		socket, err := net.ListenPacket("udp", peer.Addr().String())
		if err == nil {
			return peer, socket, nil
		}
		lastErr = errors.Wrapf(err, "listen on UDP %s; the peer address needs TCP and UDP", peer.Addr())
		_ = peer.Close()
	}
	return nil, nil, lastErr
}

const controlHeaderTimeout = 10 * time.Second

// Run serves until ctx is canceled, then performs a planned stop. It returns an error
// if the stop cut off requests.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replicaContext, stopReplica := context.WithCancel(context.Background())
	defer stopReplica()
	var wait sync.WaitGroup
	var replicaErr, nodeErr error
	defer p.serveExtra()()
	var server *http.Server
	if p.Replica != nil {
		server = p.serveControl()
		wait.Go(func() {
			replicaErr = p.Replica.Run(replicaContext)
			cancel()
		})
	}
	if p.Node != nil {
		nodeErr = p.Node.Run(ctx)
	} else {
		<-ctx.Done()
	}
	// The replica stops after the node, because it receives the node's departure from
	// the relays.
	if p.Replica != nil {
		p.stopControl(server, stopReplica)
	}
	wait.Wait()
	return errors.CombineErrors(replicaErr, nodeErr)
}

func (p *Process) serveControl() *http.Server {
	router := mux.NewRouter()
	router.HandleFunc("/debug/vars", node.ServeVars(p.replicaVars))
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	handler := p.Replica.Handler()
	if p.adapter != nil {
		handler = routeByPrefix(handler, p.adapter.EstateHandler(p.Replica))
	}
	router.PathPrefix("/").Handler(handler)
	server := &http.Server{Handler: resources.HoldBodies(router), ReadHeaderTimeout: controlHeaderTimeout}
	listener := p.resources.Listen(server, p.control, resources.Control)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Control listener failed")
		}
	}()
	return server
}

const leadershipTransferPeriod = 300 * time.Millisecond

// stopControl stops the control replica. It transfers leadership first, so that changes
// that other replicas are waiting for are not delayed by an election.
func (p *Process) stopControl(server *http.Server, stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferPeriod)
	defer cancel()
	p.Replica.TransferLeadership(ctx)
	if len(p.Replica.Status().Membership.GetMembers()) > 1 {
		time.Sleep(leadershipTransferPeriod)
	}
	_ = server.Close()
	stop()
}
