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

// tap stands before a node's listener for other nodes. It passes on what they say to
// each other and keeps it.
type tap struct {
	address string
	to      string
	// passes tells whether what the node has answered, and what waits here, may go on
	// to the other side; it goes in one write. Nil lets all pass.
	passes func(c *tapped, waiting []byte) bool

	mu    sync.Mutex
	conns []*tapped
}

// tapped is what passed on one connection.
type tapped struct {
	mu             sync.Mutex
	sent, answered []byte
	pieces         []answerPiece
}

// answerPiece tells how much had been sent when a piece of the answers came that
// begins at a place. It may count bytes that the node has not read yet.
type answerPiece struct{ at, sent int }

func newTap(t *testing.T, passes func(c *tapped, waiting []byte) bool) *tap {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	k := &tap{address: l.Addr().String(), passes: passes}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go k.join(near)
		}
	}()
	return k
}

// before puts the tap before a listener.
func (k *tap) before(peer string) string {
	k.to = peer
	return k.address
}

func (k *tap) join(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer far.Close()
	c := &tapped{}
	k.mu.Lock()
	k.conns = append(k.conns, c)
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.carryRequests(far, near) })
	both.Go(func() { c.carryAnswers(near, far, k.passes) })
	both.Wait()
}

func (c *tapped) carryRequests(to, from net.Conn) {
	defer func() { _ = to.(*net.TCPConn).CloseWrite() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		c.sent = append(c.sent, buffer[:n]...)
		c.mu.Unlock()
		if _, werr := to.Write(buffer[:n]); err != nil || werr != nil {
			return
		}
	}
}

func (c *tapped) carryAnswers(to, from net.Conn, passes func(*tapped, []byte) bool) {
	// Closed and not only ended: what the other side still sends has nobody to read it.
	defer to.Close()
	buffer := make([]byte, 32<<10)
	var waiting []byte
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		c.pieces = append(c.pieces, answerPiece{len(c.answered), len(c.sent)})
		c.answered = append(c.answered, buffer[:n]...)
		c.mu.Unlock()
		waiting = append(waiting, buffer[:n]...)
		if err == nil && passes != nil && !passes(c, waiting) {
			continue
		}
		if _, werr := to.Write(waiting); err != nil || werr != nil {
			return
		}
		waiting = waiting[:0]
	}
}

// copied is what passed until now.
func (c *tapped) copied() *tapped {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &tapped{sent: bytes.Clone(c.sent), answered: bytes.Clone(c.answered), pieces: append([]answerPiece(nil), c.pieces...)}
}

// lastPath is the path of the newest request with the method: no body holds the text
// that it is found by, since each byte of one differs from the byte before by 31 or 32.
func (c *tapped) lastPath(method string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := bytes.LastIndex(c.sent, []byte(method+" /"))
	if at < 0 {
		return ""
	}
	path, _, _ := bytes.Cut(c.sent[at+len(method)+1:], []byte(" "))
	return string(path)
}

// seen are the connections that carried a text.
func (k *tap) seen(text string) []*tapped {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []*tapped
	for _, c := range k.conns {
		if copied := c.copied(); bytes.Contains(copied.sent, []byte(text)) {
			list = append(list, copied)
		}
	}
	return list
}

// sentBefore is how much had been sent when the answers' byte at a place came.
func (c *tapped) sentBefore(place int) int {
	sent := 0
	for _, p := range c.pieces {
		if p.at <= place {
			sent = p.sent
		}
	}
	return sent
}

const asksForBody = "HTTP/1.1 100 Continue\r\n\r\n"

// asks tells whether what a node answered is only that it wants the body.
func asks(waiting []byte) bool { return string(waiting) == asksForBody }

// endsHead tells whether there is a whole head behind the word that asks for the body.
func endsHead(waiting []byte) bool {
	rest, asked := bytes.CutPrefix(waiting, []byte(asksForBody))
	return !asked || bytes.Contains(rest, []byte("\r\n\r\n"))
}

// place counts what a parser has taken out of a text.
type place struct {
	text *bytes.Reader
	*bufio.Reader
}

func newPlace(text []byte) *place {
	r := bytes.NewReader(text)
	return &place{r, bufio.NewReader(r)}
}

func (p *place) at() int { return int(p.text.Size()) - p.text.Len() - p.Buffered() }

// finalAnswer reads up to the end of a final answer's head.
func finalAnswer(r *bufio.Reader, req *http.Request) (resp *http.Response, interims int, err error) {
	for {
		resp, err = http.ReadResponse(r, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, interims, err
		}
		interims++
	}
}

// signals are given once each, by name.
type signals struct {
	mu  sync.Mutex
	all map[string]chan struct{}
}

func (s *signals) of(name string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[string]chan struct{}{}
	}
	if s.all[name] == nil {
		s.all[name] = make(chan struct{})
	}
	return s.all[name]
}

func (s *signals) give(name string) {
	c := s.of(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-c:
	default:
		close(c)
	}
}

// scripted is a backend server that does what a test says with each request for a
// path other than "/", as long as serve says that the connection goes on.
func scripted(t *testing.T, serve func(s *checkingServer, c net.Conn, req *http.Request) bool) *checkingServer {
	t.Helper()
	return listening(t, func(s *checkingServer, c net.Conn) { s.follow(c, serve) })
}

func (s *checkingServer) follow(c net.Conn, serve func(s *checkingServer, c net.Conn, req *http.Request) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/" {
			_, _ = io.WriteString(c, shortAnswer)
			continue
		}
		if !serve(s, c, req) {
			return
		}
	}
}

const shortAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
