package hop

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// getAll makes a number of requests at once, so that each has a connection of its own.
func getAll(t testing.TB, p *Pool, n int, arrived *sync.WaitGroup) {
	arrived.Add(n)
	var done sync.WaitGroup
	for range n {
		done.Go(func() {
			resp, err := p.Do(t.Context(), &Outgoing{Method: http.MethodGet, URI: "/", Host: "x", Header: http.Header{}, Deadline: far()})
			assert.Check(t, err)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	done.Wait()
}

// meeting is a server that answers once all requests that are expected are there.
func meeting(t testing.TB, arrived *sync.WaitGroup) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Done()
		arrived.Wait()
		fmt.Fprint(w, "there")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// A node called another one for a while and does so no more. Its connections there
// must go: of a fleet's nodes each would otherwise keep some to all others.
func TestUnusedConnectionsGoWithoutAnotherRequest(t *testing.T) {
	var arrived sync.WaitGroup
	p := NewPool(meeting(t, &arrived), nil)
	defer p.Close()
	p.keep = 100 * time.Millisecond
	getAll(t, p, 5, &arrived)
	unused := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle)
	}
	assert.Equal(t, unused(), 5)
	for until := time.Now().Add(5 * time.Second); unused() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d connections are kept", unused())
	}
	getAll(t, p, 2, &arrived)
	assert.Equal(t, unused(), 2)
}

// A connection that waits holds no buffers, and has empty ones when it is used again.
func TestWaitingConnectionsHaveNoBuffers(t *testing.T) {
	var arrived sync.WaitGroup
	p := NewPool(meeting(t, &arrived), nil)
	defer p.Close()
	for range 3 {
		getAll(t, p, 4, &arrived)
		for _, c := range p.idle {
			assert.Assert(t, c.reader == nil && c.writer == nil)
		}
	}
}

// BenchmarkWaitingConnection shows what a connection between nodes takes while it waits,
// both ends together, in bytes of heap and stacks.
func BenchmarkWaitingConnection(b *testing.B) {
	const connections = 500
	var arrived sync.WaitGroup
	p := NewPeerPool(meeting(b, &arrived), nil)
	defer p.Close()
	inUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := inUse()
	getAll(b, p, connections, &arrived)
	b.ReportMetric(float64(inUse()-before)/connections, "B/connection")
}
