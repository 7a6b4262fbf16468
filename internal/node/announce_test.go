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
	"cactuspath/internal/controlclient"
	"cactuspath/internal/hop"
)

var testDialect = &hop.Dialect{Instance: "X-Instance", ExpectInstance: "X-Expect", Load: "X-Load", ParseLoad: func(string) (hop.ServerLoad, bool) {
	return hop.ServerLoad{Slots: 7, Slowdown: 1}, true
}}

// alone is a node that no control replica answers.
func alone(t *testing.T, backend string) *Node {
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

// The backend server says that it leaves, and an earlier announcement, held up on
// its way, comes after that. It must not end the drain: requests would reach a
// server that is leaving.
func TestLateAnnouncementDoesNotEndADrain(t *testing.T) {
	for _, instance := range []string{"i-1", ""} {
		n := alone(t, "")
		assert.NilError(t, n.Announce(announcement(instance, 5, false)))
		assert.NilError(t, n.Announce(announcement(instance, 7, true)))
		assert.NilError(t, n.Announce(announcement(instance, 6, false)))
		n.mu.Lock()
		assert.Assert(t, n.draining(), "instance %q", instance)
		n.mu.Unlock()
	}
}

// A backend server that names no instance stays after all, or another one takes
// its place at another address with an earlier sequence: both are taken in.
func TestAnnouncementsWithoutInstance(t *testing.T) {
	n := alone(t, "")
	assert.NilError(t, n.Announce(announcement("", 7, true)))
	assert.NilError(t, n.Announce(announcement("", 0, false)))
	assert.Assert(t, !n.draining(), "without a sequence there is no order")
	assert.NilError(t, n.Announce(announcement("", 9, false)))
	elsewhere := announcement("", 3, false)
	elsewhere.Address = "127.0.0.1:10"
	assert.NilError(t, n.Announce(elsewhere))
	assert.Equal(t, n.server.address, "127.0.0.1:10")
}

// A backend server starts anew under another instance; an announcement of the
// ended one comes late, also after the new one left. It must not come back.
func TestEndedInstanceDoesNotComeBack(t *testing.T) {
	n := alone(t, "")
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
	n := alone(t, "")
	assert.ErrorContains(t, n.Announce(Announcement{Address: "127.0.0.1:9"}), "service")
	assert.ErrorContains(t, n.Announce(Announcement{Service: "pay", Address: "somewhere"}), "address")
	assert.NilError(t, n.Announce(announcement("i-1", 1, false)))
	other := announcement("i-2", 1, false)
	other.Service = "else"
	assert.ErrorContains(t, n.Announce(other), "another service")
}

// A node that was restarted alone asks the backend server beside it who it is,
// and has its gate open before the next announcement. A server that is leaving
// does not answer 200 and is left to announce itself.
func TestRestartedNodeFindsItsServer(t *testing.T) {
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
	n := alone(t, server.Listener.Addr().String())
	n.takeDelta(&apiv1.EstateDelta{Revision: 1, Complete: true, Services: []*apiv1.ServiceRecord{{Name: "pay", ChangedAt: 1, Spec: &apiv1.ServiceSpec{Slots: 1, HealthPath: "/well"}}}}, true, "test")
	leaving = true
	_, ok := n.askServer(t.Context(), hop.NewPool(n.options.Backend, nil))
	assert.Assert(t, !ok)
	leaving = false
	n.findServer(t.Context())
	assert.Assert(t, n.server != nil)
	assert.Equal(t, n.server.instance, "i-9")
	assert.Equal(t, n.server.slots, uint32(7))
}

// Revisions come from two replicas and a relay in any order; a node never goes back.
func TestRevisionNeverGoesBack(t *testing.T) {
	n := alone(t, "")
	delta := func(since, revision uint64) *apiv1.EstateDelta {
		return &apiv1.EstateDelta{Since: since, Revision: revision, Complete: since == 0, Services: []*apiv1.ServiceRecord{
			{Name: "pay", ChangedAt: revision, Spec: &apiv1.ServiceSpec{Slots: 1, Hosts: []string{fmt.Sprint("r", revision, ".example")}}}}}
	}
	for _, step := range []struct {
		delta *apiv1.EstateDelta
		want  uint64
	}{{delta(0, 5), 5}, {delta(0, 3), 5}, {delta(5, 8), 8}, {delta(3, 5), 8}, {nil, 8}} {
		n.takeDelta(step.delta, true, "test")
		assert.Equal(t, n.Revision(), step.want)
	}
}

// A backend server announces itself, and at that moment a heartbeat goes out which
// tells of it. Requests that come before the node has applied what the estate says
// must find its slots: a gate without any refused all of them as full.
func TestGateHasItsSlotsBeforeAnybodyHearsOfTheServer(t *testing.T) {
	n := alone(t, "")
	n.mu.Lock()
	s := n.newServer(announcement("i-1", 1, false))
	n.mu.Unlock()
	defer s.endpoint.Close()
	assert.Equal(t, s.endpoint.Load().Slots, 4)
}
