package e2e

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
)

// Planned stops while callers keep sending requests until the process has ended.

const (
	shortStop = "4s"
	// requestTimeout is the timeout of the requests, and longWork the time that they take.
	requestTimeout = "2s"
	longWork       = "1500ms"
)

// stopSite starts nodes with shortStop and a backend server each.
func stopSite(t *testing.T, nodes int) *cluster {
	c := newCluster(t, 1).start()
	for range nodes {
		c.addNodeWith(nodeOptions{dataCenter: "dc-a", service: "pay", stopTimeout: shortStop})
	}
	c.submit(fmt.Sprintf(`{"institution": "trial", "services": {"pay": {"hosts": ["pay.example"], "slots": 40, "timeout": %q}}}`, requestTimeout))
	for _, n := range c.nodes {
		n.waitServing(t, "pay")
		n.waitEndpoints(t, nodes)
	}
	return c
}

// stopCounts counts what became of requests that may run only once. Refused ones were refused by a
// stopping node, notServed are all others that ended with an error response.
type stopCounts struct{ answered, refused, notServed, interrupted atomic.Int64 }

// send sends a request on a connection of its own, so that the connection tells what became of it.
func (s *stopCounts) send(t *testing.T, n *nodeProcess) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/?sleep="+longWork, strings.NewReader("x"))
	if err != nil {
		t.Error(err)
		return
	}
	req.Host = "pay.example"
	sent := time.Now()
	resp, err := client.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	if err != nil {
		t.Logf("request sent to %s at %v interrupted after %v: %v", n.host, sent.Format(time.StampMilli), time.Since(sent), err)
		s.interrupted.Add(1)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	switch {
	case resp.StatusCode == http.StatusOK:
		s.answered.Add(1)
	case resp.Header.Get(fault.Header) == string(fault.Stopping):
		assert.Check(t, resp.Header.Get("Retry-After") != "")
		s.refused.Add(1)
	default:
		s.notServed.Add(1)
	}
}

// stopUnderLoad sends requests to the nodes until all of them have ended. It stops them once the
// first requests are in progress, after calling before.
func stopUnderLoad(t *testing.T, before func(), nodes ...*nodeProcess) *stopCounts {
	counts := &stopCounts{}
	var wait sync.WaitGroup
	for _, n := range nodes {
		wait.Go(func() {
			for ended := false; !ended; {
				wait.Go(func() { counts.send(t, n) })
				select {
				case <-n.done:
					ended = true
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(time.Second)
	before()
	for _, n := range nodes {
		n.signal(syscall.SIGTERM)
	}
	wait.Wait()
	t.Logf("%d answered, %d refused, %d not served", counts.answered.Load(), counts.refused.Load(), counts.notServed.Load())
	for _, n := range nodes {
		assert.Check(t, n.cmd.ProcessState.ExitCode() == 0, n.log.String())
	}
	return counts
}

// Guards against a stopping node that accepts requests which it has no time left to finish. Its own
// backend server works on long requests, so that the stop takes almost the whole stop timeout, and
// callers keep sending requests that may run only once. None of them may be interrupted.
func TestPlannedStopInterruptsNoRequestThatItAcceptedLate(t *testing.T) {
	c := stopSite(t, 2)
	counts := stopUnderLoad(t, func() {}, c.nodes[0])
	assert.Equal(t, counts.interrupted.Load(), int64(0))
	assert.Equal(t, counts.notServed.Load(), int64(0))
	assert.Assert(t, counts.answered.Load() > 0 && counts.refused.Load() > 0)
}

// Guards against interrupted requests when all nodes of a service are stopped at the same time, so
// that no gate is left to which requests could go.
func TestPlannedStopOfAllNodesAtOnceInterruptsNoRequest(t *testing.T) {
	c := stopSite(t, 3)
	counts := stopUnderLoad(t, func() {}, c.nodes...)
	assert.Equal(t, counts.interrupted.Load(), int64(0))
	assert.Assert(t, counts.answered.Load() > 0)
}

// Guards against interrupted requests when the backend server of the stopping node hangs with
// requests that never end: callers get a response to these by their deadlines, and the others must
// not be affected.
func TestPlannedStopBesideAServerThatHangs(t *testing.T) {
	c := newCluster(t, 1).start()
	leaving := c.addNodeWith(nodeOptions{dataCenter: "dc-a", stopTimeout: shortStop})
	server := c.addBackend(leaving, "pay")
	c.addNode("pay")
	c.submit(fmt.Sprintf(`{"institution": "trial", "services": {"pay": {"hosts": ["pay.example"], "slots": 40, "timeout": %q}}}`, requestTimeout))
	leaving.waitServing(t, "pay")
	leaving.waitEndpoints(t, 2)
	counts := stopUnderLoad(t, func() { server.freeze(t) }, leaving)
	assert.Equal(t, counts.interrupted.Load(), int64(0))
	assert.Assert(t, counts.answered.Load() > 0 && counts.notServed.Load() > 0)
}

// Guards against a planned stop that waits for connections on which no request has arrived, and that
// reports requests as cut.
func TestPlannedStopDoesNotWaitForConnectionsWithoutRequests(t *testing.T) {
	c := newCluster(t, 1).start()
	n := c.addNodeWith(nodeOptions{dataCenter: "dc-a", stopTimeout: shortStop})
	eventually(t, "the node runs", func() bool { return adminResponds(n) })
	for _, address := range []string{n.callers, n.peer, n.admin} {
		stop := make(chan struct{})
		var dialers sync.WaitGroup
		dialers.Go(func() {
			for {
				conn, err := net.Dial("tcp", address)
				if err == nil {
					defer conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
		time.Sleep(500 * time.Millisecond)
		n.signal(syscall.SIGTERM)
		<-n.done
		close(stop)
		dialers.Wait()
		assert.Check(t, n.cmd.ProcessState.ExitCode() == 0, "connections to %s: %s", address, n.log)
		n.start(t)
		eventually(t, "the node runs", func() bool { return adminResponds(n) })
	}
}
