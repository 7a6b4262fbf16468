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

// gateStarted returns the number of requests that the node's gate has passed to its backend server.
func (n *nodeProcess) gateStarted(t testing.TB) float64 {
	t.Helper()
	return metric(n.metrics(t), "gate_started")
}

// Guards against requests that reach an evacuated data centre, under load from both data centres
// and with a node that is killed and restarted during the evacuation.
func TestEvacuatedDataCenterGetsNoRequests(t *testing.T) {
	c := newCluster(t, 3)
	c.watchControl = true
	c.start()
	remaining, evacuated := c.addNodeIn("dc-a", "hello"), c.addNodeIn("dc-b", "hello")
	frontA, frontB := c.addNodeIn("dc-a", ""), c.addNodeIn("dc-b", "")
	c.submit(estateText("hello", "hello"))
	for _, front := range []*nodeProcess{frontA, frontB} {
		front.waitServing(t, "hello")
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var answered, failed atomic.Int64
	for _, front := range []*nodeProcess{frontA, frontB} {
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
	eventually(t, "both data centres serve", func() bool { return remaining.gateStarted(t) > 20 && evacuated.gateStarted(t) > 20 })
	code, out := c.ctl("evacuate", "dc-b")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "in force on all nodes"), out)
	before := evacuated.gateStarted(t)
	previous := answered.Load()
	eventually(t, "the other data centre serves all requests", func() bool { return answered.Load() > previous+100 })
	assert.Equal(t, evacuated.gateStarted(t), before)
	code, out = c.ctl("status")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "evacuated since revision"), out)
	evacuated.restart(t)
	eventually(t, "the node is running again", func() bool { return adminResponds(evacuated) })
	previous = answered.Load()
	eventually(t, "the other data centre still serves all requests", func() bool { return answered.Load() > previous+200 })
	assert.Equal(t, evacuated.gateStarted(t), 0.0)
	code, out = c.ctl("unevacuate", "dc-b")
	assert.Equal(t, code, 0, out)
	eventually(t, "both data centres serve again", func() bool { return evacuated.gateStarted(t) > 20 })
	close(stop)
	callers.Wait()
	assert.Equal(t, failed.Load(), int64(0), "of %d", answered.Load())
}

// Guards against callers that wait for a timeout if all data centres with the service are
// evacuated. The node must respond immediately that the request was not executed and when to retry.
func TestRequestIsRefusedAtOnceWhereEverythingIsEvacuated(t *testing.T) {
	c := newCluster(t, 1)
	c.watchControl = true
	c.start()
	c.addNodeIn("dc-a", "hello")
	front := c.addNodeIn("dc-b", "")
	c.submit(estateText("hello", "hello"))
	front.waitServing(t, "hello")
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

// Guards against an evacuation that is lost when all processes are killed at once and restarted
// together.
func TestEvacuationHoldsAfterAllProcessesWereKilled(t *testing.T) {
	c := newCluster(t, 3)
	c.watchControl = true
	c.start()
	remaining, evacuated := c.addNodeIn("dc-a", "hello"), c.addNodeIn("dc-b", "hello")
	front := c.addNodeIn("dc-b", "")
	c.submit(estateText("hello", "hello"))
	front.waitServing(t, "hello")
	code, out := c.ctl("evacuate", "dc-b")
	assert.Equal(t, code, 0, out)
	all := append([]*process{}, c.replicas...)
	for _, n := range c.nodes {
		all = append(all, n.process)
	}
	for _, p := range all {
		p.kill()
	}
	for _, p := range all {
		p.start(t)
	}
	eventually(t, "the nodes are running again", func() bool { return adminResponds(front) && adminResponds(evacuated) && adminResponds(remaining) })
	front.waitServing(t, "hello")
	for range 100 {
		resp, _, err := front.request(http.MethodGet, "hello", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, evacuated.gateStarted(t), 0.0)
	assert.Assert(t, remaining.gateStarted(t) > 0)
	code, out = c.ctl("status")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "evacuated since revision"), out)
}
