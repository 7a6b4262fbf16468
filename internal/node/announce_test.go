package node

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/gate"
	"cactuspath/core/rollout"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/hop"
)

var testDialect = &hop.Dialect{Instance: "X-Instance", ExpectInstance: "X-Expect", Load: "X-Load", ParseLoad: func(string) (hop.ServerLoad, bool) {
	return hop.ServerLoad{Slots: 7, Slowdown: 1}, true
}}

// newTestNode returns a node that reaches no control replica.
func newTestNode(t *testing.T, backend string) *Node {
	t.Helper()
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	return New(Options{Host: "h", DataCenter: "dc", Region: "r", Callers: listen(), Peer: listen(), Admin: listen(), Reports: socket, PeerAddress: "127.0.0.1:1",
		Control: controlclient.New(nil, []string{"127.0.0.1:1"}, ""), StopTimeout: time.Second, Dialect: testDialect, Service: "pay", Backend: backend})
}

func announcement(instance string, sequence uint64, draining bool) Announcement {
	return Announcement{Service: "pay", Address: "127.0.0.1:9", Slots: 4, Instance: instance, Sequence: sequence, Draining: draining}
}

// Guards against a delayed announcement that ends a drain: the backend server announces
// that it is leaving, and an earlier announcement arrives after that. Requests would
// reach a server that is leaving.
func TestLateAnnouncementDoesNotEndADrain(t *testing.T) {
	for _, instance := range []string{"i-1", ""} {
		n := newTestNode(t, "")
		assert.NilError(t, n.Announce(announcement(instance, 5, false)))
		assert.NilError(t, n.Announce(announcement(instance, 7, true)))
		assert.NilError(t, n.Announce(announcement(instance, 6, false)))
		n.mu.Lock()
		assert.Assert(t, n.draining(), "instance %q", instance)
		n.mu.Unlock()
	}
}

// A backend server that names no instance may cancel its drain, and another one may
// replace it at another address with an earlier sequence. Both announcements are
// accepted.
func TestAnnouncementsWithoutInstance(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(announcement("", 7, true)))
	assert.NilError(t, n.Announce(announcement("", 0, false)))
	assert.Assert(t, !n.draining(), "announcements without a sequence are unordered")
	assert.NilError(t, n.Announce(announcement("", 9, false)))
	elsewhere := announcement("", 3, false)
	elsewhere.Address = "127.0.0.1:10"
	assert.NilError(t, n.Announce(elsewhere))
	assert.Equal(t, n.server.address, "127.0.0.1:10")
}

// Guards against an ended instance that is registered again: a backend server restarts
// as another instance, and a delayed announcement of the ended one arrives, also after
// the new one has left.
func TestEndedInstanceIsNotAnnouncedAgain(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(announcement("i-1", 5, false)))
	assert.NilError(t, n.Announce(announcement("i-2", 1, false)))
	assert.NilError(t, n.Announce(announcement("i-1", 6, false)))
	assert.Equal(t, n.server.instance, "i-2")
	n.Withdraw("i-1", "late")
	assert.Assert(t, n.server != nil, "the end of an earlier instance withdrew the newer one")
	n.Withdraw("i-2", "it left")
	assert.NilError(t, n.Announce(announcement("i-2", 9, false)))
	assert.Assert(t, n.server == nil)
}

func TestAnnouncementsAreChecked(t *testing.T) {
	n := newTestNode(t, "")
	assert.ErrorContains(t, n.Announce(Announcement{Address: "127.0.0.1:9"}), "service")
	assert.ErrorContains(t, n.Announce(Announcement{Service: "pay", Address: "somewhere"}), "address")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	other := announcement("i-2", 1, false)
	other.Service = "else"
	assert.ErrorContains(t, n.Announce(other), "another service")
}

// A node that was restarted alone queries the backend server beside it and opens its
// gate before the next announcement. A server that is leaving does not respond with 200
// and has to announce itself.
func TestRestartedNodeDiscoversServer(t *testing.T) {
	leaving := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, strings.HasPrefix(r.URL.Path, "/well"))
		w.Header().Set("X-Instance", "i-9")
		w.Header().Set("X-Load", "any")
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	n := newTestNode(t, server.Listener.Addr().String())
	n.applyDelta(&apiv1.EstateDelta{Revision: 1, Complete: true, Services: []*apiv1.ServiceRecord{{Name: "pay", ChangedAt: 1, Spec: &apiv1.ServiceSpec{Slots: 1, HealthPath: "/well"}}}}, true, "test")
	leaving = true
	_, ok := n.queryServer(t.Context(), hop.NewPool(n.options.Backend, nil))
	assert.Assert(t, !ok)
	leaving = false
	n.discoverServer(t.Context())
	assert.Assert(t, n.server != nil)
	assert.Equal(t, n.server.instance, "i-9")
	assert.Equal(t, n.server.slots, uint32(7))
}

// Revisions arrive from two replicas and a relay in any order; a node never returns to
// an older one.
func TestRevisionNeverGoesBack(t *testing.T) {
	n := newTestNode(t, "")
	delta := func(since, revision uint64) *apiv1.EstateDelta {
		return &apiv1.EstateDelta{Since: since, Revision: revision, Complete: since == 0, Services: []*apiv1.ServiceRecord{
			{Name: "pay", ChangedAt: revision, Spec: &apiv1.ServiceSpec{Slots: 1, Hosts: []string{fmt.Sprint("r", revision, ".example")}}}}}
	}
	for _, step := range []struct {
		delta *apiv1.EstateDelta
		want  uint64
	}{{delta(0, 5), 5}, {delta(0, 3), 5}, {delta(5, 8), 8}, {delta(3, 5), 8}, {nil, 8}} {
		n.applyDelta(step.delta, true, "test")
		assert.Equal(t, n.Revision(), step.want)
	}
}

