package hop

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// getConcurrently sends n concurrent requests, so that each uses its own connection.
func getConcurrently(t testing.TB, p *Pool, n int, arrived *sync.WaitGroup) {
	arrived.Add(n)
	var done sync.WaitGroup
	for range n {
		done.Go(func() {
			resp, err := p.Do(t.Context(), &Outgoing{Method: http.MethodGet, URI: "/", Host: "x", Header: http.Header{}, Deadline: farDeadline()})
			assert.Check(t, err)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	done.Wait()
}

// barrierServer starts a server that responds once all expected requests have arrived.
func barrierServer(t testing.TB, arrived *sync.WaitGroup) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived.Done()
		arrived.Wait()
		fmt.Fprint(w, "there")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Idle connections must be closed even if the pool is not used again. Otherwise each node of
// a large fleet would keep connections to all others that it once called.
func TestIdleConnectionsAreClosedAfterTimeout(t *testing.T) {
	var arrived sync.WaitGroup
	p := NewPool(barrierServer(t, &arrived), nil)
	defer p.Close()
	p.maxIdleTime = 100 * time.Millisecond
	getConcurrently(t, p, 5, &arrived)
	idleCount := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle)
	}
	assert.Equal(t, idleCount(), 5)
	for until := time.Now().Add(5 * time.Second); idleCount() > 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d idle connections were not closed", idleCount())
	}
	getConcurrently(t, p, 2, &arrived)
	assert.Equal(t, idleCount(), 2)
}

// Guards against idle connections to many hosts that take the descriptors of a process: all pools
// together keep a limited number.
func TestIdleConnectionsOfAllPoolsAreLimited(t *testing.T) {
	before := idleConns.Load()
	LimitIdle(int(before) + 6)
	defer LimitIdle(math.MaxInt)
	var arrived sync.WaitGroup
	kept := 0
	for range 3 {
		p := NewPool(barrierServer(t, &arrived), nil)
		defer p.Close()
		getConcurrently(t, p, 4, &arrived)
		kept += len(p.idle)
	}
	assert.Equal(t, kept, 6)
	assert.Equal(t, idleConns.Load(), before+6)
}

// An idle connection must hold no buffers, and get empty ones when it is reused.
func TestIdleConnectionsHaveNoBuffers(t *testing.T) {
	var arrived sync.WaitGroup
	p := NewPool(barrierServer(t, &arrived), nil)
	defer p.Close()
	for range 3 {
		getConcurrently(t, p, 4, &arrived)
		for _, c := range p.idle {
			assert.Assert(t, c.reader == nil && c.writer == nil)
		}
	}
}

// BenchmarkIdleConnection measures the memory of an idle connection between nodes, both ends
// together, in bytes of heap and stacks.
func BenchmarkIdleConnection(b *testing.B) {
	const connections = 500
	var arrived sync.WaitGroup
	p := NewPeerPool(barrierServer(b, &arrived), nil)
	defer p.Close()
	inUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := inUse()
	getConcurrently(b, p, connections, &arrived)
	b.ReportMetric(float64(inUse()-before)/connections, "B/connection")
}
