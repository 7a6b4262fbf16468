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
	step    = HeartbeatInterval / 2
	failed  = apiv1.EndpointState_ENDPOINT_STATE_FAILED
	serving = apiv1.EndpointState_ENDPOINT_STATE_SERVING
)

// Nodes of two data centres start together. Every relay comes to hold every
// entry, and nobody is suspected.
func TestEveryRelayLearnsEveryEntry(t *testing.T) {
	w := newWorld(t)
	w.center("a", 20, 3)
	w.center("b", 15, 2)
	w.run(10 * time.Second)
	for _, r := range w.hosts {
		assert.Equal(t, w.count(r, "a", serving), 20)
		assert.Equal(t, w.count(r, "b", serving), 15)
		assert.Equal(t, w.relays[r].Failures, uint64(0))
		assert.Assert(t, w.relays[r].Ready(w.now))
	}
}

// Half of a data centre loses power, relays among it. The others must notice
// within seconds, and mark nobody else.
func TestHalfADataCentreKilledAtOnce(t *testing.T) {
	w := newWorld(t)
	w.center("a", 40, 4)
	w.center("b", 10, 2)
	w.run(10 * time.Second)
	for i := 0; i < 40; i += 2 {
		w.nodes[fmt.Sprintf("a-%d", i)].alive = false
	}
	w.run(20 * time.Second)
	for _, r := range []string{"a-1", "a-3", "b-0", "b-1"} {
		assert.Equal(t, w.count(r, "a", failed), 20, r)
		assert.Equal(t, w.count(r, "a", serving), 20, r)
		assert.Equal(t, w.count(r, "b", serving), 10, r)
	}
}

// A relay is cut off with a stale table while a node fails and is marked so on
// the other side. After an hour the cut ends: the dead entry must not come back
// through the relay that missed its end.
func TestDeadEntryDoesNotReturnAfterACut(t *testing.T) {
	w := newWorld(t)
	w.center("a", 12, 3)
	w.center("b", 6, 2)
	w.run(10 * time.Second)
	w.cut = func(from, to string) bool { return (from == "a-2") != (to == "a-2") }
	w.nodes["a-7"].alive = false
	w.run(time.Hour)
	assert.Equal(t, w.count("a-0", "a", failed) >= 1, true)
	w.cut = func(string, string) bool { return false }
	w.run(15 * time.Second)
	for _, r := range w.hosts {
		e := w.relays[r].Table().Get("a-7")
		assert.Equal(t, e.State, failed, r)
		assert.Equal(t, w.count(r, "a", serving), 11, r)
	}
}

// A relay is frozen for a minute and comes back. To it, all its nodes seem
// silent; marking them failed would take a data centre out of service.
func TestFrozenRelayMarksNobodyFailed(t *testing.T) {
	w := newWorld(t)
	w.center("a", 20, 1)
	w.run(10 * time.Second)
	w.frozen["a-0"] = true
	w.run(time.Minute)
	w.frozen["a-0"] = false
	w.run(20 * time.Second)
	assert.Equal(t, w.relays["a-0"].Failures, uint64(0))
	assert.Equal(t, w.count("a-0", "a", serving), 20)
}

// A relay wakes after a minute. One node's heartbeat is the first thing it sees,
// so that it is not isolated; the others have had no time to report yet. They
// must not be marked failed for the time that the relay itself was stopped.
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

// A relay answers one of another data centre with its own entries only: others
// it has from hearsay, and an entry that died meanwhile could come back by it.
func TestRelayPassesOnOnlyItsOwnDataCenter(t *testing.T) {
	w := newWorld(t)
	w.center("a", 5, 1)
	w.center("b", 5, 1)
	w.center("c", 5, 1)
	w.run(10 * time.Second)
	for _, cursor := range []*apiv1.Cursor{nil, {Epoch: 1}} {
		resp := w.relays["a-0"].Exchange(w.now, &apiv1.ExchangeRequest{FromHost: "c-0", FromDataCenter: "c", Cursor: cursor})
		assert.Equal(t, len(resp.Entries), 5)
		for _, e := range resp.Entries {
			assert.Equal(t, e.DataCenter, "a")
		}
	}
}

// A relay hears nobody at all, while it runs: its own network is gone. It
// cannot tell who failed and must leave the judgement to the others.
func TestIsolatedRelayMarksNobodyFailed(t *testing.T) {
	w := newWorld(t)
	w.center("a", 20, 2)
	w.run(10 * time.Second)
	w.cut = func(from, to string) bool { return from == "a-0" || to == "a-0" }
	w.run(2 * time.Minute)
	assert.Equal(t, w.relays["a-0"].Failures, uint64(0))
	w.cut = func(string, string) bool { return false }
	w.run(20 * time.Second)
	assert.Equal(t, w.count("a-1", "a", serving), 20)
}

