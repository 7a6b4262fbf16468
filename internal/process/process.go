// Package process assembles one process from its settings: a node, a control
// replica, or both.
package process

import (
	"context"
	"encoding/binary"
	"expvar"
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

	"cactuspath/internal/adapter"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/node"
	"cactuspath/internal/proxy"
	"cactuspath/internal/replica"
	"cactuspath/internal/settings"
	"cactuspath/internal/transport"
	"cactuspath/internal/wal"
)

// Process is one running process.
type Process struct {
	Settings *settings.Settings
	Node     *node.Node
	Replica  *replica.Replica
	control  net.Listener
	security *transport.Security
	adapter  adapter.Adapter
	client   *controlclient.Client
	// extra are the listeners of the adapter and of the metrics.
	extra []extraListener
}

// Open opens the listeners and the data folder; nothing is served yet. The
// settings may name one of the adapters.
func Open(s *settings.Settings, adapters map[string]adapter.Adapter) (*Process, error) {
	return OpenOn(s, nil, adapters)
}

// OpenOn is Open with the control replica's listener open already, or nil.
func OpenOn(s *settings.Settings, control net.Listener, adapters map[string]adapter.Adapter) (*Process, error) {
	chosen, err := choose(s, adapters)
	if err != nil {
		return nil, err
	}
	security, err := transport.NewSecurity(s.TLS)
	if err != nil {
		return nil, err
	}
	p := &Process{Settings: s, security: security, control: control, adapter: chosen, client: controlclient.New(security, s.ControlReplicas, "")}
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
	p.claimFolderWhenDiskWorks()
	options := replica.Options{Name: c.Name, Address: c.Address, DataFolder: c.DataFolder, Security: p.security, Operators: operators(c), DataCenters: c.DataCenters}
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

// folderRetry is how often a data folder that refuses writes is tried again.
const folderRetry = 500 * time.Millisecond

// claimFolderWhenDiskWorks waits for a disk that is full or broken: ending the
// process would only have it started again in front of the same disk.
func (p *Process) claimFolderWhenDiskWorks() {
	for logged := false; ; logged = true {
		err := p.claimFolder()
		if err == nil {
			return
		}
		if !logged {
			klog.ErrorS(err, "Data folder cannot be written; waiting for the disk", "folder", p.Settings.Control.DataFolder)
		}
		time.Sleep(folderRetry)
	}
}

// claimFolder gives an empty data folder its identity. It starts as a new member
// that waits to be admitted: it has no vote, and never that of the replica it
// replaces. Only at the first start of the whole system do the addresses that
// all processes were given found the group.
func (p *Process) claimFolder() error {
	c := p.Settings.Control
	if wal.HasIdentity(c.DataFolder) {
		return nil
	}
	id := wal.Identity{MemberID: newMemberID(), Name: c.Name}
	founds := c.Group != nil && c.Group.Found && slices.Contains(p.Settings.ControlReplicas, c.Address)
	if founds {
		id.MemberID, id.Founders = FounderID(c.Address), map[string]wal.Member{}
		for _, address := range p.Settings.ControlReplicas {
			id.Founders[address] = wal.Member{ID: FounderID(address), Address: address}
		}
	}
	if err := wal.WriteIdentity(c.DataFolder, id); err != nil {
		return err
	}
	if founds {
		klog.InfoS("Empty data folder: founds the control group", "replica", c.Name, "member", id.MemberID, "founders", p.Settings.ControlReplicas)
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

// FounderID is the member id of a founder: the same on every founder, so that
// they agree on the first members without talking.
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
		Retry: proxy.Shared{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack, Window: s.Retry.Window},
	})
	return nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen on %s; check the address in the settings and whether another process uses it", address)
}

// peerTries bounds the search for a port that is free for TCP and UDP, where the
// settings leave the port open (0).
const peerTries = 20

// listenPeer opens the peer address for TCP and UDP.
func listenPeer(address string) (net.Listener, net.PacketConn, error) {
	var failed error
	for range peerTries {
		peer, err := listen(address)
		if err != nil {
			return nil, nil, err
		}
		socket, err := net.ListenPacket("udp", peer.Addr().String())
		if err == nil {
			return peer, socket, nil
		}
		failed = errors.Wrapf(err, "listen on UDP %s; the peer address needs TCP and UDP", peer.Addr())
		_ = peer.Close()
	}
	return nil, nil, failed
}

const controlHeaderTimeout = 10 * time.Second

// Run serves until ctx ends, then stops as planned. The error is nil after a
// planned stop that cut nothing.
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
	// The replica goes last: the node's farewell passes through the relays to it.
	if p.Replica != nil {
		p.stopControl(server, stopReplica)
	}
	wait.Wait()
	return errors.CombineErrors(replicaErr, nodeErr)
}

func (p *Process) serveControl() *http.Server {
	router := mux.NewRouter()
	router.HandleFunc("/debug/vars", node.ServeVars(func() map[string]expvar.Var { return p.Replica.Vars() }))
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	handler := p.Replica.Handler()
	if p.adapter != nil {
		handler = either(handler, p.adapter.EstateHandler(p.Replica))
	}
	router.PathPrefix("/").Handler(handler)
	server := &http.Server{Handler: router, ReadHeaderTimeout: controlHeaderTimeout}
	go func() {
		if err := server.Serve(p.control); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Control listener failed")
		}
	}()
	return server
}

const handOverTime = 300 * time.Millisecond

// stopControl hands the lead over before it stops, so that changes under way
// at other replicas do not wait for an election.
func (p *Process) stopControl(server *http.Server, stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	p.Replica.HandOver(ctx)
	if len(p.Replica.Status().Membership.GetMembers()) > 1 {
		time.Sleep(handOverTime)
	}
	_ = server.Close()
	stop()
}
