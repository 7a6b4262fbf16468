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

// toldServer is a backend server whose figure a test sets, and that counts questions.
type toldServer struct {
	*httptest.Server
	// slowdown is the figure in percent; a negative one is not told for a while.
	slowdown  atomic.Int64
	questions atomic.Int64
}

func newToldServer(t *testing.T) *toldServer {
	s := &toldServer{}
	s.slowdown.Store(100)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			s.questions.Add(1)
			if s.slowdown.Load() < 0 {
				time.Sleep(4 * mostAsking)
			}
		}
		w.Header().Set("X-Load", strconv.FormatInt(s.slowdown.Load(), 10))
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	return s
}

func toldEndpoint(t *testing.T, s *toldServer) *Endpoint {
	dialect := &hop.Dialect{Load: "X-Load", ParseLoad: func(value string) (hop.ServerLoad, bool) {
		percent, err := strconv.ParseFloat(value, 64)
		return hop.ServerLoad{Slowdown: percent / 100}, err == nil
	}}
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, Heard: func(uint64) {}, Send: func(string, gate.Report) {},
		Counters: NewCounters(), Dialect: dialect}, gate.Config{Slots: 8, Queue: 8, Siblings: true})
	t.Cleanup(e.Close)
	e.SetHealthPath("/health")
	e.SetBackend(s.Listener.Addr().String())
	e.SetSiblings([]gate.Sibling{{Host: "fast", Distance: time.Millisecond}})
	eventually(t, "the load is known", func() bool { return e.observed.Load() > 0 })
	return e
}

var attempts atomic.Uint64

// attempt sends a request of 100 ms by its aim and tells the gate's verdict.
func attempt(e *Endpoint) hop.Verdict {
	id := gate.AttemptID{Request: [2]uint64{7, attempts.Add(1)}, Attempt: 1}
	resp, reply := e.Attempt(context.Background(), hop.Request{ID: id, Incarnation: 1, Timeout: 5 * time.Second, Movable: true, Class: "read", Aim: 300 * time.Millisecond, AimLeft: 300 * time.Millisecond},
		&hop.Outgoing{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second)}, nil)
	if resp != nil {
		_ = resp.Body.Close()
	}
	return reply.Verdict
}

// The server's host is taken by a neighbour, and a request comes before the server was
// asked again. Decided on the figure of a moment ago it would start, and keep that pace
// to its caller's timeout; the gate asks first, and a sibling gets it.
func TestServerIsAskedBeforeARequestStarts(t *testing.T) {
	s := newToldServer(t)
	e := toldEndpoint(t, s)
	assert.Equal(t, attempt(e), hop.Ran)
	for range 5 {
		e.Learn(gate.Report{Host: "fast", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()), Load: gate.Load{Slots: 8, Service: 100 * time.Millisecond, Slowdown: 1}})
		s.slowdown.Store(100)
		eventually(t, "the server is known to be fast", func() bool { return e.speed().Slowdown == 1 })
		time.Sleep(freshFigure)
		s.slowdown.Store(700)
		assert.Equal(t, attempt(e), hop.Moved)
	}
}

func (e *Endpoint) speed() gate.Speed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.Speed(e.now())
}

// Ten requests come at the same moment. One question serves them all: more would take
// connections of the server, which count.
func TestOneQuestionServesAllThatWait(t *testing.T) {
	s := newToldServer(t)
	e := toldEndpoint(t, s)
	s.slowdown.Store(-1)
	time.Sleep(freshFigure)
	before := s.questions.Load()
	var group sync.WaitGroup
	for range 10 {
		group.Go(func() { e.refreshFigure(context.Background()) })
	}
	group.Wait()
	assert.Assert(t, s.questions.Load()-before <= 2, "%d questions", s.questions.Load()-before)
}

// The server's question hangs while requests are served. The first request waits for a
// short while, the next ones not at all, until the server tells its load again.
func TestServerThatDoesNotTellHoldsUpNobodyTwice(t *testing.T) {
	s := newToldServer(t)
	e := toldEndpoint(t, s)
	s.slowdown.Store(-1)
	time.Sleep(freshFigure)
	e.refreshFigure(context.Background())
	assert.Assert(t, e.mute.Load())
	began := time.Now()
	for range 20 {
		e.refreshFigure(context.Background())
	}
	assert.Assert(t, time.Since(began) < mostAsking, "%v", time.Since(began))
	s.slowdown.Store(100)
	eventually(t, "it is asked again", func() bool { return !e.mute.Load() })
}
