package e2e

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestServerThatLeavesByAnswerIsDrained guards against sending requests on to a server that
// announces its shutdown in its answers only, while its heartbeats still call it ready: through
// no node, and not after the restart of its own node either.
func TestServerThatLeavesByAnswerIsDrained(t *testing.T) {
	c := newCluster(t, 1).start()
	front, beside := c.addNode(""), c.addNode("")
	c.submit(estateText("leaving server", "pay"))
	c.addNode("pay")
	var leaving atomic.Bool
	var requests atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		if leaving.Load() {
			w.Header().Set("Cactus-Leaving", "1")
		}
	}))
	t.Cleanup(s.Close)
	sequence := 0
	announce := func() {
		sequence++
		announcement := fmt.Sprintf(`{"service": "pay", "address": %q, "slots": 8, "sequence": %d}`, s.Listener.Addr(), sequence)
		eventually(t, "the node accepts the server", func() bool { return beside.announceServer(announcement) })
	}
	announce()
	front.waitServing(t, "pay")
	counts, stop := press(t, front)
	defer stop()
	eventually(t, "the server gets requests", func() bool { return requests.Load() > 10 })
	leaving.Store(true)
	eventually(t, "the node drains", func() bool { return beside.serverStatus(t)["draining"] == true })
	announce()
	time.Sleep(100 * time.Millisecond)
	before := requests.Load()
	time.Sleep(time.Second)
	assert.Equal(t, requests.Load(), before, "requests after the announced shutdown")
	served := counts.served.Load()
	eventually(t, "the other server takes over", func() bool { return counts.served.Load() > served+10 })
	assert.Equal(t, counts.unanswered.Load(), int64(0))

	beside.kill()
	before = requests.Load()
	beside.restart(t)
	announce()
	time.Sleep(2 * time.Second)
	assert.Assert(t, requests.Load()-before <= 1, "%d requests after the restart of the node: more than the one that reveals the shutdown", requests.Load()-before)
}
