// Package front serves callers over HTTP/1.1. The requests of one connection
// are read as they come and run side by side; their answers go out in the order
// of the requests. net/http's server reads the next request only once the last
// one is answered, so that a caller that pipelines waits for the sum of its
// requests, and one that hangs up behind a second request goes unnoticed.
//
// Bytes that begin HTTP/2 go to net/http's server, which speaks it.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits bound what a caller may send, and how long it may be silent. A value
// of 0 stands for the default.
type Limits struct {
	// MaxHeaderBytes bounds a request's head.
	MaxHeaderBytes int
	// MaxBodyBytes bounds its body; 0 means no bound.
	MaxBodyBytes int64
	// HeaderTimeout is the time for a request's head from its first byte on.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept.
	IdleTimeout time.Duration
}

// Defaults of Limits.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

const (
	// maxPipelined bounds the requests of one connection that run side by side, so
	// that one connection cannot take all of a node's memory.
	maxPipelined = 16
	// smallBody is up to which size a body is read ahead of its request, so that
	// the connection can go on to the next one.
	smallBody = 64 << 10
)

// Server serves callers. Its methods are safe for concurrent use.
type Server struct {
	handler http.Handler
	limits  atomic.Pointer[Limits]
	h2      *http.Server
	h2conns *handover

	draining atomic.Bool
	// closed is set under mu, so that no connection starts unseen behind it.
	closed   atomic.Bool
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	wait     sync.WaitGroup
}

// New returns a server for the handler.
func New(handler http.Handler) *Server {
	s := &Server{handler: handler, conns: map[*conn]bool{}, h2conns: newHandover()}
	s.SetLimits(Limits{})
	s.h2 = &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultHeaderBytes}
	s.h2.Protocols = new(http.Protocols)
	s.h2.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// SetLimits changes the limits for requests that come from now on.
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

// Serve accepts connections until the server is shut down or the listener fails.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	s.h2conns.address = l.Addr()
	go func() { _ = s.h2.Serve(s.h2conns) }()
	for {
		raw, err := l.Accept()
		if err != nil {
			if s.closed.Load() {
				return http.ErrServerClosed
			}
			if temporary(err) {
				// Out of descriptors: those that wait are served once others end.
				time.Sleep(acceptPause)
				continue
			}
			return err
		}
		s.start(raw)
	}
}

// acceptPause is the wait after a failed accept: long enough for some of the
// open connections to end.
const acceptPause = 5 * time.Millisecond

func temporary(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout() || errors.Is(err, errTooManyFiles)
}

func (s *Server) start(raw net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(s, raw, ctx, cancel)
	s.mu.Lock()
	if s.closed.Load() {
		s.mu.Unlock()
		cancel()
		_ = raw.Close()
		return
	}
	s.conns[c] = true
	s.wait.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wait.Done()
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Drain has every answer from now on close its connection. Connections stay
// open, and requests on them are served, until Shutdown.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the listener and connections without requests, and waits for
// the others until ctx ends; then it cuts them and returns the context's error.
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
	s.mu.Unlock()
	h2err := s.h2.Shutdown(ctx)
	done := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return h2err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cuts every connection.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed.Store(true)
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.raw.Close()
	}
	s.mu.Unlock()
	return s.h2.Close()
}
