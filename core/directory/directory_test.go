package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

const (
	simulationStep = HeartbeatInterval / 2
	failed         = apiv1.EndpointState_ENDPOINT_STATE_FAILED
	serving        = apiv1.EndpointState_ENDPOINT_STATE_SERVING
)

// The nodes of two data centres start together. Every relay must receive every
// entry without marking any node failed.
func TestEveryRelayLearnsEveryEntry(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 20, 3)
	s.addDataCenter("b", 15, 2)
	s.run(10 * time.Second)
	for _, r := range s.relayHosts {
		assert.Equal(t, s.countEntries(r, "a", serving), 20)
		assert.Equal(t, s.countEntries(r, "b", serving), 15)
		assert.Equal(t, s.relays[r].Failures, uint64(0))
		assert.Assert(t, s.relays[r].Ready(s.now))
	}
}

// Half of a data centre, including relays, fails at once. The remaining relays must
// detect it within seconds and mark no other node failed.
func TestHalfOfDataCentreFails(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 40, 4)
	s.addDataCenter("b", 10, 2)
	s.run(10 * time.Second)
	for i := 0; i < 40; i += 2 {
		s.nodes[fmt.Sprintf("a-%d", i)].alive = false
	}
	s.run(20 * time.Second)
	for _, r := range []string{"a-1", "a-3", "b-0", "b-1"} {
		assert.Equal(t, s.countEntries(r, "a", failed), 20, r)
		assert.Equal(t, s.countEntries(r, "a", serving), 20, r)
		assert.Equal(t, s.countEntries(r, "b", serving), 10, r)
	}
}

// A relay is partitioned from the others for an hour, during which a node fails and the
// other relays mark it failed. When the partition heals, the relay's stale entry of the
// node must not replace the failed one.
func TestFailedEntryDoesNotReturnAfterPartition(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 12, 3)
	s.addDataCenter("b", 6, 2)
	s.run(10 * time.Second)
	s.blocked = func(from, to string) bool { return (from == "a-2") != (to == "a-2") }
	s.nodes["a-7"].alive = false
	s.run(time.Hour)
	assert.Equal(t, s.countEntries("a-0", "a", failed) >= 1, true)
	s.blocked = func(string, string) bool { return false }
	s.run(15 * time.Second)
	for _, r := range s.relayHosts {
		e := s.relays[r].Table().Get("a-7")
		assert.Equal(t, e.State, failed, r)
		assert.Equal(t, s.countEntries(r, "a", serving), 11, r)
	}
}

// A relay is paused for a minute. When it resumes, it has received nothing from any node
// for a minute. It must not mark them failed, which would take a whole data centre out
// of service.
func TestPausedRelayMarksNoNodeFailed(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 20, 1)
	s.run(10 * time.Second)
	s.paused["a-0"] = true
	s.run(time.Minute)
	s.paused["a-0"] = false
	s.run(20 * time.Second)
	assert.Equal(t, s.relays["a-0"].Failures, uint64(0))
	assert.Equal(t, s.countEntries("a-0", "a", serving), 20)
}

// A relay resumes after a pause of a minute and first receives one node's heartbeat, so
// that it does not consider itself isolated. The other nodes have had no time to send a
// heartbeat since, and the pause must not count as their silence.
func TestWakingRelayWaitsForItsNodes(t *testing.T) {
	r := NewRelay(&apiv1.RelayInfo{Host: "r", DataCenter: "x"}, 1, 0)
	for i := range 3 {
		e := sampleEntry(i)
		e.Relay = "r"
		r.Heartbeat(0, &apiv1.NodeReport{Host: e.Host, Incarnation: e.Incarnation, Sequence: e.Sequence}, e)
	}
	r.Tick(HeartbeatInterval)
	awake := time.Minute
	first := sampleEntry(0)
	r.Heartbeat(awake, &apiv1.NodeReport{Host: first.Host, Incarnation: first.Incarnation, Sequence: first.Sequence}, nil)
	r.Tick(awake)
	assert.Equal(t, r.Failures, uint64(0))
}

