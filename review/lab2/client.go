//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// outcome is what a client has seen of one request.
type outcome struct {
	id     string
	sent   time.Time
	ended  time.Time
	status int
	// stamped is set if the answer has the stamp of a server.
	stamped bool
	// leaving is set if the answer says that its server is shutting down.
	leaving bool
	// complete is set if the answer came whole.
	complete bool
	err      error
}

// took is the time until the final answer, or until the client has left or lost the connection.
func (o outcome) took() time.Duration { return o.ended.Sub(o.sent) }

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+lastID.Add(1)) }

// requestHead returns the head of a request without the empty line.
func requestHead(method, host, path, id string, limit time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, names.RequestID, id, names.DeadlineMs, limit.Milliseconds())
}

// get sends a GET on a new connection and reads the answer. The client leaves at its time limit.
func get(m *machine, host, path string, limit time.Duration) outcome {
	o := outcome{id: newID(), sent: time.Now()}
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		o.ended, o.err = time.Now(), err
		return o
	}
	defer c.Close()
	_ = c.SetDeadline(o.sent.Add(limit))
	if _, err := io.WriteString(c, requestHead(http.MethodGet, host, path, o.id, limit)+"\r\n"); err != nil {
		o.ended, o.err = time.Now(), err
		return o
	}
	o.read(bufio.NewReader(c), http.MethodGet)
	return o
}

// post sends a POST with a body of the given length on a new connection and reads the answer. The client
// leaves at its time limit.
func post(m *machine, host, path string, limit time.Duration, length int) outcome {
	o := outcome{id: newID(), sent: time.Now()}
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		o.ended, o.err = time.Now(), err
		return o
	}
	defer c.Close()
	_ = c.SetDeadline(o.sent.Add(limit))
	text := requestHead(http.MethodPost, host, path, o.id, limit) + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + strings.Repeat("p", length)
	if _, err := io.WriteString(c, text); err != nil {
		o.ended, o.err = time.Now(), err
		return o
	}
	o.read(bufio.NewReader(c), http.MethodPost)
	return o
}

// read reads the answer to the request. It reports whether the answer announces that the connection
// closes.
func (o *outcome) read(r *bufio.Reader, method string) (closes bool) {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err == nil {
		o.status, o.stamped = resp.StatusCode, resp.Header.Get(names.Stamp) != ""
		o.leaving = resp.Header.Get(names.Leaving) != ""
		_, err = io.Copy(io.Discard, resp.Body)
		closes = resp.Close
	}
	o.ended, o.err, o.complete = time.Now(), err, err == nil
	return closes
}

// String describes the outcome for the record.
func (o outcome) String() string {
	return fmt.Sprintf("%s: %d, stamped %t, complete %t, after %.3f s, %v", o.id, o.status, o.stamped, o.complete, o.took().Seconds(), o.err)
}
