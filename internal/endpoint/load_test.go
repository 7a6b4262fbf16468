package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// loadServer is a backend server that reports a configurable load and counts queries.
type loadServer struct {
	*httptest.Server
	// slowdown is the reported slowdown in percent; a negative one delays the report.
	slowdown atomic.Int64
	queries  atomic.Int64
}

func newLoadServer(t *testing.T) *loadServer {
	s := &loadServer{}
	s.slowdown.Store(100)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			s.queries.Add(1)
			if s.slowdown.Load() < 0 {
				time.Sleep(4 * maxLoadWait)
			}
		}
		w.Header().Set("X-Load", strconv.FormatInt(s.slowdown.Load(), 10))
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	return s
}

func newLoadEndpoint(t *testing.T, s *loadServer) *Endpoint {
	dialect := &hop.Dialect{Load: "X-Load", ParseLoad: func(value string) (hop.ServerLoad, bool) {
		percent, err := strconv.ParseFloat(value, 64)
		return hop.ServerLoad{Slowdown: percent / 100}, err == nil
	}}
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters(), Dialect: dialect}, gate.Config{Slots: 8, Queue: 8, Siblings: true})
	t.Cleanup(e.Close)
	e.SetHealthPath("/health")
	e.SetBackend(s.Listener.Addr().String())
	e.SetSiblings([]gate.Sibling{{Host: "fast", Distance: time.Millisecond}})
	eventually(t, "the load is known", func() bool { return e.loadReportedAt.Load() > 0 })
	return e
}

// Guards against requests that reach a server which is shutting down: its node has just started, a
// delayed heartbeat says that the server is ready, and the health response that says otherwise takes
// longer than the load of a known server is waited for.
func TestFirstRequestWaitsForTheFirstHealthResponse(t *testing.T) {
	testFirstRequest(t, 0)
}

// Guards against the same at a node that has no configuration yet, and so does not know the path of the
// health query.
func TestFirstRequestWaitsForTheHealthPath(t *testing.T) {
	testFirstRequest(t, 300*time.Millisecond)
}

// testFirstRequest sends requests to an endpoint whose server leaves, and whose health path is known
// after a while.
func testFirstRequest(t *testing.T, configuredAfter time.Duration) {
	t.Helper()
	var reached atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			time.Sleep(4 * maxLoadWait)
		} else {
			reached.Add(1)
		}
		w.Header().Set(hop.LeavingHeader, hop.LeavingValue)
	}))
	t.Cleanup(s.Close)
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters(), Dialect: &hop.Dialect{Load: "X-Load"}}, gate.Config{Slots: 8, Queue: 8})
	t.Cleanup(e.Close)
	var wait sync.WaitGroup
	configure := func() { e.SetHealthPath("/health") }
	if configuredAfter == 0 {
		configure()
	} else {
		wait.Go(func() {
			time.Sleep(configuredAfter)
			configure()
		})
	}
	e.ReplaceServer("i-1", s.Listener.Addr().String())
	for range 4 {
		wait.Go(func() { assert.Check(t, attempt(e) != hop.Ran) })
	}
	wait.Wait()
	assert.Equal(t, reached.Load(), int64(0))
}

var attempts atomic.Uint64

// attempt sends a request with an aim of 300 ms, for which the gate assumes 100 ms of work,
// and returns the verdict.
func attempt(e *Endpoint) hop.Verdict {
	id := gate.AttemptID{Request: [2]uint64{7, attempts.Add(1)}, Attempt: 1}
	resp, reply := e.Attempt(context.Background(), hop.Request{ID: id, Incarnation: 1, Timeout: 5 * time.Second, Movable: true, Class: "read", Aim: 300 * time.Millisecond, AimLeft: 300 * time.Millisecond},
		&hop.Outgoing{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second)}, nil)
	if resp != nil {
		_ = resp.Body.Close()
	}
	return reply.Verdict
}

