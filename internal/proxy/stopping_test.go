package proxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/core/shutdown"
	"cactuspath/internal/hop"
)

// Guards against requests that run although their caller was told that they did not, and against
// requests that a stopping node could finish and refuses.
func TestStoppingNodeRefusesRequestsThatCouldOutlastIt(t *testing.T) {
	const stopTimeout = 10 * time.Second
	cases := []struct {
		desc    string
		stopAge time.Duration
		limit   time.Duration
		want    fault.Kind
	}{
		{"the stop has just begun", 0, 30 * time.Second, ""},
		{"a deadline before the end", 6 * time.Second, 3 * time.Second, ""},
		{"a deadline after the end", 6 * time.Second, 5 * time.Second, fault.Stopping},
	}
	for _, c := range cases {
		node := newFakeNode(t, respondWith("ok"))
		h := newTestHandler(gate.RevokeUnknown, node.Listener.Addr().String())
		h.BeginStop(shutdown.New(time.Now().Add(-c.stopAge), stopTimeout))
		r := httptest.NewRequest(http.MethodPost, "http://pay.example/", strings.NewReader("x"))
		r.Header.Set(h.options.Dialect.TimeoutField(), strconv.FormatInt(c.limit.Milliseconds(), 10))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		assert.Equal(t, w.Header().Get(fault.Header), string(c.want), c.desc)
		if c.want == "" {
			assert.Equal(t, node.hits.Load(), int64(1), c.desc)
			continue
		}
		assert.Equal(t, w.Code, http.StatusServiceUnavailable, c.desc)
		assert.Assert(t, w.Header().Get("Retry-After") != "", c.desc)
		assert.Equal(t, node.hits.Load(), int64(0), c.desc)
	}
}

// Guards against attempts that begin late in a stop, after a first one that was refused or moved,
// and are still running when the connections are closed: the server must be told to end in time.
func TestLateAttemptsOfAStoppingNodeEndBeforeIt(t *testing.T) {
	const stopTimeout = 2 * time.Second
	var stop *shutdown.Schedule
	var h *Handler
	for _, first := range []hop.Reply{{Verdict: hop.Refused, Reason: gate.Draining}, {Verdict: hop.Moved, To: "b"}} {
		refusing := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
			if stop == nil {
				stop = shutdown.New(time.Now(), stopTimeout)
				h.BeginStop(stop)
			}
			writeReply(w, req, first)
		})
		left := make(chan time.Duration, 8)
		second := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
			left <- req.Timeout
			respondWith("ok")(w, r, req)
		})
		// Which endpoint is tried first is random; only the other order makes a second attempt.
		for stop = nil; stop == nil; {
			h = newTestHandler(gate.RevokeUnknown, refusing.Listener.Addr().String(), second.Listener.Addr().String())
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://pay.example/", strings.NewReader("x")))
			assert.Equal(t, w.Code, http.StatusOK)
			if got := <-left; stop != nil {
				assert.Assert(t, got <= time.Until(stop.End()), "%v left, the stop ends in %v", got, time.Until(stop.End()))
			}
		}
	}
}
