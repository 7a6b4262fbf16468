package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"
)

// These tests send what clients may send that do not behave. Each process is told the memory and the
// descriptors of its host, and has to stay within them while clients hold their connections.

const (
	crowdMemoryMB    = 96
	crowdDescriptors = 700
	// crowdWriteTimeout ends the writes of a client that the node no longer reads from.
	crowdWriteTimeout = 3 * time.Second
	// crowdRequestTimeout is how long one try of an ordinary request may take.
	crowdRequestTimeout = 5 * time.Second
	// crowdHold is how long the clients hold their connections after they have sent everything.
	crowdHold = time.Second
)

// newCrowdSite returns a node for callers and two nodes with backend servers.
func newCrowdSite(t *testing.T) (front *nodeProcess, all []*nodeProcess, c *cluster) {
	t.Helper()
	return newCrowdSiteWith(t, crowdDescriptors)
}

func newCrowdSiteWith(t *testing.T, descriptors int) (front *nodeProcess, all []*nodeProcess, c *cluster) {
	t.Helper()
	c = newCluster(t, 1)
	c.descriptors = descriptors
	c.extraSettings = fmt.Sprintf(`"memoryMB": %d, "descriptors": %d,`, crowdMemoryMB, descriptors)
	c.start()
	all = []*nodeProcess{c.addNode(""), c.addNode("pay"), c.addNode("pay")}
	c.submit(estateText("crowd", "pay"))
	all[0].waitServing(t, "pay")
	all[0].waitEndpoints(t, 2)
	return all[0], all, c
}

// crowd opens connections to an address and lets each of them send. While the clients hold them, and
// after they are gone, an ordinary request is answered. No process has ended or exceeded its limits.
func (c *cluster) crowd(connections int, address string, send func(net.Conn)) {
	t := c.t
	t.Helper()
	front := c.nodes[0]
	release, most := make(chan struct{}), 0
	var sent, clients sync.WaitGroup
	for range connections {
		sent.Add(1)
		clients.Go(func() {
			defer sent.Done()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			clients.Go(func() {
				<-release
				_ = conn.Close()
			})
			_ = conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			send(conn)
		})
	}
	sent.Wait()
	time.Sleep(crowdHold)
	for _, p := range c.processes() {
		most = max(most, descriptors(p))
		resident, queued := statusMB(t, p, "VmRSS"), queuedMB(t, p)
		t.Logf("%s uses %d MB, the kernel holds %d MB for its connections", p.name, resident, queued)
		assert.Check(t, resident+queued <= crowdMemoryMB, "%s uses %d MB and the kernel holds %d MB for its connections, its host has %d MB", p.name, resident, queued, crowdMemoryMB)
	}
	front.waitOrdinaryRequest(t)
	close(release)
	clients.Wait()
	front.waitOrdinaryRequest(t)
	assert.Check(t, most <= c.descriptors, "a process has %d descriptors open, its host has %d", most, c.descriptors)
	for _, p := range c.processes() {
		assert.Check(t, p.running(), "%s has ended", p.name)
		peak := statusMB(t, p, "VmHWM")
		t.Logf("%s used %d MB at its peak", p.name, peak)
		assert.Check(t, peak <= crowdMemoryMB, "%s used %d MB, its host has %d MB", p.name, peak, crowdMemoryMB)
	}
}

