package link

import (
	"context"
	"net/http"
	"time"

	corelink "cactuspath/core/link"
	"cactuspath/internal/hangup"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
)

// loggedWait is the time from which the wait of a large response is logged. It is below the
// shortest aims of routes with large responses, and above the wait of one that is alone.
const loggedWait = 100 * time.Millisecond

// Response describes a response that leaves the host.
type Response struct {
	// Request is the ID of its request in the logs.
	Request string
	// Length is the number of bytes of its body; negative if unknown.
	Length int64
	// Due is when its receiver expects it.
	Due time.Time
}

// Writer writes one response to the link. It sends the body of a large one chunk by chunk as
// the link allows, and counts the bytes of a short one. It implements http.ResponseWriter for
// hop.Relay. End must be called after the last write.
type Writer struct {
	http.ResponseWriter
	link     *Link
	ctx      context.Context
	response Response
	// granted has a value when the chunk that was asked for may be written.
	granted chan struct{}
	sent    int64
	// begunAt is when the first byte that is paced was to be written; zero before that.
	begunAt time.Time
	waited  time.Duration

	// id is the transfer in the scheduler of the given generation; counted is set while it
	// is one of Link.active. They are guarded by Link.mu.
	id         corelink.TransferID
	generation int
	counted    bool
}

// NewWriter returns a writer that writes a response to w. It gives up when ctx ends.
func (l *Link) NewWriter(ctx context.Context, w http.ResponseWriter, response Response) *Writer {
	return &Writer{ResponseWriter: w, link: l, ctx: ctx, response: response, granted: make(chan struct{}, 1)}
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush sends what is buffered.
func (w *Writer) Flush() {
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Write writes a part of the body. The error is a *hop.TruncatedResponseError if the request's
// context ends before all of it is written: what was written must not pass for a whole
// response.
func (w *Writer) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := w.writeSome(p[written:])
		written += n
		w.sent += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeSome writes the next chunk, or as much as is sent without waiting.
func (w *Writer) writeSome(p []byte) (int, error) {
	if w.link == nil {
		return w.ResponseWriter.Write(p)
	}
	if short := w.unpaced(len(p)); short > 0 {
		w.link.Count(short)
		return w.ResponseWriter.Write(p[:short])
	}
	if w.begunAt.IsZero() {
		w.begunAt = time.Now()
		// The receiver gets the head at once: its time limit applies to the head, and it
		// would give up a response whose first chunk waits longer.
		w.Flush()
	}
	chunk, err := w.await(len(p))
	if err != nil {
		return 0, err
	}
	n, err := w.ResponseWriter.Write(p[:chunk])
	w.Flush()
	return n, err
}

// unpaced returns how many of the next bytes are sent without waiting: all of a short
// response, and the first ones of a response of unknown length, which may turn out short.
func (w *Writer) unpaced(bytes int) int {
	switch {
	case w.response.Length >= corelink.LargeBytes:
		return 0
	case w.response.Length >= 0:
		return bytes
	}
	return int(max(0, min(int64(bytes), corelink.LargeBytes-w.sent)))
}

// await waits until the next chunk may be written, and returns its size.
func (w *Writer) await(bytes int) (chunk int, err error) {
	if err := w.ctx.Err(); err != nil {
		return 0, &hop.TruncatedResponseError{Err: err}
	}
	chunk, granted := w.link.ask(w, bytes)
	if granted {
		return chunk, nil
	}
	asked := time.Now()
	defer func() { w.waited += time.Since(asked) }()
	defer hangup.Expire(w.ctx)
	select {
	case <-w.granted:
		return chunk, nil
	case <-w.ctx.Done():
		w.link.end(w)
		return 0, &hop.TruncatedResponseError{Err: w.ctx.Err()}
	}
}

// End ends the response's transfer. It may be called more than once.
func (w *Writer) End() {
	if w.link == nil || w.begunAt.IsZero() {
		return
	}
	w.link.end(w)
	took := time.Since(w.begunAt)
	w.begunAt = time.Time{}
	w.link.Waited.Observe(w.waited)
	if w.waited > loggedWait {
		logs.Decision(false, "Large response waited for the link", "request", w.response.Request, "bytes", w.sent, "waited", w.waited, "took", took, "gone", w.ctx.Err() != nil)
	}
}
