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

	"cactuspath/internal/hangup"
	"cactuspath/internal/hop"
	"cactuspath/internal/resources"
)

const readBufferSize = 4 << 10

// conn is one caller's connection. Its goroutine reads the requests; each request is
// handled in a goroutine of its own; the responses are written in the order of the
// requests.
type conn struct {
	server  *Server
	raw     net.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	reader  *bufio.Reader
	account *resources.Account
	// stalls tells how long the caller has kept this end waiting.
	stalls stalls
	// pipelineSlots bounds the number of requests in progress.
	pipelineSlots chan struct{}
	// prevDone is closed when the response to the last request that was read has been sent.
	prevDone chan struct{}

	mu sync.Mutex
	// pending is the number of requests that were read and whose responses were not sent yet, and
	// lastNumber the number of the last one that was started.
	pending    int
	lastNumber uint64
	// streaming is the number of responses that are sent, or will be, before they are complete.
	streaming int
	// closing is set once a response has announced that the connection closes or was aborted.
	// No further request on the connection is started then.
	closing  bool
	handlers sync.WaitGroup
	// isHandedOff is set while the server of net/http serves the connection.
	isHandedOff bool

	// requestsUnread is set by the reading goroutine when it leaves requests unread that the
	// caller may have sent.
	requestsUnread bool
}

func newConn(s *Server, raw net.Conn, account *resources.Account, ctx context.Context, cancel context.CancelFunc) *conn {
	c := &conn{server: s, raw: raw, account: account, ctx: ctx, cancel: cancel, pipelineSlots: make(chan struct{}, maxPipelined)}
	c.reader = bufio.NewReaderSize(raw, readBufferSize)
	c.prevDone = make(chan struct{})
	close(c.prevDone)
	c.stalls.idleSince.Store(now())
	return c
}

const h2PrefacePrefix = "PRI "

func (c *conn) serve() {
	defer func() {
		// No more requests are read. Wait for the running ones: if the reader found the end
		// of the connection, they were canceled; otherwise their responses are still sent,
		// also to a caller that then closes its sending side.
		c.handlers.Wait()
		c.cancel()
		_ = c.raw.Close()
		c.account.Close()
	}()
	if c.isHTTP2() {
		c.serveHTTP2()
		return
	}
	for c.serveNext() {
	}
	if c.requestsUnread {
		c.awaitUnread(nil, c.prevDone)
		c.lingerClose()
	}
}

// isHTTP2 waits for the first bytes and reports whether they begin an HTTP/2 preface.
func (c *conn) isHTTP2() bool {
	limits := c.server.limits.Load()
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	first, err := c.reader.Peek(1)
	if err != nil || first[0] != h2PrefacePrefix[0] {
		return false
	}
	start, err := c.reader.Peek(len(h2PrefacePrefix))
	_ = c.raw.SetReadDeadline(time.Time{})
	return err == nil && string(start) == h2PrefacePrefix
}

