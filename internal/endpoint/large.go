package endpoint

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	corelink "cactuspath/core/link"
	"cactuspath/internal/hop"
	"cactuspath/internal/link"
)

// Large responses, such as downloads.

const (
	// largeResponseBytes is the length from which a response is large. A shorter one fits into
	// the buffers of its connections.
	largeResponseBytes = corelink.LargeBytes
	// readAheadBytes is how much of a large response is read from the backend server before
	// its receiver has taken it.
	readAheadBytes = 512 << 10
	// readAheadChunk is the size of the pieces in which it is read.
	readAheadChunk = 32 << 10
	// maxLargeTransfers is the number of large responses that are sent to other nodes at the
	// same time. More would take as long in all, and short responses would wait behind each of
	// them on the host's link.
	maxLargeTransfers = 1
	// maxTransferTime is how long a transfer counts as one of them. A receiver that takes
	// longer is not limited by this host's link.
	maxTransferTime = 500 * time.Millisecond
)

// isLarge reports whether a response is large.
func isLarge(resp *http.Response) bool { return resp.ContentLength >= largeResponseBytes }

// readAhead is a response body that is read ahead of its receiver, so that a receiver with a
// slow link does not keep the backend server and its slot busy. A goroutine reads the source
// and closes it.
type readAhead struct {
	source io.ReadCloser

	mu      sync.Mutex
	changed *sync.Cond
	chunks  [][]byte
	// size is the number of bytes in chunks.
	size   int
	err    error
	closed bool
}

func newReadAhead(source io.ReadCloser) *readAhead {
	r := &readAhead{source: source}
	r.changed = sync.NewCond(&r.mu)
	go r.fill()
	return r
}

// fill reads the source until it ends or the body is closed. A blocked read of the source ends
// with the context of the exchange.
func (r *readAhead) fill() {
	defer r.source.Close()
	for {
		chunk := make([]byte, readAheadChunk)
		n, err := r.source.Read(chunk)
		r.mu.Lock()
		if n > 0 {
			r.chunks = append(r.chunks, chunk[:n])
			r.size += n
		}
		r.err = err
		r.changed.Broadcast()
		for r.size >= readAheadBytes && !r.closed {
			r.changed.Wait()
		}
		done := err != nil || r.closed
		r.mu.Unlock()
		if done {
			return
		}
	}
}

// Read implements io.Reader.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.chunks) == 0 && r.err == nil && !r.closed {
		r.changed.Wait()
	}
	if r.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if len(r.chunks) == 0 {
		return 0, r.err
	}
	n := copy(p, r.chunks[0])
	r.chunks[0] = r.chunks[0][n:]
	if len(r.chunks[0]) == 0 {
		r.chunks = r.chunks[1:]
	}
	r.size -= n
	r.changed.Broadcast()
	return n, nil
}

// Close implements io.Closer.
func (r *readAhead) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.chunks = true, nil
	r.changed.Broadcast()
	return nil
}

// relay sends a response to the node that sent its request. A large one is paced, or waits for
// the large ones before it if the bandwidth of this host's link is unknown.
func (e *Endpoint) relay(ctx context.Context, w http.ResponseWriter, resp *http.Response, out *hop.Outgoing, reply hop.Reply) error {
	field := hop.Field{Name: hop.Header, Value: reply.Encode()}
	if e.options.Link.Enabled() {
		if out.Stream != nil && !out.Stream.Ended() {
			// Interrupting the read of the request's body makes net/http cancel ctx although
			// the receiver still waits. If it has gone, the next chunk cannot be written.
			ctx = context.WithoutCancel(ctx)
		}
		paced := e.options.Link.NewWriter(ctx, w, link.Response{Request: out.ID, Length: resp.ContentLength, Due: out.Deadline})
		defer paced.End()
		return hop.Relay(paced, resp, field)
	}
	if isLarge(resp) {
		defer e.transfers.begin(ctx)()
	}
	return hop.Relay(w, resp, field)
}

// transfers limits the large responses that are sent at the same time.
type transfers chan struct{}

func newTransfers() transfers { return make(transfers, maxLargeTransfers) }

// begin waits until a large response may be sent, and returns the function that ends its
// transfer. It waits no longer than ctx.
func (t transfers) begin(ctx context.Context) (end func()) {
	select {
	case t <- struct{}{}:
	case <-ctx.Done():
		return func() {}
	}
	release := sync.OnceFunc(func() { <-t })
	timer := time.AfterFunc(maxTransferTime, release)
	return func() {
		timer.Stop()
		release()
	}
}
