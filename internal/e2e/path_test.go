package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
	"cactuspath/internal/hop"
)

// Tests a request through two nodes to a backend server with all components as separate processes:
// one control replica, four nodes, three backend servers and cactusctl.
func TestWholePathAsSeparateProcesses(t *testing.T) {
	c := newCluster(t, 1).start()
	for range 3 {
		c.addNode("hello")
	}
	front := c.addNode("")
	code, out := c.ctl("submit", "--wait", "--base", "0", c.estateFile("estate.jsonc", estateText("first", "hello")))
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "accepted at revision 1"), out)
	for _, n := range c.nodes {
		n.waitServing(t, "hello")
	}
	resp, body, err := front.request(http.MethodGet, "hello", "/greeting?x=1", nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "hello GET /greeting?x=1\n")
	eventually(t, "the status reports the revision in force on all nodes", func() bool {
		_, out := c.ctl("status")
		return strings.Contains(out, "revision 1: in force on 4 of 4 nodes")
	})
}

// Guards against a payment that is executed twice because its server was killed while running it.
// Whether it was executed is unknown: the caller must be told so at once, and no other server may
// execute it.
func TestKilledBackendRunsPaymentAtMostOnce(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("")
	backend := c.addBackend(one, "pay")
	front := c.addNode("")
	c.submit(estateText("pay", "pay"))
	front.waitServing(t, "pay")
	outcome := make(chan *http.Response, 1)
	go func() {
		resp, _, err := front.request(http.MethodPost, "pay", "/charge?id=p1&sleep=60s&limit="+paymentLimit, strings.NewReader("amount=5"))
		if err == nil {
			outcome <- resp
		}
		close(outcome)
	}()
	eventually(t, "the payment is running", func() bool { return runningRequests(t, one) == 1 })
	eventually(t, "the payment has reached the backend server", func() bool { return namedLimit(t, backend) == paymentLimit })
	backend.kill()
	resp := <-outcome
	assert.Assert(t, resp != nil)
	assert.Equal(t, resp.Header.Get(fault.Header), string(fault.OutcomeUnknown))
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

// paymentLimit is the limit that a stand-in names once it has received the payment.
const paymentLimit = "1000"

var standinAddress = regexp.MustCompile(`stand-in of \S+ on (\S+)`)

// namedLimit returns the limit that a stand-in names to a request that does not pass its node.
func namedLimit(t testing.TB, backend *process) string {
	match := standinAddress.FindStringSubmatch(backend.log.String())
	assert.Assert(t, match != nil, "the stand-in has not told its address")
	resp, err := http.Get("http://" + match[1] + "/")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.Header.Get(hop.LimitHeader)
}

func runningRequests(t testing.TB, n *nodeProcess) int {
	load, ok := n.metrics(t)["gate_load"].(map[string]any)
	if !ok {
		return 0
	}
	return int(load["Running"].(float64))
}

// Guards against reporting a request as not run that was sent to a frozen node. The caller's node
// gets no response from the frozen node, which may still execute the payment when it resumes.
// Therefore the outcome must be reported as unknown.
func TestFrozenNodeIsNotCalledNotRun(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("pay")
	front := c.addNode("")
	c.submit(estateText("pay", "pay"))
	front.waitServing(t, "pay")
	one.freeze(t)
	req, err := http.NewRequest(http.MethodPost, "http://"+front.callers+"/charge?id=p2", strings.NewReader("amount=5"))
	assert.NilError(t, err)
	req.Host = "pay.example"
	req.Header.Set("Cactus-Timeout-Ms", "300")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	one.signal(syscall.SIGCONT)
	assert.Equal(t, resp.Header.Get(fault.Header), string(fault.OutcomeUnknown))
}

// Guards against a response that is interrupted in the middle of its body but looks complete to the
// caller. If a part of it was sent, the caller must get an error when it reads the body. Otherwise it
// must get the fault in place of the response, without a byte of it.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	c := newCluster(t, 1).start()
	c.addNode("files")
	front := c.addNode("")
	c.submit(estateText("files", "files"))
	front.waitServing(t, "files")
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		resp, body, err := front.request(method, "files", "/photo?reset=5000", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, resp.Header.Get(fault.Header), string(fault.OutcomeUnknown))
		assert.Assert(t, json.Valid([]byte(body)), body)
	}
	_, body, err := front.request(http.MethodGet, "files", "/photo?reset=200000", nil)
	assert.Assert(t, err != nil, "got %d bytes without an error", len(body))
	_, body, err = front.request(http.MethodGet, "files", "/photo?bytes=300000", nil)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 300000)
}