// The network between a relay and one of its nodes breaks, and only there. A
// probe through another node reaches it: it is no failure.
func TestCutBetweenRelayAndOneNodeIsNoFailure(t *testing.T) {
	w := newWorld(t)
	w.center("a", 10, 1)
	w.run(10 * time.Second)
	w.cut = func(from, to string) bool { return from == "a-0" && to == "a-5" || from == "a-5" && to == "a-0" }
	w.run(time.Minute)
	assert.Equal(t, w.count("a-0", "a", failed), 0)
}

// A node restarts after its relay marked it failed, with a later incarnation.
// It must be seen as new; its former self's entries are superseded.
func TestRestartedNodeIsNew(t *testing.T) {
	w := newWorld(t)
	w.center("a", 6, 2)
	w.run(10 * time.Second)
	w.nodes["a-4"].alive = false
	w.run(20 * time.Second)
	assert.Equal(t, w.count("a-0", "a", failed), 1)
	w.nodes["a-4"].alive = true
	w.nodes["a-4"].entry = &apiv1.Entry{Host: "a-4", DataCenter: "a", Service: "s", PeerAddress: "a-4", Incarnation: 2000, Sequence: 1, State: serving}
	w.run(10 * time.Second)
	for _, r := range w.hosts {
		e := w.relays[r].Table().Get("a-4")
		assert.Equal(t, e.State, serving)
		assert.Equal(t, e.Incarnation, uint64(2000))
	}
}

// A node restarts on a host whose clock went back by an hour: its incarnation
// is lower than its former self's, which would hide it. The relay tells it what
// it believes, so that the node takes a higher one.
func TestClockGoneBackIsToldToTheNode(t *testing.T) {
	w := newWorld(t)
	w.center("a", 3, 1)
	w.run(10 * time.Second)
	held, _ := w.relays["a-0"].Heartbeat(w.now, &apiv1.NodeReport{Host: "a-1", Incarnation: 5, Sequence: 1}, nil)
	assert.Equal(t, held.Incarnation, uint64(1000))
}

// A region is away for ten minutes while entries change on both sides. After it
// is back, each side holds the other's newest, for the cost of the changes.
func TestRegionAwayForTenMinutes(t *testing.T) {
	w := newWorld(t)
	w.center("a", 200, 3)
	w.center("b", 200, 3)
	w.run(10 * time.Second)
	far := func(host string) bool { return host[0] == 'b' }
	w.cut = func(from, to string) bool { return far(from) != far(to) }
	w.nodes["a-50"].alive = false
	w.nodes["b-60"].alive = false
	w.run(10 * time.Minute)
	assert.Equal(t, w.count("b-0", "a", serving), 200)
	w.bytes = 0
	w.cut = func(string, string) bool { return false }
	w.run(5 * time.Second)
	assert.Equal(t, w.count("b-0", "a", serving), 199)
	assert.Equal(t, w.count("a-0", "b", serving), 199)
	assert.Assert(t, w.bytes < 40_000, "%d bytes to reconcile", w.bytes)
}

// A relay restarts with nothing. Until it has heard from the others it must not
// be ready, or it would tell nodes that services have no endpoints.
func TestRestartedRelayIsNotReadyBeforeItKnows(t *testing.T) {
	w := newWorld(t)
	w.center("a", 10, 2)
	w.center("b", 10, 2)
	w.run(10 * time.Second)
	w.addRelay("a-1", "a", 2)
	assert.Assert(t, !w.relays["a-1"].Ready(w.now))
	w.run(2 * time.Second)
	assert.Assert(t, w.relays["a-1"].Ready(w.now))
	assert.Equal(t, w.count("a-1", "b", serving), 10)
}

// A relay restarts with nothing and reaches the other data centres, but not yet its
// sibling, which alone knows the nodes of their own data centre. It must not be ready:
// nodes would be told that services there have no endpoints.
func TestRestartedRelayIsNotReadyBeforeItsSiblingAnswers(t *testing.T) {
	w := newWorld(t)
	w.center("a", 10, 2)
	w.center("b", 10, 2)
	w.run(10 * time.Second)
	w.cut = func(from, to string) bool { return from == "a-1" && to == "a-0" || from == "a-0" && to == "a-1" }
	w.addRelay("a-1", "a", 2)
	w.run(2 * time.Second)
	assert.Assert(t, !w.relays["a-1"].Ready(w.now), "ready without its sibling")
	w.cut = func(string, string) bool { return false }
	w.run(time.Second)
	assert.Assert(t, w.relays["a-1"].Ready(w.now))
	assert.Equal(t, w.count("a-1", "b", serving), 10)
}

