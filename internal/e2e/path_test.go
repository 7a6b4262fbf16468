package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
)

// A caller's request goes through two nodes to a backend server, each of them a
// process of its own: control replica, three nodes, three stand-ins, cactusctl.
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
		n.serves(t, "hello")
	}
	resp, body, err := front.request(http.MethodGet, "hello", "/greeting?x=1", nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "hello GET /greeting?x=1\n")
	eventually(t, "status says that it is in force everywhere", func() bool {
		_, out := c.ctl("status")
		return strings.Contains(out, "revision 1: in force on 4 of 4 nodes")
	})
}

// A backend server is killed while it runs a payment. Whether it ran is not
// known: the caller must hear that at once, and nobody may run it again. A
// request that may run twice is answered by another server instead.
func TestKilledBackendRunsPaymentAtMostOnce(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("")
	backend := c.addBackend(one, "pay")
	front := c.addNode("")
	c.submit(estateText("pay", "pay"))
	front.serves(t, "pay")
	outcome := make(chan *http.Response, 1)
	go func() {
		resp, _, err := front.request(http.MethodPost, "pay", "/charge?id=p1&sleep=60s", strings.NewReader("amount=5"))
		if err == nil {
			outcome <- resp
		}
		close(outcome)
	}()
	eventually(t, "the payment runs", func() bool { return running(t, one) == 1 })
	backend.kill()
	resp := <-outcome
	assert.Assert(t, resp != nil)
	assert.Equal(t, resp.Header.Get(fault.Header), string(fault.OutcomeUnknown))
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

func running(t testing.TB, n *nodeProc) int {
	load, ok := n.vars(t)["gate_load"].(map[string]any)
	if !ok {
		return 0
	}
	return int(load["Running"].(float64))
}

// A node is frozen with a payment waiting at its gate, behind requests that
// fill every slot. The caller's node loses the answer; when the frozen node
// comes back it must not run the payment that the caller was told about.
func TestFrozenNodeIsNotCalledNotRun(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("pay")
	front := c.addNode("")
	c.submit(estateText("pay", "pay"))
	front.serves(t, "pay")
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

// An answer breaks off in the middle. The caller must see a broken answer and
// never a short one that looks whole.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	c := newCluster(t, 1).start()
	c.addNode("files")
	front := c.addNode("")
	c.submit(estateText("files", "files"))
	front.serves(t, "files")
	_, body, err := front.request(http.MethodGet, "files", "/photo?reset=5000", nil)
	assert.Assert(t, err != nil, "got %d bytes without an error", len(body))
	_, body, err = front.request(http.MethodGet, "files", "/photo?bytes=300000", nil)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 300000)
}

// A process is told to stop (SIGTERM) under load. Its backend server's requests
// and its own callers' must all end well, and it must exit 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := newCluster(t, 1).start()
	leaving := c.addNode("hello")
	c.addNode("hello")
	front := c.addNode("")
	c.submit(estateText("hello", "hello"))
	front.serves(t, "hello")
	// Without the second backend server, the stop would leave the service with none.
	front.knows(t, 2)
	var answered, bad atomic.Int64
	var wait sync.WaitGroup
	var stop atomic.Bool
	for range 6 {
		wait.Go(func() {
			for !stop.Load() {
				resp, _, err := front.request(http.MethodPost, "hello", "/work?sleep=5ms", strings.NewReader("x"))
				if err == nil && resp.StatusCode == http.StatusOK {
					answered.Add(1)
				} else {
					bad.Add(1)
				}
			}
		})
	}
	eventually(t, "load runs", func() bool { return answered.Load() > 100 })
	leaving.signal(syscall.SIGTERM)
	<-leaving.done
	after := answered.Load() + 100
	eventually(t, "load goes on", func() bool { return answered.Load() > after || bad.Load() > 0 })
	stop.Store(true)
	wait.Wait()
	assert.Equal(t, bad.Load(), int64(0))
	assert.Equal(t, leaving.cmd.ProcessState.ExitCode(), 0, leaving.log.String())
}

// A node beside the only backend server of a service is told to stop. Its callers
// have to be sent elsewhere first, which takes two seconds; a gate that closed at
// once would leave the service without any backend server for all that time.
func TestNodeThatStopsServesItsBackendServerForAWhile(t *testing.T) {
	c := newCluster(t, 1).start()
	leaving := c.addNode("hello")
	front := c.addNode("")
	c.submit(estateText("hello", "hello"))
	front.serves(t, "hello")
	leaving.signal(syscall.SIGTERM)
	eventually(t, "it says that it is not ready", func() bool { return !leaving.ready(t) })
	for range 10 {
		resp, _, err := front.request(http.MethodPost, "hello", "/work?sleep=5ms", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	<-leaving.done
	assert.Equal(t, leaving.cmd.ProcessState.ExitCode(), 0, leaving.log.String())
}

// Callers keep sending through a node that is told to stop. It must not wait for
// a moment without any of them, which may never come, until its time runs out
// and it cuts them: it stops taking new ones and ends with code 0.
func TestStopDoesNotWaitForCallersToPause(t *testing.T) {
	c := newCluster(t, 1).start()
	c.addNode("hello")
	leaving := c.addNode("")
	c.submit(estateText("hello", "hello"))
	leaving.serves(t, "hello")
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
	eventually(t, "load runs", func() bool { return answered.Load() > 100 })
	leaving.signal(syscall.SIGTERM)
	<-leaving.done
	wait.Wait()
	assert.Equal(t, leaving.cmd.ProcessState.ExitCode(), 0, leaving.log.String())
}

// A drained host gets no new work once its gate knows, and cactusctl answers
// only when nothing runs there any more.
func TestDrainAnswersWhenSafe(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("hello")
	c.addNode("hello")
	front := c.addNode("")
	c.submit(estateText("hello", "hello"))
	front.serves(t, "hello")
	front.knows(t, 2)
	code, out := c.ctl("drain", one.host)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, one.host+" is safe to stop"), out)
	started := one.vars(t)["gate_started"].(float64)
	for range 50 {
		resp, _, err := front.request(http.MethodGet, "hello", "/", nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.Equal(t, one.vars(t)["gate_started"].(float64), started)
}

// A big upload streams through two nodes without growing them.
func TestUploadStreamsUnderBoundedMemory(t *testing.T) {
	c := newCluster(t, 1).start()
	one := c.addNode("files")
	front := c.addNode("")
	c.submit(estateText("files", "files"))
	front.serves(t, "files")
	const size = 256 << 20
	resp, _, err := front.request(http.MethodPost, "files", "/capture", &limited{left: size})
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.Header.Get("Standin-Received"), "268435456")
	for _, n := range []*nodeProc{one, front} {
		assert.Assert(t, residentMB(t, n.proc) < 64, "%s holds %d MB", n.host, residentMB(t, n.proc))
	}
}

type limited struct{ left int }

func (l *limited) Read(p []byte) (int, error) {
	n := min(len(p), l.left)
	l.left -= n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// residentMB is a process's resident memory.
func residentMB(t testing.TB, p *proc) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			assert.NilError(t, err)
			return kb / 1024
		}
	}
	t.Fatal("no VmRSS line")
	return 0
}