// Guards against a gate without slots, which refused all requests as full: a heartbeat
// that is sent while the backend server is being announced brings requests before the
// node has applied the configuration.
func TestGateHasSlotsBeforeServerIsAnnounced(t *testing.T) {
	n := newTestNode(t, "")
	n.mu.Lock()
	s := n.newServer(announcement("i-1", 1, false))
	n.mu.Unlock()
	defer s.endpoint.Close()
	assert.Equal(t, s.endpoint.Load().Slots, 4)
}

func startedAt(a Announcement, at int64) Announcement {
	a.StartedAt = at
	return a
}

// Guards against ignoring a restarted server: a backend server crashes and starts again
// as the same instance, with its sequence restarted. Ordered by sequence alone, the
// node ignored its announcements until the lease expired, and never served it again.
func TestServerThatStartsAgainAsSameInstanceIsAccepted(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 50, true), 1000)))
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 1, false), 2000)))
	assert.Equal(t, n.server.sequence, uint64(1))
	n.mu.Lock()
	assert.Assert(t, !n.draining(), "the drain of the earlier start drained the new one")
	n.mu.Unlock()
	// Delayed announcements of the earlier start, including its drain.
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 51, true), 1000)))
	assert.Equal(t, n.server.startedAt, int64(2000))
	n.mu.Lock()
	assert.Assert(t, !n.draining())
	n.mu.Unlock()
	n.withdraw("lease expired")
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 52, false), 2000)))
	assert.Assert(t, n.server == nil, "an ended start was announced again")
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 1, false), 3000)))
	assert.Assert(t, n.server != nil, "a later start of an ended instance was ignored")
}

// The node was restarted alone and discovered the server by querying it; the health
// response does not contain the start time. The next announcement adds it and does not
// count as a restart.
func TestStartTimeIsLearnedFromNextAnnouncement(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.announceDiscovered(announcement("i-1", 0, false)))
	e := n.server.endpoint
	serverCtx := e.ServerContext()
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 7, false), 1000)))
	assert.NilError(t, serverCtx.Err(), "exchanges were ended although the server did not start again")
	assert.Equal(t, n.server.startedAt, int64(1000))
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 1, false), 2000)))
	assert.Assert(t, serverCtx.Err() != nil)
	assert.Equal(t, n.server.endpoint, e, "the gate with the record of earlier requests was replaced")
}

// A heartbeat of a crashed server was delayed by a network partition, and another
// server has registered at the address since. This node started after the crash and has
// not seen the earlier server end, so it compares their start times.
func TestHeldUpAnnouncementOfEarlierServerIsIgnored(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(startedAt(announcement("i-2", 1, false), 2000)))
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 9, true), 1000)))
	assert.Equal(t, n.server.instance, "i-2")
	assert.Assert(t, !n.server.draining)
}

// An announcement names a service that the estate does not have. The state of the
// host's own backend server is kept.
func TestUnknownServiceIsNotServed(t *testing.T) {
	n := newTestNode(t, "")
	n.applyDelta(&apiv1.EstateDelta{Revision: 1, Complete: true, Services: []*apiv1.ServiceRecord{{Name: "pay", ChangedAt: 1, Spec: &apiv1.ServiceSpec{Slots: 1}}}}, true, "test")
	other := announcement("i-1", 1, false)
	other.Service = "else"
	assert.ErrorContains(t, n.Announce(other), "not in the estate")
	assert.Assert(t, n.server == nil)
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	assert.Assert(t, n.server != nil)
}

// Guards against running a request twice, such as a payment: a request ran at a server
// that was then withdrawn, and its response was lost. The gate of the next announced
// server has no record of the request and must not answer "never started".
func TestLaterGateDoesNotAnswerForEarlierGate(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	n.withdraw("it left")
	assert.NilError(t, n.Announce(announcement("i-2", 1, false)))
	id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: 1}
	assert.Equal(t, n.server.endpoint.Revoke(id, 100*time.Millisecond), gate.RevokeUnknown)
}

// Guards against overloading a cold server: a server may become cold at any time, and
// reports it in an ordinary renewal.
func TestRenewalThatSaysServerIsColdIsApplied(t *testing.T) {
	n := newTestNode(t, "")
	n.records.Replace("site", rollout.Contents{Services: map[string]*apiv1.ServiceSpec{"pay": {Slots: 4, Queue: 8, ColdRequestsPerSecond: 5}}}, 1)
	n.publishRevision(0, true, "test")
	n.start = n.start.Add(-time.Minute)
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	n.apply()
	e := n.currentEndpoint()
	assert.Equal(t, e.Load().ColdStarts, 0)
	renewal := announcement("i-1", 2, false)
	renewal.Cold, renewal.ColdFor = true, time.Minute
	assert.NilError(t, n.Announce(renewal))
	assert.Equal(t, e.Load().ColdStarts, 5)
}

// Guards against overloading a cold server before the node has a configuration: other
// nodes may have one and send requests.
func TestColdServerIsSparedWhileLimitIsUnknown(t *testing.T) {
	n := newTestNode(t, "")
	a := announcement("i-1", 1, false)
	a.Cold, a.ColdFor = true, time.Minute
	assert.NilError(t, n.Announce(a))
	assert.Equal(t, n.currentEndpoint().Load().ColdStarts, int(a.Slots))
}
