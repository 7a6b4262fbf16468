package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cactuspath/api/fault"
)

// connTrace records the last bytes received on a connection for failure reports.
type connTrace struct {
	source net.Conn
	// closedByCaller is set when the caller closed the connection itself.
	closedByCaller atomic.Bool
	mu             sync.Mutex
	tail           []byte
}

// maxTailBytes limits the recorded bytes. It is larger than a short response.
const maxTailBytes = 8 << 10

// Read implements io.Reader.
func (t *connTrace) Read(p []byte) (int, error) {
	n, err := t.source.Read(p)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tail = append(t.tail, p[:n]...)
	t.tail = t.tail[max(0, len(t.tail)-maxTailBytes):]
	return n, err
}

// summary returns the recorded bytes, with repeated lines replaced by a count.
func (t *connTrace) summary() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out strings.Builder
	for lines := strings.SplitAfter(string(t.tail), "\n"); len(lines) > 0; {
		n := 1
		for n < len(lines) && lines[n] == lines[0] {
			n++
		}
		out.WriteString(lines[0])
		if n > 1 {
			fmt.Fprintf(&out, "(%d times)\n", n)
		}
		lines = lines[n:]
	}
	return out.String()
}

func (u *uploader) failUpload(up *upload, format string, args ...any) {
	u.fail("%s %s (%d bytes, chunked %v, expect 100-continue %v, request %d on the connection from %v): "+format+"; last bytes received: %q",
		append(append([]any{up.id, up.mode, up.length, up.chunked, up.expectContinue, u.requestsOnConn, u.conn.LocalAddr()}, args...), u.trace.summary())...)
}

