package resources

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// idleTimeout is how long a server of net/http keeps a connection without a request, unless it has a
// limit of its own.
const idleTimeout = 2 * time.Minute

// Listen returns a listener for a server of net/http that speaks HTTP/1, and prepares the server for it:
// it has a limited number of connections, and takes memory for what it reads of a head before it parses
// that. Connections without a request are closed for new ones.
func (r *Resources) Listen(s *http.Server, l net.Listener, kind Kind) net.Listener {
	if r == nil {
		return l
	}
	limited := &listener{Listener: l, r: r, limit: r.MaxConnections(kind), conns: map[*conn]bool{}}
	observe, enrich := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if limitedConn, ok := c.(*conn); ok {
			limitedConn.observe(state)
		}
		if observe != nil {
			observe(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if enrich != nil {
			ctx = enrich(ctx, c)
		}
		if limitedConn, ok := c.(*conn); ok {
			ctx = context.WithValue(ctx, accountKey{}, limitedConn.account)
		}
		return ctx
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = idleTimeout
	}
	return limited
}

// readBufferSize is the size of the buffer with which net/http reads a connection.
const readBufferSize = 4 << 10

type accountKey struct{}

// AccountOf returns the account of the connection of a request, or nil if it has none.
func AccountOf(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}

type listener struct {
	net.Listener
	r     *Resources
	limit int

	mu    sync.Mutex
	conns map[*conn]bool
}

// Accept waits for the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		klog.V(2).InfoS("Connection refused: there are too many", "listener", l.Addr().String(), "from", inner.RemoteAddr().String(), "limit", l.limit)
		l.r.CountRefused()
		_ = inner.Close()
	}
}

func (l *listener) admit(inner net.Conn) *conn {
	open := l.open()
	if open >= l.limit && !l.closeIdlest() {
		return nil
	}
	account, ok := l.r.NewAccount(inner, open)
	if !ok {
		l.closeIdlest()
		return nil
	}
	c := &conn{Conn: inner, listener: l, account: account, idleSince: time.Now(), inHead: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c
}

func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeIdlest closes the connection that has been without a request for the longest time. It returns
// false if all have one.
func (l *listener) closeIdlest() bool {
	l.mu.Lock()
	var found *conn
	var first time.Time
	for c := range l.conns {
		if at, idle := c.idle(); idle && (found == nil || at.Before(first)) {
			found, first = c, at
		}
	}
	l.mu.Unlock()
	if found == nil {
		return false
	}
	_ = found.Close()
	return true
}

// conn is a connection of a listener.
type conn struct {
	net.Conn
	listener *listener
	account  *Account

	mu sync.Mutex
	// active is set while a request is served, and idleSince is when the last one ended.
	active    bool
	idleSince time.Time
	closed    bool
	// inHead is set until the head of a request has been read. head is the memory taken for it.
	inHead bool
	head   int64
	// lineBegun is set if the line that has not ended yet has more than a carriage return.
	lineBegun bool
	// last is the memory of the bytes that were read last if they belong to a head: such a read may
	// bring the beginning of the next one, unless it fills more than the buffer of the server.
	last int64
}

var errNoMemory = errors.New("no memory for the head of a request")

// NetConn returns the connection of the operating system.
func (c *conn) NetConn() net.Conn {
	if wrapped, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return wrapped.NetConn()
	}
	return c.Conn
}

// Read reads from the connection. It fails if there is no memory for what it has read of a head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = 0
	if n <= readBufferSize {
		c.last = HeadBytes(n, bytes.Count(p[:n], []byte{'\n'}))
	}
	if !c.inHead || n == 0 {
		return n, err
	}
	if !c.take(c.last) {
		// net/http closes the connection after such an error and sends no response.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoMemory}
	}
	c.inHead = !c.endsHead(p[:n])
	return n, err
}

func (c *conn) take(bytes int64) bool {
	if c.closed || !c.account.Take(bytes) {
		return false
	}
	c.head += bytes
	return true
}

// endsHead reports whether the end of a head is among the bytes.
func (c *conn) endsHead(p []byte) bool {
	for _, b := range p {
		switch {
		case b == '\n' && !c.lineBegun:
			return true
		case b == '\n':
			c.lineBegun = false
		case b != '\r':
			c.lineBegun = true
		}
	}
	return false
}

// observe follows the state of the connection in its server.
func (c *conn) observe(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state != http.StateIdle || c.closed {
		return
	}
	c.idleSince = time.Now()
	c.account.Return(c.head)
	c.head, c.inHead, c.lineBegun = 0, true, false
	// If there is no memory for it, the next read finds that out.
	_ = c.take(c.last)
}

func (c *conn) idle() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.active
}

// Close closes the connection and returns what it holds.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.account.Close()
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	}
	return c.Conn.Close()
}
