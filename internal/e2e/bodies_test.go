package e2e

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var bodiesSeed = flag.Uint64("bodies.seed", 1, "seed of TestBodiesArriveAsTheyWereSent")

// patternByte returns the byte at an offset of a request's body. The bytes differ between requests.
func patternByte(id, offset int) byte { return byte(offset*31 + id*17 + offset>>8) }

// patternReader returns the body of a request.
type patternReader struct{ id, offset, length int }

func (p *patternReader) Read(b []byte) (int, error) {
	n := min(len(b), p.length-p.offset)
	if n == 0 {
		return 0, io.EOF
	}
	for i := range n {
		b[i] = patternByte(p.id, p.offset+i)
	}
	p.offset += n
	return n, nil
}

// checkingServer is a backend server that checks every byte of every body. It responds to some
// requests before it has received the body, keeps the connection open and reads the remaining body.
type checkingServer struct {
	net.Listener
	mu             sync.Mutex
	failures       []string
	completeBodies atomic.Int64
}

func newCheckingServer(t *testing.T) *checkingServer {
	t.Helper()
	return startServer(t, (*checkingServer).serve)
}

// startServer starts a server that passes each connection to serve, which must close it.
func startServer(t *testing.T, serve func(*checkingServer, net.Conn)) *checkingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &checkingServer{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(s, c)
		}
	}()
	return s
}

func (s *checkingServer) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// serve handles requests of the form POST /early/ID/LENGTH.
func (s *checkingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			if !endOfConnection(err) {
				s.fail("invalid request: %v", err)
			}
			return
		}
		const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		if req.URL.Path == "/" {
			_, _ = io.WriteString(c, answer)
			continue
		}
		parts := strings.Split(req.URL.Path, "/")
		if len(parts) != 4 {
			s.fail("received a request for %q, which no caller sent", req.URL.Path)
			return
		}
		id, _ := strconv.Atoi(parts[2])
		length, _ := strconv.Atoi(parts[3])
		if parts[1] == "early" {
			_, _ = io.WriteString(c, answer)
		}
		if !s.checkBody(req.Body, id, length) {
			return
		}
		if parts[1] != "early" {
			_, _ = io.WriteString(c, answer)
		}
	}
}

func endOfConnection(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET)
}

// checkBody reads a body and reports whether it is complete. It records a failure if the body has a
// wrong byte or length, but not if the connection ends first.
func (s *checkingServer) checkBody(body io.Reader, id, length int) bool {
	buffer := make([]byte, 8<<10)
	for offset := 0; ; {
		n, err := body.Read(buffer)
		for i := range n {
			if offset+i >= length || buffer[i] != patternByte(id, offset+i) {
				s.fail("request %d: wrong body at byte %d of %d", id, offset+i, length)
				return false
			}
		}
		offset += n
		switch {
		case errors.Is(err, io.EOF) && offset == length:
			s.completeBodies.Add(1)
			return true
		case errors.Is(err, io.EOF):
			s.fail("request %d: body ended after %d of %d bytes", id, offset, length)
			return false
		case err != nil:
			if !endOfConnection(err) {
				s.fail("request %d: after %d of %d bytes: %v", id, offset, length, err)
			}
			return false
		}
	}
}

// sendUploads sends one or two uploads with the same ID on a new connection, in pieces. It may
// close the connection in the middle of a body.
func sendUploads(address string, random *rand.Rand, id int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout / 4))
	requests := 1 + random.IntN(2)
	for range requests {
		mode := []string{"early", "whole"}[random.IntN(2)]
		length := []int{0, 3, 900, 20 << 10, 70 << 10, 300 << 10}[random.IntN(6)]
		chunked := random.IntN(2) == 0
		framing := "Content-Length: " + strconv.Itoa(length)
		if chunked {
			framing = "Transfer-Encoding: chunked"
		}
		if random.IntN(4) == 0 {
			framing += "\r\nExpect: 100-continue"
		}
		_, _ = fmt.Fprintf(c, "POST /%s/%d/%d HTTP/1.1\r\nHost: pay.example\r\n%s\r\n\r\n", mode, id, length, framing)
		if !sendInPieces(c, random, &patternReader{id: id, length: length}, chunked) {
			return
		}
	}
	answers := bufio.NewReader(c)
	for finals := 0; finals < requests; {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode >= http.StatusOK {
			finals++
		}
	}
}

// sendInPieces reports whether the complete body was sent.
func sendInPieces(c net.Conn, random *rand.Rand, body io.Reader, chunked bool) bool {
	for {
		piece := make([]byte, 1+random.IntN(24<<10))
		n, err := io.ReadFull(body, piece)
		if n > 0 && chunked {
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, piece[:n])
		} else if n > 0 {
			_, _ = c.Write(piece[:n])
		}
		if err != nil {
			break
		}
		switch random.IntN(12) {
		case 0:
			time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		case 1:
			return false
		}
	}
	if chunked {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	return true
}

// Guards against request smuggling: whatever a backend server reads as a body must consist of the
// bytes of that request. Callers upload bodies of various sizes, with and without a length, in
// pieces, and some close the connection in the middle of a body. Backend servers respond to half of
// the requests before they have received the body, keep the connection open and read the remaining
// body.
func TestBodiesArriveAsTheyWereSent(t *testing.T) {
	c := newCluster(t, 1).start()
	var servers []*checkingServer
	for range 2 {
		n := c.addNode("")
		s := newCheckingServer(t)
		keepAnnounced(t, n, s.Addr().String())
		servers = append(servers, s)
	}
	c.submit(estateText("bodies", "pay"))
	for _, n := range c.nodes {
		n.waitEndpoints(t, 2)
		n.waitServing(t, "pay")
	}
	var callers sync.WaitGroup
	for worker := range 8 {
		random := rand.New(rand.NewPCG(*bodiesSeed, uint64(worker)))
		callers.Go(func() {
			for i := range 40 {
				sendUploads(c.nodes[worker%2].callers, random, 1+worker*1000+i)
			}
		})
	}
	callers.Wait()
	complete := int64(0)
	for _, s := range servers {
		s.mu.Lock()
		assert.Equal(t, len(s.failures), 0, "%s", strings.Join(s.failures, "\n"))
		s.mu.Unlock()
		complete += s.completeBodies.Load()
	}
	assert.Assert(t, complete > 100, "only %d complete bodies", complete)
}

// keepAnnounced announces a backend server to a node repeatedly until the test ends.
func keepAnnounced(t *testing.T, n *nodeProcess, address string) {
	t.Helper()
	keepAnnouncement(t, n, `{"service":"pay","address":"`+address+`"}`)
}

// keepAnnouncement sends an announcement to the node until the end of the test.
func keepAnnouncement(t *testing.T, n *nodeProcess, announcement string) {
	t.Helper()
	put := func() bool { return n.announceServer(announcement) }
	eventually(t, "the node accepts the backend server", put)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
				put()
			}
		}
	}()
}
