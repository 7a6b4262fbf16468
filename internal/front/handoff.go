package front

import (
	"net"
	"sync"
	"syscall"
)

const errTooManyFiles = syscall.EMFILE

// handoffListener is the listener of a net/http server. It returns connections that Server
// has accepted and that begin with an HTTP/2 preface.
type handoffListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
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

// Addr returns an empty address: the connections have those of their own.
func (l *handoffListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *handoffListener) handOff(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.done:
		return false
	}
}