// A relay must send relays of other data centres only the entries of its own data centre.
// It received the other entries from other relays and they may be stale, so that an entry
// that has been marked failed since could return as serving.
func TestRelayPassesOnOnlyItsOwnDataCenter(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 5, 1)
	s.addDataCenter("b", 5, 1)
	s.addDataCenter("c", 5, 1)
	s.run(10 * time.Second)
	for _, cursor := range []*apiv1.Cursor{nil, {Epoch: 1}} {
		resp := s.relays["a-0"].Exchange(s.now, &apiv1.ExchangeRequest{FromHost: "c-0", FromDataCenter: "c", Cursor: cursor})
		assert.Equal(t, len(resp.Entries), 5)
		for _, e := range resp.Entries {
			assert.Equal(t, e.DataCenter, "a")
		}
	}
}

// A running relay loses its own network connection and receives nothing from any host. It
// cannot tell which nodes have failed, so it must not mark any; the other relays detect
// failures.
func TestIsolatedRelayMarksNoNodeFailed(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 20, 2)
	s.run(10 * time.Second)
	s.blocked = func(from, to string) bool { return from == "a-0" || to == "a-0" }
	s.run(2 * time.Minute)
	assert.Equal(t, s.relays["a-0"].Failures, uint64(0))
	s.blocked = func(string, string) bool { return false }
	s.run(20 * time.Second)
	assert.Equal(t, s.countEntries("a-1", "a", serving), 20)
}

// Only the link between a relay and one of its nodes is broken. An indirect probe through
// another node reaches that node, so the relay must not mark it failed.
func TestCutBetweenRelayAndOneNodeIsNoFailure(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 10, 1)
	s.run(10 * time.Second)
	s.blocked = func(from, to string) bool { return from == "a-0" && to == "a-5" || from == "a-5" && to == "a-0" }
	s.run(time.Minute)
	assert.Equal(t, s.countEntries("a-0", "a", failed), 0)
}

// A node restarts with a higher incarnation after its relay marked it failed. Its
// new entry must supersede the failed one.
func TestRestartedNodeIsNew(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 6, 2)
	s.run(10 * time.Second)
	s.nodes["a-4"].alive = false
	s.run(20 * time.Second)
	assert.Equal(t, s.countEntries("a-0", "a", failed), 1)
	s.nodes["a-4"].alive = true
	s.nodes["a-4"].entry = &apiv1.Entry{Host: "a-4", DataCenter: "a", Service: "s", PeerAddress: "a-4", Incarnation: 2000, Sequence: 1, State: serving}
	s.run(10 * time.Second)
	for _, r := range s.relayHosts {
		e := s.relays[r].Table().Get("a-4")
		assert.Equal(t, e.State, serving)
		assert.Equal(t, e.Incarnation, uint64(2000))
	}
}

// A node restarts on a host whose clock was set back by an hour. The node's incarnation is
// taken from the clock and is lower than before the restart, so its new entry would be
// ignored as older. The relay must return the entry that it holds, so that the node can
// choose a higher incarnation.
func TestClockSetBackIsReportedToNode(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 3, 1)
	s.run(10 * time.Second)
	held, _ := s.relays["a-0"].Heartbeat(s.now, &apiv1.NodeReport{Host: "a-1", Incarnation: 5, Sequence: 1}, nil)
	assert.Equal(t, held.Incarnation, uint64(1000))
}

// A region is partitioned for ten minutes while entries change on both sides. After
// the partition heals, each side must receive the other's latest entries, and the bytes sent
// must be in proportion to the changes rather than to all entries.
func TestReconcileAfterTenMinutePartition(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 200, 3)
	s.addDataCenter("b", 200, 3)
	s.run(10 * time.Second)
	inB := func(host string) bool { return host[0] == 'b' }
	s.blocked = func(from, to string) bool { return inB(from) != inB(to) }
	s.nodes["a-50"].alive = false
	s.nodes["b-60"].alive = false
	s.run(10 * time.Minute)
	assert.Equal(t, s.countEntries("b-0", "a", serving), 200)
	s.exchangedBytes = 0
	s.blocked = func(string, string) bool { return false }
	s.run(5 * time.Second)
	assert.Equal(t, s.countEntries("b-0", "a", serving), 199)
	assert.Equal(t, s.countEntries("a-0", "b", serving), 199)
	assert.Assert(t, s.exchangedBytes < 40_000, "%d bytes to reconcile", s.exchangedBytes)
}

