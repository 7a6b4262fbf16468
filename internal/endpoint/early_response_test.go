package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// A backend server sends a long response before it has read a long upload, and the
// caller's node still sends when the whole response has been passed on. Closing the
// connection with unread body bytes resets it, and the caller gets only half of the
// response.
func TestEarlyResponseReachesNodeThatStillSends(t *testing.T) {
	text := strings.Repeat("a", 4<<20)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text)
	}))
	defer backend.Close()
	e := New(Options{Host: "a", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, Counters: NewCounters(),
		SendReport: func(string, gate.Report) {}}, gate.Config{Slots: 4, Queue: 4})
	defer e.Close()
	e.SetBackend(backend.Listener.Addr().String())
	node := httptest.NewServer(http.HandlerFunc(e.ServeHop))
	defer node.Close()
	for i := range uint32(10) {
		id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: i + 1}
		assert.Equal(t, uploadWhileReading(t, node.Listener.Addr().String(), id), len(text))
	}
	eventually(t, "the slots are free again", func() bool { return e.InFlight() == 0 })
}

// uploadWhileReading sends an upload as a caller's node does and keeps sending while it
// reads the response. It returns the length of the response body.
func uploadWhileReading(t *testing.T, address string, id gate.AttemptID) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST /upload HTTP/1.1\r\nHost: pay\r\n%s: %s\r\nContent-Length: 200000\r\n\r\n", hop.Header, hop.Request{ID: id, Incarnation: 1, Timeout: 5e9}.Encode())
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		piece := strings.Repeat("x", 1000)
		for range 200 {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
			time.Sleep(200 * time.Microsecond)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	_ = c.Close()
	<-sent
	return len(body)
}

// Guards against a deadlock when a backend server starts its response before it reads
// the body. The caller's node waits for 100 Continue, which must precede the response
// header, or server, gate and caller's node all three wait for each other.
func TestServerThatAnswersAsItReadsReceivesBody(t *testing.T) {
	// Few processors make it likely that the response arrives before the body's sender
	// has run.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(2))
	const length = 200_000
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer backend.Close()
	go func() {
		for {
			c, err := backend.Accept()
			if err != nil {
				return
			}
			go respondWhileReading(c)
		}
	}()
	e := New(Options{Host: "a", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, Counters: NewCounters(),
		SendReport: func(string, gate.Report) {}}, gate.Config{Slots: 4, Queue: 4})
	defer e.Close()
	e.SetBackend(backend.Addr().String())
	node := httptest.NewServer(http.HandlerFunc(e.ServeHop))
	defer node.Close()
	for i := range uint32(100) {
		id := gate.AttemptID{Request: [2]uint64{1, 3}, Attempt: i + 1}
		fields := fmt.Sprintf("%s: %s\r\nContent-Length: %d", hop.Header, hop.Request{ID: id, Incarnation: 1, Timeout: 5e9}.Encode(), length)
		assert.Equal(t, exchangeWithContinue(t, node.Listener.Addr().String(), fields, strings.Repeat("x", length)), "read 200000")
	}
}

func respondWhileReading(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nread \r\n")
	n, _ := io.Copy(io.Discard, r.Body)
	_, _ = fmt.Fprintf(c, "6\r\n%06d\r\n0\r\n\r\n", n)
}
