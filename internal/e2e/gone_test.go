package e2e

import (
	"context"
	"fmt"
	"net"
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
// A payment takes until release is closed, if that is not nil.
func countingServer(t *testing.T, n *nodeProcess, slots int, release <-chan struct{}) *atomic.Int64 {
	t.Helper()
	var payments atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			payments.Add(1)
			if release != nil {
				<-release
			}
		}
	}))
	t.Cleanup(s.Close)
	announcement := fmt.Sprintf(`{"service": "pay", "address": %q, "slots": %d}`, s.Listener.Addr(), slots)
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
	payments := countingServer(t, far, 500, nil)
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
	payments := countingServer(t, far, 500, nil)
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

// TestUploadsWhoseCallersLeaveWhileTheyWaitAreNotSent guards against running an upload whose
// caller has sent all of it and left while it waited for a slot. The callers' node does not read
// the connection meanwhile, since the body is requested only once the upload may run.
func TestUploadsWhoseCallersLeaveWhileTheyWaitAreNotSent(t *testing.T) {
	// uploadBytes is more than a node holds in memory, and little enough for the kernel to take
	// in before the node reads it.
	const uploads, uploadBytes = 5, 100_000
	c := newCluster(t, 1).start()
	front, far := c.addNode(""), c.addNode("")
	c.submit(estateText("leaving uploads", "pay"))
	release := make(chan struct{})
	endPayments := sync.OnceFunc(func() { close(release) })
	payments := countingServer(t, far, 1, release)
	t.Cleanup(endPayments)
	front.waitServing(t, "pay")
	leave := leavingCallers(t, front, 1)
	eventually(t, "the slot is in use", func() bool { return payments.Load() == 1 })
	for i := range uploads {
		conn, err := net.Dial("tcp", front.callers)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "POST /upload HTTP/1.1\r\nHost: pay.example\r\nCactus-Timeout-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", uploadBytes, strings.Repeat("x", uploadBytes))
		assert.NilError(t, err)
		eventually(t, "the upload waits", func() bool {
			load, _ := far.metrics(t)["gate_load"].(map[string]any)
			return load != nil && metric(load, "Waiting") == float64(i+1)
		})
		assert.NilError(t, conn.Close())
	}
	eventually(t, "the callers' node has noticed", func() bool { return metric(front.metrics(t), "calls_in_flight") == 1 })
	endPayments()
	leave()
	far.waitIdle(t)
	assert.Equal(t, payments.Load(), int64(1))
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