// Two tables that differ in little reconcile by digests: only the buckets that
// differ travel. The related reading suggests comparing digests before sending.
func TestReconcileSendsOnlyWhatDiffers(t *testing.T) {
	full, some := reconcileBytes(t, 8800, 8800), reconcileBytes(t, 8800, 10)
	none := reconcileBytes(t, 8800, 0)
	assert.Assert(t, none < 1000, "%d", none)
	assert.Assert(t, some < full/5, "%d of %d", some, full)
}

// reconcileBytes is the size of an answer to a relay that lacks `differ` of n
// entries and whose cursor is of another epoch.
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
	resp := a.Exchange(0, &apiv1.ExchangeRequest{FromHost: "b", FromDataCenter: "x", Cursor: &apiv1.Cursor{Epoch: 1}, Digests: b.Table().Digests(AllCenters)})
	return proto.Size(resp)
}

func sampleEntry(i int) *apiv1.Entry {
	return &apiv1.Entry{Host: fmt.Sprintf("host-%05d", i), DataCenter: "x", Region: "r", Service: fmt.Sprintf("service-%03d", i%990),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255), Incarnation: 1764700000000, Sequence: 3, State: serving, Slots: 20,
		Relay: fmt.Sprintf("host-%05d", i/64*64), ChangedUnixMs: 1764700000000}
}

// A data centre of 400 nodes goes down at once. An answer carries a limited
// number of the changes, so that nobody gets more than its bytes a second; with
// the following answers the reader comes to hold them all.
func TestBurstOfChangesComesInPortions(t *testing.T) {
	r := NewRelay(&apiv1.RelayInfo{Host: "a", DataCenter: "x"}, 1, 0)
	_, cursor, _ := r.Entries(nil, []string{"s"}, true)
	for i := range 400 {
		e := sampleEntry(i)
		e.Service = "s"
		r.merge(0, e)
	}
	view := NewView()
	answers := 0
	for cursor.Version < r.Table().Version() {
		var entries []*apiv1.Entry
		entries, cursor, _ = r.Entries(cursor, []string{"s"}, false)
		assert.Assert(t, len(entries) <= maxEntries)
		view.Apply([]string{"s"}, entries, cursor, false)
		answers++
	}
	assert.Equal(t, answers, 3)
	assert.Equal(t, len(view.ByService()["s"]), 400)
}

// 400 nodes come up and one, last of all, fails. That one is what a caller most
// needs to hear of: it comes with the first answer, ahead of its turn.
func TestUrgentChangesComeFirst(t *testing.T) {
	r := NewRelay(&apiv1.RelayInfo{Host: "a", DataCenter: "x"}, 1, 0)
	_, cursor, _ := r.Entries(nil, []string{"s"}, true)
	for i := range 401 {
		e := sampleEntry(i)
		e.Service = "s"
		if i == 400 {
			e.State = failed
		}
		r.merge(0, e)
	}
	entries, _, _ := r.Entries(cursor, []string{"s"}, false)
	assert.Equal(t, len(entries), maxEntries+1)
	assert.Equal(t, entries[maxEntries].State, failed)
}

// A node asks for a service while its relay is not ready, and gets no entries.
// Were the service taken for answered, the next request would bring only what
// changed since the cursor, and the endpoints that were there before would stay
// unknown for good.
func TestServiceNotAnsweredIsAskedForAgain(t *testing.T) {
	r := NewRelay(&apiv1.RelayInfo{Host: "a", DataCenter: "x"}, 1, 0)
	r.merge(0, sampleEntry(1))
	view := NewView()
	entries, cursor, complete := r.Entries(nil, nil, true)
	view.Apply(nil, entries, cursor, complete)
	services := []string{"service-001"}
	assert.Assert(t, !view.Covers(services))
	view.Apply(services, nil, nil, false)
	assert.Assert(t, !view.Covers(services))
	entries, cursor, complete = r.Entries(view.Cursor(), services, !view.Covers(services))
	view.Apply(services, entries, cursor, complete)
	assert.Equal(t, len(view.ByService()["service-001"]), 1)
}

// A new relay joins a data centre. The others, which knew everything, must not
// cease to answer until they have heard from it.
func TestReadyRelayStaysReady(t *testing.T) {
	w := newWorld(t)
	w.center("a", 5, 2)
	w.run(3 * time.Second)
	assert.Assert(t, w.relays["a-0"].Ready(w.now))
	w.addRelay("a-2", "a", 1)
	assert.Assert(t, w.relays["a-0"].Ready(w.now))
}

// Whatever claims arrive in whatever order, twice or late, tables that saw the
// same set hold the same, and their digests agree.
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
		assert.DeepEqual(t, a.Digests(AllCenters), b.Digests(AllCenters))
	}
}