// A relay restarts with an empty table. Until it has received entries from the other
// relays it must not be ready, or it would report services as having no endpoints.
func TestRestartedRelayIsNotReadyBeforeItHasEntries(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 10, 2)
	s.addDataCenter("b", 10, 2)
	s.run(10 * time.Second)
	s.addRelay("a-1", "a", 2)
	assert.Assert(t, !s.relays["a-1"].Ready(s.now))
	s.run(2 * time.Second)
	assert.Assert(t, s.relays["a-1"].Ready(s.now))
	assert.Equal(t, s.countEntries("a-1", "b", serving), 10)
}

// A relay restarts with an empty table and receives entries from the other data centres,
// but not yet from its sibling, the only relay with the entries of its own data centre. It
// must not be ready: it would report the services of its data centre as having no
// endpoints.
func TestRestartedRelayIsNotReadyBeforeItsSiblingAnswers(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 10, 2)
	s.addDataCenter("b", 10, 2)
	s.run(10 * time.Second)
	s.blocked = func(from, to string) bool { return from == "a-1" && to == "a-0" || from == "a-0" && to == "a-1" }
	s.addRelay("a-1", "a", 2)
	s.run(2 * time.Second)
	assert.Assert(t, !s.relays["a-1"].Ready(s.now), "ready without its sibling")
	s.blocked = func(string, string) bool { return false }
	s.run(time.Second)
	assert.Assert(t, s.relays["a-1"].Ready(s.now))
	assert.Equal(t, s.countEntries("a-1", "b", serving), 10)
}

// Two tables with few differences reconcile by digests: only the buckets that
// differ must be sent.
func TestReconcileSendsOnlyWhatDiffers(t *testing.T) {
	full, some := reconcileBytes(t, 8800, 8800), reconcileBytes(t, 8800, 10)
	none := reconcileBytes(t, 8800, 0)
	assert.Assert(t, none < 1000, "%d", none)
	assert.Assert(t, some < full/5, "%d of %d", some, full)
}

// reconcileBytes returns the size of the response to a relay that lacks differ of n entries
// and cannot continue from its cursor, since the cursor is of another epoch.
func reconcileBytes(t testing.TB, n, differ int) int {
	t.Helper()
	a := NewRelay(&apiv1.RelayInfo{Host: "a", DataCenter: "x"}, 2, 0)
	b := NewRelay(&apiv1.RelayInfo{Host: "b", DataCenter: "x"}, 3, 0)
	for i := range n {
		e := sampleEntry(i)
		a.merge(0, e)
		if i >= differ {
			b.merge(0, e)
		}
	}
	resp := a.Exchange(0, &apiv1.ExchangeRequest{FromHost: "b", FromDataCenter: "x", Cursor: &apiv1.Cursor{Epoch: 1}, Digests: b.Table().Digests(AllDataCenters)})
	return proto.Size(resp)
}

func sampleEntry(i int) *apiv1.Entry {
	return &apiv1.Entry{Host: fmt.Sprintf("host-%05d", i), DataCenter: "x", Region: "r", Service: fmt.Sprintf("service-%03d", i%990),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255), Incarnation: 1764700000000, Sequence: 3, State: serving, Slots: 20,
		Relay: fmt.Sprintf("host-%05d", i/64*64), ChangedUnixMs: 1764700000000}
}

