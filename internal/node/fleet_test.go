package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// knowingFleet returns a node that knows a number of others, and a function that changes the
// entry of one of them.
func knowingFleet(t testing.TB, nodes int) (n *Node, changeOne func()) {
	n = newTestNode(t, "")
	n.applyDelta(routeDelta(1, "/a/"), true, "test")
	assert.NilError(t, n.announce(Announcement{Service: "pay", Address: "127.0.0.1:1", Slots: 4}))
	sequence := uint64(1)
	entry := func(i int) *apiv1.Entry {
		return &apiv1.Entry{Host: fmt.Sprint("host-", i), DataCenter: fmt.Sprint("dc", i%5), Service: "pay", Slots: 4 + uint32(sequence%2), PeerAddress: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250), Incarnation: 1, Sequence: sequence}
	}
	var all []*apiv1.Entry
	for i := range nodes {
		all = append(all, entry(i))
	}
	n.applyProvisional(all)
	return n, func() {
		sequence++
		n.applyProvisional([]*apiv1.Entry{entry(0)})
	}
}

// Guards against the cost of a change that grows with the fleet: in a fleet of a thousand
// nodes, each of them hears of every change, and one that rebuilt its tables for each would
// have no processor time left for requests.
func TestChangeOfOneNodeCostsLittleInALargeFleet(t *testing.T) {
	klog.SetLogger(klog.Background().V(99))
	defer klog.ClearLogger()
	_, changeOne := knowingFleet(t, 1000)
	allocations := testing.AllocsPerRun(50, changeOne)
	assert.Assert(t, allocations < 100, "%.0f allocations", allocations)
}

// BenchmarkApplyOneChange measures what a node does when the entry of one other node
// changes.
//
//	go test ./internal/node -run '^$' -bench ApplyOneChange
func BenchmarkApplyOneChange(b *testing.B) {
	klog.SetLogger(klog.Background().V(99))
	for _, nodes := range []int{100, 985} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			_, changeOne := knowingFleet(b, nodes)
			b.ReportAllocs()
			for b.Loop() {
				changeOne()
			}
		})
	}
}
