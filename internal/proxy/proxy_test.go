package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/hop"
)

type noLocal struct{}

func (noLocal) Endpoint(string) *endpoint.Endpoint { return nil }

// fakeNode answers hops as a test tells it to.
type fakeNode struct {
	*httptest.Server
	hits atomic.Int64
}

func newFakeNode(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, req hop.Request)) *fakeNode {
	t.Helper()
	n := &fakeNode{}
	n.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.hits.Add(1)
		req, err := hop.ParseRequest(r.Header.Get(hop.Header))
		if err != nil {
			panic(err)
		}
		answer(w, r, req)
	}))
	t.Cleanup(n.Close)
	return n
}

func reply(w http.ResponseWriter, req hop.Request, r hop.Reply) {
	r.ID = req.ID
	w.Header().Set(hop.Header, r.Encode())
	if r.Verdict != hop.Ran {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func answers(text string) func(http.ResponseWriter, *http.Request, hop.Request) {
	return func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		reply(w, req, hop.Reply{})
		_, _ = w.Write([]byte(text))
	}
}

// front is a handler that knows the nodes as endpoints of service "pay".
func front(t *testing.T, revoke gate.RevokeAnswer, nodes ...*fakeNode) *httptest.Server {
	t.Helper()
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.Listener.Addr().String())
	}
	return frontOf(t, revoke, addresses...)
}

// frontOf is front for nodes that are reached at other addresses.
func frontOf(t *testing.T, revoke gate.RevokeAnswer, addresses ...string) *httptest.Server {
	t.Helper()
	h := New(Options{Host: "front", Local: noLocal{}, Counters: NewCounters(), Heard: func(uint64) {}, Revision: func() uint64 { return 1 },
		Need: func(context.Context, string) error { return nil },
		Revoke: func(context.Context, string, uint64, gate.AttemptID, time.Duration) gate.RevokeAnswer {
			return revoke
		}})
	h.Configure([]*apiv1.ServiceRecord{{Name: "pay", Spec: &apiv1.ServiceSpec{Hosts: []string{"pay.example"}, Slots: 4, TimeoutMs: 5000, MaxAttempts: 3,
		RetryPerMille: 100, IdempotentMethods: []string{"GET"}, MaxBodyBytes: 1 << 20}}}, nil)
	var list []balancer.Candidate
	for i, address := range addresses {
		list = append(list, balancer.Candidate{Host: string(rune('a' + i)), PeerAddress: address, Incarnation: 1, Slots: 4})
	}
	h.Update(map[string][]balancer.Candidate{"pay": list})
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

func send(t *testing.T, s *httptest.Server, method, path, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "pay.example"
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(text)
}

func faultOf(t *testing.T, resp *http.Response, text string) Fault {
	t.Helper()
	var f Fault
	assert.NilError(t, json.Unmarshal([]byte(text), &f))
	assert.Equal(t, resp.Header.Get(fault.Header), string(f.Fault))
	return f
}

// A node sends an answer that belongs to another request. The caller must not
// get it, and since its own request may have run, it hears "unknown".
func TestForeignAnswerReachesNobody(t *testing.T) {
	n := newFakeNode(t, func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		req.ID.Request[1]++
		reply(w, req, hop.Reply{})
		_, _ = w.Write([]byte("somebody else's deposit"))
	})
	resp, text := send(t, front(t, gate.RevokeRunning, n), "POST", "/charge", "x")
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.OutcomeUnknown)
	assert.Equal(t, faultOf(t, resp, text).Ran, "unknown")
	assert.Equal(t, n.hits.Load(), int64(1))
}

// A connection breaks before the answer. What follows hangs on what the gate
// says: only a payment that never started is sent elsewhere.
func TestLostAnswer(t *testing.T) {
	cases := []struct {
		desc   string
		method string
		revoke gate.RevokeAnswer
		want   string
	}{
		{"payment that never started", "POST", gate.RevokeNeverStarted, "ok"},
		{"payment that runs", "POST", gate.RevokeRunning, string(fault.OutcomeUnknown)},
		{"payment that ran", "POST", gate.RevokeFinished, string(fault.OutcomeUnknown)},
		{"payment nobody can tell of", "POST", gate.RevokeUnknown, string(fault.OutcomeUnknown)},
		{"read that ran", "GET", gate.RevokeFinished, "ok"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			var broke atomic.Bool
			breaks := func(w http.ResponseWriter, r *http.Request, req hop.Request) {
				if broke.CompareAndSwap(false, true) {
					panic(http.ErrAbortHandler)
				}
				answers("ok")(w, r, req)
			}
			resp, text := send(t, front(t, c.revoke, newFakeNode(t, breaks), newFakeNode(t, breaks)), c.method, "/", "")
			if c.want == "ok" {
				assert.Equal(t, text, "ok")
				return
			}
			assert.Equal(t, resp.Header.Get(fault.Header), c.want)
		})
	}
}

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

// The endpoint's node restarted. The request did not run there; it goes to the
// new incarnation.
func TestRestartedNodeIsAskedAgain(t *testing.T) {
	n := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if req.Incarnation < 9 {
			reply(w, req, hop.Reply{Verdict: hop.Restarted, Incarnation: 9})
			return
		}
		answers("anew")(w, r, req)
	})
	_, text := send(t, front(t, gate.RevokeUnknown, n), "POST", "/", "x")
	assert.Equal(t, text, "anew")
}

