package endpoint

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// A backend server is cut off by a network partition while a request runs, and
// restarts. The connection to its previous process stays open and silent. The request's
// slot must be freed at once, its caller must learn that the response is lost, and the
// gate must continue to report that the request ran, so that a payment is not repeated.
func TestRestartEndsRequestsOfPreviousProcess(t *testing.T) {
	s := startSilentServer(t)
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters()}, gate.Config{Slots: 1, Queue: 4})
	defer e.Close()
	e.SetBackend(s.address)
	id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: 1}
	ended := make(chan hop.Reply, 1)
	go func() {
		out := &hop.Outgoing{Method: http.MethodPost, URI: "/slow", Host: "pay.example", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)}
		_, reply := e.Attempt(t.Context(), hop.Request{ID: id, Incarnation: 1, Timeout: time.Minute}, out, nil)
		ended <- reply
	}()
	eventually(t, "the request runs", func() bool { return e.Load().Running == 1 })
	e.ServerRestarted(s.address)
	select {
	case reply := <-ended:
		assert.Equal(t, reply.Verdict, hop.ConnectionLost)
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits for a server process that has ended")
	}
	assert.Equal(t, e.Load().Running, 0)
	assert.Equal(t, e.Revoke(id, time.Second), gate.RevokeFinished)
}
