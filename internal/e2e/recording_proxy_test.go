package e2e

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// recordingProxy is a proxy in front of a node's peer listener. It forwards and records the traffic
// between nodes.
type recordingProxy struct {
	address string
	target  string
	// mayForward reports whether the response bytes received so far but not yet forwarded may be
	// forwarded now, in a single write. If mayForward is nil, all bytes are forwarded immediately.
	mayForward func(c *recordedConn, waiting []byte) bool

	mu    sync.Mutex
	conns []*recordedConn
}

// recordedConn is the recorded traffic of a connection.
type recordedConn struct {
	mu                  sync.Mutex
	requests, responses []byte
	responsePieces      []responsePiece
}

// responsePiece records how many request bytes had been forwarded when the response bytes starting
// at offset were received. The count may include bytes that the node has not read yet.
type responsePiece struct{ offset, requestBytes int }

func newRecordingProxy(t *testing.T, mayForward func(c *recordedConn, waiting []byte) bool) *recordingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	k := &recordingProxy{address: l.Addr().String(), mayForward: mayForward}
	go func() {
		for {
			downstream, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(downstream)
		}
	}()
	return k
}

// interpose sets the address of the peer listener to which the proxy forwards, and returns the
// address of the proxy.
func (k *recordingProxy) interpose(peer string) string {
	k.target = peer
	return k.address
}

func (k *recordingProxy) forward(downstream net.Conn) {
	defer downstream.Close()
	upstream, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	c := &recordedConn{}
	k.mu.Lock()
	k.conns = append(k.conns, c)
	k.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { c.forwardRequests(upstream, downstream) })
	wait.Go(func() { c.forwardResponses(downstream, upstream, k.mayForward) })
	wait.Wait()
}

func (c *recordedConn) forwardRequests(to, from net.Conn) {
	defer func() { _ = to.(*net.TCPConn).CloseWrite() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		c.requests = append(c.requests, buffer[:n]...)
		c.mu.Unlock()
		if _, werr := to.Write(buffer[:n]); err != nil || werr != nil {
			return
		}
	}
}

func (c *recordedConn) forwardResponses(to, from net.Conn, mayForward func(*recordedConn, []byte) bool) {
	// Close both directions, not only that of the responses: nothing reads what the node that sends
	// requests still sends.
	defer to.Close()
	buffer := make([]byte, 32<<10)
	var pending []byte
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		c.responsePieces = append(c.responsePieces, responsePiece{len(c.responses), len(c.requests)})
		c.responses = append(c.responses, buffer[:n]...)
		c.mu.Unlock()
		pending = append(pending, buffer[:n]...)
		if err == nil && mayForward != nil && !mayForward(c, pending) {
			continue
		}
		if _, werr := to.Write(pending); err != nil || werr != nil {
			return
		}
		pending = pending[:0]
	}
}

// snapshot returns a copy of the traffic recorded so far.
func (c *recordedConn) snapshot() *recordedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &recordedConn{requests: bytes.Clone(c.requests), responses: bytes.Clone(c.responses), responsePieces: append([]responsePiece(nil), c.responsePieces...)}
}

// lastPath returns the path of the last request with the method. The search text does not occur in
// bodies, as each byte of a body differs from the previous one by 31 or 32.
func (c *recordedConn) lastPath(method string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := bytes.LastIndex(c.requests, []byte(method+" /"))
	if at < 0 {
		return ""
	}
	path, _, _ := bytes.Cut(c.requests[at+len(method)+1:], []byte(" "))
	return string(path)
}

// connsContaining returns the connections whose requests contain text.
func (k *recordingProxy) connsContaining(text string) []*recordedConn {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []*recordedConn
	for _, c := range k.conns {
		if copied := c.snapshot(); bytes.Contains(copied.requests, []byte(text)) {
			list = append(list, copied)
		}
	}
	return list
}

// requestBytesBefore returns the number of request bytes recorded when the response byte at offset
// was received.
func (c *recordedConn) requestBytesBefore(offset int) int {
	requestBytes := 0
	for _, p := range c.responsePieces {
		if p.offset <= offset {
			requestBytes = p.requestBytes
		}
	}
	return requestBytes
}

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// isContinue reports whether the pending response bytes, which the proxy has not forwarded yet, are
// exactly a 100 Continue response.
func isContinue(pending []byte) bool { return string(pending) == continueResponse }

// hasHeadAfterContinue reports whether the pending response bytes do not start with 100 Continue, or
// contain a complete response head after it.
func hasHeadAfterContinue(pending []byte) bool {
	rest, continued := bytes.CutPrefix(pending, []byte(continueResponse))
	return !continued || bytes.Contains(rest, []byte("\r\n\r\n"))
}

// offsetReader tracks how many bytes a parser has consumed.
type offsetReader struct {
	text *bytes.Reader
	*bufio.Reader
}

func newOffsetReader(text []byte) *offsetReader {
	r := bytes.NewReader(text)
	return &offsetReader{r, bufio.NewReader(r)}
}

func (p *offsetReader) offset() int { return int(p.text.Size()) - p.text.Len() - p.Buffered() }

// readFinalResponse reads up to the end of the head of the final response and counts the interim
// ones.
func readFinalResponse(r *bufio.Reader, req *http.Request) (resp *http.Response, interims int, err error) {
	for {
		resp, err = http.ReadResponse(r, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, interims, err
		}
		interims++
	}
}

// events is a set of named events, each of which occurs at most once and can be waited for.
type events struct {
	mu       sync.Mutex
	channels map[string]chan struct{}
}

func (s *events) channel(name string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.channels == nil {
		s.channels = map[string]chan struct{}{}
	}
	if s.channels[name] == nil {
		s.channels[name] = make(chan struct{})
	}
	return s.channels[name]
}

func (s *events) fire(name string) {
	c := s.channel(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-c:
	default:
		close(c)
	}
}

// startScriptedServer starts a backend server that passes each request for a path other than "/" to
// serve, and closes the connection when serve returns false.
func startScriptedServer(t *testing.T, serve func(s *checkingServer, c net.Conn, req *http.Request) bool) *checkingServer {
	t.Helper()
	return startServer(t, func(s *checkingServer, c net.Conn) { s.serveScripted(c, serve) })
}

func (s *checkingServer) serveScripted(c net.Conn, serve func(s *checkingServer, c net.Conn, req *http.Request) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/" {
			_, _ = io.WriteString(c, shortResponse)
			continue
		}
		if !serve(s, c, req) {
			return
		}
	}
}

const shortResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
