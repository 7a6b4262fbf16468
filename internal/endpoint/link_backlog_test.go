package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

const linkResponseBytes = 100_000

// startLinkEndpoint starts a backend server with responses of linkResponseBytes, whose
// length is unknown at the path /chunked, and returns the endpoint in front of it. Its link
// sends ten of them in a second; backlog is the link's.
func startLinkEndpoint(t *testing.T, backlog *atomic.Int64) *Endpoint {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/chunked" {
			w.(http.Flusher).Flush()
		} else {
			w.Header().Set("Content-Length", strconv.Itoa(linkResponseBytes))
		}
		if r.URL.Path == "/error" {
			w.WriteHeader(http.StatusInternalServerError)
		}
		if r.Method != http.MethodHead {
			_, _ = w.Write(make([]byte, linkResponseBytes))
		}
	}))
	t.Cleanup(s.Close)
	options := Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {}, Counters: NewCounters()}
	if backlog != nil {
		options.LinkBacklog = func() time.Duration { return time.Duration(backlog.Load()) }
	}
	e := New(options, gate.Config{Slots: 9, Queue: 9, LinkBytesPerSecond: linkResponseBytes * 10 / 0.9})
	t.Cleanup(e.Close)
	e.SetBackend(s.Listener.Addr().String())
	return e
}

// download sends a request that must end within two seconds.
func download(t *testing.T, e *Endpoint, method, path string) hop.Reply {
	t.Helper()
	id := gate.AttemptID{Request: [2]uint64{7, attempts.Add(1)}, Attempt: 1}
	resp, reply := e.Attempt(context.Background(), hop.Request{ID: id, Incarnation: 1, Timeout: 2 * time.Second, Class: "download"},
		&hop.Outgoing{Method: method, URI: path, Host: "h", Header: http.Header{}, Deadline: time.Now().Add(2 * time.Second)}, nil)
	if resp != nil {
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	return reply
}

// Guards against a gate that does not know the state of its link: once five responses have
// shown that the class is large, a request that the link cannot send in time is refused when
// it arrives, whether or not responses name their length. Before that, and for a class whose
// responses have no body to send or are errors, the link decides nothing.
func TestGateKnowsTheLinkAndTheSizesOfResponses(t *testing.T) {
	for _, c := range []struct {
		desc, method, path string
		learned            bool
	}{
		{"length known", http.MethodGet, "/", true},
		{"length unknown", http.MethodGet, "/chunked", true},
		{"no body", http.MethodHead, "/", false},
		{"errors", http.MethodGet, "/error", false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			var backlog atomic.Int64
			e := startLinkEndpoint(t, &backlog)
			backlog.Store(int64(time.Minute))
			for range 5 {
				assert.Equal(t, download(t, e, c.method, c.path).Verdict, hop.Ran)
			}
			reply := download(t, e, http.MethodGet, "/")
			if !c.learned {
				assert.Equal(t, reply.Verdict, hop.Ran)
				return
			}
			assert.Equal(t, reply.Verdict, hop.Refused)
			assert.Equal(t, reply.Reason, gate.TooLate)
			assert.Assert(t, reply.RetryAfter > time.Second)
			assert.Equal(t, download(t, e, http.MethodHead, "/").Verdict, hop.Ran, "a request for the head has no body to send")
			assert.Assert(t, e.Load().LinkWait > 50*time.Second)
			backlog.Store(0)
			assert.Equal(t, download(t, e, http.MethodGet, "/").Verdict, hop.Ran)
		})
	}
}

// Without a source of the backlog, the gate estimates it from the responses that it has
// seen.
func TestBacklogIsEstimatedWithoutASource(t *testing.T) {
	e := startLinkEndpoint(t, nil)
	for range 5 {
		assert.Equal(t, download(t, e, http.MethodGet, "/").Verdict, hop.Ran)
	}
	wait := e.Load().LinkWait
	assert.Assert(t, wait > 0 && wait <= 500*time.Millisecond, "the link needs %v", wait)
}
