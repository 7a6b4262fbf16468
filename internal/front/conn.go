package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/internal/hop"
)

const readBuffer = 4 << 10

// conn is one caller's connection. Its goroutine reads requests; each request
// has a goroutine of its own; the answers take turns.
type conn struct {
	server *Server
	raw    net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	reader *bufio.Reader
	budget *headBudget
	// turns bounds the requests under way.
	turns chan struct{}
	// last is closed when the answer before the next request's is out.
	last chan struct{}

	mu sync.Mutex
	// pending counts requests read and not answered.
	pending int
	// closing: an answer told the caller that the connection ends, or it broke;
	// requests behind that answer are not read.
	closing bool
	handler sync.WaitGroup
}

func newConn(s *Server, raw net.Conn, ctx context.Context, cancel context.CancelFunc) *conn {
	c := &conn{server: s, raw: raw, ctx: ctx, cancel: cancel, turns: make(chan struct{}, maxPipelined)}
	c.budget = &headBudget{raw: raw}
	c.reader = bufio.NewReaderSize(c.budget, readBuffer)
	c.last = make(chan struct{})
	close(c.last)
	return c
}

// headBudget bounds how much is read for one request's head.
type headBudget struct {
	raw  net.Conn
	left int64
	on   bool
	// failed is the last error of the connection itself; the parser above reports a
	// head that ends within a line as malformed, whatever ended it.
	failed error
}

var errHeadTooLarge = errors.New("the request's head is too large")

