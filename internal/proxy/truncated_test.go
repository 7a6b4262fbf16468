package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
