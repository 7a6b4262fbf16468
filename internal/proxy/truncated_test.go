package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// breakOff responds with the beginning of a response and closes the connection.
func breakOff(w http.ResponseWriter, _ *http.Request, req hop.Request) {
	w.Header().Set("Content-Length", "100")
	writeReply(w, req, hop.Reply{})
	_, _ = io.WriteString(w, "beginning")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against a response that a server breaks off and that takes the requests behind it on the
// caller's connection with it, although nothing of it has been sent to the caller. Idempotent
// requests must be sent to another endpoint, and others must not.
func TestBrokenOffResponseDoesNotEndRequestsBehindIt(t *testing.T) {
	faulty := newFakeNode(t, breakOff)
	sound := newFakeNode(t, respondWith("ok"))
	for _, c := range []struct {
		method string
		nodes  []*fakeNode
		want   int
		fault  fault.Kind
	}{
		{http.MethodGet, []*fakeNode{faulty, sound}, http.StatusOK, ""},
		{http.MethodPost, []*fakeNode{faulty}, http.StatusBadGateway, fault.OutcomeUnknown},
		{http.MethodGet, []*fakeNode{faulty}, http.StatusBadGateway, fault.OutcomeUnknown},
	} {
		var addresses []string
		for _, n := range c.nodes {
			addresses = append(addresses, n.Listener.Addr().String())
		}
		handler := newTestHandler(gate.RevokeUnknown, addresses...)
		conn, err := net.Dial("tcp", serveCallers(t, handler))
		assert.NilError(t, err)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(conn)
		const requests = 4
		for range requests {
			_, err = fmt.Fprintf(conn, "%s / HTTP/1.1\r\nHost: pay.example\r\nContent-Length: 0\r\n\r\n", c.method)
			assert.NilError(t, err)
		}
		before := sound.hits.Load()
		for range requests {
			resp, err := http.ReadResponse(reader, &http.Request{Method: c.method})
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.want, string(body))
			assert.Equal(t, resp.Header.Get(fault.Header), string(c.fault))
		}
		assert.NilError(t, conn.Close())
		if c.method == http.MethodPost {
			assert.Equal(t, sound.hits.Load(), before)
		}
	}
}

// Guards against requests that run behind a large response on the caller's connection and get no
// response, because the large one is broken off after a part of it was sent. Requests that arrive with
// the large one must be answered, and those that arrive once it is being sent must not be passed on.
func TestRequestsBehindALargeResponseThatIsBrokenOff(t *testing.T) {
	var small atomic.Int64
	release := make(chan struct{})
	node := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if r.URL.Path != "/large" {
			small.Add(1)
			respondWith("ok")(w, r, req)
			return
		}
		w.Header().Set("Content-Length", "400000")
		writeReply(w, req, hop.Reply{})
		_, _ = w.Write(make([]byte, 200_000))
		_ = http.NewResponseController(w).Flush()
		<-release
		panic(http.ErrAbortHandler)
	})
	get := func(conn net.Conn, paths ...string) {
		requests := ""
		for _, path := range paths {
			requests += "GET " + path + " HTTP/1.1\r\nHost: pay.example\r\n\r\n"
		}
		_, err := io.WriteString(conn, requests)
		assert.NilError(t, err)
	}
	conn := func() net.Conn {
		c, err := net.Dial("tcp", serveCallers(t, newTestHandler(gate.RevokeUnknown, node.Listener.Addr().String())))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}

	late := conn()
	get(late, "/large")
	_, err := io.ReadFull(late, make([]byte, 1000))
	assert.NilError(t, err)
	get(late, "/small")
	get(late, "/small")
	time.Sleep(200 * time.Millisecond)
	close(release)
	_, err = io.Copy(io.Discard, late)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, small.Load(), int64(0), "requests behind were passed on")

	together := conn()
	// One write: with several, the large response may begin before the others arrive.
	get(together, "/large", "/small", "/small")
	reader := bufio.NewReader(together)
	for _, want := range []int{http.StatusBadGateway, http.StatusOK, http.StatusOK} {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want)
	}
}

// Guards against requests that get more time than is left, because they waited behind a large response
// before they were started.
func TestTimeBehindALargeResponseCountsTowardsTheTimeout(t *testing.T) {
	const waited = 300 * time.Millisecond
	release := make(chan struct{})
	var timeout atomic.Int64
	node := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if r.URL.Path != "/large" {
			timeout.Store(int64(req.Timeout))
			respondWith("ok")(w, r, req)
			return
		}
		w.Header().Set("Content-Length", "200000")
		writeReply(w, req, hop.Reply{})
		_, _ = w.Write(make([]byte, 100_000))
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = w.Write(make([]byte, 100_000))
	})
	conn, err := net.Dial("tcp", serveCallers(t, newTestHandler(gate.RevokeUnknown, node.Listener.Addr().String())))
	assert.NilError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	for _, path := range []string{"/small", "/large"} {
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: pay.example\r\n\r\n", path)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(conn)
	small, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(small.Body)
	assert.NilError(t, err)
	atOnce := time.Duration(timeout.Load())
	large, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "GET /small HTTP/1.1\r\nHost: pay.example\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(waited)
	close(release)
	_, err = io.Copy(io.Discard, large.Body)
	assert.NilError(t, err)
	_, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	behind := time.Duration(timeout.Load())
	assert.Assert(t, behind <= atOnce-waited*8/10, "the request behind got %v, one that did not wait %v", behind, atOnce)
}
