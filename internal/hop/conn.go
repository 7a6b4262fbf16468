package hop

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/internal/transport"
)

const (
	// dialTimeout is ten round trips between far regions, and well below the second
	// after which TCP sends a lost first packet again: another endpoint is sooner.
	dialTimeout = 300 * time.Millisecond
	bufferSize  = 4 << 10
	// idleTimeout is how long an unused connection to a backend server is kept:
	// shorter than the servers keep theirs, so that it is rarely closed under a request.
	idleTimeout = 30 * time.Second
	// peerIdleTimeout is the same for connections between nodes. A node of a fleet calls
	// many others now and then; each connection that is kept costs 12 KB of memory, both
	// ends together (BenchmarkWaitingConnection), a new one a round trip.
	peerIdleTimeout = 5 * time.Second
	maxIdle         = 256
)

// Pool keeps connections to one address. Safe for concurrent use.
type Pool struct {
	address  string
	security *transport.Security

	// keep is how long an unused connection is kept.
	keep time.Duration

	mu   sync.Mutex
	idle []*conn
	// reaper closes connections that are unused for too long; nil while none is kept.
	reaper *time.Timer
	closed bool
	// distance is the shortest time seen to open a connection, halved.
	distance time.Duration
}

// NewPool returns a pool without connections; security is nil for plain text.
func NewPool(address string, security *transport.Security) *Pool {
	return &Pool{address: address, security: security, keep: idleTimeout}
}

// NewPeerPool returns a pool of connections to another node.
func NewPeerPool(address string, security *transport.Security) *Pool {
	return &Pool{address: address, security: security, keep: peerIdleTimeout}
}

// Address is where the pool connects to.
func (p *Pool) Address() string { return p.address }

type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	raw    syscall.RawConn
	since  time.Time
	reused bool
	// failed: a body broke off on the connection, and nothing on it is read or
	// written any more.
	failed atomic.Bool
	// peek looks at the socket without reading from it; it is made once, since a
	// look comes before every request. It leaves its finding in clean.
	peek   func(fd uintptr) bool
	peeked [1]byte
	clean  bool
}

// Buffers are shared: of a fleet's connections few are in use at any moment. A waiting
// connection takes 12 KB with both its ends, and took 17 with buffers of its own
// (BenchmarkWaitingConnection).
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// takeBuffers gives the connection buffers for an exchange.
func (c *conn) takeBuffers() {
	c.reader, c.writer = readers.Get().(*bufio.Reader), writers.Get().(*bufio.Writer)
	c.reader.Reset(c.Conn)
	c.writer.Reset(c.Conn)
}

// returnBuffers takes them back. Both are empty after an exchange that left the
// connection clean.
func (c *conn) returnBuffers() {
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	readers.Put(c.reader)
	writers.Put(c.writer)
	c.reader, c.writer = nil, nil
}

// fail makes all reads and writes of the connection fail, now and later.
func (c *conn) fail() {
	c.failed.Store(true)
	_ = c.SetDeadline(longPast)
}

// DialError means that no connection could be made: nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error names the address.
func (e *DialError) Error() string { return "cannot connect to " + e.Address + ": " + e.Err.Error() }

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Err }

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Since(c.since) < p.keep && c.quiet() {
			c.reused = true
			c.takeBuffers()
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// Reachable tells whether the address accepts a connection.
func (p *Pool) Reachable() bool {
	c, err := p.dial(context.Background())
	if err != nil {
		return false
	}
	p.put(c)
	return true
}

// put keeps a connection whose exchange is complete, without its buffers.
func (p *Pool) put(c *conn) {
	c.since = time.Now()
	c.returnBuffers()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	if p.reaper == nil {
		p.reaper = time.AfterFunc(p.keep, p.reap)
	}
}

// reap closes the connections that were unused for too long. Left to the next use of
// the pool, those to a node that is not called any more would stay for good.
func (p *Pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && time.Since(p.idle[0].since) >= p.keep {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	if len(p.idle) == 0 {
		p.idle, p.reaper = nil, nil
		return
	}
	p.reaper.Reset(p.keep - time.Since(p.idle[0].since))
}

// Close drops the idle connections; exchanges under way end undisturbed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
	if p.reaper != nil {
		p.reaper.Stop()
		p.reaper = nil
	}
}

// Distance is the measured one-way delay, or 0 before the first connection.
func (p *Pool) Distance() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.distance
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	start := time.Now()
	dialer := net.Dialer{Timeout: dialTimeout}
	plain, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, &DialError{p.address, err}
	}
	p.measured(time.Since(start) / 2)
	c := &conn{Conn: p.security.WrapClient(plain, p.address)}
	c.takeBuffers()
	if tcp, ok := plain.(*net.TCPConn); ok {
		c.raw, _ = tcp.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), c.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.clean = errors.Is(err, syscall.EAGAIN)
		return true
	}
	return c, nil
}

func (p *Pool) measured(oneWay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.distance == 0 || oneWay < p.distance {
		p.distance = oneWay
	}
}

// quiet tells whether an idle connection is open with nothing to read. One that
// the peer closed would lose the request; one with bytes waiting holds an answer
// to an earlier request, which must not reach this caller.
func (c *conn) quiet() bool {
	if c.raw == nil {
		return true
	}
	c.clean = false
	return c.raw.Read(c.peek) == nil && c.clean
}
