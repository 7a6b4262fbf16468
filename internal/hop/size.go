package hop

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/internal/resources"
)

// What a peer sends is limited in size wherever it is read into memory or only to be dropped. A
// backend server that fails may send without end, and a host has tens of megabytes.
const (
	// maxHeadBytes limits a response head, together with the interim responses before it. It is four
	// times the default limit of a request head.
	maxHeadBytes = 64 << 10
	// maxDiscardedBytes limits what is read and dropped of a response that nobody wants, so that its
	// connection can be reused. Opening a new one costs less than reading more.
	maxDiscardedBytes = 64 << 10
	// discardTime limits the same in time, together with bodyGrace.
	discardTime = 25 * time.Millisecond
)

// ErrHeadTooLong means that a peer sent more than a response head may have.
var ErrHeadTooLong = errors.New("the response head exceeds 64 KiB; check what listens at the address of the backend server")

// ErrNoMemoryForHead means that the request may not have the memory that a response head takes.
var ErrNoMemoryForHead = errors.New("this process has no memory left for the response head; look at resources_memory in the metrics")

// Read reads from the connection within the limits of the part of the response that is read.
func (c *conn) Read(p []byte) (int, error) {
	if c.bodyLimit != nil {
		return c.bodyLimit.read(p)
	}
	if c.headLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := c.Conn.Read(p)
	c.headLeft -= n
	if !c.request.Take(resources.HeadBytes(n, bytes.Count(p[:n], []byte{'\n'}))) {
		return 0, ErrNoMemoryForHead
	}
	return n, err
}

// Discard drops a response, and closes its connection unless the body is short and arrives at once.
func Discard(resp *http.Response) {
	if b, ok := resp.Body.(*responseBody); ok && !b.ended {
		b.x.conn.bodyLimit.discardBy = time.Now().Add(discardTime)
	}
	_ = copyShort(resp.Body)
	_ = resp.Body.Close()
}

// copyShort reads a body to its end, which must come within maxDiscardedBytes.
func copyShort(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return errors.New("a response that nobody wants is too long")
	}
	return err
}
