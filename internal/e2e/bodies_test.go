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

// pattern is the byte at a place of a request's body: no other request has the same.
func pattern(id, at int) byte { return byte(at*31 + id*17 + at>>8) }

// patterned reads a request's body.
type patterned struct{ id, at, length int }

func (p *patterned) Read(b []byte) (int, error) {
	n := min(len(b), p.length-p.at)
	if n == 0 {
		return 0, io.EOF
	}
	for i := range n {
		b[i] = pattern(p.id, p.at+i)
	}
	p.at += n
	return n, nil
}

// checkingServer is a backend server that checks every byte of every body. It answers
// some requests before their bodies are in, keeps the connection and reads on.
type checkingServer struct {
	net.Listener
	mu     sync.Mutex
	wrong  []string
	bodies atomic.Int64
}

func newCheckingServer(t *testing.T) *checkingServer {
	t.Helper()
	return listening(t, (*checkingServer).serve)
}

// listening hands each connection to serve, which owns it.
func listening(t *testing.T, serve func(*checkingServer, net.Conn)) *checkingServer {
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

func (s *checkingServer) complain(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = append(s.wrong, fmt.Sprintf(format, args...))
}

// serve reads requests such as POST /early/ID/LENGTH.
func (s *checkingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			if !endOfConnection(err) {
				s.complain("no request where one was due: %v", err)
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
			s.complain("a request for %q that nobody sent", req.URL.Path)
			return
		}
		id, _ := strconv.Atoi(parts[2])
		length, _ := strconv.Atoi(parts[3])
		if parts[1] == "early" {
			_, _ = io.WriteString(c, answer)
		}
		if !s.check(req.Body, id, length) {
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

// check reads a body; it reports whether it was whole.
func (s *checkingServer) check(body io.Reader, id, length int) bool {
	buffer := make([]byte, 8<<10)
	for at := 0; ; {
		n, err := body.Read(buffer)
		for i := range n {
			if at+i >= length || buffer[i] != pattern(id, at+i) {
				s.complain("request %d: byte %d of %d is not its own", id, at+i, length)
				return false
			}
		}
		at += n
		switch {
		case errors.Is(err, io.EOF) && at == length:
			s.bodies.Add(1)
			return true
		case errors.Is(err, io.EOF):
			s.complain("request %d: %d of %d bytes look like a whole body", id, at, length)
			return false
		case err != nil:
			if !endOfConnection(err) {
				s.complain("request %d: after %d of %d bytes: %v", id, at, length, err)
			}
			return false
		}
	}
}

// upload sends one request in pieces on a connection of its own. It may leave in the
// middle, or send another request behind the first.
func upload(address string, random *rand.Rand, id int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience / 4))
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
		if !sendPieces(c, random, &patterned{id: id, length: length}, chunked) {
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

// sendPieces reports whether all was sent.
func sendPieces(c net.Conn, random *rand.Rand, body io.Reader, chunked bool) bool {
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

// Callers upload bodies of all sizes, with and without a length, in pieces; some leave
// in the middle. Backend servers answer half of them before the body is in, keep the
// connection and read on. Whatever a server reads as a body must be that request's
// bytes: others in their place are how requests are smuggled past a gate.
func TestBodiesArriveAsTheyWereSent(t *testing.T) {
	c := newCluster(t, 1).start()
	var servers []*checkingServer
	for range 2 {
		n := c.addNode("")
		s := newCheckingServer(t)
		announce(t, n, s.Addr().String())
		servers = append(servers, s)
	}
	c.submit(estateText("bodies", "pay"))
	for _, n := range c.nodes {
		n.knows(t, 2)
		n.serves(t, "pay")
	}
	var callers sync.WaitGroup
	for worker := range 8 {
		random := rand.New(rand.NewPCG(*bodiesSeed, uint64(worker)))
		callers.Go(func() {
			for i := range 40 {
				upload(c.nodes[worker%2].callers, random, 1+worker*1000+i)
			}
		})
	}
	callers.Wait()
	whole := int64(0)
	for _, s := range servers {
		s.mu.Lock()
		assert.Equal(t, len(s.wrong), 0, "%s", strings.Join(s.wrong, "\n"))
		s.mu.Unlock()
		whole += s.bodies.Load()
	}
	assert.Assert(t, whole > 100, "only %d bodies came whole", whole)
}

// announce tells a node of a backend server, again and again until the test ends.
func announce(t *testing.T, n *nodeProc, address string) {
	t.Helper()
	put := func() bool { return n.putServer(`{"service":"pay","address":"` + address + `"}`) }
	eventually(t, "the node takes the backend server in", put)
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
