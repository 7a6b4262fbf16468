package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/internal/controlclient"
)

// fakeReplica is a control replica that either reports that it has no leader or returns
// one revision.
type fakeReplica struct {
	apiv1connect.UnimplementedControlServiceHandler
	hasLeader *atomic.Bool
}

func (f *fakeReplica) Watch(ctx context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	if f.hasLeader == nil || !f.hasLeader.Load() {
		return connect.NewResponse(&apiv1.WatchResponse{Detached: true}), nil
	}
	if req.Msg.Revision > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(req.Msg.HoldMs) * time.Millisecond):
		}
	}
	return connect.NewResponse(&apiv1.WatchResponse{Delta: routeDelta(1, "/a/")}), nil
}

// serveReplica serves a fake control replica until the test ends, on a listener that wrap
// returns, and returns its address.
func serveReplica(t *testing.T, replica apiv1connect.ControlServiceHandler, wrap func(net.Listener) net.Listener) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(apiv1connect.NewControlServiceHandler(replica))
	s := httptest.NewUnstartedServer(mux)
	s.Listener = wrap(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func unchanged(l net.Listener) net.Listener { return l }

// runWatchers runs the watcher of each node until the test ends.
func runWatchers(t *testing.T, nodes []*Node) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range nodes {
		running.Go(func() { newWatcher(n).run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// newWatchingNodes returns nodes that know the control replicas at the given addresses.
func newWatchingNodes(t *testing.T, count int, addresses []string) []*Node {
	t.Helper()
	var nodes []*Node
	for i := range count {
		n := newTestNode(t, "")
		n.options.Host = fmt.Sprint("host-", i)
		n.options.Control, n.options.WatchControl = controlclient.New(nil, addresses, ""), true
		nodes = append(nodes, n)
	}
	return nodes
}

// Guards against nodes that keep an old configuration for too long after a network
// partition. Two of five control replicas are separated from the majority, and for two
// seconds no replica has a leader, although all respond to the nodes. Once the other
// three elect a leader and accept a change, every node must receive it within the time
// promised to operators, even if its backoff has reached the maximum or its next try
// reaches one of the two separated replicas.
func TestNodesAreSoonBackAfterATimeWithoutALeader(t *testing.T) {
	const (
		nodes = 12
		// maxDelay is the time in which a change takes effect, minus a margin for the
		// race detector.
		maxDelay   = 1800 * time.Millisecond
		leaderless = 2 * time.Second
	)
	var hasLeader atomic.Bool
	var addresses []string
	for i := range 5 {
		f := &fakeReplica{}
		if i >= 2 {
			f.hasLeader = &hasLeader
		}
		addresses = append(addresses, serveReplica(t, f, unchanged))
	}
	all := newWatchingNodes(t, nodes, addresses)
	runWatchers(t, all)
	time.Sleep(leaderless)
	hasLeader.Store(true)
	start := time.Now()
	for _, n := range all {
		for n.Revision() == 0 && time.Since(start) < 10*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		assert.Assert(t, time.Since(start) < maxDelay, "a node received the change only after %v", time.Since(start))
	}
}

// Guards against a node that serves by an older configuration than was acknowledged after all
// processes have restarted: a replica without a leader does not know yet that its newest entry is
// committed, and the node took what the replica had.
func TestNodeThatStartsWaitsForAConfirmedConfiguration(t *testing.T) {
	const election = time.Second
	for _, test := range []struct {
		name    string
		elects  bool
		atFirst uint64
	}{{"a leader is elected", true, 2}, {"no leader is elected", false, 1}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			replica := &restartedReplica{}
			address := serveReplica(t, replica, unchanged)
			n := newWatchingNodes(t, 1, []string{address})[0]
			runWatchers(t, []*Node{n})
			if test.elects {
				time.AfterFunc(election, func() { replica.elected.Store(true) })
			}
			for n.Revision() == 0 && time.Since(n.start) < 10*time.Second {
				time.Sleep(2 * time.Millisecond)
			}
			assert.Equal(t, n.Revision(), test.atFirst, "after %v", time.Since(n.start))
		})
	}
}

// restartedReplica is a control replica that knows of revision 1 that it is committed, and of
// revision 2 once there is a leader.
type restartedReplica struct {
	apiv1connect.UnimplementedControlServiceHandler
	elected atomic.Bool
}

// Watch returns what the replica knows to be committed.
func (f *restartedReplica) Watch(_ context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	elected := f.elected.Load()
	revision := uint64(1)
	if elected {
		revision = 2
	}
	delta := routeDelta(revision, "/a/")
	delta.Since = 0
	return connect.NewResponse(&apiv1.WatchResponse{Detached: !elected, Delta: delta}), nil
}
