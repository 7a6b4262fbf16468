package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// A backend server answers a long upload before it is in, at length. The caller's node
// still sends when the whole answer has been passed on. Closing the connection with
// bytes of the body unread resets it, and the caller gets half of the answer.
func TestEarlyAnswerReachesANodeThatStillSends(t *testing.T) {
	text := strings.Repeat("a", 4<<20)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text)
	}))
	defer backend.Close()
	e := New(Options{Host: "a", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, Heard: func(uint64) {}, Counters: NewCounters(),
		Send: func(string, gate.Report) {}}, gate.Config{Slots: 4, Queue: 4})
	defer e.Close()
	e.SetBackend(backend.Listener.Addr().String())
	node := httptest.NewServer(http.HandlerFunc(e.ServeHop))
	defer node.Close()
	for i := range uint32(10) {
		id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: i + 1}
		assert.Equal(t, earlyAnswer(t, node.Listener.Addr().String(), id), len(text))
	}
	eventually(t, "the slots are free again", func() bool { return e.InFlight() == 0 })
}

// earlyAnswer sends an upload as a caller's node does and goes on sending while it
// reads the answer; it returns the answer's length.
func earlyAnswer(t *testing.T, address string, id gate.AttemptID) int {
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
