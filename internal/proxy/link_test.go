package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/hop"
	"cactuspath/internal/link"
)

const largeResponse = 60_000

func respondLarge(w http.ResponseWriter, _ *http.Request, req hop.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
	writeReply(w, req, hop.Reply{})
	_, _ = w.Write(bytes.Repeat([]byte("x"), largeResponse))
}

// startLinked serves a handler on the link with the node as endpoint of the service "pay".
func startLinked(t *testing.T, l *link.Link, local Local, address string) *httptest.Server {
	h := newTestHandler(gate.RevokeUnknown, address)
	h.options.Link, h.options.Local = l, local
	if _, none := local.(noLocal); !none {
		h.options.Host = "a"
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

// anyServiceEndpoint is a node whose backend server runs every service.
type anyServiceEndpoint struct{ e *endpoint.Endpoint }

func (l anyServiceEndpoint) Endpoint(string) *endpoint.Endpoint { return l.e }

func assertPacedOnce(t *testing.T, l *link.Link, s *httptest.Server) {
	t.Helper()
	begin := time.Now()
	resp, text := send(t, s, http.MethodGet, "/", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, text, strings.Repeat("x", largeResponse))
	assert.Assert(t, time.Since(begin) > 120*time.Millisecond, "took %v, the link needs 167 ms", time.Since(begin))
	assert.Equal(t, l.Transfers.Value(), int64(1))
	for until := time.Now().Add(5 * time.Second); l.Active() > 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, l.Active(), 0)
}

// Guards against downloads of other hosts that fill the link on their way to this node's
// callers, and against ones that are damaged there.
func TestLargeResponseToACallerIsPaced(t *testing.T) {
	l := link.New(400e3)
	assertPacedOnce(t, l, startLinked(t, l, noLocal{}, newFakeNode(t, respondLarge).Listener.Addr().String()))
}

// Guards against a response of the local endpoint that is not paced, or paced twice: it crosses
// the link once, on its way to the caller.
func TestLargeResponseOfTheLocalEndpointIsPacedOnce(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), largeResponse))
	}))
	defer backend.Close()
	l := link.New(400e3)
	e := endpoint.New(endpoint.Options{Host: "a", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {},
		SendReport: func(string, gate.Report) {}, Counters: endpoint.NewCounters(), Link: l}, gate.Config{Slots: 4, Queue: 4})
	defer e.Close()
	e.SetBackend(backend.Listener.Addr().String())
	begin := time.Now()
	resp, text := send(t, startLinked(t, l, anyServiceEndpoint{e}, "127.0.0.1:1"), http.MethodGet, "/", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, text, strings.Repeat("x", largeResponse))
	// The backend server names no length, so the first 32 KiB are sent without a wait.
	assert.Assert(t, time.Since(begin) > 50*time.Millisecond, "took %v", time.Since(begin))
	assert.Equal(t, l.Transfers.Value(), int64(1))
}

// secondChunk returns how long a large response waits for its second chunk.
func secondChunk(t *testing.T, l *link.Link) time.Duration {
	w := l.NewWriter(context.Background(), httptest.NewRecorder(), link.Response{Length: 100_000})
	defer w.End()
	begin := time.Now()
	_, err := w.Write(make([]byte, 2000))
	assert.NilError(t, err)
	return time.Since(begin)
}

// Guards against a queue in front of the link that is made up of request bodies to other
// nodes, streamed or not, and of short responses to callers, while downloads take the rest.
func TestRequestBodiesAndShortResponsesAreCounted(t *testing.T) {
	for _, tc := range []struct {
		name, body, response string
	}{
		{"buffered body", strings.Repeat("b", 14_000), "ok"},
		{"body that the gate asks for", strings.Repeat("b", 40_000), "ok"},
		{"streamed body", strings.Repeat("b", 100_000), "ok"},
		{"short response", "", strings.Repeat("s", 30_000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			node := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				respondWith(tc.response)(w, r, req)
			})
			l := link.New(200e3)
			s := startLinked(t, l, noLocal{}, node.Listener.Addr().String())
			assert.Assert(t, secondChunk(t, l) < 40*time.Millisecond)
			// A busy machine may take longer than the counted bytes do; try again then.
			counted := false
			for range 10 {
				resp, _ := send(t, s, http.MethodPost, "/", tc.body)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				if counted = secondChunk(t, l) > 40*time.Millisecond; counted {
					break
				}
			}
			assert.Assert(t, counted, "the link is free for large responses")
		})
	}
}
