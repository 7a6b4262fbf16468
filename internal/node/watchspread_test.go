package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/core/directory"
	"cactuspath/internal/controlclient"
)

// testWatcher returns the watcher of a node that knows the replicas and their data centres.
func testWatcher(host, dataCenter string, replicas int) *watcher {
	n := &Node{options: Options{Host: host, DataCenter: dataCenter, Control: controlclient.New(nil, nil, "")}}
	n.member = newMember(n)
	w := newWatcher(n)
	for i := range replicas {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		w.replicas = append(w.replicas, address)
		w.dataCenters[address] = fmt.Sprint("dc", i%5)
	}
	return w
}

// Guards against a fleet whose nodes all stay with the few replicas that they know at their
// start: with a thousand nodes, three of ten replicas had all watchers, more than they
// accept.
func TestNodesSpreadOverTheReplicas(t *testing.T) {
	const nodes, replicas = 1000, 10
	watchers := map[string]int{}
	near := 0
	for i := range nodes {
		w := testWatcher(fmt.Sprint("host-", i), fmt.Sprint("dc", i%5), replicas)
		first, second := w.pickReplica(true), w.pickReplica(false)
		assert.Assert(t, first != second && first != "" && second != "")
		if w.dataCenters[first] == w.n.options.DataCenter {
			near++
		}
		watchers[first]++
		watchers[second]++
		w.confirm(first, time.Now())
		w.confirm(second, time.Now())
		assert.Assert(t, !w.moveWatch(first, true, time.Now()))
	}
	assert.Equal(t, near, nodes, "a near replica comes first")
	for address, n := range watchers {
		assert.Assert(t, n > nodes*2/replicas/2 && n < nodes*2/replicas*3/2, "%d nodes watch %s", n, address)
	}
}

// A node that has learned of more replicas must move to those that it prefers, and must not
// return to one that failed while others are left.
func TestNodeMovesToPreferredReplicas(t *testing.T) {
	w := testWatcher("host", "dc1", 3)
	w.watched["10.0.0.0:1"], w.watched["10.0.0.2:1"] = true, true
	w.confirm("10.0.0.2:1", time.Now())
	assert.Assert(t, w.moveWatch("10.0.0.0:1", true, time.Now()), "10.0.0.1 is near")
	w.release("10.0.0.0:1", movedOn, time.Now())
	assert.Equal(t, w.pickReplica(true), "10.0.0.1:1")
	w.release("10.0.0.1:1", wasUsable, time.Now())
	assert.Assert(t, w.pickReplica(true) != "10.0.0.1:1", "the replica has just failed")
	assert.Assert(t, w.rankReplicas(true, time.Now().Add(2*failureMemory))[0] == "10.0.0.1:1", "a failure is remembered for ever")

	full := testWatcher("host", "dc1", 2)
	for range 2 {
		full.release(full.pickReplica(true), wasFull, time.Now())
	}
	assert.Equal(t, full.pickReplica(true), "", "a full replica was picked")
}

// One watched replica supplies the entries of other nodes, and another takes over when it is
// no longer watched.
func TestOneReplicaSuppliesEntries(t *testing.T) {
	w := testWatcher("host", "dc1", 3)
	first, second := w.pickReplica(true), w.pickReplica(false)
	assert.Assert(t, w.becomeEntrySource(first))
	assert.Assert(t, !w.becomeEntrySource(second))
	w.release(first, wasUsable, time.Now())
	assert.Assert(t, w.becomeEntrySource(second))
}

// spreadReplica is a control replica that has no leader at first, and then names all replicas.
type spreadReplica struct {
	apiv1connect.UnimplementedControlServiceHandler
	hasLeader *atomic.Bool
	replicas  *[]string

	mu sync.Mutex
	// watchers holds the nodes that have polled since the last call of reset.
	watchers map[string]bool
}

func (f *spreadReplica) Watch(ctx context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	if !f.hasLeader.Load() {
		return connect.NewResponse(&apiv1.WatchResponse{Detached: true}), nil
	}
	f.mu.Lock()
	f.watchers[req.Msg.Host] = true
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(req.Msg.HoldMs) * time.Millisecond):
	}
	return connect.NewResponse(&apiv1.WatchResponse{Replicas: *f.replicas}), nil
}