// Guards against interrupted requests during a graceful stop (SIGTERM) under load. All requests of
// the node's backend server and of its callers must be completed, and the node must exit with code
// 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := newCluster(t, 1).start()
	leaving := c.addNode("hello")
	c.addNode("hello")
	front := c.addNode("")
	c.submit(estateText("hello", "hello"))
	front.waitServing(t, "hello")
	// Without the second backend server, the stop would leave the service without any.
	front.waitEndpoints(t, 2)
	var answered, failed atomic.Int64
	var wait sync.WaitGroup
	var stop atomic.Bool
	for range 6 {
		wait.Go(func() {
			for !stop.Load() {
				resp, _, err := front.request(http.MethodPost, "hello", "/work?sleep=5ms", strings.NewReader("x"))
				if err == nil && resp.StatusCode == http.StatusOK {
					answered.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	eventually(t, "requests are served", func() bool { return answered.Load() > 100 })
	leaving.signal(syscall.SIGTERM)
	<-leaving.done
	after := answered.Load() + 100
	eventually(t, "requests are still served", func() bool { return answered.Load() > after || failed.Load() > 0 })
	stop.Store(true)
	wait.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	assert.Equal(t, leaving.cmd.ProcessState.ExitCode(), 0, leaving.log.String())
}

// Guards against a node that closes its gate immediately on a graceful stop although its backend
// server is the only one of the service. Callers take two seconds to switch to other nodes, and the
// service would be unavailable for that time.
func TestNodeThatStopsServesItsBackendServerForAWhile(t *testing.T) {
	c := newCluster(t, 1).start()
	leaving := c.addNode("hello")
	front := c.addNode("")
	c.submit(estateText("hello", "hello"))
	front.waitServing(t, "hello")
	leaving.signal(syscall.SIGTERM)
	eventually(t, "the node reports that it is not ready", func() bool { return !leaving.ready(t) })
	for range 10 {
		resp, _, err := front.request(http.MethodPost, "hello", "/work?sleep=5ms", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	<-leaving.done
	assert.Equal(t, leaving.cmd.ProcessState.ExitCode(), 0, leaving.log.String())
}

// Guards against a graceful stop that accepts new requests until no request is in flight. While
// callers keep sending, this may never be the case, and the requests in flight at the stop timeout
// would be interrupted. The node must refuse new requests and exit with code 0.
func TestStopDoesNotWaitForCallersToPause(t *testing.T) {
	c := newCluster(t, 1).start()
	c.addNode("hello")
	leaving := c.addNode("")
	c.submit(estateText("hello", "hello"))
	leaving.waitServing(t, "hello")
	var answered atomic.Int64
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() {
			for {
				resp, _, err := leaving.request(http.MethodGet, "hello", "/?sleep=5ms", nil)
				if err != nil {
					return
				}
				if resp.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	eventually(t, "requests are served", func() bool { return answered.Load() > 100 })
	leaving.signal(syscall.SIGTERM)
	<-leaving.done
	wait.Wait()
	assert.Equal(t, leaving.cmd.ProcessState.ExitCode(), 0, leaving.log.String())
}

// Guards against a drain that is confirmed too early. Once a host's gate has processed the drain,
// the host must not get new requests. The cactusctl command must not return before the last request
// on the host has ended.
func TestDrainAnswersWhenSafe(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("hello")
	c.addNode("hello")
	front := c.addNode("")
	c.submit(estateText("hello", "hello"))
	front.waitServing(t, "hello")
	front.waitEndpoints(t, 2)
	code, out := c.ctl("drain", one.host)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, one.host+" is safe to stop"), out)
	started := one.metrics(t)["gate_started"].(float64)
	for range 50 {
		resp, _, err := front.request(http.MethodGet, "hello", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, one.metrics(t)["gate_started"].(float64), started)
}

// Guards against nodes that buffer a large upload in memory. The upload is streamed through two
// nodes.
func TestUploadStreamsUnderBoundedMemory(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("files")
	front := c.addNode("")
	c.submit(estateText("files", "files"))
	front.waitServing(t, "files")
	const size = 256 << 20
	resp, _, err := front.request(http.MethodPost, "files", "/capture", &boundedReader{remaining: size})
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.Header.Get("Standin-Received"), "268435456")
	for _, n := range []*nodeProcess{one, front} {
		assert.Assert(t, residentMB(t, n.process) < 64, "%s uses %d MB", n.host, residentMB(t, n.process))
	}
}

type boundedReader struct{ remaining int }

func (l *boundedReader) Read(p []byte) (int, error) {
	n := min(len(p), l.remaining)
	l.remaining -= n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// residentMB returns the resident memory of a process in MB.
func residentMB(t testing.TB, p *process) int {
	t.Helper()
	return statusMB(t, p, "VmRSS")
}

// statusMB returns a size in the status of a process in MB.
func statusMB(t testing.TB, p *process, field string) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			assert.NilError(t, err)
			return kb / 1024
		}
	}
	t.Fatalf("no %s line", field)
	return 0
}
