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

// earlyPeer asks for the body of a request's first attempt and rejects it in the
// same segment, or once it has read some of it; from later attempts it takes the
// whole body.
type earlyPeer struct {
	net.Listener
	// reads is how many bytes of a body it reads before it rejects.
	reads  int64
	mu     sync.Mutex
	bodies [][]byte
}

func newEarlyPeer(t *testing.T, reads int64) *earlyPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &earlyPeer{Listener: l, reads: reads}
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

func (p *earlyPeer) serve(c net.Conn) {
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
		asks := "HTTP/1.1 100 Continue\r\n\r\n"
		if p.reads > 0 {
			_, _ = io.WriteString(c, asks)
			asks = ""
			_, _ = io.CopyN(io.Discard, r.Body, p.reads)
		}
		_, _ = fmt.Fprintf(c, asks+"HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", hop.Header, reply.Encode())
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

func (p *earlyPeer) received() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bodies
}

// callersListener serves a handler as a node serves its callers.
func callersListener(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := callers.New(h)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// A backend server rejects a long upload before it is in. On a busy host the
// answer is read before the goroutine that sends the body has begun. The request is
// tried again; the first sender then took bytes out of the body, and the second
// endpoint got one with a hole in it where the rest was due.
func TestRejectedUploadLeavesNoHoleInTheNextOne(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	body := make([]byte, 200<<10)
	for i := range body {
		body[i] = byte(i % 251)
	}
	for _, chunked := range []bool{false, true} {
		a, b := newEarlyPeer(t, 0), newEarlyPeer(t, 0)
		address := callersListener(t, frontOf(t, gate.RevokeUnknown, a.Addr().String(), b.Addr().String()).Config.Handler)
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
				// The answer came before the body was sent; the sender may see its end.
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

// A backend server rejects a long upload after it has read a part. That part is gone:
// the rest of the body must not be sent to another endpoint as if it were the whole.
func TestUploadThatWasPartlyReadIsNotSentAgain(t *testing.T) {
	a, b := newEarlyPeer(t, 10_000), newEarlyPeer(t, 10_000)
	address := callersListener(t, frontOf(t, gate.RevokeUnknown, a.Addr().String(), b.Addr().String()).Config.Handler)
	for range 10 {
		body := io.MultiReader(bytes.NewReader(make([]byte, 100<<10)), bytes.NewReader(make([]byte, 100<<10)))
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/upload", body)
		assert.NilError(t, err)
		req.Host = "pay.example"
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			// The answer came before the body was sent; the sender may see its end.
			continue
		}
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(a.received())+len(b.received()), 0)
}

// A backend server begins its answer before it has the body, as one does that answers
// as it reads. The caller waits to be asked for the body. It must be asked ahead of the
// answer, or the server waits for the body and the caller for the question.
func TestServerThatAnswersAsItReadsGetsTheBody(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const length = 200_000
	p := answersAsItReads(t)
	address := callersListener(t, frontOf(t, gate.RevokeUnknown, p.Addr().String()).Config.Handler)
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

// answersAsItReads asks for a body, begins its answer in the same segment and ends it
// with the number of bytes that it got.
func answersAsItReads(t *testing.T) net.Listener {
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
