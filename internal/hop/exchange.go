package hop

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/gate"
)

// Outgoing is a request to send. Header must hold no hop-by-hop fields.
type Outgoing struct {
	Method, URI, Host string
	Header            http.Header
	// Extra are header fields that override Header without changing it.
	Extra []Field
	// Buffered is a body held in memory; it can be sent again.
	Buffered []byte
	// Stream is a body read once, of Length bytes, or of unknown length if
	// negative. It is sent only after the peer asked for it (100 Continue).
	Stream *Body
	Length int64
	// Unasked: the peer does not ask for a streamed body; it is sent at once.
	Unasked bool
	// IDField and ID: an answer that carries another id in this field belongs to
	// an earlier request and is dropped. Empty means not checked.
	IDField, ID string
	// OnInterim, if not nil, is called with the header of each interim answer.
	OnInterim func(http.Header)
	// Deadline bounds the exchange up to the end of the answer's head.
	Deadline time.Time
	// Attempt names the attempt in the log.
	Attempt gate.AttemptID
}

// AskFirst has the peer asked whether it wants a body that is held in memory. A
// gate that refuses a request or moves it has no use for the body, which would take
// a share of its host's link all the same, and of that between data centres.
func (out *Outgoing) AskFirst() {
	out.Stream, out.Length, out.Buffered = NewBody(bytes.NewReader(out.Buffered), nil), int64(len(out.Buffered)), nil
}

// AsksFirst tells whether the sender of a request waits to be asked for its body.
func AsksFirst(h http.Header) bool { return strings.EqualFold(h.Get("Expect"), "100-continue") }

// Field is one header field.
type Field struct{ Name, Value string }

// LostError means that the request was sent, in whole or in part, and no answer
// came: it may have run.
type LostError struct {
	Err error
	// Reused: the connection had served earlier requests.
	Reused bool
}

// Error tells the cause.
func (e *LostError) Error() string {
	return "the connection broke before the answer: " + e.Err.Error()
}

// Unwrap gives the cause.
func (e *LostError) Unwrap() error { return e.Err }

// longPast makes pending reads and writes of a connection fail at once.
var longPast = time.Unix(1, 0)

// Do sends the request and returns the answer's head; the body must be read to
// its end or closed. The error is a *DialError when nothing was sent.
func (p *Pool) Do(ctx context.Context, out *Outgoing) (*http.Response, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(out.Deadline)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(longPast) })
	x := &exchange{ctx: ctx, pool: p, conn: c, stop: stop}
	resp, err := x.run(out)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &LostError{err, c.reused}
	}
	// The body may take longer than the deadline for its head: an upload or a
	// long answer is not cut, the caller's going away still is.
	x.lift()
	return resp, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	ctx  context.Context
	pool *Pool
	conn *conn
	stop func() bool
	// sender sends a streamed body, once the peer asked for it; it is gone when the
	// exchange has ended.
	sender   *sender
	unusable bool
	foreign  int
	done     bool
}

func (x *exchange) run(out *Outgoing) (*http.Response, error) {
	if err := writeHead(x.conn.writer, out); err != nil {
		return nil, err
	}
	if out.Stream == nil {
		if _, err := x.conn.writer.Write(out.Buffered); err != nil {
			return nil, err
		}
	}
	if err := x.conn.writer.Flush(); err != nil {
		return nil, err
	}
	if out.Stream != nil && out.Unasked {
		x.sendBody(out)
	}
	return x.readHead(out)
}

func (x *exchange) readHead(out *Outgoing) (*http.Response, error) {
	request := &http.Request{Method: out.Method}
	for {
		resp, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusContinue && out.Stream != nil && x.sender == nil {
			x.sendBody(out)
			continue
		}
		if resp.StatusCode < http.StatusOK {
			if out.OnInterim != nil {
				out.OnInterim(resp.Header)
			}
			continue
		}
		if out.foreign(resp) {
			if err := x.drop(resp); err != nil {
				return nil, err
			}
			continue
		}
		if out.Stream != nil && x.sender == nil {
			// The answer came without the body: what the peer expects next on
			// this connection is not certain.
			x.unusable = true
		}
		resp.Body = &body{ReadCloser: resp.Body, x: x, reusable: !resp.Close}
		return resp, nil
	}
}