// checkIdle checks that no bytes have arrived on the connection since the last response. Such bytes
// would not belong to any request. It returns false if the node has closed the connection, which is
// allowed while no request is in flight.
func (u *uploader) checkIdle() bool {
	_ = u.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	b, err := u.reader.Peek(1)
	_ = u.conn.SetReadDeadline(time.Time{})
	if len(b) > 0 {
		u.fail("%s: received %q on a connection from %v without an outstanding request", u.nodes[u.node].name, u.trace.summary(), u.conn.LocalAddr())
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// readResponses reads one final response per request. It returns false if the connection is closed.
func (u *uploader) readResponses(batch []*upload) bool {
	for i, up := range batch {
		u.requestsOnConn++
		resp, err := u.readResponseHead(up)
		if err != nil {
			u.checkInterrupted(up, batch[i:], err)
			return false
		}
		body, err := io.ReadAll(resp.Body)
		up.releaseBody()
		if err != nil {
			u.checkInterrupted(up, batch[i:], err)
			return false
		}
		u.checkResponse(up, resp, string(body))
		if i == len(batch)-1 && !resp.Close {
			u.checkKeptOpen(up)
		}
		if resp.Close {
			u.connEnded.Store(true)
			for _, next := range batch[i+1:] {
				u.requests.recordNotRun(next.id, "pipelined after a request whose response has Connection: close")
			}
			u.checkClosed(up)
			return false
		}
	}
	return true
}

// readResponseHead reads up to the head of the final response. At most one interim response is
// allowed before it, and only if the request expects one.
func (u *uploader) readResponseHead(up *upload) (*http.Response, error) {
	for continued := false; ; continued = true {
		if err := u.awaitResponse(up); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(u.reader, &http.Request{Method: up.method()})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
		if resp.StatusCode != http.StatusContinue || !up.expectContinue || continued {
			u.failUpload(up, "unexpected interim response %d", resp.StatusCode)
		}
		up.releaseBody()
	}
}

var errNoResponse = errors.New("no response")

// awaitResponse waits for the first byte of a response. It waits until responseTimeout after the last
// byte of the body was sent, but at most twice responseTimeout in total, because a node that does not
// read the body prevents the caller from sending its last byte.
func (u *uploader) awaitResponse(up *upload) error {
	defer func() { _ = u.conn.SetReadDeadline(time.Now().Add(responseTimeout)) }()
	for {
		_ = u.conn.SetReadDeadline(time.Now().Add(time.Second))
		_, err := u.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		sentAt := up.sentAt.Load()
		if sentAt != 0 && time.Since(time.Unix(0, sentAt)) > responseTimeout || time.Since(up.startedAt) > 2*responseTimeout {
			return errNoResponse
		}
	}
}

// checkResponse checks a final response.
func (u *uploader) checkResponse(up *upload, resp *http.Response, body string) {
	kind := fault.Kind(resp.Header.Get(fault.Header))
	if id := resp.Header.Get(dialect.RequestID); id != up.id {
		u.failUpload(up, "response %d %s belongs to request %q", resp.StatusCode, kind, id)
	}
	switch {
	case resp.StatusCode == http.StatusOK && kind == "":
		if body != up.responseBody() {
			u.failUpload(up, "wrong or incomplete response body: %d bytes, %.60q", len(body), body)
		}
		if ran, _ := u.requests.executions(up.id); len(ran) == 0 {
			u.failUpload(up, "successful response, but no server executed the request")
		}
		u.uploaded.Add(1)
	case unexpectedResponse(resp, []byte(body)):
		u.failUpload(up, "unexpected response: %d %s %.200q", resp.StatusCode, kind, body)
	case reportsNotRun(resp):
		u.requests.recordNotRun(up.id, "fault "+string(kind))
		u.refused.Add(1)
	}
}

// stopNoticeTime is the time allowed for a process to handle SIGTERM.
const stopNoticeTime = time.Second

// checkKeptOpen checks that a response which keeps the connection open does not come from a node
// that is stopping gracefully. Such a node must close its connections with its responses, so that
// callers switch to other nodes before it exits.
func (u *uploader) checkKeptOpen(up *upload) {
	node := u.nodes[u.node]
	since := node.stopRequested()
	if !since.IsZero() && up.startedAt.Sub(since) > stopNoticeTime && node.onlyGracefulStops(since.Add(-faultAftermath)) {
		u.failUpload(up, "response without Connection: close %v after the node's graceful stop began", time.Since(since))
	}
}

// checkClosed checks that the connection closes after a response that announced it, without further
// bytes.
func (u *uploader) checkClosed(up *upload) {
	_ = u.conn.SetReadDeadline(time.Now().Add(closeTimeout))
	switch n, err := io.Copy(io.Discard, u.reader); {
	case n > 0:
		u.failUpload(up, "%d bytes after a response with Connection: close", n)
	case errors.Is(err, os.ErrDeadlineExceeded) && u.nodes[u.node].undisturbed(closeTimeout+recoveryTime):
		u.failUpload(up, "connection still open %v after a response with Connection: close", closeTimeout)
	}
}

// faultAftermath is the time after the end of a fault during which it may still interrupt new
// requests, for example because connections between nodes are broken, which is noticed only when a
// request is sent on them. Requests sent later must not be interrupted. A response that is already in
// flight can be interrupted only by a concurrent fault.
const faultAftermath = time.Second

// checkInterrupted checks whether a connection was allowed to end before the complete response to a
// request. This is allowed if a process that handled the request was killed, paused or partitioned
// meanwhile, and at a stopping node that has not forwarded the request.
func (u *uploader) checkInterrupted(up *upload, batch []*upload, err error) {
	if u.trace.closedByCaller.Load() {
		return
	}
	ran, attempts := u.requests.executions(up.id)
	// An interrupted response ends the connection, including the responses to earlier requests.
	var nodes []int
	for _, other := range batch {
		executedAt, _ := u.requests.executions(other.id)
		nodes = append(nodes, executedAt...)
	}
	node, since := u.nodes[u.node], up.startedAt.Add(-faultAftermath)
	switch {
	case errors.Is(err, errNoResponse), errors.Is(err, os.ErrDeadlineExceeded):
		if node.undisturbed(time.Since(up.startedAt) + recoveryTime) {
			u.failUpload(up, "no complete response within %v of the last byte of the request; %d attempts, executed at nodes %v", responseTimeout, attempts, ran)
		}
	case !endOfConnection(err):
		u.failUpload(up, "invalid HTTP response: %v", err)
	case attempts == 0 && node.undisturbed(time.Since(up.startedAt)+recoveryTime) && node.stopRequested().IsZero():
		// A stopping node does not count as undisturbed, however long ago the stop was requested:
		// a request may arrive while the node closes its connections at the end of the stop. The
		// node has then not forwarded the request. Three traces show this, 4.2 to 4.5 s after the
		// stop request on a busy machine.
		u.failUpload(up, "undisturbed node closed the connection without a response: %v", err)
	case len(ran) > 0 && node.onlyGracefulStops(since) && u.onlyGracefulStopsAt(nodes, since):
		if time.Since(up.startedAt) >= up.timeout() {
			// The deadline limits the beginning of a response. The end of a stop may interrupt
			// one that takes longer.
			u.lateInterruptions[u.node].Add(1)
			return
		}
		u.failUpload(up, "executed at nodes %v, response interrupted although these nodes and the caller's node were at most stopped gracefully: %v", ran, err)
	}
}

func (u *uploader) onlyGracefulStopsAt(nodes []int, since time.Time) bool {
	for _, n := range nodes {
		if !u.nodes[n].onlyGracefulStops(since) {
			return false
		}
	}
	return true
}
