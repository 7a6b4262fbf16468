package front

import (
	"bufio"
	"net"
	"sync"
	"syscall"
)

const errTooManyFiles = syscall.EMFILE

// handoffListener is the listener of the net/http server. It returns connections that Server
// has accepted and that begin with an HTTP/2 preface.
type handoffListener struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newHandoffListener() *handoffListener {
	return &handoffListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept waits for the next connection that is handed off.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (l *handoffListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (l *handoffListener) Addr() net.Addr { return l.address }

func (l *handoffListener) handOff(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.done:
		return false
	}
}

// bufferedConn is a connection whose first bytes are already in a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// NetConn returns the connection without the buffer.
func (c bufferedConn) NetConn() net.Conn { return c.Conn }

// Read returns the buffered bytes before those of the connection.
func (c bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
