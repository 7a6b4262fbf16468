package resources

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// serve serves the handler at a limited listener and returns its address.
func serve(t *testing.T, r *Resources, handler http.HandlerFunc) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: HoldBodies(handler)}
	go func() { _ = s.Serve(r.Listen(s, inner, Others)) }()
	t.Cleanup(func() { _ = s.Close() })
	return inner.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func roundTrip(c net.Conn, request string) (status int, err error) {
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

const getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against a listener that nobody can reach any more because its connections are taken, and
// against the loss of a request in progress on one of them.
func TestIdleConnectionGivesWayToANewOne(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	r := New(64, 256)
	address := serve(t, r, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(begun)
			<-release
		}
	})
	busy, answered := dial(t, address), make(chan error, 1)
	go func() {
		_, err := roundTrip(busy, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		answered <- err
	}()
	<-begun
	for range 3 * r.MaxConnections(Others) {
		c := dial(t, address)
		status, err := roundTrip(c, getRequest)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	close(release)
	assert.NilError(t, <-answered)
}

// Guards against memory that is taken and not returned, also by requests that are refused, broken off
// or sent ahead.
func TestMemoryIsReturned(t *testing.T) {
	r := New(64, 4096)
	address := serve(t, r, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	large := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 16000000\r\n\r\n" + strings.Repeat("b", 16_000_000)
	t.Run("traffic", func(t *testing.T) {
		for range 3 {
			status, err := roundTrip(dial(t, address), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+getRequest+getRequest)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			status, _ = roundTrip(dial(t, address), large)
			assert.Assert(t, status != http.StatusOK, "a body was read for which there is no memory")
			_, _ = io.WriteString(dial(t, address), "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a: b\r\n", 1000))
			_, _ = roundTrip(dial(t, address), "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 200_000)+"\r\n")
		}
		used, limit := r.MemoryUsed()
		assert.Assert(t, 0 < used && used < limit)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if used, _ := r.MemoryUsed(); used != 0 {
			return poll.Continue("%d bytes are taken", used)
		}
		return poll.Success()
	})
}
