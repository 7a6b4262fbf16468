package hop

import (
	"bufio"
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

// framing is a way to delimit a response body.
type framing struct {
	desc, head string
	// piece returns a part of the body as it is sent, and last what is sent behind the last part.
	piece func(string) string
	last  string
}

var (
	chunked = framing{"in chunks", "Transfer-Encoding: chunked", func(p string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(p), p) }, "0\r\n\r\n"}
	toClose = framing{"to the end of the connection", "Connection: close", func(p string) string { return p }, ""}
)

func ofLength(n int) framing {
	return framing{fmt.Sprint("of length ", n), fmt.Sprint("Content-Length: ", n), func(p string) string { return p }, ""}
}

// sentBody describes how a test server sends a response body.
type sentBody struct {
	framing framing
	// The head and the first pieces are sent at once, and every further piece after a pause.
	first, pieces int
	pieceBytes    int
	pause         time.Duration
	// ends is set if the body ends with the last piece; otherwise the server falls silent.
	ends bool
}

// serveBody starts a server that responds to each request, once it has read its body, with the given
// one.
func serveBody(t *testing.T, b sentBody) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	tested := make(chan struct{})
	t.Cleanup(func() { close(tested) })
	serve := func(c net.Conn) {
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		piece := b.framing.piece(strings.Repeat("x", b.pieceBytes))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+b.framing.head+"\r\n\r\n"+strings.Repeat(piece, b.first))
		for range b.pieces - b.first {
			time.Sleep(b.pause)
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
		}
		if b.ends {
			_, _ = io.WriteString(c, b.framing.last)
			return
		}
		<-tested
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against a response that is waited for without limit once it has begun, whatever delimits its
// body and whether its request had one: its sender froze, lost power, or sends on without end, and the
// caller never gets a final response. Bodies that are only late are not cut off.
func TestResponseBodyHasALimitInTime(t *testing.T) {
	const (
		timeout   = time.Second
		endless   = 1 << 30
		tolerance = 250 * time.Millisecond
	)
	alive := func(context.Context) bool { return true }
	silent := func(ctx context.Context) bool { <-ctx.Done(); return false }
	stops := func(f framing) sentBody { return sentBody{framing: f, first: 1, pieces: 1, pieceBytes: 100} }
	drips := func(f framing, pieces int, ends bool) sentBody {
		return sentBody{framing: f, first: 1, pieces: pieces, pieceBytes: 1, pause: 50 * time.Millisecond, ends: ends}
	}
	floods := func(f framing) sentBody { return sentBody{framing: f, pieces: endless, pieceBytes: 32 << 10} }
	large := func(pause time.Duration) sentBody {
		return sentBody{framing: chunked, first: 1, pieces: 3, pieceBytes: 40 << 10, pause: pause, ends: true}
	}
	type limitCase struct {
		desc   string
		body   sentBody
		toPeer bool
		asked  func(context.Context) bool
		// cut is the time after the deadline at which the body is cut off; 0 if it is not.
		cut time.Duration
	}
	var cases []limitCase
	for _, f := range []framing{ofLength(1000), chunked, toClose} {
		cases = append(cases,
			limitCase{f.desc + ", stops", stops(f), false, nil, bodyGrace},
			limitCase{f.desc + ", stops at another node", stops(f), true, alive, bodyGrace},
			limitCase{f.desc + ", drips without end", drips(f, 500, false), false, nil, bodyGrace})
	}
	for _, f := range []framing{chunked, toClose} {
		cases = append(cases, limitCase{f.desc + ", floods without end", floods(f), false, nil, tolerance})
	}
	for _, f := range []framing{ofLength(20), chunked, toClose} {
		cases = append(cases, limitCase{f.desc + ", pauses until shortly before the deadline", sentBody{framing: f, first: 1, pieces: 2, pieceBytes: 10, pause: 800 * time.Millisecond, ends: true}, false, nil, 0})
	}
	cases = append(cases,
		limitCase{"in chunks, floods from another node", floods(chunked), true, alive, tolerance},
		limitCase{"of an immense length, floods", floods(ofLength(1 << 40)), false, nil, tolerance},
		limitCase{"of a large length, stops", stops(ofLength(100 << 10)), false, nil, bodyGrace},
		limitCase{"of a large length, stops at a silent node", stops(ofLength(100 << 10)), true, silent, largeBodyGrace + aliveTimeout},
		limitCase{"of a large length, stops at a node that responds", stops(ofLength(100 << 10)), true, alive, largeBodyPause},
		limitCase{"in chunks, large, waits for the link of a node that responds", large(1200 * time.Millisecond), true, alive, 0},
		limitCase{"a little late", sentBody{framing: ofLength(4), first: 1, pieces: 4, pieceBytes: 1, pause: 350 * time.Millisecond, ends: true}, false, nil, 0},
		limitCase{"makes progress at another node after the deadline", drips(ofLength(40), 40, true), true, alive, 0})
	for _, c := range cases {
		for _, upload := range []bool{false, true} {
			name := c.desc
			if upload {
				name += ", after an upload"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				address := serveBody(t, c.body)
				p := NewPool(address, nil)
				if c.toPeer {
					p = NewPeerPool(address, nil)
				}
				t.Cleanup(p.Close)
				begin := time.Now()
				out := &Outgoing{Method: "GET", URI: "/", Host: "a.example", Deadline: begin.Add(timeout), PeerResponds: c.asked}
				if upload {
					out.Method, out.Stream, out.Length, out.SkipContinue = "POST", NewBody(strings.NewReader(strings.Repeat("u", 60000)), nil), 60000, true
				}
				ctx, cancel := context.WithTimeout(t.Context(), timeout+2*largeBodyPause)
				defer cancel()
				resp, err := p.Do(ctx, out)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				late := time.Since(begin) - timeout
				assert.NilError(t, resp.Body.Close())
				assert.Equal(t, err != nil, c.cut > 0, fmt.Sprint(err))
				if c.cut > 0 {
					assert.Assert(t, late >= 0 && late < c.cut+tolerance, "cut off %v after the deadline", late)
				}
			})
		}
	}
}

// Guards against a late download that is cut off because its receiver is slow: only the time in which
// the exchange waits for its peer is limited.
func TestLateBodyOfASlowReceiverIsNotCutOff(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, f := range []framing{ofLength(1 << 20), chunked, toClose} {
		t.Run(f.desc, func(t *testing.T) {
			t.Parallel()
			p := NewPool(serveBody(t, sentBody{framing: f, pieces: 32, pieceBytes: 32 << 10, ends: true}), nil)
			t.Cleanup(p.Close)
			resp, err := p.Do(t.Context(), &Outgoing{Method: "GET", URI: "/", Host: "a.example", Deadline: time.Now().Add(timeout)})
			assert.NilError(t, err)
			total := 0
			for err == nil {
				var n int
				n, err = io.ReadFull(resp.Body, make([]byte, 128<<10))
				total += n
				time.Sleep(timeout)
			}
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, total, 1<<20)
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
		time.Sleep(timeout + 2*bodyGrace)
	}
}
