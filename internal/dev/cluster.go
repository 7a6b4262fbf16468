// Package dev runs a whole small cluster in one process on loopback: one
// control replica, nodes and stand-in backend servers.
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
	loopbackAny = "127.0.0.1:0"
	stopTimeout = 10 * time.Second
)

// Cluster is a running cluster.
type Cluster struct {
	Control  string
	Operator *operator.Client
	Nodes    []*node.Node
	Servers  []*standin.Server

	stopNode []context.CancelFunc
	// ended is closed when a node's process has stopped.
	ended  []chan struct{}
	cancel context.CancelFunc
	wait   sync.WaitGroup
	mu     sync.Mutex
	failed error
}

// devDataCenter is where all of the cluster is.
const devDataCenter = "dev-a"

// Start starts a cluster of the given number of nodes, with a stand-in of the
// service beside each. Folder holds the control replica's data.
func Start(folder string, nodes int, service string) (*Cluster, error) {
	listener, err := net.Listen("tcp", loopbackAny)
	if err != nil {
		return nil, errors.Wrap(err, "find a free port on loopback")
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
		Node: &settings.Node{Callers: loopbackAny, Peer: loopbackAny, PeerAddress: loopbackAny, Admin: loopbackAny}}
	if err := c.run(ctx, s, nil); err != nil {
		return err
	}
	server := &standin.Server{Service: service, Node: c.Nodes[i].AdminAddress()}
	if err := server.Listen(loopbackAny); err != nil {
		return err
	}
	c.Servers = append(c.Servers, server)
	// The backend server outlives the drain of the node beside it, as it must
	// wherever a planned stop is to cut nothing.
	ended := c.ended[i]
	serverContext, stopServer := context.WithCancel(context.Background())
	c.wait.Go(func() { _ = server.Run(serverContext) })
	c.wait.Go(func() { <-ended; stopServer() })
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
	ended := make(chan struct{})
	if p.Node != nil {
		c.ended = append(c.ended, ended)
	}
	c.wait.Go(func() {
		defer close(ended)
		if err := p.Run(ctx); err != nil {
			c.mu.Lock()
			c.failed = errors.CombineErrors(c.failed, err)
			c.mu.Unlock()
		}
	})
	return nil
}

// StopNode carries out a planned stop of one node and waits for its end.
func (c *Cluster) StopNode(ctx context.Context, i int) error {
	c.stopNode[i]()
	select {
	case <-c.ended[i]:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop ends everything and returns what failed.
func (c *Cluster) Stop() error {
	for _, stop := range c.stopNode {
		stop()
	}
	c.cancel()
	c.wait.Wait()
	return c.failed
}
