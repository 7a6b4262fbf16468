package endpoint

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// The caller's node fails in the middle of a body that this node had requested with 100
// Continue. The backend server must see nothing of the request, so that the revoke that
// follows is answered "never started".
func TestBodyThatBreaksOffReachesNoBackendServer(t *testing.T) {
	var reached atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached.Add(1) }))
	defer backend.Close()
	e := New(Options{Host: "a", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, Counters: NewCounters(),
		SendReport: func(string, gate.Report) {}}, gate.Config{Slots: 1, Queue: 1})
	defer e.Close()
	e.SetBackend(backend.Listener.Addr().String())
	peer := httptest.NewServer(http.HandlerFunc(e.ServeHop))
	defer peer.Close()

	id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: 1}
	c, err := net.Dial("tcp", peer.Listener.Addr().String())
	assert.NilError(t, err)
	fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: pay\r\n%s: %s\r\nExpect: 100-continue\r\nContent-Length: 20000\r\n\r\n", hop.Header,
		hop.Request{ID: id, Incarnation: 1, Timeout: 5e9}.Encode())
	status, err := bufio.NewReader(c).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, status, "HTTP/1.1 100 Continue\r\n")
	_, err = c.Write(make([]byte, 5000))
	assert.NilError(t, err)
	assert.NilError(t, c.Close())

	eventually(t, "the slot is free again", func() bool { return e.InFlight() == 0 })
	assert.Equal(t, e.Revoke(id, 0), gate.RevokeNeverStarted)
	assert.Equal(t, reached.Load(), int64(0))
}
