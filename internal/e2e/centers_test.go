package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests and changes that depend on single relays. A caller in one data centre
// uses a service whose only endpoint is in the other data centre. After the relays of the caller's
// data centre are killed, its requests must still be served and changes must still come into force.
func TestTwoDataCentersAndTheirRelays(t *testing.T) {
	c := newCluster(t, 1).start()
	for range 7 {
		c.addNodeIn("dc-a", "")
	}
	far := c.addNodeIn("dc-b", "deep")
	c.submit(estateText("two centres", "deep"))
	for _, n := range c.nodes {
		n.waitServing(t, "deep")
	}
	killed := 0
	for _, n := range c.nodes {
		if n != far && n.metrics(t)["directory_acts_as_relay"].(bool) {
			n.kill()
			killed++
		}
	}
	// A third relay may have been appointed if the first two were slow to start.
	assert.Assert(t, killed >= 2 && killed < 6, "%d relays of 7 nodes", killed)
	revision := c.submitOnly(t, estateText("after the relays", "deep", "more"))
	for _, n := range c.nodes {
		select {
		case <-n.done:
			continue
		default:
		}
		eventually(t, n.host+" has the latest revision", func() bool { return n.revision(t) == revision })
		n.waitServing(t, "deep")
	}
}

// Guards against a stalled backend server that delays requests which another server could handle.
// One of two servers stalls while all of its slots are in use. Requests that are queued at its gate
// or arrive there must be moved to the other server. Requests that already run at the stalled server
// are completed when it resumes. No request may be lost or executed twice.
func TestStalledBackendDoesNotDelayOtherRequests(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("")
	stalled := c.addBackend(one, "work")
	c.addNode("work")
	front := c.addNode("")
	c.submit(estateText("work", "work"))
	front.waitServing(t, "work")
	front.waitEndpoints(t, 2)
	stalled.freeze(t)
	const requests, slots = 16, 4
	var answered atomic.Int64
	var wait sync.WaitGroup
	for i := range requests {
		wait.Go(func() {
			resp, _, err := front.request(http.MethodPost, "work", fmt.Sprintf("/?id=s%d&sleep=1ms", i), strings.NewReader("x"))
			if err == nil && resp.StatusCode == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	eventually(t, "all requests outside the stalled slots are served", func() bool { return answered.Load() >= requests-slots })
	stalled.signal(syscall.SIGCONT)
	wait.Wait()
	assert.Equal(t, answered.Load(), int64(requests))
}
