package hop

import (
	"bufio"
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/internal/resources"
	"cactuspath/internal/transport"
)

const (
	// dialTimeout is ten round trips between distant regions, and well below the 1 s after
	// which TCP retransmits a lost first packet: trying another endpoint is faster.
	dialTimeout = 300 * time.Millisecond
	bufferSize  = 4 << 10
	// backendIdleTimeout is how long an idle connection to a backend server is kept. It is
	// shorter than the idle timeout of the servers, so that a connection is rarely closed
	// while a request is being sent on it.
	backendIdleTimeout = 30 * time.Second
	// peerIdleTimeout is how long an idle connection to another node is kept. A node of a
	// large fleet calls many others occasionally. Each idle connection costs 12 KB of memory,
	// both ends together (BenchmarkIdleConnection), whereas opening a new one costs only a
	// round trip.
	peerIdleTimeout = 5 * time.Second
	maxIdleConns    = 256
)

// Pool holds connections to one address. Safe for concurrent use.
type Pool struct {
	address  string
	security *transport.Security

	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime time.Duration
	// toServer is set for connections to a backend server, which runs on this host.
	toServer bool

	mu   sync.Mutex
	idle []*conn
	// reaper closes connections that were idle for too long; nil if there are no idle
	// connections.
	reaper *time.Timer
	closed bool
	// oneWayDelay is half of the shortest time that opening a connection took; 0 before the
	// first one.
	oneWayDelay time.Duration
}

// NewPool returns an empty pool of connections to a backend server; security is nil for plain
// text.
func NewPool(address string, security *transport.Security) *Pool {
	return &Pool{address: address, security: security, maxIdleTime: backendIdleTimeout, toServer: true}
}

// NewPeerPool returns an empty pool of connections to another node; security is nil for plain
// text.
func NewPeerPool(address string, security *transport.Security) *Pool {
	return &Pool{address: address, security: security, maxIdleTime: peerIdleTimeout}
}

// maxUnsent is what the kernel may hold as unsent for a connection, in bytes.
const maxUnsent = 64 << 10

// What the kernel may hold as unread for a connection, in bytes. By default it grows the buffer of a
// fast connection to megabytes, which then stay full while the receiver of a response waits for its
// own. A response from far away needs more to be under way at a time.
const (
	nearReceiveBuffer = 64 << 10
	farReceiveBuffer  = 256 << 10
	// farDelay is the one-way delay from which an address counts as far.
	farDelay = 2 * time.Millisecond
)

// limitUnread limits what the kernel may hold as unread for a connection to the pool's address.
func (p *Pool) limitUnread(c *net.TCPConn) {
	size := nearReceiveBuffer
	if p.OneWayDelay() >= farDelay {
		size = farReceiveBuffer
	}
	if err := c.SetReadBuffer(size); err != nil {
		klog.V(2).InfoS("Unread bytes of a connection are not limited", "to", p.address, "err", err)
	}
}

// Idle connections of all pools take descriptors, of which a process has a limited number.
var (
	idleConns    atomic.Int64
	maxIdleTotal atomic.Int64
)

func init() { maxIdleTotal.Store(math.MaxInt64) }

// LimitIdle limits the number of idle connections of all pools of the process.
func LimitIdle(connections int) { maxIdleTotal.Store(int64(connections)) }

// Address returns the address that the pool connects to.
func (p *Pool) Address() string { return p.address }

type conn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	raw       syscall.RawConn
	idleSince time.Time
	reused    bool
	// headLeft is the number of bytes that may still be read before the end of the response head, and
	// bodyLimit limits the reads of the body behind it; it is nil before that.
	headLeft  int
	bodyLimit *bodyLimit
	// request holds the memory of the response head; nil if that is not limited.
	request *resources.Request
	// failed is set when sending a body failed; nothing more is read from or written to the
	// connection.
	failed atomic.Bool
	// peek looks at the socket without consuming data and sets wouldBlock. It runs before
	// every request on a reused connection, so the function is created only once.
	peek       func(fd uintptr) bool
	peekBuffer [1]byte
	wouldBlock bool
}

