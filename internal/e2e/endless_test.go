package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessServer starts a backend server that responds to each request with bytes that do not end, and
// announces it to the node. It returns the number of requests that have reached it.
func endlessServer(t *testing.T, n *nodeProcess, begin, unit string) *atomic.Int64 {
	t.Helper()
	var reached atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	units := []byte(strings.Repeat(unit, 1+64<<10/len(unit)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4<<10))
				reached.Add(1)
				_, err := io.WriteString(c, begin)
				for err == nil {
					_, err = c.Write(units)
				}
			}()
		}
	}()
	announcement := fmt.Sprintf(`{"service": "pay", "address": %q, "slots": 4}`, l.Addr())
	eventually(t, "the node accepts the server", func() bool { return n.announceServer(announcement) })
	return &reached
}

// callOnce sends a request and reads the response to its end.
func callOnce(t *testing.T, n *nodeProcess, timeout time.Duration) (status string, took time.Duration) {
	begin := time.Now()
	conn, err := net.Dial("tcp", n.callers)
	assert.Check(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(begin.Add(6 * timeout))
	_, err = fmt.Fprintf(conn, "GET /x HTTP/1.1\r\nHost: pay.example\r\nCactus-Timeout-Ms: %d\r\nConnection: close\r\n\r\n", timeout.Milliseconds())
	assert.Check(t, err)
	head := make([]byte, len("HTTP/1.1 200"))
	_, _ = io.ReadFull(conn, head)
	_, _ = io.Copy(io.Discard, conn)
	return string(head[len("HTTP/1.1 "):]), time.Since(begin)
}

// Guards against a backend server that sends a response head or body without end and takes the memory
// of its host, and the requests that another server could have answered. Each caller has a final
// response soon after the timeout of its request.
func TestServerThatSendsWithoutEndHarmsNobodyElse(t *testing.T) {
	const (
		// requests are sent at once, until wanted of them have reached the server.
		requests    = 12
		wanted      = 4
		maxMemoryMB = 64
		timeout     = time.Second
		maxTime     = timeout + 500*time.Millisecond
	)
	for _, c := range []struct {
		desc, begin, unit string
		// served is set if a response has no begin that could have been sent to the caller.
		served bool
	}{
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: x\r\n", true},
		{"no response at all", "", "x", true},
		{"a body", "HTTP/1.1 200 OK\r\n\r\n", "x", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			cluster := newCluster(t, 1).start()
			front, good, bad := cluster.addNode(""), cluster.addNode(""), cluster.addNode("")
			cluster.submit(estateText("endless", "pay"))
			countingServer(t, good, 4, nil)
			front.waitServing(t, "pay")
			reached := endlessServer(t, bad, c.begin, c.unit)
			front.waitEndpoints(t, 2)
			sent, served := 0, atomic.Int64{}
			for until := time.Now().Add(waitTimeout); reached.Load() < wanted && time.Now().Before(until); sent += requests {
				var callers sync.WaitGroup
				for range requests {
					callers.Go(func() {
						status, took := callOnce(t, front, timeout)
						assert.Check(t, took < maxTime, "the response ended after %v, status %q", took, status)
						if status == "200" {
							served.Add(1)
						}
					})
				}
				callers.Wait()
			}
			assert.Assert(t, reached.Load() >= wanted, "%d requests reached the server that sends without end", reached.Load())
			if c.served {
				assert.Equal(t, served.Load(), int64(sent))
			}
			for _, n := range []*nodeProcess{front, bad} {
				assert.Check(t, residentMB(t, n.process) < maxMemoryMB, "%s uses %d MB", n.host, residentMB(t, n.process))
			}
			resp, _, err := good.request(http.MethodGet, "pay", "/", nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		})
	}
}
