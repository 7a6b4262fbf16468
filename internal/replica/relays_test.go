package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func newTestTable() (*relayTable, *time.Time) {
	now := time.Unix(1000, 0)
	t := newRelayTable()
	t.now = func() time.Time { return now }
	return t, &now
}

func relaySync(host string, nodes uint32) *apiv1.RelaySyncRequest {
	return &apiv1.RelaySyncRequest{Relay: &apiv1.RelayInfo{Host: host, DataCenter: "dc", PeerAddress: host, Nodes: nodes}, Nodes: nodes}
}

// Guards against all nodes of a data centre reporting to the replicas after a restart of the whole
// data centre. Two nodes must become relays, and the others must be referred to them.
func TestFirstNodesBecomeRelays(t *testing.T) {
	table, _ := newTestTable()
	became := 0
	for i := range 400 {
		if table.assign(&apiv1.FindRelaysRequest{Host: fmt.Sprint(i), DataCenter: "dc"}).BecomeRelay {
			became++
		}
	}
	assert.Equal(t, became, minRelays)
}

// Guards against leaving a node without a relay because the leader counts relays that the node
// cannot reach.
func TestUnreachableRelaysDoNotCount(t *testing.T) {
	table, _ := newTestTable()
	table.sync(relaySync("a", 10))
	table.sync(relaySync("b", 10))
	resp := table.assign(&apiv1.FindRelaysRequest{Host: "n", DataCenter: "dc", Unreachable: []string{"a", "b"}})
	assert.Assert(t, resp.BecomeRelay)
}

// Guards against adding too many relays in a data centre whose number of nodes has grown. The
// leader must request no more than are missing, only from the first relay, and must not request
// them twice while they are starting.
func TestRelaysGrowWithNodes(t *testing.T) {
	table, now := newTestTable()
	var askedAt []time.Time
	for range 10 {
		*now = now.Add(time.Second)
		for _, host := range []string{"a", "b"} {
			_, _, a := table.sync(relaySync(host, 50))
			assert.Assert(t, a.moreRelays == 0 || host == "a")
			assert.Assert(t, a.moreRelays <= 2, "100 nodes want 4 relays")
			if a.moreRelays > 0 {
				askedAt = append(askedAt, *now)
			}
		}
	}
	assert.Equal(t, len(askedAt), 3)
	for i := range askedAt[1:] {
		assert.Assert(t, askedAt[i+1].Sub(askedAt[i]) > growthInterval)
	}
}

// Guards against a large data centre that has two relays for most of a minute after all its nodes
// have started, since relays were added one at a time.
func TestRelaysOfALargeDataCenterGrowWithinSeconds(t *testing.T) {
	const nodes, wanted = 400, 13
	table, now := newTestTable()
	relays := []string{"r00", "r01"}
	begin := *now
	for len(relays) < wanted {
		assert.Assert(t, now.Sub(begin) < 15*time.Second, "%d relays after %s", len(relays), now.Sub(begin))
		*now = now.Add(time.Second)
		more := 0
		for _, host := range relays {
			_, _, a := table.sync(relaySync(host, uint32(nodes/len(relays))))
			more += int(a.moreRelays)
		}
		for range more {
			relays = append(relays, fmt.Sprintf("r%02d", len(relays)))
		}
	}
	assert.Assert(t, len(relays) <= wanted+1)
}

// Guards against counting relays whose lease has expired because they did not report, and against
// keeping too many relays in a data centre whose number of nodes has decreased.
func TestRelaysExpireAndShrink(t *testing.T) {
	table, now := newTestTable()
	for _, host := range []string{"a", "b", "c", "d"} {
		table.sync(relaySync(host, 1))
	}
	_, _, a := table.sync(relaySync("d", 1))
	assert.Assert(t, a.stepDown)
	*now = now.Add(relayLease + time.Second)
	list, _, _ := table.sync(relaySync("b", 1))
	assert.Equal(t, len(list), 1)
}

// Guards against a status that does not list nodes with an old revision, or that counts nodes as up
// to date although the relay they report to does not have the revision.
func TestSummary(t *testing.T) {
	table, _ := newTestTable()
	a := relaySync("a", 3)
	a.Revision, a.InForce = 7, 2
	a.Behind = []*apiv1.NodeReport{{Host: "x", Revision: 6}}
	table.sync(a)
	b := relaySync("b", 2)
	b.Revision, b.InForce = 6, 2
	table.sync(b)
	resp := &apiv1.StatusResponse{}
	table.summarize(7, resp)
	assert.Equal(t, resp.Nodes, uint32(5))
	assert.Equal(t, resp.InForce, uint32(2))
	assert.Equal(t, resp.Behind[0].Host, "x")
}