// waitOrdinaryRequest waits until a request on a connection of its own is answered.
func (n *nodeProcess) waitOrdinaryRequest(t testing.TB) {
	t.Helper()
	client := http.Client{Timeout: crowdRequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	eventually(t, n.host+" answers an ordinary request", func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+n.callers+"/", nil)
		assert.NilError(t, err)
		req.Host = "pay.example"
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// processes returns the control replicas and the nodes.
func (c *cluster) processes() []*process {
	list := append([]*process{}, c.replicas...)
	for _, n := range c.nodes {
		list = append(list, n.process)
	}
	return list
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// descriptors returns the number of descriptors that a process has open.
func descriptors(p *process) int {
	entries, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd"))
	return len(entries)
}

// queuedMB returns how much the kernel holds for the TCP connections of a process: received and not
// read, or written and not acknowledged.
func queuedMB(t testing.TB, p *process) int {
	t.Helper()
	folder := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	entries, err := os.ReadDir(filepath.Join(folder, "fd"))
	assert.NilError(t, err)
	sockets := map[string]bool{}
	for _, e := range entries {
		target, _ := os.Readlink(filepath.Join(folder, "fd", e.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	table, err := os.ReadFile(filepath.Join(folder, "net/tcp"))
	assert.NilError(t, err)
	bytes := uint64(0)
	for _, line := range strings.Split(string(table), "\n")[1:] {
		columns := strings.Fields(line)
		if len(columns) < 10 || columns[3] == tcpListen || !sockets[columns[9]] {
			continue
		}
		for _, queue := range strings.Split(columns[4], ":") {
			n, err := strconv.ParseUint(queue, 16, 64)
			assert.NilError(t, err)
			bytes += n
		}
	}
	return int(bytes >> 20)
}

// tcpListen is the state of a listener in /proc/net/tcp, whose queues count connections.
const tcpListen = "0A"

// fields returns header lines with the given number of different names of three letters.
func fields(n, names int, value string) string {
	var b strings.Builder
	for i := range n {
		i %= names
		b.WriteString(shortName(i) + ":" + value + "\r\n")
	}
	return b.String()
}

func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	return string([]byte{letters[i/676%26], letters[i/26%26], letters[i%26]})
}

const (
	crowdPath      = "/?sleep=300ms"
	crowdPipelined = 64
)

// pipelined sends a request many times and reads no response.
func pipelined(request string) func(net.Conn) {
	all := []byte(strings.Repeat(request, crowdPipelined))
	return func(c net.Conn) { _, _ = c.Write(all) }
}

// largeResponsePath is that of a response that the buffers of a connection do not take.
const largeResponsePath = "/?bytes=4000000"

func crowdRequest(fields, body string) string {
	method := http.MethodGet
	if body != "" {
		method, fields = http.MethodPost, fields+"Content-Length: "+strconv.Itoa(len(body))+"\r\n"
	}
	return method + " " + crowdPath + " HTTP/1.1\r\nHost: pay.example\r\n" + fields + "\r\n" + body
}

// Guards against a node that runs out of memory because clients send many requests ahead and read no
// response. Requests of legal size take up to 30 times their size once they are parsed.
func TestCrowdOfPipelinedRequestsStaysWithinMemory(t *testing.T) {
	long := "GET " + crowdPath + "&x=" + strings.Repeat("y", 15<<10) + " HTTP/1.1\r\nHost: pay.example\r\n\r\n"
	for _, k := range []struct {
		desc    string
		clients int
		request string
	}{
		{"different names", 60, crowdRequest(fields(3000, 3000, ""), "")},
		{"one name", 60, crowdRequest(fields(4000, 1, ""), "")},
		{"odd values", 60, crowdRequest(fields(2000, 2000, "\t\xff\x80"), "")},
		{"bodies", 120, crowdRequest("", strings.Repeat("b", 64<<10))},
		{"a long query", 200, long},
		{"small requests", 200, crowdRequest("", "")},
		{"large responses", 100, "GET " + largeResponsePath + " HTTP/1.1\r\nHost: pay.example\r\n\r\n"},
		{"responses that the buffers of a connection take", 200, "GET /?bytes=60000 HTTP/1.1\r\nHost: pay.example\r\n\r\n"},
	} {
		t.Run(k.desc, func(t *testing.T) {
			front, _, c := newCrowdSite(t)
			c.crowd(k.clients, front.callers, pipelined(k.request))
		})
	}
}

// Guards against a node that runs out of memory or descriptors because clients begin many requests and
// do not finish them, or open connections and send nothing.
func TestCrowdOfUnfinishedRequestsStaysWithinMemory(t *testing.T) {
	for _, k := range []struct{ desc, begin string }{
		{"heads", "GET / HTTP/1.1\r\nHost: pay.example\r\n" + fields(3000, 3000, "")},
		{"bodies", "POST / HTTP/1.1\r\nHost: pay.example\r\nContent-Length: 65536\r\n\r\nx"},
		{"streamed bodies", "POST / HTTP/1.1\r\nHost: pay.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"},
		{"nothing", ""},
	} {
		t.Run(k.desc, func(t *testing.T) {
			front, _, c := newCrowdSite(t)
			c.crowd(2*crowdDescriptors, front.callers, func(conn net.Conn) { _, _ = io.WriteString(conn, k.begin) })
		})
	}
}

// http2Streams opens streams on a connection whose client grants no window for responses.
func http2Streams(streams int, path string, endStream bool, extra ...hpack.HeaderField) func(net.Conn) {
	return func(c net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, c) }()
		_, _ = io.WriteString(c, http2.ClientPreface)
		framer := http2.NewFramer(c, nil)
		_ = framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
		_ = framer.WriteSettingsAck()
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for i := range streams {
			block.Reset()
			method := map[bool]string{true: http.MethodGet, false: http.MethodPost}[endStream]
			for _, f := range append([]hpack.HeaderField{{Name: ":method", Value: method}, {Name: ":scheme", Value: "http"}, {Name: ":authority", Value: "pay.example"}, {Name: ":path", Value: path}}, extra...) {
				_ = encoder.WriteField(f)
			}
			if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*i + 1), BlockFragment: block.Bytes(), EndStream: endStream, EndHeaders: true}) != nil {
				return
			}
		}
	}
}

