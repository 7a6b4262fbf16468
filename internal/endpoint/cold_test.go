package endpoint

import (
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

const coldLimit = 10

// coldServer is a backend server whose health responses contain the remaining duration of its
// cold start. It records when requests arrive.
type coldServer struct {
	*httptest.Server
	coldUntil atomic.Int64

	mu       sync.Mutex
	requests []time.Time
}

func newColdServer(t *testing.T) *coldServer {
	s := &coldServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "100")
		if r.URL.Path == "/health" {
			left := max(0, time.Until(time.UnixMilli(s.coldUntil.Load())))
			w.Header().Set("X-Cold", strconv.FormatInt(left.Milliseconds(), 10))
		} else {
			s.mu.Lock()
			s.requests = append(s.requests, time.Now())
			s.mu.Unlock()
		}
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	return s
}

// between lists the requests that arrived within a time span.
func (s *coldServer) between(from, to time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []time.Time
	for _, at := range s.requests {
		if at.After(from) && at.Before(to) {
			list = append(list, at)
		}
	}
	return list
}

// Guards against overloading a busy server that becomes cold between two heartbeats. Only its
// health responses show this, not its responses to requests, so the health path must be
// polled in between.
func TestServerThatTurnsColdUnderLoadStaysWithinLimit(t *testing.T) {
	s := newColdServer(t)
	dialect := &hop.Dialect{Load: "X-Load", ParseLoad: func(string) (hop.ServerLoad, bool) { return hop.ServerLoad{Slowdown: 1}, true },
		Cold: "X-Cold", ParseCold: func(v string) (time.Duration, bool) {
			ms, err := strconv.Atoi(v)
			return time.Duration(ms) * time.Millisecond, err == nil
		}}
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters(), Dialect: dialect}, gate.Config{Slots: 4, Queue: 8, SlowStart: 2 * time.Second, ColdStarts: coldLimit})
	t.Cleanup(e.Close)
	e.SetHealthPath("/health")
	e.SetBackend(s.Listener.Addr().String())
	eventually(t, "the server reported whether it is cold", func() bool { return e.coldReportedAt.Load() > 0 })
	const pause, coldFor = 40 * time.Millisecond, 1500 * time.Millisecond
	// Offsets the truncation of both the deadline and the remaining time to whole
	// milliseconds.
	const truncationMargin = 2 * time.Millisecond
	var callers sync.WaitGroup
	var from time.Time
	for begun := time.Now(); time.Since(begun) < 3*time.Second; time.Sleep(pause) {
		if from.IsZero() && time.Since(begun) > time.Second {
			from = time.Now()
			s.coldUntil.Store(from.Add(coldFor + truncationMargin).UnixMilli())
		}
		callers.Go(func() { attempt(e) })
	}
	callers.Wait()
	known, until := from.Add(coldQueryInterval+loadQueryInterval+pause), from.Add(coldFor)
	cold := s.between(known, until)
	for _, first := range cold {
		within := s.between(first.Add(-1), earlier(first.Add(time.Second), until))
		assert.Assert(t, len(within) <= coldLimit, "%d requests in a second", len(within))
	}
	assert.Assert(t, len(s.between(from.Add(-time.Second), from)) > 2*coldLimit, "the server must be busy before it turns cold")
	assert.Assert(t, len(cold) > 0, "the cold server must get some requests")
	assert.Assert(t, len(s.between(until, until.Add(500*time.Millisecond))) > coldLimit, "the warm server must get all requests again")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
