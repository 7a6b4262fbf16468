package e2e

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// started is how many requests a node's gate has started.
func (n *nodeProc) started(t testing.TB) float64 {
	t.Helper()
	return number(n.vars(t), "gate_started")
}

// Guards against requests that reach an evacuated data centre: under load from both
// data centres, with a node that is killed and starts anew while the order is in force.
func TestEvacuatedDataCenterGetsNoRequests(t *testing.T) {
	c := newCluster(t, 3)
	c.watch = true
	c.start()
	kept, emptied := c.addNodeIn("dc-a", "hello"), c.addNodeIn("dc-b", "hello")
	frontA, frontB := c.addNodeIn("dc-a", ""), c.addNodeIn("dc-b", "")
	c.submit(estateText("hello", "hello"))
	for _, front := range []*nodeProc{frontA, frontB} {
		front.serves(t, "hello")
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var answered, failed atomic.Int64
	for _, front := range []*nodeProc{frontA, frontB} {
		for range 2 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
					}
					resp, _, err := front.request(http.MethodGet, "hello", "/", nil)
					if err != nil || resp.StatusCode != http.StatusOK {
						failed.Add(1)
						continue
					}
					answered.Add(1)
				}
			})
		}
	}
	eventually(t, "both data centres serve", func() bool { return kept.started(t) > 20 && emptied.started(t) > 20 })
	code, out := c.ctl("evacuate", "dc-b")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "in force on all nodes"), out)
	before := emptied.started(t)
	mark := answered.Load()
	eventually(t, "the other data centre serves all", func() bool { return answered.Load() > mark+100 })
	assert.Equal(t, emptied.started(t), before)
	code, out = c.ctl("status")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "evacuated since revision"), out)
	emptied.restart(t)
	eventually(t, "the node runs again", func() bool { return answers(emptied) })
	mark = answered.Load()
	eventually(t, "the other data centre still serves all", func() bool { return answered.Load() > mark+200 })
	assert.Equal(t, emptied.started(t), 0.0)
	code, out = c.ctl("unevacuate", "dc-b")
	assert.Equal(t, code, 0, out)
	eventually(t, "both data centres serve again", func() bool { return emptied.started(t) > 20 })
	close(stop)
	callers.Wait()
	assert.Equal(t, failed.Load(), int64(0), "of %d", answered.Load())
}

// Guards against callers that wait in vain when everything is evacuated: they hear at
// once that their request has not run, and when to come back.
func TestRequestIsRefusedAtOnceWhereEverythingIsEvacuated(t *testing.T) {
	c := newCluster(t, 1)
	c.watch = true
	c.start()
	c.addNodeIn("dc-a", "hello")
	front := c.addNodeIn("dc-b", "")
	c.submit(estateText("hello", "hello"))
	front.serves(t, "hello")
	code, out := c.ctl("evacuate", "dc-a")
	assert.Equal(t, code, 0, out)
	begun := time.Now()
	resp, body, err := front.request(http.MethodPost, "hello", "/", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(body, "evacuated"), body)
	assert.Assert(t, time.Since(begun) < time.Second)
	code, out = c.ctl("evacuate", "Not A Name")
	assert.Equal(t, code, 3, out)
	assert.Assert(t, strings.Contains(out, "no name of a data centre"), out)
}

// Guards against an evacuation that ends with the processes that knew of it: all are
// killed at once, and come back together.
func TestEvacuationHoldsAfterAllProcessesWereKilled(t *testing.T) {
	c := newCluster(t, 3)
	c.watch = true
	c.start()
	kept, emptied := c.addNodeIn("dc-a", "hello"), c.addNodeIn("dc-b", "hello")
	front := c.addNodeIn("dc-b", "")
	c.submit(estateText("hello", "hello"))
	front.serves(t, "hello")
	code, out := c.ctl("evacuate", "dc-b")
	assert.Equal(t, code, 0, out)
	all := append([]*proc{}, c.replicas...)
	for _, n := range c.nodes {
		all = append(all, n.proc)
	}
	for _, p := range all {
		p.kill()
	}
	for _, p := range all {
		p.start(t)
	}
	eventually(t, "the front runs again", func() bool { return answers(front) && answers(emptied) && answers(kept) })
	front.serves(t, "hello")
	for range 100 {
		resp, _, err := front.request(http.MethodGet, "hello", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, emptied.started(t), 0.0)
	assert.Assert(t, kept.started(t) > 0)
	code, out = c.ctl("status")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "evacuated since revision"), out)
}
