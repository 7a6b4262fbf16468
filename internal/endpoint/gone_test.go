package endpoint

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// hopRequest returns a request as another node sends it.
func hopRequest(sequence uint64, extraFields string) string {
	req := hop.Request{ID: gate.AttemptID{Request: [2]uint64{1, sequence}, Attempt: 1}, Incarnation: 1, Timeout: 5 * time.Second}
	return "GET /work HTTP/1.1\r\nHost: pay.example\r\n" + hop.Header + ": " + req.Encode() + "\r\n" + extraFields + "\r\n"
}

// startGatedServer starts a backend server that counts its requests, and returns the endpoint
// in front of it.
func startGatedServer(t *testing.T) (*Endpoint, *atomic.Int64) {
	var requests atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters()}, gate.Config{Slots: 1000, Queue: 1000})
	t.Cleanup(e.Close)
	e.SetBackend(s.Listener.Addr().String())
	return e, &requests
}

// TestRequestWhoseSenderHasGoneIsNotForwarded guards against running a request that waited
// unread while this process had no processor time, and whose sender closed the connection in
// the meantime because its caller had left.
func TestRequestWhoseSenderHasGoneIsNotForwarded(t *testing.T) {
	e, requests := startGatedServer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	const gone = 100
	for i := range gone {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = c.Write([]byte(hopRequest(uint64(i), "")))
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	var ended atomic.Int64
	peer := &http.Server{Handler: http.HandlerFunc(e.ServeHop), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			ended.Add(1)
		}
	}}
	go func() { _ = peer.Serve(l) }()
	t.Cleanup(func() { _ = peer.Close() })
	eventually(t, "all connections ended", func() bool { return ended.Load() == gone })
	assert.Equal(t, requests.Load(), int64(0))
}
