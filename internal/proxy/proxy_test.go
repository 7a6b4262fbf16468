package proxy

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// A node sends an answer that belongs to another request. The caller must not
// get it, and since its own request may have run, it hears "unknown".
func TestForeignAnswerReachesNobody(t *testing.T) {
	n := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		req.ID.Request[1]++
		reply(w, req, hop.Reply{})
		_, _ = w.Write([]byte("somebody else's deposit"))
	})
	resp, text := send(t, front(t, gate.RevokeRunning, n), "POST", "/charge", "x")
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.OutcomeUnknown)
	assert.Equal(t, faultOf(t, resp, text).Ran, "unknown")
	assert.Equal(t, n.hits.Load(), int64(1))
}

// A connection breaks before the answer. What follows hangs on what the gate
// says: only a payment that never started is sent elsewhere.
func TestLostAnswer(t *testing.T) {
	cases := []struct {
		desc   string
		method string
		revoke gate.RevokeAnswer
		want   string
	}{
		{"payment that never started", "POST", gate.RevokeNeverStarted, "ok"},
		{"payment that runs", "POST", gate.RevokeRunning, string(fault.OutcomeUnknown)},
		{"payment that ran", "POST", gate.RevokeFinished, string(fault.OutcomeUnknown)},
		{"payment nobody can tell of", "POST", gate.RevokeUnknown, string(fault.OutcomeUnknown)},
		{"read that ran", "GET", gate.RevokeFinished, "ok"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			var broke atomic.Bool
			breaks := func(w http.ResponseWriter, r *http.Request, req hop.Request) {
				if broke.CompareAndSwap(false, true) {
					panic(http.ErrAbortHandler)
				}
				answers("ok")(w, r, req)
			}
			resp, text := send(t, front(t, c.revoke, newFakeNode(t, breaks), newFakeNode(t, breaks)), c.method, "/", "")
			if c.want == "ok" {
				assert.Equal(t, text, "ok")
				return
			}
			assert.Equal(t, resp.Header.Get(fault.Header), c.want)
		})
	}
}

// The endpoint's node restarted. The request did not run there; it goes to the
// new incarnation.
func TestRestartedNodeIsAskedAgain(t *testing.T) {
	n := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if req.Incarnation < 9 {
			reply(w, req, hop.Reply{Verdict: hop.Restarted, Incarnation: 9})
			return
		}
		answers("anew")(w, r, req)
	})
	_, text := send(t, front(t, gate.RevokeUnknown, n), "POST", "/", "x")
	assert.Equal(t, text, "anew")
}

// All gates are full. The caller hears it after one attempt, with when to come
// back, and nobody is asked again.
func TestFullEverywhereIsSaidAtOnce(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		reply(w, req, hop.Reply{Verdict: hop.Refused, Reason: gate.QueueFull, Everywhere: true, RetryAfter: 1500 * time.Millisecond})
	}
	a, b := newFakeNode(t, full), newFakeNode(t, full)
	resp, text := send(t, front(t, gate.RevokeUnknown, a, b), "POST", "/", "x")
	f := faultOf(t, resp, text)
	assert.Equal(t, f.Fault, fault.Overloaded)
	assert.Equal(t, f.Ran, "no")
	assert.Equal(t, resp.Header.Get("Retry-After"), "2")
	assert.Equal(t, resp.Header.Get(RetryAfterHeader), "1500")
	assert.Equal(t, a.hits.Load()+b.hits.Load(), int64(1))
}

// An endpoint cannot be reached: nothing was sent, another one takes it.
func TestUnreachableNodeLosesNothing(t *testing.T) {
	gone, there := newFakeNode(t, answers("never")), newFakeNode(t, answers("there"))
	s := front(t, gate.RevokeUnknown, gone, there)
	gone.Close()
	for range 10 {
		_, text := send(t, s, "POST", "/", "x")
		assert.Equal(t, text, "there")
	}
}

func TestLimits(t *testing.T) {
	s := front(t, gate.RevokeUnknown, newFakeNode(t, answers("ok")))
	resp, text := send(t, s, "POST", "/", strings.Repeat("x", 2<<20))
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.TooLarge)
	none := front(t, gate.RevokeUnknown)
	resp, text = send(t, none, "GET", "/", "")
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.NoEndpoint)
}
