// Package front serves callers over HTTP/1.1 with concurrent pipelining. The requests of one
// connection are read as they arrive and run concurrently; their responses are sent in
// request order. The server of net/http reads the next request only after the response to the
// previous one. A caller that pipelines requests then waits for the sum of their durations,
// and if it disconnects while a second request is unread, the server does not detect this.
//
// Connections that begin with an HTTP/2 preface are passed to a net/http server.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/internal/hangup"
	"cactuspath/internal/resources"
)

// Limits bound what a caller may send and how long it may be silent. A value of 0
// selects the default.
type Limits struct {
	// MaxHeaderBytes bounds the size of a request header.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the size of a request body; 0 means no limit.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request header to its
	// last.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request in progress stays open.
	IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

const (
	// maxPipelined bounds the concurrent requests of one connection, so that a single
	// connection cannot use up a node's memory.
	maxPipelined = 16
	// maxPrefetchedBody is the largest body that is read into memory before its request
	// starts, so that the connection can read the next request.
	maxPrefetchedBody = 64 << 10
)

// Server serves callers. Its methods are safe for concurrent use.
type Server struct {
	handler   http.Handler
	resources *resources.Resources
	limits    atomic.Pointer[Limits]

	draining atomic.Bool
	// heldBytes is the size of all response buffers beyond maxBufferedResponse.
	heldBytes atomic.Int64
	// closed is set under mu, so that no connection can be added after Shutdown or Close has
	// gone through conns.
	closed   atomic.Bool
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	// http2 holds the servers of HTTP/2 connections; the last one gets the new connections.
	http2     []*http2Server
	connGroup sync.WaitGroup
}

// New returns a server for the handler. What all its connections hold is limited by the resources; nil
// means that it is not.
func New(handler http.Handler, r *resources.Resources) *Server {
	s := &Server{handler: handler, resources: r, conns: map[*conn]bool{}}
	s.SetLimits(Limits{})
	return s
}

// SetLimits changes the limits for subsequent requests.
func (s *Server) SetLimits(l Limits) {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	s.limits.Store(&l)
}

// http2Server returns the server for a new HTTP/2 connection, or nil after Shutdown or Close.
func (s *Server) http2Server() *http2Server {
	limits := *s.limits.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		return nil
	}
	if n := len(s.http2); n > 0 && s.http2[n-1].limits == limits {
		return s.http2[n-1]
	}
	h := newHTTP2Server(s, limits)
	s.http2 = append(s.http2, h)
	go func() { _ = h.Serve(h.listener) }()
	return h
}

// Serve accepts connections until the server is shut down or the listener fails. After a
// shutdown it returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		raw, err := l.Accept()
		if err != nil {
			if s.closed.Load() {
				return http.ErrServerClosed
			}
			if isTemporary(err) {
				// Out of file descriptors: pending connections are accepted once others
				// close.
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		s.startConn(raw)
	}
}

// acceptRetryDelay is the delay after a failed accept, which gives some of the open
// connections time to close.
const acceptRetryDelay = 5 * time.Millisecond

func isTemporary(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout() || errors.Is(err, errTooManyFiles)
}

func (s *Server) startConn(raw net.Conn) {
	account, ok := s.admitConn(raw)
	if !ok {
		_ = raw.Close()
		return
	}
	ctx, cancel := context.WithCancel(hangup.Watch(context.Background(), raw))
	c := newConn(s, raw, account, ctx, cancel)
	s.mu.Lock()
	if s.closed.Load() {
		s.mu.Unlock()
		cancel()
		_ = raw.Close()
		account.Close()
		return
	}
	s.conns[c] = true
	s.connGroup.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.connGroup.Done()
		c.serve()
		s.forget(c)
	}()
}

// admitConn returns the account of a new connection. If there are too many connections, it closes
// another one that does not need its place, and returns false if there is none.
func (s *Server) admitConn(raw net.Conn) (account *resources.Account, ok bool) {
	open := s.openConns()
	if open >= s.resources.MaxConnections(resources.Callers) && !s.closeIdlest() {
		s.resources.CountRefused()
		return nil, false
	}
	if account, ok = s.resources.NewAccount(raw, open); !ok {
		// What the closed connection held is free a little later.
		s.closeIdlest()
	}
	return account, ok
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes each connection close after its next response, unless another request is in
// progress behind it. Until Shutdown, other connections stay open and requests on them are
// served: callers that come back may find no other server to send them to.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the listener and the idle connections. The other connections get the responses
// to the requests that are in progress, and no further request on them is started. Shutdown waits
// until they have closed. If ctx ends first, it returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.mu.Lock()
	s.closed.Store(true)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.closeIfIdle()
	}
	servers := s.http2
	s.mu.Unlock()
	var h2err error
	for _, h := range servers {
		h2err = errors.CombineErrors(h2err, h.Shutdown(ctx))
	}
	done := make(chan struct{})
	go func() {
		s.connGroup.Wait()
		close(done)
	}()
	select {
	case <-done:
		return h2err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed.Store(true)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.raw.Close()
	}
	servers := s.http2
	s.mu.Unlock()
	var err error
	for _, h := range servers {
		err = errors.CombineErrors(err, h.Close())
	}
	return err
}
