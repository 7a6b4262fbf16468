package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	callers "cactuspath/internal/front"
	"cactuspath/internal/hop"
)

// rejectingPeer requests the body of a request's first attempt with 100 Continue and
// rejects the attempt in the same segment, or after it has read a part of the body. It
// accepts the whole body of later attempts.
type rejectingPeer struct {
	net.Listener
	// readBytes is the number of body bytes that it reads before it rejects.
	readBytes int64
	mu        sync.Mutex
	bodies    [][]byte
}

func newRejectingPeer(t *testing.T, readBytes int64) *rejectingPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &rejectingPeer{Listener: l, readBytes: readBytes}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *rejectingPeer) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	req, err := hop.ParseRequest(r.Header.Get(hop.Header))
	if err != nil {
		return
	}
	reply := hop.Reply{ID: req.ID, Verdict: hop.Ran}
	if req.ID.Attempt == 1 {
		reply.Verdict = hop.Rejected
		interim := "HTTP/1.1 100 Continue\r\n\r\n"
		if p.readBytes > 0 {
			_, _ = io.WriteString(c, interim)
			interim = ""
			_, _ = io.CopyN(io.Discard, r.Body, p.readBytes)
		}
		_, _ = fmt.Fprintf(c, interim+"HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", hop.Header, reply.Encode())
		_, _ = io.Copy(io.Discard, c)
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.bodies = append(p.bodies, body)
	p.mu.Unlock()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", hop.Header, reply.Encode())
}

func (p *rejectingPeer) received() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bodies
}

// serveCallers serves a handler with the server that nodes use for callers, and returns
// its address.
func serveCallers(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := callers.New(h, nil)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// Guards against a corrupted body on retry. When a backend server rejects a long upload
// early, on a busy host its response may be read before the goroutine that sends the body has
// started. If that goroutine still read the body, it would take bytes out of the body that
// the retry sends, and the second endpoint would receive a body with a gap.
func TestRetryAfterRejectedUploadSendsWholeBody(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	body := make([]byte, 200<<10)
	for i := range body {
		body[i] = byte(i % 251)
	}
	for _, chunked := range []bool{false, true} {
		a, b := newRejectingPeer(t, 0), newRejectingPeer(t, 0)
		address := serveCallers(t, startProxyFor(t, gate.RevokeUnknown, a.Addr().String(), b.Addr().String()).Config.Handler)
		for range 60 {
			var source io.Reader = bytes.NewReader(body)
			if chunked {
				source = struct{ io.Reader }{source}
			}
			req, err := http.NewRequest(http.MethodPost, "http://"+address+"/upload", source)
			assert.NilError(t, err)
			req.Host = "pay.example"
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				// The response arrived before the body was sent; the client may see the
				// connection close while it sends.
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		for _, got := range append(a.received(), b.received()...) {
			assert.Assert(t, bytes.Equal(got, body), "chunked %v: an endpoint got %d bytes that are not the caller's %d", chunked, len(got), len(body))
		}
	}
}

// Guards against sending the rest of a partly read body as a whole one: a backend server
// rejects a long upload after it has read a part, which cannot be read again for another
// endpoint.
func TestUploadThatWasPartlyReadIsNotSentAgain(t *testing.T) {
	a, b := newRejectingPeer(t, 10_000), newRejectingPeer(t, 10_000)
	address := serveCallers(t, startProxyFor(t, gate.RevokeUnknown, a.Addr().String(), b.Addr().String()).Config.Handler)
	for range 10 {
		body := io.MultiReader(bytes.NewReader(make([]byte, 100<<10)), bytes.NewReader(make([]byte, 100<<10)))
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/upload", body)
		assert.NilError(t, err)
		req.Host = "pay.example"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			// The response arrived before the body was sent; the client may see the connection
			// close while it sends.
			continue
		}
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(a.received())+len(b.received()), 0)
}

// Guards against a deadlock with servers that respond while they read the body. The
// caller waits for 100 Continue, which must precede the response head; otherwise the
// server waits for the body and the caller for 100 Continue.
func TestServerThatAnswersAsItReadsGetsTheBody(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const length = 200_000
	p := newStreamingPeer(t)
	address := serveCallers(t, startProxyFor(t, gate.RevokeUnknown, p.Addr().String()).Config.Handler)
	for range 20 {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = fmt.Fprintf(c, "POST /upload HTTP/1.1\r\nHost: pay.example\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", length)
		assert.NilError(t, err)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusContinue)
		_, err = c.Write(make([]byte, length))
		assert.NilError(t, err)
		resp, err = http.ReadResponse(r, nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), "read 200000")
		_ = c.Close()
	}
}

// newStreamingPeer starts a peer that sends 100 Continue and the start of its response in
// one segment, and ends the response with the number of body bytes received.
func newStreamingPeer(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		req, _ := hop.ParseRequest(r.Header.Get(hop.Header))
		reply := hop.Reply{ID: req.ID, Verdict: hop.Ran}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nread \r\n", hop.Header, reply.Encode())
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(c, "6\r\n%06d\r\n0\r\n\r\n", n)
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
	return l
}
