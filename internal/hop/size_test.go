package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// floodServer responds to everything with begin and then unit again and again, until its peer closes
// the connection, which closed reports.
func floodServer(t *testing.T, begin, unit string) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, 1)
	units := []byte(strings.Repeat(unit, 1+4096/len(unit)))
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4<<10))
		_, err = io.WriteString(c, begin)
		for err == nil {
			_, err = c.Write(units)
		}
		closed <- struct{}{}
	}()
	return l.Addr().String(), closed
}

// Guards against a backend server that sends without end, which is read into memory until the deadline
// or for as long as its response is dropped: a host with tens of megabytes has none left within
// seconds. The exchange ends early enough for another attempt.
func TestBytesWithoutEndAreNotRead(t *testing.T) {
	const (
		deadline = 2 * time.Second
		// maxTime is well before the deadline.
		maxTime  = 500 * time.Millisecond
		maxAlloc = 2 << 20
		ok       = "HTTP/1.1 200 OK\r\n"
	)
	const otherID = ok + "Id: other\r\nContent-Length: "
	for _, c := range []struct {
		desc, begin, unit string
	}{
		{"no response at all", "", "x"},
		{"a status line", "HTTP/1.1 200 ", "x"},
		{"a header field", ok + "A: ", "x"},
		{"the name of a header field", ok, "x"},
		{"header fields", ok, "A: x\r\n"},
		{"a folded header field", ok + "A: x\r\n", " x\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"an interim response", "HTTP/1.1 103 Early Hints\r\n", "A: x\r\n"},
		{"responses to other requests", "", otherID + "1\r\n\r\nx"},
		{"a response to another request", otherID + "1000000000\r\n\r\n", "x"},
		{"a chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"a chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
		{"a body of unknown length that nobody wants", ok + "\r\n", "x"},
		{"a long body that nobody wants", ok + "Content-Length: 1000000000\r\n\r\n", "x"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			address, closed := floodServer(t, c.begin, c.unit)
			p := NewPool(address, nil)
			t.Cleanup(p.Close)
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begin := time.Now()
			resp, err := p.Do(ctx, &Outgoing{Method: "GET", URI: "/", Host: "a.example", IDField: "Id", ID: "mine", Deadline: begin.Add(deadline)})
			if err == nil {
				Discard(resp)
			}
			took := time.Since(begin)
			runtime.ReadMemStats(&after)
			assert.Check(t, took < maxTime, "took %v: %v", took, err)
			allocated := after.TotalAlloc - before.TotalAlloc
			assert.Check(t, allocated < maxAlloc, "%d bytes allocated", allocated)
			assert.Equal(t, len(p.idle), 0, "the connection is reused")
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Fatal("the connection is not closed")
			}
		})
	}
}

// Guards against a request that waits for a response which nobody wants and which never ends, and
// against a new connection for each response that is short.
func TestDiscardedResponse(t *testing.T) {
	for _, c := range []struct {
		desc   string
		body   sentBody
		reused bool
	}{
		{"short", sentBody{framing: ofLength(100), first: 1, pieces: 1, pieceBytes: 100, ends: true}, true},
		{"stops", sentBody{framing: chunked, first: 1, pieces: 1, pieceBytes: 100}, false},
		{"drips", sentBody{framing: chunked, first: 1, pieces: 500, pieceBytes: 1, pause: 10 * time.Millisecond}, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			p := NewPool(serveBody(t, c.body), nil)
			t.Cleanup(p.Close)
			resp, err := p.Do(t.Context(), &Outgoing{Method: http.MethodGet, URI: "/", Host: "a.example", Deadline: time.Now().Add(10 * time.Second)})
			assert.NilError(t, err)
			begin := time.Now()
			Discard(resp)
			assert.Check(t, time.Since(begin) < 2*time.Second, "took %v", time.Since(begin))
			assert.Equal(t, len(p.idle), map[bool]int{true: 1}[c.reused])
		})
	}
}
