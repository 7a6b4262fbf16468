package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// Tests of forged headers and ambiguous message framing in callers' requests.

func TestCallersCannotForgeHopHeaders(t *testing.T) {
	n := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if req.Caller == "forged" || r.Header.Get("X-Drop") != "" {
			panic(http.ErrAbortHandler)
		}
		respondWith("ok")(w, r, req)
	})
	s := startProxy(t, gate.RevokeUnknown, n)
	req, err := http.NewRequest("GET", s.URL, nil)
	assert.NilError(t, err)
	req.Host = "pay.example"
	req.Header.Set(hop.Header, "1;1-1-1;1;1;1;1;forged")
	req.Header.Set("Connection", "X-Drop")
	req.Header.Set("X-Drop", "1")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "ok")
}

// Guards against request smuggling: requests whose length two servers could interpret
// differently are refused before anything is forwarded.
func TestAmbiguousFramingIsRefused(t *testing.T) {
	n := newFakeNode(t, respondWith("ok"))
	s := startProxy(t, gate.RevokeUnknown, n)
	for _, header := range []string{
		"Content-Length: 5\r\nContent-Length: 6\r\n",
		"Content-Length: +5\r\n",
		"Content-Length: 5, 6\r\n",
		"Transfer-Encoding: xchunked\r\n",
		"Transfer-Encoding: chunked, identity\r\n",
		"Content-Length : 5\r\n",
		"Host: other.example\r\n",
	} {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: pay.example\r\n" + header + "\r\nhello"))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, header)
		assert.Assert(t, resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotImplemented, "%q: %d", header, resp.StatusCode)
		_ = resp.Body.Close()
		_ = conn.Close()
	}
	assert.Equal(t, n.hits.Load(), int64(0))
}

// Guards against request smuggling: a request with both Content-Length and chunked encoding
// is read as chunked and forwarded with a single new framing, so that the bytes after it are
// read as another request of the same caller.
func TestContentLengthWithChunkedIsReframed(t *testing.T) {
	var bodies []string
	n := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		text, _ := io.ReadAll(r.Body)
		bodies = append(bodies, string(text))
		respondWith("ok")(w, r, req)
	})
	s := startProxy(t, gate.RevokeUnknown, n)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: pay.example\r\nContent-Length: 100\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.DeepEqual(t, bodies, []string{"hello"})
}