// serveNext reads one request and starts its handler. It returns false if no further request
// may be read.
func (c *conn) serveNext() bool {
	limits := c.server.limits.Load()
	if !c.waitForRequest(limits) {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	size, err := c.bufferHead(limits)
	_ = c.raw.SetReadDeadline(time.Time{})
	if err != nil {
		c.reject(readErrorStatus(err))
		return false
	}
	var request *resources.Request
	if !c.awaitResources(func() (ok bool) {
		request, ok = c.account.Begin(resources.HeadBytes(size.length, size.lines))
		return ok
	}) {
		c.reject(http.StatusServiceUnavailable)
		return false
	}
	r, status := c.parseHead(size, limits)
	if status == 0 && !c.awaitResources(func() bool { return request.Take(bodyBytes(r)) }) {
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		request.End()
		c.reject(status)
		return false
	}
	return c.startRequest(r, request)
}

// awaitResources calls take until it succeeds. If it takes more than the connection may have, it waits
// for the responses to the earlier requests of the connection. If there are none, stalled connections
// have to give up what they hold, or it returns false.
func (c *conn) awaitResources(take func() bool) bool {
	for c.hasPending() {
		if take() {
			return true
		}
		if c.ctx.Err() != nil {
			return false
		}
		c.awaitUnread(nil, c.prevDone)
	}
	return c.server.takeFromStalled(take)
}

// waitForRequest waits for the first byte of a request. Earlier requests may still be
// running. If the connection ends in the meantime, the caller has disconnected, and they are
// canceled.
func (c *conn) waitForRequest(limits *Limits) bool {
	c.shrinkReader()
	for {
		if !c.armIdleDeadline(limits) {
			return false
		}
		b, err := c.reader.Peek(1)
		switch {
		case err == nil && c.server.closed.Load():
			c.requestsUnread = true
			return false
		// Empty lines between requests are allowed.
		case err == nil && (b[0] == '\r' || b[0] == '\n'):
			_, _ = c.reader.Discard(1)
			continue
		case err == nil:
			return true
		case isTimeout(err) && c.hasPending():
			continue
		case !isTimeout(err):
			c.cancel()
		}
		return false
	}
}

// armIdleDeadline reports whether another request may follow, and if so sets the idle
// deadline. Both happen under the lock. Otherwise the idle deadline could replace the shorter
// one that is set when the connection ends, and the reader would wait on a connection that
// has ended.
func (c *conn) armIdleDeadline(limits *Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.pending == 0 {
		return false
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	return true
}

func (c *conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// readErrorStatus returns the status for a request header that could not be read; 0 means
// that no response is sent, since the caller disconnected.
func readErrorStatus(err error) int {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errNoMemory):
		return http.StatusServiceUnavailable
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

// validateRequest checks what http.ReadRequest leaves to its caller. It returns the
// status to reject the request with, or 0.
func validateRequest(r *http.Request, limits *Limits) int {
	switch {
	case r.ProtoMajor != 1:
		return http.StatusHTTPVersionNotSupported
	case r.ProtoMinor == 1 && r.Host == "":
		return http.StatusBadRequest
	case r.Method == http.MethodConnect:
		return http.StatusNotImplemented
	case !hop.ValidFields(r.Header):
		return http.StatusBadRequest
	case limits.MaxBodyBytes > 0 && r.ContentLength > limits.MaxBodyBytes:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// reject responds to a request that could not be read, after all earlier responses, and
// closes the connection.
func (c *conn) reject(status int) {
	if status == 0 {
		c.cancel()
		return
	}
	select {
	case <-c.prevDone:
	case <-c.ctx.Done():
		return
	}
	w := newResponse(c, &http.Request{ProtoMajor: 1, ProtoMinor: 1, Method: http.MethodGet, Header: http.Header{}}, c.prevDone)
	w.mustClose = true
	if status == http.StatusServiceUnavailable {
		c.logRefusal()
		writeRefusal(w)
	} else {
		http.Error(w, http.StatusText(status), status)
	}
	w.finish()
	c.lingerClose()
}

// lingerTimeout bounds how long data that a caller sends after its last response is still
// read and discarded. Closing with unread bytes resets the connection, and the part of the
// response that is still in transit is lost.
const lingerTimeout = 500 * time.Millisecond

// lingerClose ends the sending side of the connection, and discards what the caller still sends.
func (c *conn) lingerClose() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.raw)
}

// startRequest starts the handler of a request. It returns false if no further request may be
// read.
func (c *conn) startRequest(r *http.Request, request *resources.Request) bool {
	select {
	case c.pipelineSlots <- struct{}{}:
	case <-c.ctx.Done():
		request.End()
		return false
	}
	read := time.Now()
	number, ok := c.admitRequest()
	if !ok {
		request.End()
		return false
	}
	ctx, cancel := context.WithCancel(resources.WithRequest(context.WithValue(c.ctx, readKey{}, read), request))
	r = r.WithContext(ctx)
	r.RemoteAddr = c.raw.RemoteAddr().String()
	w := newResponse(c, r, c.prevDone)
	w.number, w.resources = number, request
	c.prevDone = w.done
	w.mustClose = wantsClose(r)
	bodyFinished, ok := c.prepareBody(r, w)
	if !ok {
		cancel()
		request.End()
		c.finishRequest(w)
		close(w.done)
		<-c.pipelineSlots
		c.cancel()
		return false
	}
	c.handlers.Go(func() {
		defer cancel()
		c.runHandler(w, r)
		<-c.pipelineSlots
	})
	if bodyFinished == nil {
		return !w.mustClose || c.watchHangup()
	}
	// The handler reads the body. The next request can be read only after it.
	c.awaitUnread(bodyFinished, w.done)
	if w.bodyUnread() {
		// The response announced that the connection closes; the caller may still be
		// sending.
		c.lingerClose()
		return false
	}
	return !w.mustClose || c.watchHangup()
}

// readKey is the context key of the time at which a request was read.
type readKey struct{}

// ReadAt returns when the header of the request with the given context was read, or the current time
// if this is not known. A request may wait for a response ahead of it before it is started.
func ReadAt(ctx context.Context) time.Time {
	if read, ok := ctx.Value(readKey{}).(time.Time); ok {
		return read
	}
	return time.Now()
}

// admitRequest reports whether another request may be started, and returns its number. It waits while
// an earlier response is sent before it is complete: if that one is broken off, the connection is
// reset, and a request that was started behind it would run and get no response.
func (c *conn) admitRequest() (number uint64, ok bool) {
	for {
		c.mu.Lock()
		switch {
		case c.closing || c.server.closed.Load():
			// An earlier response has announced that the connection closes, or will do so: the caller
			// takes this request for unread and sends it again.
			c.mu.Unlock()
			c.requestsUnread = true
			return 0, false
		case c.streaming == 0:
			defer c.mu.Unlock()
			c.pending++
			c.lastNumber++
			return c.lastNumber, true
		}
		c.mu.Unlock()
		c.awaitUnread(nil, c.prevDone)
		if c.ctx.Err() != nil {
			return 0, false
		}
	}
}

// beginStreaming reports whether the response may be sent before it is complete. It may not while
// requests behind it have been started, unless force is set.
func (c *conn) beginStreaming(w *response, force bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.streaming && !force && c.lastNumber > w.number {
		return false
	}
	if !w.streaming {
		w.streaming = true
		c.streaming++
	}
	return true
}

// awaitUnread waits until one of the channels is closed: the handler has read the body of the last
// request, or its response has been sent. This may take long, and nothing else reads the connection
// meanwhile, so the running requests are canceled here if the caller disconnects.
func (c *conn) awaitUnread(bodyFinished, responded <-chan struct{}) {
	ticker := time.NewTicker(hangupPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-bodyFinished:
			return
		case <-responded:
			return
		case <-ticker.C:
			hangup.Gone(c.ctx)
		}
	}
}

// watchHangup watches a connection on which no further request is read, so that the running
// requests are canceled if the caller disconnects. It always returns false.
func (c *conn) watchHangup() bool {
	for c.hasPending() {
		_ = c.raw.SetReadDeadline(time.Now().Add(hangupPollInterval))
		_, err := c.reader.Peek(1)
		if err != nil && !isTimeout(err) {
			c.cancel()
			return false
		}
		if err == nil {
			// Bytes after the last request of the connection are not read.
			return false
		}
	}
	return false
}

// hangupPollInterval is how often watchHangup checks whether all responses have been sent, and
// awaitUnread whether the caller has disconnected.
const hangupPollInterval = 50 * time.Millisecond

func wantsClose(r *http.Request) bool {
	if r.Close {
		return true
	}
	return r.ProtoMinor == 0 && !strings.EqualFold(r.Header.Get("Connection"), "keep-alive")
}

// bodyBytes returns the memory that the body of a request needs: a small one is held twice, by the
// connection and as a part of the request that is sent on.
func bodyBytes(r *http.Request) int64 {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return 0
	case r.ContentLength > 0 && r.ContentLength <= maxPrefetchedBody:
		return 2 * r.ContentLength
	}
	return resources.StreamedBodyBytes
}

// prepareBody reads a small body into memory. For a large one it returns a channel that is
// closed when the handler has read it; ok is false if the body ended prematurely.
func (c *conn) prepareBody(r *http.Request, w *response) (bodyFinished chan struct{}, ok bool) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, true
	}
	if r.ContentLength > 0 && r.ContentLength <= maxPrefetchedBody && r.Header.Get("Expect") == "" {
		prefetched := make([]byte, r.ContentLength)
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits.Load().IdleTimeout))
		var err error
		c.stalls.wait(func() { _, err = io.ReadFull(r.Body, prefetched) })
		_ = c.raw.SetReadDeadline(time.Time{})
		if err != nil {
			return nil, false
		}
		r.Body = io.NopCloser(bytes.NewReader(prefetched))
		return nil, true
	}
	body := newStreamedBody(r.Body, w, hop.ExpectsContinue(r.Header))
	r.Body = body
	w.body = body
	return body.finished, true
}

