//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, host, uri string
	deadlineMs            int
	body                  []byte
	sent                  time.Time
	ended                 time.Time
	// status is that of the answer; 0 for none.
	status int
	stamp  string
	// whole is set if the answer is complete and belongs to this request.
	whole  bool
	closes bool
	err    error
	// received counts the bytes of the answer, if the request had a connection of its own.
	received int
}

func newRequest(method, host, uri string, deadlineMs int, body []byte) *request {
	return &request{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, host: host, uri: uri, deadlineMs: deadlineMs, body: body}
}

func (r *request) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.uri, r.host, names.RequestID, r.id, names.DeadlineMs, r.deadlineMs)
	if r.body != nil || r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// readAnswer reads the answer to the request.
func (r *request) readAnswer(reader *bufio.Reader) error {
	resp, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		r.err, r.ended = err, time.Now()
		return err
	}
	body, err := io.ReadAll(resp.Body)
	r.ended, r.closes = time.Now(), resp.Close
	if err != nil {
		r.err = err
		return err
	}
	r.status, r.stamp = resp.StatusCode, resp.Header.Get(names.Stamp)
	r.whole = resp.Header.Get(names.RequestID) == r.id
	if r.stamp != "" {
		s := &server{id: strings.SplitN(r.stamp, ".", 2)[0]}
		r.whole = r.whole && (s.stamp(r.id, body) == r.stamp || resp.StatusCode == http.StatusGatewayTimeout)
	}
	return nil
}

// once sends the request on a connection of its own, and waits half a second longer than it says.
func (r *request) once(address string) (status int, stamp string, err error) {
	return r.waitFor(address, time.Duration(r.deadlineMs)*time.Millisecond+500*time.Millisecond)
}

// waitFor sends the request on a connection of its own, and closes that after the given time.
func (r *request) waitFor(address string, limit time.Duration) (status int, stamp string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	r.sent = time.Now()
	if _, err := c.Write(r.text()); err != nil {
		return 0, "", err
	}
	err = r.readAnswer(bufio.NewReader(&counter{c, &r.received}))
	return r.status, r.stamp, err
}

// counter counts the bytes that are read.
type counter struct {
	io.Reader
	bytes *int
}

// Read implements io.Reader.
func (c *counter) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	*c.bytes += n
	return n, err
}

// pipeline is a client that sends further safe requests on its connection before the first is
// answered. It reads the answers in order, and respects Connection: close: it then sends what is
// unanswered again, as new requests, on a new connection.
type pipeline struct {
	lab     *lab
	name    string
	address string

	mu      sync.Mutex
	conn    net.Conn
	waiting []*request
	// all are the requests that were sent whole.
	all    []*request
	closed map[*request]bool // unread, behind an answer that closes the connection
}

var errNoConnection = errors.New("no connection")

// send sends a request, on a new connection if there is none.
func (p *pipeline) send(r *request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		c, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			return errNoConnection
		}
		p.lab.log("client %s connected from %s", p.name, c.LocalAddr())
		p.conn, p.waiting = c, nil
		go p.read(c)
	}
	if _, err := p.conn.Write(r.text()); err != nil {
		return err
	}
	r.sent = time.Now()
	p.lab.log("client %s sent %s", p.name, r.id)
	p.waiting = append(p.waiting, r)
	p.all = append(p.all, r)
	return nil
}

func (p *pipeline) read(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			p.end(c, err)
			return
		}
		p.mu.Lock()
		if len(p.waiting) == 0 {
			p.mu.Unlock()
			p.lab.log("client %s got bytes that no request waits for", p.name)
			p.end(c, errors.New("bytes that no request waits for"))
			return
		}
		r := p.waiting[0]
		p.mu.Unlock()
		err := r.readAnswer(reader)
		p.mu.Lock()
		p.waiting = p.waiting[1:]
		p.mu.Unlock()
		if err != nil {
			p.lab.log("client %s got no whole answer to %s: %v", p.name, r.id, err)
			p.end(c, err)
			return
		}
		p.lab.log("client %s got %d to %s, stamp %q, whole %v, closes %v", p.name, r.status, r.id, r.stamp, r.whole, r.closes)
		if r.closes {
			p.mu.Lock()
			for _, behind := range p.waiting {
				p.closed[behind] = true
			}
			p.mu.Unlock()
			p.end(c, errors.New("closed by the answer before"))
			return
		}
	}
}

// end records that the connection has ended.
func (p *pipeline) end(c net.Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
	}
	for _, r := range p.waiting {
		r.err, r.ended = err, time.Now()
		p.lab.log("client %s: connection ended without an answer to %s, %.3f s after it was sent: %v", p.name, r.id, r.ended.Sub(r.sent).Seconds(), err)
	}
	p.waiting = nil
}
