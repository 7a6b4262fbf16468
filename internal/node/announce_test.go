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

// newTestNode returns a node that is not running and cannot reach a control replica.
func newTestNode(t testing.TB, backend string) *Node {
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

// Guards against a delayed announcement that cancels a drain. A backend server
// announces that it is draining, and an earlier announcement arrives afterwards. If it
// were applied, requests would reach a server that is shutting down.
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
	assert.Assert(t, !n.draining(), "an announcement without a sequence did not cancel the drain")
	assert.NilError(t, n.Announce(announcement("", 9, false)))
	elsewhere := announcement("", 3, false)
	elsewhere.Address = "127.0.0.1:10"
	assert.NilError(t, n.Announce(elsewhere))
	assert.Equal(t, n.server.address, "127.0.0.1:10")
}

// Guards against registering an instance that has ended. A backend server restarts as
// another instance, and a delayed announcement of the ended instance arrives, once
// while the new instance is registered and once after it was withdrawn.
func TestEndedInstanceIsNotAnnouncedAgain(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(announcement("i-1", 5, false)))
	assert.NilError(t, n.Announce(announcement("i-2", 1, false)))
	assert.NilError(t, n.Announce(announcement("i-1", 6, false)))
	assert.Equal(t, n.server.instance, "i-2")
	n.Withdraw("i-1", "late")
	assert.Assert(t, n.server != nil, "withdrawing an ended instance withdrew the current one")
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

// Guards against refusing requests after a restart of only the node, until the next
// announcement arrives. The node must query the backend server next to it and open its
// gate. A server that does not respond with 200, because it is draining, must not be
// registered by the query.
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

// Guards against returning to an older revision. Two replicas and a relay send
// revisions to a node in any order.
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

// Guards against a gate without slots, which refuses all requests as full. A heartbeat
// that is sent while the backend server is being registered makes other nodes send
// requests before this node has applied the configuration to the gate.
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

// Guards against ignoring a restarted server. A backend server crashes and starts again
// as the same instance, and its sequence begins again. If the node orders announcements
// by sequence alone, it ignores those of the new process until the lease expires, and
// never accepts the server again.
func TestServerThatStartsAgainAsSameInstanceIsAccepted(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 50, true), 1000)))
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 1, false), 2000)))
	assert.Equal(t, n.server.sequence, uint64(1))
	n.mu.Lock()
	assert.Assert(t, !n.draining(), "a delayed announcement of the earlier process started a drain of the new process")
	n.mu.Unlock()
	// Delayed announcements of the earlier process, one of which says that it is
	// draining.
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 51, true), 1000)))
	assert.Equal(t, n.server.startedAt, int64(2000))
	n.mu.Lock()
	assert.Assert(t, !n.draining())
	n.mu.Unlock()
	n.withdraw("it left")
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 52, false), 2000)))
	assert.Assert(t, n.server == nil, "a process that has ended was registered again")
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 1, false), 3000)))
	assert.Assert(t, n.server != nil, "an instance that was started again after it had ended was ignored")
}

// expireLease ends the lease of the registered server.
func expireLease(n *Node) {
	n.mu.Lock()
	n.server.expires = time.Now()
	n.mu.Unlock()
	n.expire()
}