// All gates are full. The caller hears it after one attempt, with when to come
// back, and nobody is asked again.
func TestFullEverywhereIsSaidAtOnce(t *testing.T) {
	full := func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		reply(w, req, hop.Reply{Verdict: hop.Refused, Reason: gate.QueueFull, Everywhere: true, RetryAfter: 1500 * time.Millisecond})
	}
	a, b := newFakeNode(t, full), newFakeNode(t, full)
	resp, text := send(t, front(t, gate.RevokeUnknown, a, b), "POST", "/", "x")
	f := faultOf(t, resp, text)
	assert.Equal(t, f.Fault, fault.Overloaded)
	assert.Equal(t, f.Ran, "no")
	assert.Equal(t, resp.Header.Get("Retry-After"), "2")
	assert.Equal(t, resp.Header.Get(RetryAfterHeader), "1500")
	assert.Equal(t, a.hits.Load()+b.hits.Load(), int64(1))
}

// An endpoint cannot be reached: nothing was sent, another one takes it.
func TestUnreachableNodeLosesNothing(t *testing.T) {
	gone, there := newFakeNode(t, answers("never")), newFakeNode(t, answers("there"))
	s := front(t, gate.RevokeUnknown, gone, there)
	gone.Close()
	for range 10 {
		_, text := send(t, s, "POST", "/", "x")
		assert.Equal(t, text, "there")
	}
}

func TestCallersCannotForgeOurHeaders(t *testing.T) {
	n := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if req.Caller == "forged" || r.Header.Get("X-Drop") != "" {
			panic(http.ErrAbortHandler)
		}
		answers("ok")(w, r, req)
	})
	s := front(t, gate.RevokeUnknown, n)
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

func TestLimits(t *testing.T) {
	s := front(t, gate.RevokeUnknown, newFakeNode(t, answers("ok")))
	resp, text := send(t, s, "POST", "/", strings.Repeat("x", 2<<20))
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.TooLarge)
	none := front(t, gate.RevokeUnknown)
	resp, text = send(t, none, "GET", "/", "")
	assert.Equal(t, faultOf(t, resp, text).Fault, fault.NoEndpoint)
}

func TestTable(t *testing.T) {
	spec := func(hosts, prefixes []string) *apiv1.ServiceSpec {
		return &apiv1.ServiceSpec{Hosts: hosts, PathPrefixes: prefixes}
	}
	table := NewTable([]*apiv1.ServiceRecord{
		{Name: "site", Spec: spec([]string{"a.example"}, nil)},
		{Name: "snags", Spec: spec([]string{"a.example"}, []string{"/snags"})},
		{Name: "deep", Spec: spec([]string{"a.example"}, []string{"/snags/deep/"})},
		{Name: "anywhere", Spec: spec(nil, []string{"/any"})},
		{Name: "unrouted", Spec: spec(nil, nil)},
	}, nil, nil)
	cases := []struct{ host, path, named, want string }{
		{"a.example", "/", "", "site"},
		{"A.example:8080", "/x", "", "site"},
		{"a.example", "/snags", "", "snags"},
		{"a.example", "/snags/1", "", "snags"},
		{"a.example", "/snagsold", "", "site"},
		{"a.example", "/snags/deep/1", "", "deep"},
		{"b.example", "/any/1", "", "anywhere"},
		{"b.example", "/", "", ""},
		{"b.example", "/", "unrouted", "unrouted"},
		{"a.example", "/", "nobody", ""},
	}
	for _, c := range cases {
		r := httptest.NewRequest("GET", "http://"+c.host+c.path, nil)
		if c.named != "" {
			r.Header.Set(hop.ServiceHeader, c.named)
		}
		got, ok := table.Find(r)
		assert.Equal(t, ok, c.want != "", "%+v", c)
		if ok {
			assert.Equal(t, got.Service, c.want, "%+v", c)
		}
	}
}

// Requests whose length two servers could read differently are how one caller's
// request is smuggled into another's. They are refused before anything is sent.
func TestSmugglingShapesAreRefused(t *testing.T) {
	n := newFakeNode(t, answers("ok"))
	s := front(t, gate.RevokeUnknown, n)
	for _, shape := range []string{
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
		_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: pay.example\r\n" + shape + "\r\nhello"))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, shape)
		assert.Assert(t, resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotImplemented, "%q: %d", shape, resp.StatusCode)
		_ = resp.Body.Close()
		_ = conn.Close()
	}
	assert.Equal(t, n.hits.Load(), int64(0))
}

// A request with both a length and chunks is read by its chunks, and goes on
// with one framing of our own: what follows it is a request of the same caller.
func TestLengthBesideChunksIsReframed(t *testing.T) {
	var bodies []string
	n := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		text, _ := io.ReadAll(r.Body)
		bodies = append(bodies, string(text))
		answers("ok")(w, r, req)
	})
	s := front(t, gate.RevokeUnknown, n)
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

// A host drains under load. A request was moved there and back by gates that did
// not know yet, and is then refused by the leaving one. Moves do not use up the
// endpoints it may be sent to: it must find the one that is left.
func TestRequestMovedAboutStillFindsAnEndpoint(t *testing.T) {
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
	assert.Equal(t, text, "found")
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
