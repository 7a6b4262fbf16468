package endpoint

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/gate"
	corelink "cactuspath/core/link"
	"cactuspath/internal/hop"
	"cactuspath/internal/link"
	"cactuspath/internal/resources"
)

// Large responses, such as downloads.

const (
	// largeResponseBytes is the length from which a response is large. A shorter one fits into
	// the buffers of its connections.
	largeResponseBytes = corelink.LargeBytes
	// readAheadBytes is how much of a large response is read from the backend server before
	// its receiver has taken it.
	readAheadBytes = 512 << 10
	// pacedReadAheadBytes replaces readAheadBytes while the host's link is paced, as long as
	// all responses of the process hold less than maxReadAheadInAll. A paced response waits
	// for longer than one that is sent as fast as its connection allows, and while it is not
	// read to its end, it holds its slot.
	pacedReadAheadBytes = 1 << 20
	// maxReadAheadInAll is a sixth of the memory of a small host, 184 MB.
	maxReadAheadInAll = 32 << 20
	// maxReceiverWait is how long the backend server may wait for the receiver of a response
	// before its request's duration is taken for that of the receiver. It is small against
	// the duration of a request, and above the waits for a receiver that reads as fast as
	// the server sends.
	maxReceiverWait = 5 * time.Millisecond
	// maxReceiverStall is how long a receiver may take nothing of a response while requests wait
	// for the slot that the response holds.
	maxReceiverStall = 5 * time.Second
	// receiverStallCheck is the interval at which that is checked once the time has passed.
	receiverStallCheck = time.Second
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
	limits readAheadLimits
	// waited is how long the source has waited for the receiver.
	waited time.Duration

	mu      sync.Mutex
	changed *sync.Cond
	chunks  []aheadChunk
	// size is the number of bytes in chunks, and taken the memory that the request has for them.
	size   int
	taken  int
	err    error
	closed bool
	// takenAt is when the receiver last took something, or when the source began to wait for it.
	takenAt time.Time
}

// aheadChunk is a piece of a body that is held.
type aheadChunk struct {
	unread []byte
	// buffer is the buffer that holds the piece; nil if it has one of its own size.
	buffer *[]byte
}

// aheadBuffers are reused: at the rate at which a server on the same host sends, garbage would take
// many times the memory of what is held.
var aheadBuffers = sync.Pool{New: func() any { b := make([]byte, readAheadChunk); return &b }}

// readAheadLimits are the limits of one readAhead.
type readAheadLimits struct {
	// bytes is how much of the response is read ahead as long as all responses hold less than
	// maxReadAheadInAll. Otherwise it is readAheadBytes.
	bytes int
	// inAll is the number of bytes that all responses hold.
	inAll *expvar.Int
	// request holds the memory of what is read ahead; nil if that is not limited otherwise.
	request *resources.Request
	// onStall is called when the receiver has taken nothing for maxReceiverStall, and reports whether
	// the response ends for that. It is called from another goroutine.
	onStall func() bool
	// onWait is called, once, when the source has waited for the receiver for
	// maxReceiverWait. It may be called from another goroutine.
	onWait func()
}

func newReadAhead(source io.ReadCloser, limits readAheadLimits) *readAhead {
	r := &readAhead{source: source, limits: limits}
	r.changed = sync.NewCond(&r.mu)
	go r.fill()
	return r
}

// readAheadOf returns the limits of a response to the given request.
func (e *Endpoint) readAheadOf(ctx context.Context, handle gate.Handle, onStall func() bool) readAheadLimits {
	limits := readAheadLimits{bytes: readAheadBytes, request: resources.RequestOf(ctx), inAll: &e.options.Counters.ReadAhead, onStall: onStall, onWait: func() { e.observeReceiverWait(handle) }}
	if e.options.Link.Enabled() {
		limits.bytes = pacedReadAheadBytes
	}
	return limits
}

// observeReceiverWait tells the gate that the backend server waits for the receiver of a
// response.
func (e *Endpoint) observeReceiverWait(handle gate.Handle) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gate.ObserveReceiverWait(e.now(), handle)
}

