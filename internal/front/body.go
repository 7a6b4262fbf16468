package front

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"
)

// streamedBody is a body that is read from the connection while its request is
// served. One goroutine reads it; another may stop it.
type streamedBody struct {
	io.ReadCloser
	w *response
	// expects: the caller waits to be asked for the body. wanted: it is to be asked
	// ahead of the answer. Both are guarded by the response's interim.
	expects, wanted bool
	// finished is closed when the body was read to its end, stopped when it is not to
	// be read any more.
	finished, stopped chan struct{}

	// begun: the first read was made. Only the reader uses it.
	begun bool

	mu    sync.Mutex
	ended bool
	stop  sync.Once
}

func newStreamedBody(body io.ReadCloser, w *response, expects bool) *streamedBody {
	return &streamedBody{ReadCloser: body, w: w, expects: expects, finished: make(chan struct{}), stopped: make(chan struct{})}
}

// Read reads the body, asking the caller for it first if it waits to be asked.
func (b *streamedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		if err := b.ask(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.end()
	case !b.isStopped():
		b.w.c.cancel()
	}
	return n, err
}

// ask asks the caller for the body once all earlier answers are out. Where the
// answer has begun it does not: the caller would read the question as a part of the
// answer, or as the answer to its next request. The body may come unasked.
func (b *streamedBody) ask() error {
	if !b.waitsToBeAsked() {
		return nil
	}
	select {
	case <-b.w.turn:
	case <-b.stopped:
		return os.ErrDeadlineExceeded
	case <-b.w.c.ctx.Done():
		return b.w.c.ctx.Err()
	}
	b.w.interim.Lock()
	defer b.w.interim.Unlock()
	if b.isStopped() {
		return os.ErrDeadlineExceeded
	}
	return b.question()
}

func (b *streamedBody) waitsToBeAsked() bool {
	b.w.interim.Lock()
	defer b.w.interim.Unlock()
	return b.expects
}

// askAhead has the caller asked before the answer's head, at the latest: a server
// that answers as it reads waits for the body, and the caller to be asked for it.
func (b *streamedBody) askAhead() {
	b.w.interim.Lock()
	defer b.w.interim.Unlock()
	select {
	case <-b.w.turn:
		_ = b.question()
	default:
		b.wanted = true
	}
}

// question asks the caller, unless it was asked or does not wait for it. The interim
// lock is held.
func (b *streamedBody) question() error {
	if !b.expects || b.w.started {
		return nil
	}
	b.expects = false
	return b.w.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), askTimeout)
}

// askTimeout bounds the writing of the question for a body. It is 25 bytes: a caller
// that does not take them in a second reads none of its answers. Whoever stops the
// body waits for it.
const askTimeout = time.Second

// end notes that the body was read to its end: the connection goes on to the next
// request.
func (b *streamedBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		b.ended = true
		close(b.finished)
	}
}

// setReadDeadline bounds reads of the body. Once it was read to its end the
// connection belongs to the next request, and nothing is bounded. A time that has
// passed stops the body: what waits to ask for it does not ask.
func (b *streamedBody) setReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		b.stop.Do(func() { close(b.stopped) })
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

// left tells whether the body was not read to its end.
func (b *streamedBody) left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ended
}

// Close leaves the rest of the body unread.
func (b *streamedBody) Close() error { return nil }

// bodyLeft tells whether the request's body was not read to its end.
func (w *response) bodyLeft() bool { return w.body != nil && w.body.left() }