// Guards against a server that is never served again after its lease has expired, although it is well
// and its heartbeats arrive: it was paused, or they were refused while its service was not in the
// estate. Announcements that were sent before, or by a server that was replaced, must still be ignored.
func TestServerWhoseLeaseExpiredIsAcceptedAgain(t *testing.T) {
	n := newTestNode(t, "")
	register := func(instance string, sequence uint64, started int64) bool {
		assert.NilError(t, n.Announce(startedAt(announcement(instance, sequence, false), started)))
		return n.server != nil && n.server.instance == instance && n.server.startedAt == started
	}
	assert.Assert(t, register("i-1", 7, 1000))
	n.expire()
	assert.Assert(t, n.server != nil, "the lease has not expired yet")
	expireLease(n)
	assert.Assert(t, n.server == nil)
	assert.Assert(t, !register("i-1", 7, 1000), "a repeated announcement")
	assert.Assert(t, !register("i-1", 6, 1000), "a delayed announcement")
	assert.Assert(t, !register("i-1", 9, 900), "an announcement of an earlier process")
	assert.Assert(t, register("i-1", 8, 1000), "a later announcement")
	expireLease(n)
	assert.Assert(t, register("i-1", 1, 2000), "an announcement after a restart")
	assert.Assert(t, !register("i-1", 9, 1000), "an announcement of the process before the restart")
	expireLease(n)
	assert.Assert(t, register("i-2", 1, 3000), "an announcement of another server")
	assert.Assert(t, !register("i-1", 9, 2000), "an announcement of a server that was replaced")
	assert.Equal(t, n.server.instance, "i-2")
	expireLease(n)
	assert.Assert(t, !register("i-1", 10, 2000), "an announcement of a server that was replaced before")
	n.Withdraw("i-2", "it left")
	assert.Assert(t, !register("i-2", 2, 3000), "an announcement of a server that left after its lease had expired")
}

// Guards against treating a server as restarted when its start time becomes known.
// After a restart of only the node, it discovers the server through a health check,
// whose response does not contain the start time. The next announcement adds the start
// time.
func TestStartTimeIsLearnedFromNextAnnouncement(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.announceDiscovered(announcement("i-1", 0, false)))
	e := n.server.endpoint
	serverCtx := e.ServerContext()
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 7, false), 1000)))
	assert.NilError(t, serverCtx.Err(), "requests in flight were canceled although the server did not restart")
	assert.Equal(t, n.server.startedAt, int64(1000))
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 1, false), 2000)))
	assert.Assert(t, serverCtx.Err() != nil)
	assert.Equal(t, n.server.endpoint, e, "the gate with the record of earlier requests was replaced")
}

// Guards against registering a crashed server. A network partition delays its
// heartbeat, and meanwhile another server registers at the same address. The node
// started after the crash, so it does not know that the earlier server has ended and
// has to compare the start times of the two servers.
func TestHeldUpAnnouncementOfEarlierServerIsIgnored(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(startedAt(announcement("i-2", 1, false), 2000)))
	assert.NilError(t, n.Announce(startedAt(announcement("i-1", 9, true), 1000)))
	assert.Equal(t, n.server.instance, "i-2")
	assert.Assert(t, !n.server.draining)
}

// Guards against accepting an announcement for a service that the estate does not have.
// The registered backend server must be kept.
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

// Guards against running a request twice, for example a payment. A server runs the
// request and is withdrawn, and the response is lost. The gate of the next server has
// no record of the request and must not report that it was never started, because the
// sender would then send it again.
func TestLaterGateDoesNotAnswerForEarlierGate(t *testing.T) {
	n := newTestNode(t, "")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	n.withdraw("it left")
	assert.NilError(t, n.Announce(announcement("i-2", 1, false)))
	id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: 1}
	assert.Equal(t, n.server.endpoint.Revoke(id, 100*time.Millisecond), gate.RevokeUnknown)
}

// Guards against overloading a server that becomes cold while it is registered. It
// reports this in an ordinary renewal, from which the gate must start to limit
// requests.
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

// Guards against overloading a cold server before the node has a configuration that
// says how many requests it can handle. Other nodes may already have the configuration
// and send requests.
func TestColdServerIsSparedWhileLimitIsUnknown(t *testing.T) {
	n := newTestNode(t, "")
	a := announcement("i-1", 1, false)
	a.Cold, a.ColdFor = true, time.Minute
	assert.NilError(t, n.Announce(a))
	assert.Equal(t, n.currentEndpoint().Load().ColdStarts, int(a.Slots))
}
