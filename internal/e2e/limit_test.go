package e2e

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitedServer is a backend server that names a limit in its answers and records when its
// requests arrive.
type limitedServer struct {
	*httptest.Server
	// limit is the value of the field that names the limit; empty for none.
	limit atomic.Value
	// status is the status of the answers.
	status atomic.Int64

	mu       sync.Mutex
	arrivals []time.Time
}

func newLimitedServer(t *testing.T) *limitedServer {
	s := &limitedServer{}
	s.limit.Store("")
	s.status.Store(http.StatusOK)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		if limit := s.limit.Load().(string); limit != "" {
			w.Header().Set("Cactus-Rate-Limit", limit)
		}
		w.WriteHeader(int(s.status.Load()))
	}))
	t.Cleanup(s.Close)
	return s
}

// announceTo keeps the server announced at the node until the test ends.
func (s *limitedServer) announceTo(t *testing.T, n *nodeProcess, sequence int) {
	t.Helper()
	announcement := fmt.Sprintf(`{"service": "pay", "address": %q, "slots": 8, "sequence": %d}`, s.Listener.Addr(), sequence)
	eventually(t, "the node accepts the server", func() bool { return n.announceServer(announcement) })
}

// most returns the largest number of requests in any span of the given length that begins at
// since or later.
func (s *limitedServer) most(since time.Time, span time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.arrivals {
		for s.arrivals[first].Before(since) && first < i || at.Sub(s.arrivals[first]) >= span {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// press sends requests through the nodes until stop is called, and returns how they ended.
func press(t *testing.T, nodes ...*nodeProcess) (counts *requestCounts, stop func()) {
	t.Helper()
	counts = &requestCounts{}
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, n := range nodes {
		for range 10 {
			running.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for {
					select {
					case <-done:
						return
					case <-time.After(20 * time.Millisecond):
						counts.send(client, n)
					}
				}
			})
		}
	}
	return counts, func() {
		close(done)
		running.Wait()
	}
}

// TestServerGetsNoMoreThanItsNamedLimit guards against a server in need being sent more than
// the limit that it names, by all nodes together, in answers and errors, when the limit is
// lowered and after its node has restarted.
func TestServerGetsNoMoreThanItsNamedLimit(t *testing.T) {
	const span = 2 * time.Second
	allowed := func(limit float64) int { return int(1.5*limit*span.Seconds()) + 5 }
	c := newCluster(t, 1).start()
	first, second, beside := c.addNode(""), c.addNode(""), c.addNode("")
	c.submit(estateText("limited", "pay"))
	s := newLimitedServer(t)
	s.announceTo(t, beside, 1)
	first.waitServing(t, "pay")
	second.waitServing(t, "pay")
	_, stop := press(t, first, second)
	defer stop()
	for i, step := range []struct {
		limit   float64
		status  int
		restart bool
	}{{20, http.StatusOK, false}, {4, http.StatusInternalServerError, false}, {4, http.StatusOK, true}} {
		s.status.Store(int64(step.status))
		s.limit.Store(fmt.Sprint(step.limit))
		time.Sleep(time.Second)
		named := time.Now()
		if step.restart {
			beside.kill()
			beside.restart(t)
			s.announceTo(t, beside, i+10)
		}
		time.Sleep(2 * span)
		most := s.most(named, span)
		t.Logf("limit %v: at most %d in %v, allowed %d", step.limit, most, span, allowed(step.limit))
		assert.Check(t, most > 0, "the server got nothing")
		assert.Check(t, most <= allowed(step.limit))
	}
	s.limit.Store("")
	time.Sleep(2 * time.Second)
	withdrawn := time.Now()
	time.Sleep(span)
	assert.Check(t, s.most(withdrawn, span) > allowed(20), "the limit outlives its withdrawal")
}
