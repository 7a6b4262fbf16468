package hop

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/gate"
	"cactuspath/internal/hangup"
	"cactuspath/internal/resources"
)

// Outgoing is a request to send. Header must not contain hop-by-hop fields.
type Outgoing struct {
	Method, URI, Host string
	Header            http.Header
	// Extra holds header fields that override Header without changing it.
	Extra []Field
	// Buffered is a body held in memory; it can be sent again.
	Buffered []byte
	// Stream is a body that can be read only once. It has Length bytes, or an unknown number
	// if Length is negative. It is sent only after the peer has requested it with 100
	// Continue, unless SkipContinue is set.
	Stream *Body
	Length int64
	// SkipContinue sends a streamed body at once, without waiting for 100 Continue.
	SkipContinue bool
	// IDField is the header field in which a response repeats the ID of its request; ID is
	// that of this request. A response with another ID belongs to an earlier request and is
	// discarded. If IDField is empty, responses are not checked.
	IDField, ID string
	// OnInterim, if not nil, is called with the header of each interim (1xx) response.
	OnInterim func(http.Header)
	// OnBodySent, if not nil, is called with the number of bytes of each part of the body
	// that is about to be sent, also from another goroutine.
	OnBodySent func(bytes int)
	// Deadline limits the exchange up to the end of the response head. The response body may take
	// longer within the limits of bodyLimit. Sending a streamed body may take longer; the response
	// then has the time anew that was left at the begin. If it is zero, nothing is limited.
	Deadline time.Time
	// PeerResponds reports whether the node that the request was sent to responds to another one; nil
	// if that cannot be found out.
	PeerResponds func(context.Context) bool
	// Attempt identifies the attempt in the log.
	Attempt gate.AttemptID
}

// ExpectContinue makes the request wait for 100 Continue before a body that is held in memory
// is sent. A gate that refuses or moves a request does not need the body, which would still
// take bandwidth of its host's link and of the links between data centres.
func (out *Outgoing) ExpectContinue() {
	out.Stream, out.Length, out.Buffered = NewBody(bytes.NewReader(out.Buffered), nil), int64(len(out.Buffered)), nil
}

// reportBodySent reports a part of the body that is about to be sent.
func (out *Outgoing) reportBodySent(bytes int) {
	if out.OnBodySent != nil && bytes > 0 {
		out.OnBodySent(bytes)
	}
}

// ExpectsContinue reports whether the sender of a request waits for 100 Continue.
func ExpectsContinue(h http.Header) bool { return strings.EqualFold(h.Get("Expect"), "100-continue") }

// Field is one header field.
type Field struct{ Name, Value string }

// LostError means that the request was sent, completely or in part, but no response was
// received. The request may have run.
type LostError struct {
	Err error
	// Reused is set if the connection had carried earlier requests.
	Reused bool
}

// Error returns the cause with the state of the request.
func (e *LostError) Error() string {
	return "the connection broke before the answer: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// aLongTimeAgo is a deadline that makes pending reads and writes fail immediately.
var aLongTimeAgo = time.Unix(1, 0)

// ErrCallerGone means that nothing was sent, because the request's sender had disconnected.
var ErrCallerGone = errors.New("the sender of the request has disconnected")

// Do sends the request and returns the response head; the body must be read to its end or
// closed. If nothing was sent, the error is a *DialError or ErrCallerGone, and otherwise a
// *LostError.
func (p *Pool) Do(ctx context.Context, out *Outgoing) (*http.Response, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	if hangup.Gone(ctx) {
		p.put(c)
		return nil, ErrCallerGone
	}
	_ = c.SetDeadline(out.Deadline)
	c.headLeft, c.bodyLimit, c.request = maxHeadBytes, nil, resources.RequestOf(ctx)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(aLongTimeAgo) })
	x := &exchange{ctx: ctx, pool: p, conn: c, stop: stop, begin: time.Now()}
	resp, err := x.run(out)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &LostError{err, c.reused}
	}
	x.headRead(out, resp)
	return resp, nil
}