// Buffers are shared by all connections, because in a large fleet few connections are in use
// at any moment. An idle connection takes 12 KB, both ends together; with buffers of its own
// it would take 17 KB (BenchmarkIdleConnection).
var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}
)

// takeBuffers assigns buffers to the connection for an exchange.
func (c *conn) takeBuffers() {
	c.reader, c.writer = readerPool.Get().(*bufio.Reader), writerPool.Get().(*bufio.Writer)
	c.reader.Reset(c)
	c.writer.Reset(c.Conn)
}

// returnBuffers returns the buffers to the shared pools. No data is lost, because both
// buffers are empty after an exchange that left the connection reusable.
func (c *conn) returnBuffers() {
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	readerPool.Put(c.reader)
	writerPool.Put(c.writer)
	c.reader, c.writer = nil, nil
}

// fail makes all current and later reads and writes of the connection fail.
func (c *conn) fail() {
	c.failed.Store(true)
	_ = c.SetDeadline(aLongTimeAgo)
}

// DialError means that the connection could not be established, so nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error returns the cause with the address.
func (e *DialError) Error() string { return "cannot connect to " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Since(c.idleSince) < p.maxIdleTime && c.isHealthy() {
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
	idleConns.Add(-1)
	return c
}

// Reachable reports whether the address accepts a new connection, which is then kept in the
// pool.
func (p *Pool) Reachable() bool {
	c, err := p.dial(context.Background())
	if err != nil {
		return false
	}
	p.put(c)
	return true
}

// put returns a connection to the pool after a complete exchange, without its buffers.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	c.returnBuffers()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns || idleConns.Load() >= maxIdleTotal.Load() {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	idleConns.Add(1)
	if p.reaper == nil {
		p.reaper = time.AfterFunc(p.maxIdleTime, p.reap)
	}
}

// reap closes connections that were idle for too long. If only the next use of the pool
// did so, connections to a node that is no longer called would stay open indefinitely.
func (p *Pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= p.maxIdleTime {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
		idleConns.Add(-1)
	}
	if len(p.idle) == 0 {
		p.idle, p.reaper = nil, nil
		return
	}
	p.reaper.Reset(p.maxIdleTime - time.Since(p.idle[0].idleSince))
}

// Close closes the idle connections; exchanges in progress are not interrupted.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// CloseIdle closes the idle connections, so that the next exchanges open new ones.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes the idle connections. The caller holds the lock.
func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	idleConns.Add(-int64(len(p.idle)))
	p.idle = nil
	if p.reaper != nil {
		p.reaper.Stop()
		p.reaper = nil
	}
}

// OneWayDelay returns the estimated one-way network delay to the address, which is half of
// the shortest time that opening a connection took; 0 before the first connection.
func (p *Pool) OneWayDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.oneWayDelay
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	start := time.Now()
	dialer := net.Dialer{Timeout: dialTimeout}
	plain, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, &DialError{p.address, err}
	}
	p.recordDistance(time.Since(start) / 2)
	c := &conn{Conn: p.security.WrapClient(plain, p.address)}
	c.takeBuffers()
	if tcp, ok := plain.(*net.TCPConn); ok {
		p.limitUnread(tcp)
		resources.LimitUnsent(tcp, maxUnsent)
		c.raw, _ = tcp.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), c.peekBuffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		c.wouldBlock = errors.Is(err, syscall.EAGAIN)
		return true
	}
	return c, nil
}

func (p *Pool) recordDistance(oneWay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.oneWayDelay == 0 || oneWay < p.oneWayDelay {
		p.oneWayDelay = oneWay
	}
}

// isHealthy reports whether an idle connection is open and has no data to read. A request
// sent on a connection that the peer closed would be lost; unread data is a response to an
// earlier request, which must not be returned to this caller.
func (c *conn) isHealthy() bool {
	if c.raw == nil {
		return true
	}
	c.wouldBlock = false
	return c.raw.Read(c.peek) == nil && c.wouldBlock
}
