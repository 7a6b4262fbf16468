package testnet

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Link is the outgoing link of a host: what the host sends waits until all that it sent before
// has left. It is safe for concurrent use.
type Link struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// NewLink returns a link with the given bandwidth.
func NewLink(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// enqueue adds bytes to the queue of the link and returns when the last of them has left.
func (l *Link) enqueue(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// Listen returns a listener of the host: what it sends to its peers leaves through the link.
func (l *Link) Listen(listener net.Listener) net.Listener {
	return linkListener{listener, func(c net.Conn) net.Conn { return newSendingConn(c, l) }}
}

// ListenForHost returns a listener of a peer to which only the host connects: what it receives
// has left through the link.
func (l *Link) ListenForHost(listener net.Listener) net.Listener {
	return linkListener{listener, func(c net.Conn) net.Conn { return receivingConn{c, l} }}
}

type linkListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept accepts a connection.
func (l linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// receivingConn delays what the host sent until it has left through the link.
type receivingConn struct {
	net.Conn
	link *Link
}

// Read reads what has left through the link.
func (c receivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(time.Until(c.link.enqueue(n)))
	return n, err
}

const (
	// packetBytes is the size of the pieces in which connections share the link, and windowPackets
	// the number of them that a connection has under way at most.
	packetBytes   = 4 << 10
	windowPackets = 16
)

// sendingConn sends through the link.
type sendingConn struct {
	net.Conn
	link *Link
	// window has a value for each packet under way.
	window chan struct{}
	queue  chan segment
	closed chan struct{}
	once   sync.Once
}

type segment struct {
	data   []byte
	leaves time.Time
}

func newSendingConn(conn net.Conn, link *Link) *sendingConn {
	c := &sendingConn{Conn: conn, link: link, window: make(chan struct{}, windowPackets), queue: make(chan segment, windowPackets), closed: make(chan struct{})}
	go c.send()
	return c
}

// Write puts data into the queue of the link as the window allows.
func (c *sendingConn) Write(p []byte) (int, error) {
	written := 0
	for packet := range slices.Chunk(p, packetBytes) {
		select {
		case <-c.closed:
			return written, net.ErrClosed
		case c.window <- struct{}{}:
		}
		c.queue <- segment{slices.Clone(packet), c.link.enqueue(len(packet))}
		written += len(packet)
	}
	return written, nil
}

func (c *sendingConn) send() {
	for {
		select {
		case <-c.closed:
			return
		case s := <-c.queue:
			time.Sleep(time.Until(s.leaves))
			<-c.window
			if _, err := c.Conn.Write(s.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}

// Close closes the connection; what is still in the queue is lost.
func (c *sendingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
