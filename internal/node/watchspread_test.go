package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/controlclient"
)

// testWatcher returns the watcher of a node that knows the replicas and their data centres.
func testWatcher(host, dataCenter string, replicas int) *watcher {
	w := newWatcher(&Node{options: Options{Host: host, DataCenter: dataCenter, Control: controlclient.New(nil, nil, "")}})
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
		assert.Assert(t, !w.prefersOther(first, true))
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
	w.watched["10.0.0.0:1"] = true
	assert.Assert(t, w.prefersOther("10.0.0.0:1", true), "10.0.0.1 is near")
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
