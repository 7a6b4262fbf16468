// Package dev runs a small cluster in one process on loopback: a control replica, nodes and
// stand-in backend servers.
package dev

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/internal/controlclient"
	"cactuspath/internal/node"
	"cactuspath/internal/operator"
	"cactuspath/internal/process"
	"cactuspath/internal/settings"
	"cactuspath/internal/standin"
	"cactuspath/internal/wal"
)

const (
	loopbackAddress = "127.0.0.1:0"
	stopTimeout     = 10 * time.Second
)

// Cluster is a running cluster. Control is the address of its control replica and Operator
// a client of it. Servers[i] is the backend server on the host of Nodes[i].
type Cluster struct {
	Control  string
	Operator *operator.Client
	Nodes    []*node.Node
	Servers  []*standin.Server

	stopNode []context.CancelFunc
	// stopped holds a channel for each node, closed when its process has stopped.
	stopped []chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	runErr  error
}

// devDataCenter is the data centre of all hosts of the cluster.
const devDataCenter = "dev-a"

// Start starts a cluster with the given number of nodes, each with a stand-in backend server
// of the service. The control replica stores its data in folder.
func Start(folder string, nodes int, service string) (*Cluster, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen on a free loopback port")
	}
	address := listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{Control: address, cancel: cancel}
	c.Operator = &operator.Client{Control: controlclient.New(nil, []string{address}, ""), Name: "dev"}
	if err := c.startControl(ctx, folder, listener); err != nil {
		cancel()
		return nil, err
	}
	for i := range nodes {
		if err := c.startNode(ctx, i, service); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) startControl(ctx context.Context, folder string, listener net.Listener) error {
	const name = "control-1"
	data := filepath.Join(folder, name)
	if !wal.HasIdentity(data) {
		id := wal.Identity{MemberID: process.FounderID(name), Name: name, Founders: map[string]wal.Member{name: {ID: process.FounderID(name), Address: c.Control}}}
		if err := wal.WriteIdentity(data, id); err != nil {
			return err
		}
	}
	return c.run(ctx, &settings.Settings{Host: name, DataCenter: devDataCenter, Region: "dev", StopTimeout: stopTimeout, ControlReplicas: []string{c.Control},
		Control: &settings.Control{Name: name, Address: c.Control, Listen: c.Control, DataFolder: data}}, listener)
}

func (c *Cluster) startNode(ctx context.Context, i int, service string) error {
	ctx, stop := context.WithCancel(ctx)
	c.stopNode = append(c.stopNode, stop)
	s := &settings.Settings{Host: fmt.Sprintf("host-%d", i+1), DataCenter: devDataCenter, Region: "dev", StopTimeout: stopTimeout, ControlReplicas: []string{c.Control},
		Node: &settings.Node{Callers: loopbackAddress, Peer: loopbackAddress, PeerAddress: loopbackAddress, Admin: loopbackAddress}}
	if err := c.run(ctx, s, nil); err != nil {
		return err
	}
	server := &standin.Server{Service: service, Node: c.Nodes[i].AdminAddress()}
	if err := server.Listen(loopbackAddress); err != nil {
		return err
	}
	c.Servers = append(c.Servers, server)
	// The backend server must run until its node has drained. Otherwise a graceful stop of
	// the node would interrupt requests.
	stopped := c.stopped[i]
	serverContext, stopServer := context.WithCancel(context.Background())
	c.running.Go(func() { _ = server.Run(serverContext) })
	c.running.Go(func() { <-stopped; stopServer() })
	return nil
}

func (c *Cluster) run(ctx context.Context, s *settings.Settings, control net.Listener) error {
	p, err := process.OpenOn(s, control, nil)
	if err != nil {
		return err
	}
	if p.Node != nil {
		c.Nodes = append(c.Nodes, p.Node)
	}
	stopped := make(chan struct{})
	if p.Node != nil {
		c.stopped = append(c.stopped, stopped)
	}
	c.running.Go(func() {
		defer close(stopped)
		if err := p.Run(ctx); err != nil {
			c.mu.Lock()
			c.runErr = errors.CombineErrors(c.runErr, err)
			c.mu.Unlock()
		}
	})
	return nil
}

// StopNode stops node i gracefully and waits until it has stopped.
func (c *Cluster) StopNode(ctx context.Context, i int) error {
	c.stopNode[i]()
	select {
	case <-c.stopped[i]:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop stops the nodes, backend servers and control replica, and returns the errors that
// occurred while they ran or stopped, as one error.
func (c *Cluster) Stop() error {
	for _, stop := range c.stopNode {
		stop()
	}
	c.cancel()
	c.running.Wait()
	return c.runErr
}
