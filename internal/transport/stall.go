package transport

import (
	"context"
	"io"
	"time"
)

// progressBytes is how much of a response arrives between two signs of progress, at most.
const progressBytes = 4 << 10

// maxCallDuration limits a call that makes progress all the time.
const maxCallDuration = time.Minute

// stallKey is the context key of the *stallLimit of a call.
type stallKey struct{}

// stallLimit ends a call that makes no progress.
type stallLimit struct {
	timer        *time.Timer
	first, stall time.Duration
	progress     func()
}

// WithStallLimit returns a context for a call by a client of this package. The context ends with
// context.DeadlineExceeded if the response has not begun within first, or if then nothing more of
// it arrives for stall. While the request is being sent, first counts from its last part. Unlike a
// time limit for the whole call, it does not cut off a message that needs longer on a slow link,
// and that each repetition would send again from its beginning. progress, which may be nil, is
// called when a part of the response arrives.
func WithStallLimit(parent context.Context, first, stall time.Duration, progress func()) (context.Context, context.CancelFunc) {
	limited, release := context.WithTimeout(parent, maxCallDuration)
	ctx, cancel := context.WithCancelCause(limited)
	l := &stallLimit{first: first, stall: stall, progress: progress}
	l.timer = time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, stallKey{}, l), func() {
		l.timer.Stop()
		cancel(context.Canceled)
		release()
	}
}

// stallLimitOf returns the stall limit of a call, or nil if it has none.
func stallLimitOf(ctx context.Context) *stallLimit {
	l, _ := ctx.Value(stallKey{}).(*stallLimit)
	return l
}

// requestBody is the body of a request with a stall limit.
type requestBody struct {
	io.ReadCloser
	limit *stallLimit
}

// Read reads from the body.
func (b requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.limit.timer.Reset(b.limit.first)
	}
	return n, err
}

// arrived records that a part of the response arrived.
func (l *stallLimit) arrived() {
	if l == nil {
		return
	}
	l.timer.Reset(l.stall)
	if l.progress != nil {
		l.progress()
	}
}