// reset returns the number of nodes that have polled since the last call.
func (f *spreadReplica) reset() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.watchers)
	f.watchers = map[string]bool{}
	return n
}

// Guards against nodes that all watch the same two replicas for half a minute after a start: the
// replicas that they know from their settings had no leader yet, and so count as failed.
func TestNodesSpreadAfterATimeWithoutALeader(t *testing.T) {
	const nodes, replicas, known = 40, 5, 3
	var hasLeader atomic.Bool
	var addresses []string
	var all []*spreadReplica
	for range replicas {
		f := &spreadReplica{hasLeader: &hasLeader, replicas: &addresses, watchers: map[string]bool{}}
		all = append(all, f)
		addresses = append(addresses, serveReplica(t, f, unchanged))
	}
	watching := newWatchingNodes(t, nodes, addresses[:known])
	nameEvenly(watching, addresses)
	runWatchers(t, watching)
	time.Sleep(500 * time.Millisecond)
	hasLeader.Store(true)
	// The nodes may move their watches for this time, and then poll all replicas that they watch.
	const settling, interval = 4 * time.Second, 2 * watchHold
	time.Sleep(settling)
	for _, f := range all {
		f.reset()
	}
	time.Sleep(interval)
	fewest := nodes
	for _, f := range all {
		fewest = min(fewest, f.reset())
	}
	assert.Assert(t, fewest >= nodes/replicas, "a replica is watched by %d nodes, half of its share is %d", fewest, nodes/replicas)
}

// nameEvenly names the nodes so that no replica is among the two that they prefer much less often than
// the others. Names and addresses alone spread a few nodes unevenly now and then.
func nameEvenly(nodes []*Node, replicas []string) {
	for try := 0; ; try++ {
		preferred := map[string]int{}
		for i, n := range nodes {
			n.options.Host = fmt.Sprint("host-", try, "-", i)
			for _, replica := range directory.Rendezvous(n.options.Host, replicas)[:watchedReplicas] {
				preferred[replica]++
			}
		}
		share, fewest := watchedReplicas*len(nodes)/len(replicas), len(nodes)
		for _, replica := range replicas {
			fewest = min(fewest, preferred[replica])
		}
		if fewest >= share*3/4 {
			return
		}
	}
}

// Guards against a burst of heartbeats while no control replica has a leader: the relay is told
// that the watches of a node have ended once, not after each try.
func TestRelayIsToldOnceThatWatchesEnded(t *testing.T) {
	w := newTestNode(t, "").watcher
	requested := func() bool {
		select {
		case <-w.n.member.syncRequests:
			return true
		default:
			return false
		}
	}
	end := func(address string) bool {
		now := time.Now()
		w.watched[address] = true
		w.received(address, now)
		w.release(address, wasUsable, now)
		return requested()
	}
	assert.Assert(t, !end("r-0"), "the relay does not know of watches")
	w.n.member.saidWatching.Store(true)
	w.watched["r-1"] = true
	w.received("r-1", time.Now())
	assert.Assert(t, !end("r-0"), "another replica responds")
	assert.Assert(t, end("r-1"), "the relay does not learn that this node needs its changes")
	w.n.member.saidWatching.Store(false)
	assert.Assert(t, !end("r-0"))
}

// Guards against a node that leaves both replicas that it watches at once, for others that it
// prefers and that may not respond: it would have no news until their deadlines.
func TestNodeMovesOneWatchAtATime(t *testing.T) {
	w := testWatcher("host", "dc1", 4)
	now := time.Now()
	ranked := w.rankReplicas(false, now)
	first, second := ranked[2], ranked[3]
	w.watched[first], w.watched[second] = true, true
	w.confirm(first, now)
	assert.Assert(t, !w.moveWatch(first, false, now), "the other watch has not been answered yet")
	w.confirm(second, now)
	assert.Assert(t, !w.moveWatch(first, false, now.Add(2*time.Second)), "the other watch was answered too long ago")
	assert.Assert(t, w.moveWatch(first, false, now))
	assert.Assert(t, !w.moveWatch(second, false, now), "the first watch has just moved")
}