// Another workload slows down the server's host just before a request arrives. If the gate
// relied on the load report from before that, it would start the request, which would run
// slowly until the caller's timeout. The gate must query the load first and move the request
// to a sibling.
func TestServerIsAskedBeforeRequestStarts(t *testing.T) {
	s := newLoadServer(t)
	e := newLoadEndpoint(t, s)
	assert.Equal(t, attempt(e), hop.Ran)
	for range 5 {
		e.ReceiveReport(gate.Report{Host: "fast", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()), Load: gate.Load{Slots: 8, Service: 100 * time.Millisecond, Slowdown: 1}})
		s.slowdown.Store(100)
		// A report that is younger than maxLoadAge is relied on, and a periodic query may have
		// brought one just now.
		eventually(t, "the server is known to be fast, by a report that must not be relied on", func() bool { return e.speed().Slowdown == 1 && e.loadAge() >= maxLoadAge })
		s.slowdown.Store(700)
		assert.Equal(t, attempt(e), hop.Moved)
	}
}

func (e *Endpoint) speed() gate.Speed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.Speed(e.now())
}

// Ten requests arrive at the same time. One load query must serve them all: more would use up
// the server's limited connections.
func TestOneLoadQueryServesAllWaitingRequests(t *testing.T) {
	s := newLoadServer(t)
	e := newLoadEndpoint(t, s)
	s.slowdown.Store(-1)
	time.Sleep(maxLoadAge)
	before := s.queries.Load()
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() { e.refreshLoad(context.Background()) })
	}
	group.Wait()
	assert.Assert(t, s.queries.Load()-before <= 2, "%d load queries", s.queries.Load()-before)
}

// A server does not respond to load queries but still serves requests. The first request
// waits for the load report until a short timeout. Later requests must not wait at all until
// the server reports its load again.
func TestUnresponsiveServerHoldsUpNobodyTwice(t *testing.T) {
	s := newLoadServer(t)
	e := newLoadEndpoint(t, s)
	s.slowdown.Store(-1)
	time.Sleep(maxLoadAge)
	e.refreshLoad(context.Background())
	assert.Assert(t, e.loadOverdue.Load())
	startedAt := time.Now()
	for range 20 {
		e.refreshLoad(context.Background())
	}
	assert.Assert(t, time.Since(startedAt) < maxLoadWait, "%v", time.Since(startedAt))
	s.slowdown.Store(100)
	eventually(t, "the load is queried again", func() bool { return !e.loadOverdue.Load() })
}

// Guards against health checks that cost an idle backend server and its node more than the
// requests, and against asking a busy or a cold one too seldom.
func TestIdleServerIsAskedLessOften(t *testing.T) {
	e := New(Options{Host: "a", Counters: NewCounters(), SendReport: func(string, gate.Report) {}, Incarnation: func() uint64 { return 1 }}, gate.Config{Slots: 16, Queue: 16})
	t.Cleanup(e.Close)
	arrive := func(n int) {
		e.runGate(func(now time.Duration) (events []gate.Event) {
			for range n {
				e.lastHandle++
				events = append(events, e.gate.Arrive(now, gate.Request{Handle: e.lastHandle, ID: gate.AttemptID{Request: [2]uint64{1, uint64(e.lastHandle)}}, Deadline: now + time.Second})...)
			}
			return events
		})
	}
	assert.Equal(t, e.loadQueryPace(), idleLoadQueryInterval)
	arrive(1)
	assert.Equal(t, e.loadQueryPace(), idleLoadQueryInterval)
	arrive(4 * busyArrivals)
	assert.Equal(t, e.loadQueryPace(), loadQueryInterval)

	cold := New(Options{Host: "b", Counters: NewCounters(), SendReport: func(string, gate.Report) {}, Incarnation: func() uint64 { return 1 }}, gate.Config{Slots: 16, Queue: 16})
	t.Cleanup(cold.Close)
	cold.coldReportedAt.Store(1)
	assert.Equal(t, cold.loadQueryPace(), loadQueryInterval)
}