// 400 entries change at once, as when a whole data centre fails. One answer must
// contain a limited number of changes, so that no reader exceeds its bandwidth
// limit; the following answers must deliver the rest.
func TestLargeChangeSetIsSentInBatches(t *testing.T) {
	r := NewRelay(&apiv1.RelayInfo{Host: "a", DataCenter: "x"}, 1, 0)
	_, cursor, _ := r.Entries(0, nil, []string{"s"}, true)
	for i := range 400 {
		e := sampleEntry(i)
		e.Service = "s"
		r.merge(0, e)
	}
	view := NewView()
	answers := 0
	for cursor.Version < r.Table().Version() {
		var entries []*apiv1.Entry
		entries, cursor, _ = r.Entries(0, cursor, []string{"s"}, false)
		assert.Assert(t, len(entries) <= maxEntriesPerAnswer)
		view.Apply(0, []string{"s"}, entries, cursor, false)
		answers++
	}
	assert.Equal(t, answers, 3)
	assert.Equal(t, len(view.ByService()["s"]), 400)
}

// 400 nodes start and then one of them fails. Until callers' nodes know of the failure,
// they send requests to the failed node, so this change must be in the first answer, ahead
// of older changes.
func TestUrgentChangesComeFirst(t *testing.T) {
	r := NewRelay(&apiv1.RelayInfo{Host: "a", DataCenter: "x"}, 1, 0)
	_, cursor, _ := r.Entries(0, nil, []string{"s"}, true)
	for i := range 401 {
		e := sampleEntry(i)
		e.Service = "s"
		if i == 400 {
			e.State = failed
		}
		r.merge(0, e)
	}
	entries, _, _ := r.Entries(0, cursor, []string{"s"}, false)
	assert.Equal(t, len(entries), maxEntriesPerAnswer+1)
	assert.Equal(t, entries[maxEntriesPerAnswer].State, failed)
}

// A node requests the entries of a service while its relay is not ready, and gets none. The
// view must not consider the service covered: otherwise the next answer would contain only
// changes since the cursor, and the node would never learn of the endpoints that existed
// before.
func TestServiceNotAnsweredIsAskedForAgain(t *testing.T) {
	r := NewRelay(&apiv1.RelayInfo{Host: "a", DataCenter: "x"}, 1, 0)
	r.merge(0, sampleEntry(1))
	view := NewView()
	entries, cursor, complete := r.Entries(0, nil, nil, true)
	view.Apply(0, nil, entries, cursor, complete)
	services := []string{"service-001"}
	assert.Assert(t, !view.Covers(services))
	view.Apply(0, services, nil, nil, false)
	assert.Assert(t, !view.Covers(services))
	entries, cursor, complete = r.Entries(0, view.Cursor(), services, !view.Covers(services))
	view.Apply(0, services, entries, cursor, complete)
	assert.Equal(t, len(view.ByService()["service-001"]), 1)
}

// A new relay joins a data centre. The existing relays must stay ready although
// they have not received entries from it yet.
func TestReadyRelayStaysReady(t *testing.T) {
	s := newSimulation(t)
	s.addDataCenter("a", 5, 2)
	s.run(3 * time.Second)
	assert.Assert(t, s.relays["a-0"].Ready(s.now))
	s.addRelay("a-2", "a", 1)
	assert.Assert(t, s.relays["a-0"].Ready(s.now))
}

// Tables that merge the same set of entries must have the same contents and digests,
// whatever the order and duplication of the entries.
func TestMergeIsOrderIndependent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var claims []*apiv1.Entry
		for range 30 {
			claims = append(claims, &apiv1.Entry{Host: fmt.Sprint(random.IntN(4)), DataCenter: "x", Incarnation: uint64(random.IntN(3)),
				Sequence: uint64(random.IntN(4)), State: []apiv1.EndpointState{serving, failed}[random.IntN(2)]})
		}
		a, b := NewTable(), NewTable()
		for _, c := range claims {
			a.Merge(c)
		}
		for _, i := range random.Perm(len(claims)) {
			b.Merge(claims[i])
			b.Merge(claims[random.IntN(len(claims))])
		}
		assert.DeepEqual(t, a.Digests(AllDataCenters), b.Digests(AllDataCenters))
	}
}
