package hop

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const keepOpen = 10 * time.Second

// servePieces starts a server that responds to one request with the head and the pieces of the
// body, each after a pause. It then keeps the connection open until the client closes it, and for
// keepOpen at most.
func servePieces(t *testing.T, head string, pause time.Duration, pieces ...string) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, head+"\r\n\r\n")
		for _, piece := range pieces {
			time.Sleep(pause)
			_, _ = io.WriteString(c, piece)
		}
		_ = c.SetReadDeadline(time.Now().Add(keepOpen))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
	p := NewPool(l.Addr().String(), nil)
	t.Cleanup(p.Close)
	return p
}

// Guards against a response that stops within its body, because its sender froze or lost power, and
// is waited for without limit: the caller never gets a final response. Bodies that make progress
// may take longer than the deadline.
func TestResponseBodyThatStopsIsNotWaitedForWithoutLimit(t *testing.T) {
	const timeout = time.Second
	const shortPause = 100 * time.Millisecond
	length := func(n int) string { return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d", n) }
	bytes := func(n int) []string { return strings.Split(strings.Repeat("x", n), "") }
	cases := []struct {
		desc, head string
		pause      time.Duration
		pieces     []string
		cut        bool
	}{
		{"stops at once", length(100), 0, nil, true},
		{"stops after the deadline", length(100), shortPause, bytes(11), true},
		{"pauses before the deadline", length(1), 2 * bodyProgressTimeout, bytes(1), false},
		{"makes progress after the deadline", length(12), shortPause, bytes(12), false},
		{"has no known length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked", 2 * timeout, []string{"1\r\nx\r\n0\r\n\r\n"}, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			p := servePieces(t, c.head, c.pause, c.pieces...)
			begin := time.Now()
			resp, err := p.Do(t.Context(), &Outgoing{Method: "GET", URI: "/", Host: "a.example", Deadline: begin.Add(timeout)})
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			took := time.Since(begin)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, err != nil, c.cut, fmt.Sprint(err))
			if c.cut {
				assert.Assert(t, took >= timeout && took < 2*timeout, "took %v", took)
			}
		})
	}
}