// Guards against a node that runs out of memory because clients open many HTTP/2 streams and grant no
// window for the responses.
func TestCrowdOfStreamsStaysWithinMemory(t *testing.T) {
	var short []hpack.HeaderField
	for i := range 380 {
		short = append(short, hpack.HeaderField{Name: shortName(i)})
	}
	for _, k := range []struct {
		desc string
		send func(net.Conn)
	}{
		{"small requests", http2Streams(250, crowdPath, true)},
		{"short fields", http2Streams(250, crowdPath, true, short...)},
		{"unfinished bodies", http2Streams(250, crowdPath, false, hpack.HeaderField{Name: "content-length", Value: "65536"})},
		{"large responses", http2Streams(250, largeResponsePath, true)},
	} {
		t.Run(k.desc, func(t *testing.T) {
			front, _, c := newCrowdSite(t)
			c.crowd(60, front.callers, k.send)
		})
	}
}

// largeHeadServer starts a backend server whose responses have heads of legal size with many short
// fields, and announces it to the node.
func largeHeadServer(t *testing.T, n *nodeProcess) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	head := "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n" + fields(9000, 9000, "") + "\r\n"
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, head)
			_, _ = conn.Write(make([]byte, 1000000))
		}))
	}()
	t.Cleanup(func() { _ = l.Close() })
	keepAnnouncement(t, n, fmt.Sprintf(`{"service": "heads", "address": %q, "slots": 200}`, l.Addr()))
}

// Guards against nodes that run out of memory because of the heads of responses: a backend server that
// fails sends many fields in each, and callers do not read the responses.
func TestCrowdOfResponseHeadsStaysWithinMemory(t *testing.T) {
	front, _, c := newCrowdSite(t)
	largeHeadServer(t, c.addNode(""))
	c.submit(estateText("crowd", "pay", "heads"))
	c.crowd(100, front.callers, pipelined("GET / HTTP/1.1\r\nHost: heads.example\r\n\r\n"))
}

// Guards against a node that runs out of memory because it reads large responses ahead of callers that
// do not take them.
func TestCrowdOfLargeResponsesStaysWithinMemory(t *testing.T) {
	front, _, c := newCrowdSiteWith(t, 4*crowdDescriptors)
	n := c.addNode("")
	c.spawn("backend-with-many-slots", "cactuspath", "backend", "--service", "large", "--admin", n.admin, "--slots", "300")
	c.submit(estateText("crowd", "pay", "large"))
	front.waitServing(t, "large")
	for _, asked := range []*nodeProcess{front, n} {
		c.crowd(220, asked.callers, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "GET /?bytes=40000000 HTTP/1.1\r\nHost: large.example\r\n\r\n")
		})
	}
}

// Guards against a node that runs out of memory because of connections on which little happens: what one
// takes besides its requests counts as well.
func TestCrowdOfIdleConnectionsStaysWithinMemory(t *testing.T) {
	for _, k := range []struct {
		desc string
		send func(net.Conn)
	}{
		{"HTTP/1.1", func(c net.Conn) { _, _ = io.WriteString(c, crowdRequest(fields(1500, 1500, ""), "")) }},
		{"HTTP/2", http2Streams(0, "", true)},
		{"HTTP/2 with a request", http2Streams(1, "/", true)},
	} {
		t.Run(k.desc, func(t *testing.T) {
			front, _, c := newCrowdSiteWith(t, 4*crowdDescriptors)
			for range 3 {
				c.crowd(crowdDescriptors, front.callers, k.send)
			}
		})
	}
}

// Guards against a process that runs out of memory because of heads that arrive at its listeners for
// other processes: any process that can connect may send them.
func TestCrowdAtEachListenerStaysWithinMemory(t *testing.T) {
	head := "GET /healthz HTTP/1.1\r\nHost: x\r\n" + strings.Repeat(fields(15000, 15000, ""), 8)
	for _, k := range []struct {
		desc    string
		address func(*cluster) string
	}{
		{"peer", func(c *cluster) string { return c.nodes[1].peer }},
		{"admin", func(c *cluster) string { return c.nodes[1].admin }},
		{"control", func(c *cluster) string { return c.controlAddresses[0] }},
	} {
		for _, begin := range []string{head, "PUT /v1/server HTTP/1.1\r\nHost: x\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s, %d bytes", k.desc, len(begin)), func(t *testing.T) {
				_, _, c := newCrowdSite(t)
				c.crowd(crowdDescriptors+100, k.address(c), func(conn net.Conn) { _, _ = io.WriteString(conn, begin) })
			})
		}
	}
}