// fill reads the source until it ends or the body is closed. A blocked read of the source ends
// with the context of the exchange.
func (r *readAhead) fill() {
	defer r.source.Close()
	for {
		buffer := aheadBuffers.Get().(*[]byte)
		n, err := r.source.Read(*buffer)
		chunk := aheadChunk{(*buffer)[:n], buffer}
		if n <= readAheadChunk/2 {
			// Small pieces must not hold more memory than is counted.
			chunk = aheadChunk{bytes.Clone(chunk.unread), nil}
			aheadBuffers.Put(buffer)
		}
		r.mu.Lock()
		if n > 0 && !r.closed {
			r.chunks = append(r.chunks, chunk)
			r.resize(n)
		}
		r.err = err
		r.changed.Broadcast()
		if err == nil && r.full() {
			r.awaitReceiver()
		}
		done := r.err != nil || r.closed
		r.mu.Unlock()
		if done {
			return
		}
	}
}

// resize changes the number of bytes that are held. The caller holds mu.
func (r *readAhead) resize(by int) {
	r.size += by
	r.limits.inAll.Add(int64(by))
}

// full reports whether the source has to wait for the receiver. The caller holds mu.
func (r *readAhead) full() bool {
	switch {
	case r.closed || r.err != nil:
		return false
	case r.size > 0 && !r.takeChunk():
		return true
	case r.size < readAheadBytes:
		return false
	case r.size >= r.limits.bytes:
		return true
	}
	return r.limits.inAll.Value() >= maxReadAheadInAll
}

// takeChunk takes the memory of the next piece, unless the request has enough. The caller holds mu.
func (r *readAhead) takeChunk() bool {
	if r.size+readAheadChunk <= r.taken {
		return true
	}
	if !r.limits.request.Take(readAheadChunk) {
		return false
	}
	r.taken += readAheadChunk
	return true
}

// awaitReceiver waits until the receiver has taken enough. The caller holds mu.
func (r *readAhead) awaitReceiver() {
	begin := time.Now()
	if r.waited < maxReceiverWait {
		defer time.AfterFunc(maxReceiverWait-r.waited, r.limits.onWait).Stop()
	}
	r.takenAt = begin
	var stall *time.Timer
	stall = time.AfterFunc(maxReceiverStall, func() {
		if next := r.checkReceiver(); next > 0 {
			stall.Reset(next)
		}
	})
	defer stall.Stop()
	for r.full() {
		r.changed.Wait()
	}
	r.waited += time.Since(begin)
}

var errReceiverStalled = errors.New("the receiver does not read the response, and requests wait for the slot of the backend server that the response holds")

// checkReceiver ends the response if its receiver has taken nothing for maxReceiverStall and its slot is
// needed. It returns after which time to check again, 0 if no check is needed.
func (r *readAhead) checkReceiver() (next time.Duration) {
	r.mu.Lock()
	left, waits := maxReceiverStall-time.Since(r.takenAt), r.full()
	r.mu.Unlock()
	if !waits {
		return 0
	}
	if left > 0 {
		return left
	}
	if !r.limits.onStall() {
		return receiverStallCheck
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = errReceiverStalled
	r.changed.Broadcast()
	return 0
}

// Read implements io.Reader. It returns all that is held, if there is room for it: pieces as
// small as the server writes them would pass for events of a stream on the host's link.
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
	n := 0
	for n < len(p) && len(r.chunks) > 0 {
		first := &r.chunks[0]
		some := copy(p[n:], first.unread)
		n += some
		if first.unread = first.unread[some:]; len(first.unread) == 0 {
			if first.buffer != nil {
				aheadBuffers.Put(first.buffer)
			}
			r.chunks = r.chunks[1:]
		}
	}
	r.resize(-n)
	r.takenAt = time.Now()
	r.changed.Broadcast()
	return n, nil
}

// Close implements io.Closer.
func (r *readAhead) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.chunks = true, nil
	r.resize(-r.size)
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
