package front

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"cactuspath/internal/hangup"
	"cactuspath/internal/resources"
)

// Limits of an HTTP/2 connection.
const (
	// maxStreams is the number of concurrent requests that RFC 9113 recommends to allow at least.
	maxStreams = 100
	// http2ConnBytes is the memory of a connection besides resources.ConnectionBytes: goroutines,
	// buffers and tables of the server of net/http.
	http2ConnBytes = 48 << 10
	// Data that has arrived for a request and was not read yet is held for its stream.
	maxReceivedPerStream = 64 << 10
	maxReceivedPerConn   = 256 << 10
)

// http2Server serves HTTP/2 connections with the limits that were in force when it was created.
type http2Server struct {
	*http.Server
	listener *handoffListener
	limits   Limits
}

func newHTTP2Server(s *Server, limits Limits) *http2Server {
	h := &http2Server{listener: newHandoffListener(), limits: limits}
	h.Server = &http.Server{Handler: http.HandlerFunc(s.serveStream), ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout, MaxHeaderBytes: limits.MaxHeaderBytes, ConnContext: http2Context,
		// Clients cause the errors that it would log, any number of them.
		ErrorLog: log.New(io.Discard, "", 0),
		HTTP2:    &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerStream: maxReceivedPerStream, MaxReceiveBufferPerConnection: maxReceivedPerConn, WriteByteTimeout: writeTimeout}}
	h.Protocols = new(http.Protocols)
	h.Protocols.SetUnencryptedHTTP2(true)
	return h
}

type connKey struct{}

func http2Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(hangup.Watch(ctx, conn), connKey{}, conn.(*http2Conn).c)
}

// serveHTTP2 passes the connection to the server of net/http and waits until it is closed.
func (c *conn) serveHTTP2() {
	c.mu.Lock()
	c.isHandedOff = true
	c.mu.Unlock()
	h := &http2Conn{Conn: c.raw, c: c, left: len(http2Preface), closed: make(chan struct{})}
	if !c.server.takeFromStalled(func() bool { return c.account.Take(http2ConnBytes) }) {
		return
	}
	if server := c.server.http2Server(); server != nil && server.listener.handOff(h) {
		<-h.closed
	}
}

// serveStream serves one request of an HTTP/2 connection.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	c.beginStream()
	defer c.endStream()
	if limit := s.limits.Load().MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		http.Error(w, http.StatusText(http.StatusRequestEntityTooLarge), http.StatusRequestEntityTooLarge)
		return
	}
	var request *resources.Request
	if !s.takeFromStalled(func() (ok bool) {
		request, ok = c.account.Begin(headBytes(r.Header) + bodyBytes(r))
		return ok
	}) {
		c.logRefusal()
		// A body would wait for the window that the client grants.
		refuseHeader(w.Header())
		w.WriteHeader(http.StatusServiceUnavailable)
		// The stream refers to the request until its response is written, which a client can delay.
		r.Header = nil
		return
	}
	defer request.End()
	if r.ContentLength > 0 && r.ContentLength <= maxPrefetchedBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.limits.Load().IdleTimeout))
	}
	r.Body = streamBody{r.Body, c}
	sw := &streamWriter{w, http.NewResponseController(w), c}
	s.handler.ServeHTTP(sw, r.WithContext(resources.WithRequest(r.Context(), request)))
	// The request is held until its response is written: the server of net/http would write the rest
	// only after this function has returned.
	sw.Flush()
}

func headBytes(h http.Header) int64 {
	length, lines := 0, 0
	for name, values := range h {
		for _, v := range values {
			length += len(name) + len(v)
			lines++
		}
	}
	return resources.HeadBytes(length, lines)
}

func (c *conn) beginStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
}

func (c *conn) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.stalls.idleSince.Store(now())
}

// streamBody is the body of a request that records how long its caller keeps it waiting.
type streamBody struct {
	io.ReadCloser
	c *conn
}

// Read reads from the body.
func (b streamBody) Read(p []byte) (n int, err error) {
	b.c.stalls.wait(func() { n, err = b.ReadCloser.Read(p) })
	return n, err
}

// streamWriter limits how long a write may wait for a client that grants no window. Otherwise the
// request, and its place at the backend server, would be held for as long as the client likes.
type streamWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	c          *conn
}

// Write writes a part of the body.
func (w *streamWriter) Write(p []byte) (n int, err error) {
	w.limitWait(func() { n, err = w.ResponseWriter.Write(p) })
	return n, err
}

// Flush sends what is buffered.
func (w *streamWriter) Flush() {
	w.limitWait(func() { _ = w.controller.Flush() })
}

// limitWait calls a function that may wait for the client.
func (w *streamWriter) limitWait(write func()) {
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.c.stalls.wait(write)
}

// Unwrap returns the writer below for http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