func (c *conn) runHandler(w *response, r *http.Request) {
	defer func() {
		if v := recover(); v != nil {
			//nolint:errorlint // a panic's value, compared as net/http does
			if v != http.ErrAbortHandler {
				klog.ErrorS(nil, "Handler panicked", "panic", v, "stack", string(debug.Stack()))
			}
			w.abort()
		}
		w.release()
		w.resources.End()
		w.closeAfter = c.finishRequest(w) || w.closeAfter
		close(w.done)
		w.closeIfLast()
	}()
	c.server.handler.ServeHTTP(w, r)
	w.finish()
}

// finishRequest decrements the pending count and reports whether the connection closes. A
// Shutdown that runs after the response was sent and before this call considers the
// connection busy and leaves it open. Without the second check here, the connection would
// stay open for the idle timeout and delay the shutdown.
func (c *conn) finishRequest(w *response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.stalls.idleSince.Store(now())
	if w.streaming {
		c.streaming--
	}
	if c.pending == 0 && c.server.closed.Load() {
		c.closing = true
	}
	return c.closing
}

// decideClose reports whether the response about to be sent is the connection's last,
// and if so stops further reads. A response announces the close only when no request
// behind it is in progress, since that request would be lost. A caller whose requests overlap
// may keep one in progress all the time; from Shutdown on no further one is started.
func (c *conn) decideClose(mustClose bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || mustClose || c.server.draining.Load() && c.pending == 1 {
		c.closing = true
	}
	return c.closing
}

// closeIfIdle closes a connection that has no request in progress.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.pending == 0 && !c.isHandedOff
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		_ = c.raw.Close()
	}
}
