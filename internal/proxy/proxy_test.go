package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// Guards against delivering the response to another request. The caller must not get that
// response but the fault "outcome unknown", since its own request may have run.
func TestForeignAnswerIsNotDelivered(t *testing.T) {
	n := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		req.ID.Request[1]++
		writeReply(w, req, hop.Reply{})
		_, _ = w.Write([]byte("somebody else's deposit"))
	})
	resp, text := send(t, startProxy(t, gate.RevokeRunning, n), "POST", "/charge", "x")
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.OutcomeUnknown)
	assert.Equal(t, faultOf(t, resp, text).Ran, "unknown")
	assert.Equal(t, n.hits.Load(), int64(1))
}

// Guards against running a payment twice when the connection breaks before the response:
// the request is sent elsewhere only if it is idempotent or if the gate says that it never
// started.
func TestLostResponse(t *testing.T) {
	cases := []struct {
		desc   string
		method string
		revoke gate.RevokeAnswer
		want   string
	}{
		{"payment that never started", "POST", gate.RevokeNeverStarted, "ok"},
		{"payment that runs", "POST", gate.RevokeRunning, string(fault.OutcomeUnknown)},
		{"payment that ran", "POST", gate.RevokeFinished, string(fault.OutcomeUnknown)},
		{"payment in unknown state", "POST", gate.RevokeUnknown, string(fault.OutcomeUnknown)},
		{"read that ran", "GET", gate.RevokeFinished, "ok"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			var broke atomic.Bool
			breaks := func(w http.ResponseWriter, r *http.Request, req hop.Request) {
				if broke.CompareAndSwap(false, true) {
					panic(http.ErrAbortHandler)
				}
				respondWith("ok")(w, r, req)
			}
			resp, text := send(t, startProxy(t, c.revoke, newFakeNode(t, breaks), newFakeNode(t, breaks)), c.method, "/", "")
			if c.want == "ok" {
				assert.Equal(t, text, "ok")
				return
			}
			assert.Equal(t, resp.Header.Get(fault.Header), c.want)
		})
	}
}

// A request that a restarted node refused for its old incarnation did not run, and is sent
// again with the new incarnation.
func TestRequestIsResentToRestartedNode(t *testing.T) {
	n := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if req.Incarnation < 9 {
			writeReply(w, req, hop.Reply{Verdict: hop.Restarted, Incarnation: 9})
			return
		}
		respondWith("anew")(w, r, req)
	})
	_, text := send(t, startProxy(t, gate.RevokeUnknown, n), "POST", "/", "x")
	assert.Equal(t, text, "anew")
}

// Guards against retries that add load while all gates are full: the caller gets the fault
// and the retry time after a single attempt.
func TestFullServiceIsReportedAfterOneAttempt(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		writeReply(w, req, hop.Reply{Verdict: hop.Refused, Reason: gate.QueueFull, SiblingsFull: true, RetryAfter: 1500 * time.Millisecond})
	}
	a, b := newFakeNode(t, full), newFakeNode(t, full)
	resp, text := send(t, startProxy(t, gate.RevokeUnknown, a, b), "POST", "/", "x")
	f := faultOf(t, resp, text)
	assert.Equal(t, f.Fault, fault.Overloaded)
	assert.Equal(t, f.Ran, "no")
	assert.Equal(t, resp.Header.Get("Retry-After"), "2")
	assert.Equal(t, resp.Header.Get(RetryAfterHeader), "1500")
	assert.Equal(t, a.hits.Load()+b.hits.Load(), int64(1))
}

// Nothing is sent to an endpoint that cannot be reached, so even a request that is not
// idempotent is sent to another one.
func TestRequestIsRetriedWhenNodeIsUnreachable(t *testing.T) {
	unreachable, reachable := newFakeNode(t, respondWith("never")), newFakeNode(t, respondWith("there"))
	s := startProxy(t, gate.RevokeUnknown, unreachable, reachable)
	unreachable.Close()
	for range 10 {
		_, text := send(t, s, "POST", "/", "x")
		assert.Equal(t, text, "there")
	}
}

func TestLimits(t *testing.T) {
	s := startProxy(t, gate.RevokeUnknown, newFakeNode(t, respondWith("ok")))
	resp, text := send(t, s, "POST", "/", strings.Repeat("x", 2<<20))
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.TooLarge)
	withoutEndpoints := startProxy(t, gate.RevokeUnknown)
	resp, text = send(t, withoutEndpoints, "GET", "/", "")
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.NoEndpoint)
}

// Guards against a service that is called while a control replica names its endpoints, but
// whose endpoints the node does not request from a relay: they are lost once a relay responds.
func TestFirstRequestSubscribesToService(t *testing.T) {
	n := newFakeNode(t, respondWith("ok"))
	h := newTestHandler(gate.RevokeUnknown, n.Listener.Addr().String())
	var subscribed []string
	h.options.Subscribe = func(service string) { subscribed = append(subscribed, service) }
	s := httptest.NewServer(h)
	defer s.Close()
	for range 3 {
		_, text := send(t, s, "GET", "/", "")
		assert.Equal(t, text, "ok")
	}
	assert.DeepEqual(t, subscribed, []string{"pay"})
}
