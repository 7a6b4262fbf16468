package front

import (
	"bufio"
	"net"
	"sync"
	"syscall"
)

const errTooManyFiles = syscall.EMFILE

// handover is a listener that hands out connections which were accepted
// elsewhere.
type handover struct {
	address net.Addr
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newHandover() *handover {
	return &handover{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept waits for a connection that is handed over.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr is the address of the listener that accepted the connections.
func (h *handover) Addr() net.Addr { return h.address }

func (h *handover) give(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.done:
		return false
	}
}

// rewound is a connection whose first bytes were read already.
type rewound struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads the bytes that were read ahead first.
func (r rewound) Read(p []byte) (int, error) { return r.reader.Read(p) }