// exchange is one request and its response on one connection.
type exchange struct {
	ctx  context.Context
	pool *Pool
	conn *conn
	stop func() bool
	// sender sends a streamed body once the peer has requested it; nil before that. Its
	// goroutine ends before the exchange does, unless its source cannot be interrupted.
	sender     *sender
	unusable   bool
	mismatched int
	done       bool
	begin      time.Time

	// mu guards hasHead, which is set when the response head has been read.
	mu      sync.Mutex
	hasHead bool
}

func (x *exchange) run(out *Outgoing) (*http.Response, error) {
	if err := writeHead(x.conn.writer, out); err != nil {
		return nil, err
	}
	if out.Stream == nil {
		out.reportBodySent(len(out.Buffered))
		if _, err := x.conn.writer.Write(out.Buffered); err != nil {
			return nil, err
		}
	}
	if err := x.conn.writer.Flush(); err != nil {
		return nil, err
	}
	if out.Stream != nil && out.SkipContinue {
		x.sendBody(out)
	}
	return x.readHead(out)
}

func (x *exchange) readHead(out *Outgoing) (*http.Response, error) {
	request := &http.Request{Method: out.Method}
	for {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil && x.conn.headLeft <= 0 {
			// A line that was cut off by the limit may have been parsed.
			err = ErrHeadTooLong
		}
		if err != nil {
			return nil, err
		}
		if err := validateHead(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusContinue && out.Stream != nil && x.sender == nil {
			if hangup.Gone(x.ctx) {
				// The source may hold a whole body whose caller has left since.
				return nil, ErrCallerGone
			}
			x.sendBody(out)
			continue
		}
		if resp.StatusCode < http.StatusOK {
			if out.OnInterim != nil {
				out.OnInterim(resp.Header)
			}
			continue
		}
		if out.isMismatched(resp) {
			if err := x.discard(resp); err != nil {
				return nil, err
			}
			continue
		}
		if out.Stream != nil && x.sender == nil {
			// The peer responded without requesting the body: what it expects next on this
			// connection is uncertain.
			x.unusable = true
		}
		resp.Body = &responseBody{ReadCloser: resp.Body, x: x, resp: resp, reusable: !resp.Close, endsWithConn: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0}
		return resp, nil
	}
}

// maxMismatched limits the responses to earlier requests that are discarded before the
// connection is closed.
const maxMismatched = 3

// isMismatched reports whether a response belongs to an earlier request.
func (out *Outgoing) isMismatched(resp *http.Response) bool {
	if out.IDField == "" {
		return false
	}
	id := resp.Header.Get(out.IDField)
	return id != "" && id != out.ID
}

var errMismatchedResponses = errors.New("responses on this connection belong to other requests")

// discard reads and drops a response that belongs to another request. The connection is not
// reused, since more such responses may follow.
func (x *exchange) discard(resp *http.Response) error {
	x.unusable = true
	x.mismatched++
	if x.mismatched > maxMismatched || resp.Close {
		return errMismatchedResponses
	}
	x.conn.headLeft = maxDiscardedBytes + bufferSize
	err := copyShort(resp.Body)
	x.conn.headLeft = maxHeadBytes
	return err
}

// setDeadline sets the deadline, unless ctx was canceled or sending the body failed in the
// meantime. The zero time removes it.
func (x *exchange) setDeadline(t time.Time) { x.limitTime(x.conn.SetDeadline, t) }

// setReadDeadline is like setDeadline, for reads only: the rest of a streamed body may still be sent.
func (x *exchange) setReadDeadline(t time.Time) { x.limitTime(x.conn.SetReadDeadline, t) }

func (x *exchange) limitTime(set func(time.Time) error, t time.Time) {
	_ = set(t)
	if x.ctx.Err() != nil || x.conn.failed.Load() {
		_ = x.conn.SetDeadline(aLongTimeAgo)
	}
}

// headRead replaces the deadline by the limits of the body, since the response head has been read.
// Canceling ctx still ends the exchange.
func (x *exchange) headRead(out *Outgoing, resp *http.Response) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hasHead = true
	x.setDeadline(time.Time{})
	x.conn.bodyLimit = &bodyLimit{x: x, out: out, length: resp.ContentLength}
}

