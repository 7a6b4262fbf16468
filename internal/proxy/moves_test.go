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

// Requests that gates move.

// A gate moves a request; its body must arrive whole at the sibling, a long one
// too, which must not have been read before.
func TestMovedRequestKeepsItsBody(t *testing.T) {
	for _, size := range []int{10, 500_000} {
		takes := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil || int(n) != size {
				panic(http.ErrAbortHandler)
			}
			answers("taken")(w, r, req)
		})
		moves := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
			reply(w, req, hop.Reply{Verdict: hop.Moved, To: "b"})
		})
		s := front(t, gate.RevokeUnknown, moves, takes)
		for range 4 {
			_, text := send(t, s, "POST", "/upload", strings.Repeat("x", size))
			assert.Equal(t, text, "taken")
		}
	}
}

// Two gates pass a request back and forth. It must end, as not run.
func TestMovesAreLimited(t *testing.T) {
	to := func(host string) func(http.ResponseWriter, *http.Request, hop.Request) {
		return func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
			reply(w, req, hop.Reply{Verdict: hop.Moved, To: host})
		}
	}
	a, b := newFakeNode(t, to("b")), newFakeNode(t, to("a"))
	resp, text := send(t, front(t, gate.RevokeUnknown, a, b), "POST", "/", "x")
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.NotRun)
	assert.Equal(t, a.hits.Load()+b.hits.Load(), int64(3))
}

// A host drains under load. A request was moved there and back by gates that did
// not know yet, and is then refused by the leaving one. Moves do not use up the
// endpoints it may be sent to: it must find the one that is left.
func TestRequestMovedAboutStillFindsAnEndpoint(t *testing.T) {
	// Which of the two is picked first is drawn: both ways come up.
	for range 20 {
		assert.Equal(t, movedAbout(t), "found")
	}
}

// movedAbout sends one request past a host that leaves, and returns its answer.
func movedAbout(t *testing.T) string {
	t.Helper()
	var asked atomic.Int64
	leaving := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		if asked.Add(1) == 1 {
			reply(w, req, hop.Reply{Verdict: hop.Moved, To: "b"})
			return
		}
		reply(w, req, hop.Reply{Verdict: hop.Refused, Reason: gate.Draining})
	})
	var moved atomic.Bool
	other := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if moved.CompareAndSwap(false, true) {
			reply(w, req, hop.Reply{Verdict: hop.Moved, To: "a"})
			return
		}
		answers("found")(w, r, req)
	})
	_, text := send(t, front(t, gate.RevokeUnknown, leaving, other), "POST", "/", "x")
	return text
}

// A backend server died; a gate that has not heard of it moves a request there
// each time. Once the dead end has refused it, it must stay where it is sent.
func TestRefusedRequestIsNotMovedBack(t *testing.T) {
	dead := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		reply(w, req, hop.Reply{Verdict: hop.Unreached})
	})
	slow := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if req.Movable {
			reply(w, req, hop.Reply{Verdict: hop.Moved, To: "a"})
			return
		}
		answers("stayed")(w, r, req)
	})
	s := front(t, gate.RevokeUnknown, dead, slow)
	const requests = 5
	for range requests {
		_, text := send(t, s, "POST", "/", "x")
		assert.Equal(t, text, "stayed")
	}
	assert.Assert(t, dead.hits.Load() <= requests, "%d requests went to the dead end %d times", requests, dead.hits.Load())
}

// Photos of 40 KB come to a gate that moves them. Their bodies must not cross the
// link to it: on links that carry eighteen a second, bodies that were sent for
// nothing held up everything else, configurations included.
func TestMovedBodyIsNotSent(t *testing.T) {
	const size = 40 << 10
	var sent atomic.Int64
	takes := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || n != size {
			panic(http.ErrAbortHandler)
		}
		answers("taken")(w, r, req)
	})
	moves := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		reply(w, req, hop.Reply{Verdict: hop.Moved, To: "b"})
	})
	counted := countingLink(t, moves.Listener.Addr().String(), &sent)
	s := frontOf(t, gate.RevokeUnknown, counted, takes.Listener.Addr().String())
	for range 8 {
		_, text := send(t, s, "POST", "/upload", strings.Repeat("x", size))
		assert.Equal(t, text, "taken")
	}
	assert.Assert(t, moves.hits.Load() > 0)
	assert.Assert(t, sent.Load() < size, "%d bytes for %d moved requests", sent.Load(), moves.hits.Load())
}

// countingLink passes connections on to an address and counts the bytes sent there.
func countingLink(t *testing.T, to string, sent *atomic.Int64) string {
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
				_, _ = io.Copy(io.MultiWriter(peer, counter{sent}), from)
				_ = peer.Close()
			}()
		}
	}()
	return l.Addr().String()
}

type counter struct{ n *atomic.Int64 }

func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}
