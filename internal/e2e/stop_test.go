package e2e

import (
	"errors"
	"fmt"
	"io"
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

// stopSite starts a node with the stop timeout and another one, with a backend server each. The
// timeout of requests is given too.
func stopSite(t *testing.T, service, stopTimeout, requestTimeout string) (leaving *nodeProcess) {
	c := newCluster(t, 1).start()
	leaving = c.addNodeWith(nodeOptions{dataCenter: "dc-a", service: service, stopTimeout: stopTimeout})
	c.addNode(service)
	c.submit(fmt.Sprintf(`{"institution": "trial", "services": {%q: {"hosts": ["%s.example"], "slots": 40, "timeout": %q}}}`, service, service, requestTimeout))
	leaving.waitServing(t, service)
	leaving.waitEndpoints(t, 2)
	return leaving
}

// Guards against a stopping node that accepts requests which it has no time left to finish. Its own
// backend server works on long requests, so that the stop takes almost the whole stop timeout, and
// callers keep sending requests that may run only once. None of them may be interrupted.
func TestPlannedStopInterruptsNoRequestThatItAcceptedLate(t *testing.T) {
	leaving := stopSite(t, "pay", "4s", "2s")
	var answered, refused, interrupted atomic.Int64
	var wait sync.WaitGroup
	send := func() {
		// Each request has a connection of its own, so that the connection tells what became of it.
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		req, err := http.NewRequest(http.MethodPost, "http://"+leaving.callers+"/?sleep=1500ms", strings.NewReader("x"))
		if err != nil {
			t.Error(err)
			return
		}
		req.Host = "pay.example"
		sent := time.Now()
		resp, err := client.Do(req)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
		case err != nil:
			t.Logf("request sent at %v interrupted after %v: %v", sent.Format(time.StampMilli), time.Since(sent), err)
			interrupted.Add(1)
		case resp.StatusCode == http.StatusOK:
			answered.Add(1)
		case resp.Header.Get(fault.Header) == string(fault.Stopping):
			assert.Check(t, resp.Header.Get("Retry-After") != "")
			refused.Add(1)
		default:
			t.Errorf("unexpected response: %d %s", resp.StatusCode, resp.Header.Get(fault.Header))
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	ended := false
	for i := 0; !ended; i++ {
		if i == 10 {
			leaving.signal(syscall.SIGTERM)
		}
		wait.Go(send)
		select {
		case <-leaving.done:
			ended = true
		case <-time.After(100 * time.Millisecond):
		}
	}
	wait.Wait()
	t.Logf("%d answered, %d refused", answered.Load(), refused.Load())
	assert.Equal(t, interrupted.Load(), int64(0))
	assert.Assert(t, answered.Load() > 0 && refused.Load() > 0)
	assert.Equal(t, leaving.cmd.ProcessState.ExitCode(), 0, leaving.log.String())
}
