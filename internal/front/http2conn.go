package front

import (
	"net"
	"sync"
	"time"

	"cactuspath/internal/resources"
)

const (
	http2Preface     = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderBytes = 9
	frameTypeHeaders = 1
	// minListEntry is the size of the shortest field of a head by the rules of HTTP/2.
	minListEntry = 33
)

const (
	// requestDelay is how long a request waits that is more than its connection may have. What comes
	// behind it waits as well, also what lets responses go on, so that the wait must be short.
	requestDelay = 200 * time.Millisecond
	// requestPollInterval is how often the wait looks whether the request may begin.
	requestPollInterval = 5 * time.Millisecond
)

// http2Conn is a connection that is passed to the server of net/http. That server decodes each head
// that it reads and starts its handler, which can only refuse it then. On a connection that has more
// requests than it may have, heads are therefore passed on at a slow pace.
type http2Conn struct {
	net.Conn
	c *conn
	// left is the number of bytes of the current frame, with its header, that were not read yet. Only
	// the reading goroutine uses it.
	left      int
	closeOnce sync.Once
	closed    chan struct{}
}

// NetConn returns the connection without the buffer.
func (h *http2Conn) NetConn() net.Conn { return h.Conn }

// Read returns at most the rest of the current frame. The server asks for another frame when it has
// processed the one before.
func (h *http2Conn) Read(p []byte) (int, error) {
	if h.left == 0 {
		header, err := h.c.reader.Peek(frameHeaderBytes)
		if err != nil {
			return 0, err
		}
		length := int(header[0])<<16 | int(header[1])<<8 | int(header[2])
		h.left = frameHeaderBytes + length
		if header[3] == frameTypeHeaders {
			h.awaitRequest(length)
		}
	}
	n, err := h.c.reader.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// awaitRequest waits until the connection may have another request, or for requestDelay. A byte of an
// encoded head may stand for a whole field.
func (h *http2Conn) awaitRequest(encoded int) {
	lines := min(encoded, h.c.server.limits.Load().MaxHeaderBytes/minListEntry)
	bytes := resources.HeadBytes(encoded, lines)
	for waited := time.Duration(0); waited < requestDelay && !h.c.account.MayBegin(bytes); waited += requestPollInterval {
		select {
		case <-h.closed:
			return
		case <-time.After(requestPollInterval):
		}
	}
}

// Write writes to the connection.
func (h *http2Conn) Write(p []byte) (n int, err error) {
	h.c.stalls.wait(func() { n, err = h.Conn.Write(p) })
	return n, err
}

// Close closes the connection.
func (h *http2Conn) Close() error {
	h.closeOnce.Do(func() { close(h.closed) })
	return h.Conn.Close()
}
