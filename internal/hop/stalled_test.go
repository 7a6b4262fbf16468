package hop

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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

// Guards against an upload that stops on its way and is waited for without limit: its receiver reads
// no more, or its sender sends no more, and neither closes its connection. A body that makes progress
// may take longer than the deadline.
func TestUploadThatStopsIsNotWaitedForWithoutLimit(t *testing.T) {
	const timeout = 200 * time.Millisecond
	// The body is larger than the buffers of the connections.
	const length = 64 << 20
	receive := func(bytes int64) *Pool {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		tested, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, c, bytes)
			<-tested
			_ = c.Close()
		}()
		t.Cleanup(func() {
			close(tested)
			_ = l.Close()
			<-ended
		})
		p := NewPool(l.Addr().String(), nil)
		t.Cleanup(p.Close)
		return p
	}
	cases := []struct {
		desc   string
		pool   *Pool
		source func() *Body
	}{
		{"receiver", receive(1000), func() *Body { return NewBody(io.LimitReader(zeros{}, length), nil) }},
		{"sender", receive(length), func() *Body {
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			go func() { _, _ = far.Write(make([]byte, 1000)) }()
			return NewBody(near, near.SetReadDeadline)
		}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 2*uploadProgressTimeout)
			defer cancel()
			begin := time.Now()
			_, err := c.pool.Do(ctx, &Outgoing{Method: "POST", URI: "/", Host: "a.example", Stream: c.source(), Length: length, SkipContinue: true, Deadline: begin.Add(timeout)})
			assert.Assert(t, err != nil)
			took := time.Since(begin)
			assert.Assert(t, took >= uploadProgressTimeout && took < uploadProgressTimeout*3/2, "took %v", took)
		})
	}
}

type zeros struct{}

// Read returns zeros.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a connection that is closed instead of reused because the deadline of its last
// request has passed since: each request would open a new one.
func TestConnectionIsReusedAfterTheDeadlineOfItsLastRequest(t *testing.T) {
	const timeout = 50 * time.Millisecond
	p := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
	for i := range 3 {
		resp, err := p.Do(t.Context(), &Outgoing{Method: "GET", URI: "/", Host: "a.example", Deadline: time.Now().Add(timeout)})
		assert.NilError(t, err)
		assert.Equal(t, resp.Body.(*responseBody).x.conn.reused, i > 0)
		assert.Equal(t, read(t, resp), "done")
		time.Sleep(timeout + 2*bodyProgressTimeout)
	}
}
