package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// throttleRunTime is the processor time of a throttled process in each throttlePeriod.
	throttleRunTime = 5 * time.Millisecond
	throttlePeriod  = 100 * time.Millisecond
	// callerTimeout is how long a caller waits for a response.
	callerTimeout = 500 * time.Millisecond
)

// throttle stops the process except for throttleRunTime in each throttlePeriod, as a
// processor quota does, until stop is closed. Beside other work it takes longer until the
// process has had this time; it gets no more than the rest of the period for it.
func (p *process) throttle(stop <-chan struct{}) {
	for {
		p.signal(syscall.SIGSTOP)
		select {
		case <-stop:
			p.signal(syscall.SIGCONT)
			return
		case <-time.After(throttlePeriod - throttleRunTime):
		}
		used, begin := p.processorTime(), time.Now()
		p.signal(syscall.SIGCONT)
		time.Sleep(throttleRunTime)
		for p.processorTime()-used < throttleRunTime && time.Since(begin) < throttlePeriod {
			time.Sleep(throttleRunTime / 5)
		}
	}
}

// processorTime returns the time for which the threads of the process have run.
func (p *process) processorTime() time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	total := time.Duration(0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			// The thread has ended.
			continue
		}
		var ran int64
		if _, err := fmt.Sscan(string(text), &ran); err == nil {
			total += time.Duration(ran)
		}
	}
	return total
}

// requestCounts counts requests by outcome.
type requestCounts struct{ served, refused, unanswered atomic.Int64 }

// call sends requests sequentially, each on a new connection, until stop is closed. After
// a refusal it waits for the time that the response gives.
func (c *requestCounts) call(n *nodeProcess, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		default:
		}
		time.Sleep(c.send(client, n))
	}
}

// send sends one request and returns the delay before the next one.
func (c *requestCounts) send(client *http.Client, n *nodeProcess) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.callers+"/", nil)
	if err != nil {
		return 0
	}
	req.Host = "pay.example"
	req.Header.Set("Cactus-Timeout-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		c.unanswered.Add(1)
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	switch {
	case err != nil:
		c.unanswered.Add(1)
	case resp.StatusCode == http.StatusOK:
		c.served.Add(1)
	default:
		c.refused.Add(1)
		if ms, err := strconv.Atoi(resp.Header.Get("Cactus-Retry-After-Ms")); err == nil {
			return min(time.Duration(ms)*time.Millisecond, callerTimeout)
		}
	}
	return 0
}

// TestCallersOfAThrottledNodeAreAnswered guards against a node that, when short of
// processor time, answers no caller before its timeout.
func TestCallersOfAThrottledNodeAreAnswered(t *testing.T) {
	const callers = 200
	c := newCluster(t, 1).start()
	n := c.addNodeWith(nodeOptions{dataCenter: "dc-a", service: "pay", env: singleProcessorEnv})
	c.submit(estateText("throttled", "pay"))
	n.waitServing(t, "pay")
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { n.throttle(stop) })
	var counts requestCounts
	for range callers {
		running.Go(func() { counts.call(n, stop) })
	}
	// Exclude requests from before the node has detected the overload.
	time.Sleep(3 * time.Second)
	counts.served.Store(0)
	counts.refused.Store(0)
	counts.unanswered.Store(0)
	time.Sleep(5 * time.Second)
	served, refused, unanswered := counts.served.Load(), counts.refused.Load(), counts.unanswered.Load()
	close(stop)
	running.Wait()
	t.Logf("served %d, refused %d, unanswered %d", served, refused, unanswered)
	assert.Assert(t, unanswered < (served+refused)/4, "too many requests unanswered")
	assert.Assert(t, served > 0, "no request served")
}
