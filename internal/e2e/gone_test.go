package e2e

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countingServer starts a backend server that counts its payments and announces it to the node.
func countingServer(t *testing.T, n *nodeProcess) *atomic.Int64 {
	t.Helper()
	var payments atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			payments.Add(1)
		}
	}))
	t.Cleanup(s.Close)
	announcement := fmt.Sprintf(`{"service": "pay", "address": %q, "slots": 500}`, s.Listener.Addr())
	eventually(t, "the node accepts the server", func() bool { return n.announceServer(announcement) })
	return &payments
}

// leavingCallers sends payments to the node, and returns a function that makes all callers
// disconnect.
func leavingCallers(t *testing.T, n *nodeProcess, callers int) (leave func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	client := &http.Client{Transport: &http.Transport{}}
	var waiting sync.WaitGroup
	for i := range callers {
		waiting.Go(func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%d", n.callers, i), strings.NewReader("payment"))
			if err != nil {
				return
			}
			req.Host = "pay.example"
			req.Header.Set("Cactus-Timeout-Ms", "60000")
			if resp, err := client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	return func() {
		cancel()
		waiting.Wait()
	}
}

const leaving = 100

// TestCallersThatLeaveWhileTheEndpointsNodeStandsStill guards against running requests that lay
// unread at the endpoint's node when their callers left.
func TestCallersThatLeaveWhileTheEndpointsNodeStandsStill(t *testing.T) {
	c := newCluster(t, 1).start()
	front, far := c.addNode(""), c.addNode("")
	c.submit(estateText("leaving callers", "pay"))
	payments := countingServer(t, far)
	front.waitServing(t, "pay")
	far.freeze(t)
	leave := leavingCallers(t, front, leaving)
	eventually(t, "all payments are on their way", func() bool { return metric(front.metrics(t), "calls_in_flight") == leaving })
	// A request is sent to the other node within microseconds of its arrival; nothing that could
	// be waited for tells that it was.
	time.Sleep(200 * time.Millisecond)
	leave()
	eventually(t, "the callers' node has noticed", func() bool { return metric(front.metrics(t), "calls_in_flight") == 0 })
	far.signal(syscall.SIGCONT)
	far.waitIdle(t)
	assert.Equal(t, payments.Load(), int64(0))
}

// TestCallersThatLeaveWhileTheirNodeStandsStill guards against sending on requests that lay
// unread at the callers' node when the callers left.
func TestCallersThatLeaveWhileTheirNodeStandsStill(t *testing.T) {
	c := newCluster(t, 1).start()
	front, far := c.addNode(""), c.addNode("")
	c.submit(estateText("leaving callers", "pay"))
	payments := countingServer(t, far)
	front.waitServing(t, "pay")
	front.freeze(t)
	leave := leavingCallers(t, front, leaving)
	// The kernel accepts the connections and takes the requests; the node notices nothing.
	time.Sleep(500 * time.Millisecond)
	leave()
	front.signal(syscall.SIGCONT)
	front.waitIdle(t)
	far.waitIdle(t)
	assert.Equal(t, payments.Load(), int64(0))
}

// waitIdle waits until the node has answered a request that was sent to it after all others,
// and has none in progress.
func (n *nodeProcess) waitIdle(t *testing.T) {
	t.Helper()
	n.waitServing(t, "pay")
	eventually(t, n.host+" has no request in progress", func() bool {
		m := n.metrics(t)
		load, _ := m["gate_load"].(map[string]any)
		return metric(m, "calls_in_flight") == 0 && (load == nil || metric(load, "Running") == 0 && metric(load, "Waiting") == 0)
	})
	time.Sleep(200 * time.Millisecond)
}
