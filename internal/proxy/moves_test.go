package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// Tests of requests that gates move to other endpoints.

// Guards against incomplete bodies of moved requests: the body must arrive whole at the
// sibling. A long one is streamed and must not have been read for the first attempt.
func TestMovedRequestKeepsItsBody(t *testing.T) {
	for _, size := range []int{10, 500_000} {
		accepting := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil || int(n) != size {
				panic(http.ErrAbortHandler)
			}
			respondWith("taken")(w, r, req)
		})
		moving := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
			writeReply(w, req, hop.Reply{Verdict: hop.Moved, To: "b"})
		})
		s := startProxy(t, gate.RevokeUnknown, moving, accepting)
		for range 4 {
			_, text := send(t, s, "POST", "/upload", strings.Repeat("x", size))
			assert.Equal(t, text, "taken")
		}
	}
}

// Guards against endless moves: a request that two gates move back and forth must be given up
// with the fault "not run".
func TestMovesAreLimited(t *testing.T) {
	to := func(host string) func(http.ResponseWriter, *http.Request, hop.Request) {
		return func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
			writeReply(w, req, hop.Reply{Verdict: hop.Moved, To: host})
		}
	}
	a, b := newFakeNode(t, to("b")), newFakeNode(t, to("a"))
	resp, text := send(t, startProxy(t, gate.RevokeUnknown, a, b), "POST", "/", "x")
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.NotRun)
	assert.Equal(t, a.hits.Load()+b.hits.Load(), int64(3))
}

// Guards against counting moves as refusals. While a host drains under load, gates that do
// not know this yet move a request there and back before the draining gate refuses it. The
// request must still reach the remaining endpoint.
func TestRequestMovedAboutStillFindsAnEndpoint(t *testing.T) {
	// Which of the two is picked first is random; the repetitions cover both orders.
	for range 20 {
		assert.Equal(t, sendMovedAbout(t), "found")
	}
}

// sendMovedAbout sends one request to a draining and a serving host, which move it first,
// and returns the response.
func sendMovedAbout(t *testing.T) string {
	t.Helper()
	var requests atomic.Int64
	draining := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		if requests.Add(1) == 1 {
			writeReply(w, req, hop.Reply{Verdict: hop.Moved, To: "b"})
			return
		}
		writeReply(w, req, hop.Reply{Verdict: hop.Refused, Reason: gate.Draining})
	})
	var moved atomic.Bool
	other := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if moved.CompareAndSwap(false, true) {
			writeReply(w, req, hop.Reply{Verdict: hop.Moved, To: "a"})
			return
		}
		respondWith("found")(w, r, req)
	})
	_, text := send(t, startProxy(t, gate.RevokeUnknown, draining, other), "POST", "/", "x")
	return text
}

// Guards against moving a request back to an endpoint that refused it: a backend server
// failed, and a gate that does not know it yet moves each request there. After the
// refusal the request must be sent as not movable.
func TestRefusedRequestIsNotMovedBack(t *testing.T) {
	unreachable := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		writeReply(w, req, hop.Reply{Verdict: hop.Unreachable})
	})
	moving := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if req.Movable {
			writeReply(w, req, hop.Reply{Verdict: hop.Moved, To: "a"})
			return
		}
		respondWith("stayed")(w, r, req)
	})
	s := startProxy(t, gate.RevokeUnknown, unreachable, moving)
	const requests = 5
	for range requests {
		_, text := send(t, s, "POST", "/", "x")
		assert.Equal(t, text, "stayed")
	}
	assert.Assert(t, unreachable.hits.Load() <= requests, "%d requests were sent to the unreachable endpoint %d times", requests, unreachable.hits.Load())
}

// Guards against sending bodies of 40 KB to a gate that only moves the requests. On links
// that carry eighteen such bodies a second, the needlessly sent ones would delay all other
// traffic, including configurations.
func TestMovedBodyIsNotSent(t *testing.T) {
	const size = 40 << 10
	var sent atomic.Int64
	accepting := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != size {
			panic(http.ErrAbortHandler)
		}
		respondWith("taken")(w, r, req)
	})
	moving := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		writeReply(w, req, hop.Reply{Verdict: hop.Moved, To: "b"})
	})
	counted := newCountingForwarder(t, moving.Listener.Addr().String(), &sent)
	s := startProxyFor(t, gate.RevokeUnknown, counted, accepting.Listener.Addr().String())
	for range 8 {
		_, text := send(t, s, "POST", "/upload", strings.Repeat("x", size))
		assert.Equal(t, text, "taken")
	}
	assert.Assert(t, moving.hits.Load() > 0)
	assert.Assert(t, sent.Load() < size, "%d bytes for %d moved requests", sent.Load(), moving.hits.Load())
}

// newCountingForwarder starts a TCP forwarder to an address that counts the bytes sent
// there.
func newCountingForwarder(t *testing.T, to string, sent *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			peer, err := net.Dial("tcp", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			go func() {
				_, _ = io.Copy(from, peer)
				_ = from.Close()
			}()
			go func() {
				_, _ = io.Copy(io.MultiWriter(peer, byteCounter{sent}), from)
				_ = peer.Close()
			}()
		}
	}()
	return l.Addr().String()
}

type byteCounter struct{ n *atomic.Int64 }

func (c byteCounter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}
