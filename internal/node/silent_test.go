package node

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/internal/testnet"
)

// revisionReplica is a control replica in contact with a leader.
type revisionReplica struct {
	apiv1connect.UnimplementedControlServiceHandler
	revision *atomic.Uint64
}

func (f *revisionReplica) Watch(ctx context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	for deadline := time.Now().Add(time.Duration(req.Msg.HoldMs) * time.Millisecond); f.revision.Load() <= req.Msg.Revision && time.Now().Before(deadline) && ctx.Err() == nil; {
		time.Sleep(5 * time.Millisecond)
	}
	resp := &apiv1.WatchResponse{}
	if now := f.revision.Load(); now > req.Msg.Revision {
		resp.Delta = routeDelta(now, "/a/")
		resp.Delta.Since = 0
	}
	return connect.NewResponse(resp), nil
}

// Announce takes a moment, so that two calls at the same time need two connections.
func (f *revisionReplica) Announce(context.Context, *connect.Request[apiv1.AnnounceRequest]) (*connect.Response[apiv1.AnnounceResponse], error) {
	time.Sleep(20 * time.Millisecond)
	return connect.NewResponse(&apiv1.AnnounceResponse{}), nil
}

// Guards against nodes that keep an old configuration for seconds after all open connections
// fell silent without a reset, although new ones work: each poll of another replica took a
// connection from the pool that had fallen silent as well, and waited for its full timeout.
func TestNodesHaveChangesSoonAfterConnectionsFellSilent(t *testing.T) {
	const (
		nodes, replicas = 6, 5
		// maxDelay is the time in which a change takes effect.
		maxDelay = 2 * time.Second
	)
	var revision atomic.Uint64
	var network testnet.Silencer
	var addresses []string
	for range replicas {
		addresses = append(addresses, serveReplica(t, &revisionReplica{revision: &revision}, network.Listen))
	}
	revision.Store(1)
	all := newWatchingNodes(t, nodes, addresses)
	for _, n := range all {
		openConnections(t, n, addresses)
	}
	runWatchers(t, all)
	awaitRevision(t, all, 1, 5*time.Second)
	network.Silence()
	revision.Store(2)
	awaitRevision(t, all, 2, maxDelay)
}

// openConnections leaves two idle connections to each replica in the node's pool.
func openConnections(t *testing.T, n *Node, addresses []string) {
	t.Helper()
	var calls sync.WaitGroup
	for _, address := range addresses {
		for range 2 {
			calls.Go(func() {
				_, err := n.options.Control.At(address).Control.Announce(context.Background(), connect.NewRequest(&apiv1.AnnounceRequest{}))
				assert.Check(t, err)
			})
		}
	}
	calls.Wait()
}

func awaitRevision(t *testing.T, nodes []*Node, revision uint64, limit time.Duration) {
	t.Helper()
	begin := time.Now()
	for _, n := range nodes {
		for n.Revision() < revision && time.Since(begin) < 15*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		assert.Check(t, time.Since(begin) < limit, "a node had revision %d only after %v", revision, time.Since(begin))
	}
}