// Read reads from the connection, within the budget if it is on.
func (b *headBudget) Read(p []byte) (int, error) {
	if !b.on {
		return b.raw.Read(p)
	}
	if b.left <= 0 {
		b.failed = errHeadTooLarge
		return 0, b.failed
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.raw.Read(p)
	b.left -= int64(n)
	b.failed = err
	return n, err
}

const h2Preface = "PRI "

func (c *conn) serve() {
	handedOver := false
	defer func() {
		// The caller is gone, or nothing more is to be read: what still runs for it
		// ends when the caller hung up, and is answered when it only sent no more.
		c.handler.Wait()
		c.cancel()
		if !handedOver {
			_ = c.raw.Close()
		}
	}()
	if c.speaksH2() {
		handedOver = c.server.h2conns.give(rewound{c.raw, c.reader})
		return
	}
	for c.next() {
	}
}

// speaksH2 waits for the first bytes.
func (c *conn) speaksH2() bool {
	limits := c.server.limits.Load()
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	first, err := c.reader.Peek(1)
	if err != nil || first[0] != h2Preface[0] {
		return false
	}
	start, err := c.reader.Peek(len(h2Preface))
	_ = c.raw.SetReadDeadline(time.Time{})
	return err == nil && string(start) == h2Preface
}

// next reads one request and starts it; false means that none follows.
func (c *conn) next() bool {
	limits := c.server.limits.Load()
	if !c.waitForRequest(limits) {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.budget.on, c.budget.failed, c.budget.left = true, nil, int64(limits.MaxHeaderBytes+readBuffer)
	r, err := http.ReadRequest(c.reader)
	c.budget.on = false
	_ = c.raw.SetReadDeadline(time.Time{})
	if err != nil {
		if c.budget.failed != nil {
			err = c.budget.failed
		}
		c.refuse(statusOf(err))
		return false
	}
	if problem := unfit(r, limits); problem != 0 {
		c.refuse(problem)
		return false
	}
	return c.begin(r)
}

// waitForRequest waits for a request's first byte. Meanwhile requests may run;
// a connection that ends under them means that their caller is gone.
func (c *conn) waitForRequest(limits *Limits) bool {
	for {
		if !c.awaits(limits) {
			return false
		}
		// Blank lines between requests are allowed.
		b, err := c.reader.Peek(1)
		switch {
		case err == nil && (b[0] == '\r' || b[0] == '\n'):
			_, _ = c.reader.Discard(1)
			continue
		case err == nil:
			return true
		case isTimeout(err) && c.busy():
			continue
		case !isTimeout(err):
			c.cancel()
		}
		return false
	}
}

// awaits tells whether another request may come, and gives it the idle time. Both
// under the lock: a deadline set here after the one that ends the connection would
// undo that one, and leave the reader waiting on a connection that has ended.
func (c *conn) awaits(limits *Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.pending == 0 {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	return true
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// statusOf is the answer to a head that could not be read; 0 for none, since
// the caller is gone.
func statusOf(err error) int {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return 0
	}
	var op *net.OpError
	if errors.As(err, &op) {
		return 0
	}
	return http.StatusBadRequest
}

// unfit checks what http.ReadRequest leaves to its caller.
func unfit(r *http.Request, limits *Limits) int {
	switch {
	case r.ProtoMajor != 1:
		return http.StatusHTTPVersionNotSupported
	case r.ProtoMinor == 1 && r.Host == "":
		return http.StatusBadRequest
	case r.Method == http.MethodConnect:
		return http.StatusNotImplemented
	case !properNames(r.Header):
		return http.StatusBadRequest
	case limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// properNames tells whether all field names are tokens. A name with a space before
// its colon is read as one field by some programs and as another by others, which
// smuggles fields past the first of them.
func properNames(h http.Header) bool {
	for name := range h {
		for i := range len(name) {
			if !isToken(name[i]) {
				return false
			}
		}
	}
	return true
}

func isToken(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// refuse answers a request that could not be read, behind all earlier answers,
// and ends the connection.
func (c *conn) refuse(status int) {
	if status == 0 {
		c.cancel()
		return
	}
	select {
	case <-c.last:
	case <-c.ctx.Done():
		return
	}
	w := newResponse(c, &http.Request{ProtoMajor: 1, ProtoMinor: 1, Method: http.MethodGet, Header: http.Header{}}, c.last)
	w.mustClose = true
	http.Error(w, http.StatusText(status), status)
	w.finish()
	c.lingerClose()
}

// lingerTime is how long what a caller still sends behind its last answer is read and
// dropped: closing with unread bytes resets the connection, and what is still on its
// way of the answer is lost.
const lingerTime = 500 * time.Millisecond

func (c *conn) lingerClose() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.raw)
}

// begin starts a request; false means that nothing more may be read.
func (c *conn) begin(r *http.Request) bool {
	select {
	case c.turns <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}
	c.mu.Lock()
	if c.closing {
		// Sent behind an answer that ended the connection: not read, not run.
		c.mu.Unlock()
		return false
	}
	c.pending++
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(c.ctx)
	r = r.WithContext(ctx)
	r.RemoteAddr = c.raw.RemoteAddr().String()
	w := newResponse(c, r, c.last)
	c.last = w.done
	w.mustClose = wantsClose(r)
	streamed, ok := c.takeBody(r, w)
	if !ok {
		cancel()
		c.ended()
		close(w.done)
		<-c.turns
		c.cancel()
		return false
	}
	c.handler.Go(func() {
		defer cancel()
		c.run(w, r)
		<-c.turns
	})
	if streamed == nil {
		return !w.mustClose || c.watchEnd()
	}
	// The body is read by the handler; the next request follows it.
	select {
	case <-streamed:
	case <-w.done:
	}
	if w.bodyLeft() {
		// The answer is out and says that the connection ends; the caller may still send.
		c.lingerClose()
		return false
	}
	return !w.mustClose || c.watchEnd()
}

// watchEnd waits for the end of a connection on which no further request is
// read, so that a caller that hangs up is noticed.
func (c *conn) watchEnd() bool {
	for c.busy() {
		_ = c.raw.SetReadDeadline(time.Now().Add(watchInterval))
		_, err := c.reader.Peek(1)
		if err != nil && !isTimeout(err) {
			c.cancel()
			return false
		}
		if err == nil {
			// Bytes behind the last request of the connection: nothing of them is read.
			return false
		}
	}
	return false
}

// watchInterval is how often the watch looks whether the answer is out.
const watchInterval = 50 * time.Millisecond

func wantsClose(r *http.Request) bool {
	if r.Close {
		return true
	}
	return r.ProtoMinor == 0 && !strings.EqualFold(r.Header.Get("Connection"), "keep-alive")
}

// takeBody reads a small body ahead. For a large one it returns a channel that
// is closed when the handler has read it; ok is false if the body broke off.
func (c *conn) takeBody(r *http.Request, w *response) (streamed chan struct{}, ok bool) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, true
	}
	if r.ContentLength > 0 && r.ContentLength <= smallBody && r.Header.Get("Expect") == "" {
		held := make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, held); err != nil {
			return nil, false
		}
		r.Body = io.NopCloser(bytes.NewReader(held))
		return nil, true
	}
	body := newStreamedBody(r.Body, w, hop.AsksFirst(r.Header))
	r.Body = body
	w.body = body
	return body.finished, true
}

func (c *conn) run(w *response, r *http.Request) {
	defer func() {
		if v := recover(); v != nil {
			//nolint:errorlint // a panic's value, compared as net/http does
			if v != http.ErrAbortHandler {
				klog.ErrorS(nil, "Handler panicked", "panic", v, "stack", string(debug.Stack()))
			}
			w.abort()
		}
		w.last = c.ended() || w.last
		close(w.done)
		w.closeIfLast()
	}()
	c.server.handler.ServeHTTP(w, r)
	w.finish()
}

// ended counts a request out and tells whether its connection ends. A shutdown
// that looked between the answer and this took the connection for busy and left
// it; without the second look here it would stay open until its idle time is
// over, and hold the shutdown up.
func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if c.pending == 0 && c.server.closed.Load() {
		c.closing = true
	}
	return c.closing
}

// lastWord tells whether the answer that is about to go out is the connection's
// last, and if so sees to it that nothing more is read. An answer says so only
// when no request behind it is under way: that one would be lost.
func (c *conn) lastWord(mustClose bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || mustClose || c.server.draining.Load() && c.pending == 1 {
		c.closing = true
	}
	return c.closing
}

// closeIfIdle closes a connection that has no request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.pending == 0
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		_ = c.raw.Close()
	}
}