// sendBody streams the body concurrently with reading the response, which may arrive before
// the body is sent. Sending the body may take longer than the deadline.
func (x *exchange) sendBody(out *Outgoing) {
	x.setDeadline(time.Time{})
	x.sender = startSender(x.conn, out, func() { x.awaitHead(out) })
}

// awaitHead limits the wait for the response head after the body was sent: to the time that was
// left when the exchange began. Otherwise, a request on a connection that has fallen silent would
// wait for as long as its caller does.
func (x *exchange) awaitHead(out *Outgoing) {
	if out.Deadline.IsZero() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.hasHead {
		x.setDeadline(time.Now().Add(out.Deadline.Sub(x.begin)))
	}
}

func writeHead(w *bufio.Writer, out *Outgoing) error {
	writeStrings(w, out.Method, " ", out.URI, " HTTP/1.1\r\nHost: ", out.Host, "\r\n")
	for name, values := range out.Header {
		if overridden(out.Extra, name) {
			continue
		}
		for _, v := range values {
			writeStrings(w, name, ": ", v, "\r\n")
		}
	}
	for _, f := range out.Extra {
		if f.Value != "" {
			writeStrings(w, f.Name, ": ", f.Value, "\r\n")
		}
	}
	switch {
	case out.Stream == nil && len(out.Buffered) == 0:
		if out.Method == http.MethodPost || out.Method == http.MethodPut || out.Method == http.MethodPatch {
			writeStrings(w, "Content-Length: 0\r\n")
		}
	case out.Stream == nil:
		writeStrings(w, "Content-Length: ", strconv.Itoa(len(out.Buffered)), "\r\n")
	case out.Length >= 0:
		writeStrings(w, out.expectField(), "Content-Length: ", strconv.FormatInt(out.Length, 10), "\r\n")
	default:
		writeStrings(w, out.expectField(), "Transfer-Encoding: chunked\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

// expectField returns the field that makes the peer request the body before it is sent.
func (out *Outgoing) expectField() string {
	if out.SkipContinue {
		return ""
	}
	return "Expect: 100-continue\r\n"
}

// writeStrings leaves error handling to the final write: a bufio.Writer keeps the first error.
func writeStrings(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = w.WriteString(p)
	}
}

func overridden(extra []Field, name string) bool {
	for i := range extra {
		if extra[i].Name == name {
			return true
		}
	}
	return false
}

// abort ends the exchange and closes its connection.
func (x *exchange) abort() {
	if x.done {
		return
	}
	x.done = true
	x.stop()
	_ = x.conn.Close()
	if x.sender != nil {
		x.sender.stopAndWait()
	}
}

// finish returns the connection to the pool if it can be reused. A connection with a pending
// response or body must not be reused: the next caller would read another caller's response.
func (x *exchange) finish(reusable bool) {
	if x.done {
		return
	}
	bodyUnsent := x.sender != nil && !x.sender.completed()
	// Bytes after the end of the response belong to no request.
	extraBytes := x.conn.reader.Buffered() > 0
	if !reusable || bodyUnsent || extraBytes || x.unusable || !x.stop() {
		x.abort()
		return
	}
	x.done = true
	if x.sender != nil {
		x.sender.stopAndWait()
	}
	x.conn.bodyLimit, x.conn.request = nil, nil
	// An idle connection whose deadline has passed would count as broken.
	_ = x.conn.SetDeadline(time.Time{})
	x.pool.put(x.conn)
}

var errResetDuringBody = errors.New("the connection was reset before the end of the response")

// responseBody ends the exchange at the end of the response body.
type responseBody struct {
	io.ReadCloser
	x        *exchange
	resp     *http.Response
	reusable bool
	ended    bool
	// endsWithConn is set if only the end of the connection tells the end of the body.
	endsWithConn bool
}

// Read reads the response body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended = true
		if !ValidFields(b.resp.Trailer) {
			b.x.abort()
			return n, ErrMalformedResponse
		}
		b.x.finish(b.reusable)
		if b.endsWithConn && b.x.sender.wasReset() {
			return n, errResetDuringBody
		}
	default:
		b.x.abort()
	}
	return n, err
}

// Close ends the exchange; if the body was not read to its end, the connection is closed.
func (b *responseBody) Close() error {
	if !b.ended {
		b.x.abort()
	}
	return nil
}
