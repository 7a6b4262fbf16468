package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/core/rollout"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/testnet"
)

// largeReplica is the leader of the control replicas, with an estate to which large changes are
// made.
type largeReplica struct {
	apiv1connect.UnimplementedControlServiceHandler
	relay *apiv1.RelayInfo

	mu      sync.Mutex
	routes  map[string]*apiv1.RouteSpec
	records *rollout.Records
	changed chan struct{}
}

func newLargeReplica(relay *apiv1.RelayInfo) *largeReplica {
	return &largeReplica{relay: relay, routes: map[string]*apiv1.RouteSpec{}, records: rollout.NewRecords(), changed: make(chan struct{})}
}

// addRoutes makes a change that adds routes.
func (f *largeReplica) addRoutes(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := f.records.Revision() + 1
	for i := range count {
		f.routes[fmt.Sprintf("route-%d-%d", revision, i)] = &apiv1.RouteSpec{Host: "shop.example", PathPrefix: fmt.Sprintf("/route-%d-%d/", revision, i),
			Shares: []*apiv1.RouteShare{{Service: "pay", Weight: 1}}, TimeoutMs: 1200, MaxAttempts: 2}
	}
	f.records.Replace("shop", rollout.Contents{Services: map[string]*apiv1.ServiceSpec{"pay": {}}, Routes: f.routes}, revision)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Watch returns the changes after the revision of the node.
func (f *largeReplica) Watch(ctx context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	hold := time.After(time.Duration(req.Msg.HoldMs) * time.Millisecond)
	for {
		f.mu.Lock()
		delta, changed := f.records.Delta(req.Msg.Revision), f.changed
		behind := f.records.Revision() > req.Msg.Revision
		f.mu.Unlock()
		if behind {
			return connect.NewResponse(&apiv1.WatchResponse{Delta: delta}), nil
		}
		select {
		case <-changed:
		case <-hold:
			return connect.NewResponse(&apiv1.WatchResponse{}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// RelaySync returns the changes after the revision of the relay.
func (f *largeReplica) RelaySync(_ context.Context, req *connect.Request[apiv1.RelaySyncRequest]) (*connect.Response[apiv1.RelaySyncResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connect.NewResponse(&apiv1.RelaySyncResponse{Delta: f.records.Delta(req.Msg.Revision), Relays: []*apiv1.RelayInfo{f.relay}}), nil
}

// FindRelays names the relay.
func (f *largeReplica) FindRelays(context.Context, *connect.Request[apiv1.FindRelaysRequest]) (*connect.Response[apiv1.FindRelaysResponse], error) {
	return connect.NewResponse(&apiv1.FindRelaysResponse{Relays: []*apiv1.RelayInfo{f.relay}}), nil
}

// hangingReplica does not respond to watches once hang is set.
type hangingReplica struct {
	*largeReplica
	hang *atomic.Bool
}

// Watch returns the changes after the revision of the node.
func (f hangingReplica) Watch(ctx context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	resp, err := f.largeReplica.Watch(ctx, req)
	if f.hang.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return resp, err
}

// startRelayGroup runs a relay, whose responses and polls leave through a link with the given
// bandwidth, and nodes that report to it. The nodes watch replicas that hang once hang is set.
func startRelayGroup(t *testing.T, bytesPerSecond float64, nodes int, hang *atomic.Bool) (replica *largeReplica, all []*Node) {
	t.Helper()
	uplink := testnet.NewLink(bytesPerSecond)
	peer := httptest.NewUnstartedServer(nil)
	replica = newLargeReplica(&apiv1.RelayInfo{Host: "host-0", DataCenter: "dc", Region: "r", PeerAddress: peer.Listener.Addr().String()})
	replica.addRoutes(1)
	forRelay := serveReplica(t, replica, uplink.ListenForHost)
	hanging := hangingReplica{replica, hang}
	direct := []string{serveReplica(t, hanging, unchanged), serveReplica(t, hanging, unchanged)}
	all = newWatchingNodes(t, nodes+1, direct)
	all[0].options.Control = controlclient.New(nil, []string{forRelay, serveReplica(t, replica, uplink.ListenForHost)}, "")
	all[0].options.PeerAddress = replica.relay.PeerAddress
	peer.Config.Handler = all[0].peerHandler()
	peer.Listener = uplink.Listen(peer.Listener)
	peer.Start()
	t.Cleanup(peer.Close)
	all[0].relay.start()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { all[0].relay.run(ctx) })
	for _, n := range all {
		running.Go(func() { n.watcher.run(ctx) })
		running.Go(func() { n.member.run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	awaitRevision(t, all, 1, 10*time.Second)
	return replica, all
}

// Guards against relays that are late with a change because they send the one before it to all
// of their nodes, although these receive it from the control replicas: the polls of the relay
// waited behind its own responses until they timed out.
func TestRelayIsNotLateWhileItsNodesReceiveALargeChange(t *testing.T) {
	const (
		// bytesPerSecond is a link of 4.2 Mbit/s.
		bytesPerSecond = 525_000
		nodes          = 31
		// maxDelay is the time in which a change takes effect.
		maxDelay = 2 * time.Second
	)
	replica, all := startRelayGroup(t, bytesPerSecond, nodes, &atomic.Bool{})
	replica.addRoutes(1400)
	waitFor(t, "the relay has the first change", func() bool { return all[0].relay.revision() == 2 })
	// The polls of the relay that were sent before end meanwhile.
	time.Sleep(watchHold + 300*time.Millisecond)
	replica.addRoutes(1)
	awaitRevision(t, all, 3, maxDelay)
}

// Guards against nodes that receive changes from nobody: their watches get no response any more,
// and their relay sends them nothing since they told it that they watch control replicas.
func TestNodesReceiveChangesFromTheirRelayOnceTheirWatchesEnd(t *testing.T) {
	const (
		bytesPerSecond = 10_000_000
		nodes          = 3
		// maxDelay is the time in which a change takes effect.
		maxDelay = 2 * time.Second
	)
	var hang atomic.Bool
	replica, all := startRelayGroup(t, bytesPerSecond, nodes, &hang)
	time.Sleep(watchHold)
	hang.Store(true)
	replica.addRoutes(10)
	awaitRevision(t, all, 2, maxDelay)
}

// Guards against nodes that never have a configuration whose transfer takes longer than the time
// limit of a poll: each poll was cut off, and the next one began again.
func TestNodeReceivesAConfigurationThatTakesLongToTransfer(t *testing.T) {
	const (
		// bytesPerSecond is a link of 4.2 Mbit/s.
		bytesPerSecond = 525_000
		routes         = 14_000
		// maxDelay is four times what the link needs for the configuration.
		maxDelay = 9 * time.Second
	)
	replica := newLargeReplica(&apiv1.RelayInfo{})
	replica.addRoutes(routes)
	downlink := testnet.NewLink(bytesPerSecond)
	addresses := []string{serveReplica(t, replica, downlink.Listen), serveReplica(t, replica, downlink.Listen)}
	nodes := newWatchingNodes(t, 1, addresses)
	runWatchers(t, nodes)
	awaitRevision(t, nodes, 1, maxDelay)
}

// Guards against relays that send the whole configuration to each node that has moved to another
// relay: the response to the notice of the move, which the node does not use, filled their link.
func TestNoticeOfAMoveIsAnsweredWithoutConfiguration(t *testing.T) {
	n := newTestNode(t, "")
	n.relay.start()
	estate := newLargeReplica(n.relay.info())
	estate.addRoutes(100)
	n.relay.applyControlResponse(time.Now(), &apiv1.RelaySyncResponse{Delta: estate.records.Delta(0), RelaysUnchanged: true})
	n.applyDelta(estate.records.Delta(0), true, "test")
	heartbeat := n.member.buildRequest(n.relay.info())
	resp := n.relay.sync(context.Background(), moveNotice(heartbeat))
	assert.Assert(t, !resp.NotRelay)
	assert.Assert(t, proto.Size(resp) < 100, "the response has %d bytes", proto.Size(resp))
}

func (r *relay) revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records.Revision()
}