// maxForeign bounds the answers to earlier requests that are dropped before a
// connection is given up.
const maxForeign = 3

// foreign tells whether an answer belongs to an earlier request.
func (out *Outgoing) foreign(resp *http.Response) bool {
	if out.IDField == "" {
		return false
	}
	id := resp.Header.Get(out.IDField)
	return id != "" && id != out.ID
}

var errForeign = errors.New("the answers on this connection belong to other requests")

// drop reads an answer that is not this request's out of the way. The connection
// is not used again: what else waits on it is not known.
func (x *exchange) drop(resp *http.Response) error {
	x.unusable = true
	x.foreign++
	if x.foreign > maxForeign || resp.Close {
		return errForeign
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// lift takes the deadline off, unless the caller went away or the body broke off
// meanwhile.
func (x *exchange) lift() {
	_ = x.conn.SetDeadline(time.Time{})
	if x.ctx.Err() != nil || x.conn.failed.Load() {
		_ = x.conn.SetDeadline(longPast)
	}
}

// sendBody streams the body beside the reading of the answer, which may come
// before the body's end.
func (x *exchange) sendBody(out *Outgoing) {
	x.lift()
	x.sender = startSender(x.conn, out)
}

func writeHead(w *bufio.Writer, out *Outgoing) error {
	writeAll(w, out.Method, " ", out.URI, " HTTP/1.1\r\nHost: ", out.Host, "\r\n")
	for name, values := range out.Header {
		if overridden(out.Extra, name) {
			continue
		}
		for _, v := range values {
			writeAll(w, name, ": ", v, "\r\n")
		}
	}
	for _, f := range out.Extra {
		if f.Value != "" {
			writeAll(w, f.Name, ": ", f.Value, "\r\n")
		}
	}
	switch {
	case out.Stream == nil && len(out.Buffered) == 0:
		if out.Method == http.MethodPost || out.Method == http.MethodPut || out.Method == http.MethodPatch {
			writeAll(w, "Content-Length: 0\r\n")
		}
	case out.Stream == nil:
		writeAll(w, "Content-Length: ", strconv.Itoa(len(out.Buffered)), "\r\n")
	case out.Length >= 0:
		writeAll(w, out.expect(), "Content-Length: ", strconv.FormatInt(out.Length, 10), "\r\n")
	default:
		writeAll(w, out.expect(), "Transfer-Encoding: chunked\r\n")
	}
	_, err := w.WriteString("\r\n")
	return err
}

// expect is the field that asks the peer whether to send the body.
func (out *Outgoing) expect() string {
	if out.Unasked {
		return ""
	}
	return "Expect: 100-continue\r\n"
}

// writeAll leaves errors to the final write: a bufio.Writer keeps the first.
func writeAll(w *bufio.Writer, parts ...string) {
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

// abort ends the exchange at the cost of its connection.
func (x *exchange) abort() {
	if x.done {
		return
	}
	x.done = true
	x.stop()
	_ = x.conn.Close()
	if x.sender != nil {
		x.sender.end()
	}
}

// finish gives the connection back if the exchange left it clean. One with an
// answer or a body outstanding must not be used again: the next caller would
// read somebody else's answer.
func (x *exchange) finish(reusable bool) {
	if x.done {
		return
	}
	bodyOut := x.sender != nil && !x.sender.finished()
	// Bytes after the answer's end belong to no request.
	spare := x.conn.reader.Buffered() > 0
	if !reusable || bodyOut || spare || x.unusable || !x.stop() {
		x.abort()
		return
	}
	x.done = true
	if x.sender != nil {
		x.sender.end()
	}
	x.pool.put(x.conn)
}

// body ends the exchange when the answer's body ends.
type body struct {
	io.ReadCloser
	x        *exchange
	reusable bool
	ended    bool
}

// Read reads the answer's body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended = true
		b.x.finish(b.reusable)
	default:
		b.x.abort()
	}
	return n, err
}

// Close ends the exchange; a body not read to its end costs the connection.
func (b *body) Close() error {
	if !b.ended {
		b.x.abort()
	}
	return nil
}
