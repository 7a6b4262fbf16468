package front

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"
)

// streamedBody is a request body that is read from the connection while its request is
// served. One goroutine reads it; another may stop it.
type streamedBody struct {
	io.ReadCloser
	w *response
	// expectsContinue is set while the caller waits for 100 Continue before it sends the
	// body. continueDeferred is set if 100 Continue must be written just before the response
	// header, since earlier responses had not been sent when it was requested. Both are
	// guarded by the response's interimMu.
	expectsContinue, continueDeferred bool
	// finished is closed when the body has been read to its end, stopped when it must
	// no longer be read.
	finished, stopped chan struct{}

	// readStarted is set by the first read. Only the reading goroutine uses it.
	readStarted bool

	mu       sync.Mutex
	ended    bool
	stopOnce sync.Once
}

func newStreamedBody(body io.ReadCloser, w *response, expectsContinue bool) *streamedBody {
	return &streamedBody{ReadCloser: body, w: w, expectsContinue: expectsContinue, finished: make(chan struct{}), stopped: make(chan struct{})}
}

// Read reads the body. If the caller expects 100 Continue, the first read sends it.
func (b *streamedBody) Read(p []byte) (n int, err error) {
	if !b.readStarted {
		b.readStarted = true
		if err := b.sendContinueInTurn(); err != nil {
			return 0, err
		}
	}
	b.w.c.stalls.wait(func() { n, err = b.ReadCloser.Read(p) })
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.markFinished()
	case !b.isStopped():
		b.w.c.cancel()
	}
	return n, err
}

// sendContinueInTurn sends 100 Continue once all earlier responses on the connection have
// been sent. It does not send it after the response to this request has begun: the caller
// would read it as part of that response, or as the response to its next request. The caller
// may send the body without it.
func (b *streamedBody) sendContinueInTurn() error {
	if !b.needsContinue() {
		return nil
	}
	select {
	case <-b.w.prevDone:
	case <-b.stopped:
		return os.ErrDeadlineExceeded
	case <-b.w.c.ctx.Done():
		return b.w.c.ctx.Err()
	}
	b.w.interimMu.Lock()
	defer b.w.interimMu.Unlock()
	if b.isStopped() {
		return os.ErrDeadlineExceeded
	}
	return b.writeContinue()
}

func (b *streamedBody) needsContinue() bool {
	b.w.interimMu.Lock()
	defer b.w.interimMu.Unlock()
	return b.expectsContinue
}

// sendContinueAhead makes 100 Continue precede the response header. Otherwise, a backend
// server that responds while it reads the body would wait for the body, and the caller for
// 100 Continue.
func (b *streamedBody) sendContinueAhead() {
	b.w.interimMu.Lock()
	defer b.w.interimMu.Unlock()
	select {
	case <-b.w.prevDone:
		_ = b.writeContinue()
	default:
		b.continueDeferred = true
	}
}

// writeContinue writes 100 Continue, unless it was sent before, the caller does not expect it
// or the response has begun. The caller must hold interimMu.
func (b *streamedBody) writeContinue() error {
	if !b.expectsContinue || b.w.started {
		return nil
	}
	b.expectsContinue = false
	return b.w.writeWithTimeout([]byte("HTTP/1.1 100 Continue\r\n\r\n"), continueTimeout)
}

// continueTimeout bounds the write of 100 Continue. 100 Continue has 25 bytes: if they cannot
// be written within a second, the caller does not read its responses. The time is short
// because stopping the body waits for this write.
const continueTimeout = time.Second

// markFinished records that the body was read to its end, so that the connection can
// read the next request.
func (b *streamedBody) markFinished() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended = true
		close(b.finished)
	}
}

// setReadDeadline sets the deadline for reads of the body. It has no effect after the
// body was read to its end, since the connection then belongs to the next request. A
// time in the past stops the body: a pending 100 Continue is not sent.
func (b *streamedBody) setReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		b.stopOnce.Do(func() { close(b.stopped) })
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return nil
	}
	return b.w.c.raw.SetReadDeadline(t)
}

func (b *streamedBody) isStopped() bool {
	select {
	case <-b.stopped:
		return true
	default:
		return false
	}
}

// unread reports whether the body was not read to its end.
func (b *streamedBody) unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended
}

// Close does nothing. The rest of the body stays unread.
func (b *streamedBody) Close() error { return nil }

// bodyUnread reports whether the request's body was not read to its end.
func (w *response) bodyUnread() bool { return w.body != nil && w.body.unread() }
