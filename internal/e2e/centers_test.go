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

// Two data centres, as processes. A caller in one reaches a service that has its
// only endpoint in the other; the relays of that data centre are then killed,
// and the caller must still be answered and changes come into force.
func TestTwoDataCentersAndTheirRelays(t *testing.T) {
	c := newCluster(t, 1).start()
	for range 7 {
		c.addNodeIn("dc-a", "")
	}
	far := c.addNodeIn("dc-b", "deep")
	c.submit(estateText("two centres", "deep"))
	for _, n := range c.nodes {
		n.serves(t, "deep")
	}
	killed := 0
	for _, n := range c.nodes {
		if n != far && n.vars(t)["directory_acts_as_relay"].(bool) {
			n.kill()
			killed++
		}
	}
	// A third relay may have been made while the first two were slow to start.
	assert.Assert(t, killed >= 2 && killed < 6, "%d relays of 7 nodes", killed)
	revision := c.submitOnly(t, estateText("after the relays", "deep", "more"))
	for _, n := range c.nodes {
		select {
		case <-n.done:
			continue
		default:
		}
		eventually(t, n.host+" holds the newest", func() bool { return n.revision(t) == revision })
		n.serves(t, "deep")
	}
}

// A backend server stalls with every slot taken. Requests that its gate holds
// or gets must go to the sibling while it is stalled; those inside it are
// answered once it goes on. None is lost and none runs twice.
func TestStalledBackendHoldsUpNobodyElse(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("")
	stalled := c.addBackend(one, "work")
	c.addNode("work")
	front := c.addNode("")
	c.submit(estateText("work", "work"))
	front.serves(t, "work")
	front.knows(t, 2)
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
	eventually(t, "all but the stalled slots are answered", func() bool { return answered.Load() >= requests-slots })
	stalled.signal(syscall.SIGCONT)
	wait.Wait()
	assert.Equal(t, answered.Load(), int64(requests))
}
