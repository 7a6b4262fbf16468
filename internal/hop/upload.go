package hop

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/quarantine"
	"cactuspath/internal/logs"
)

// A streamed body is sent by a goroutine of its own, concurrently with reading the response,
// since the response may arrive first. This goroutine uses three things that outlive the
// exchange: the caller's connection that it reads, the 100 Continue that requests the body
// from the caller, and the connection that it writes. If it started or continued to run after
// the end of its exchange, it would take bytes out of the body that the next attempt sends,
// and the next server would receive a body with a gap. An exchange therefore ends only after
// its sender has ended: every way to end an exchange calls sender.stopAndWait.

// Body is a request body that can be read only once, as it is sent. One exchange at a time
// owns it; only the sender of that exchange can read it. Safe for concurrent use.
type Body struct {
	source io.Reader
	// setReadDeadline interrupts a blocked read of the source; nil for a source that never
	// blocks.
	setReadDeadline func(time.Time) error

	mu sync.Mutex
	// owner is the sender that may read; nil for none.
	owner *sender
	// reading is set while a read of the source is in progress.
	reading bool
	// readStarted is set before the first read; from then on the source may no longer return
	// the whole body.
	readStarted bool
	ended       bool
	// digest hashes what was read; nil if no hash is needed.
	digest *quarantine.BodyDigest
}

// NewBody returns a body that is read from source. setReadDeadline makes a blocked read of
// source return at the given time, like that of http.ResponseController; nil is for a
// source that never blocks.
func NewBody(source io.Reader, setReadDeadline func(time.Time) error) *Body {
	return &Body{source: source, setReadDeadline: setReadDeadline}
}

// Unread reports whether no byte of the body was read, so that another attempt may send it.
func (b *Body) Unread() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.readStarted
}

// Ended reports whether the body was read to its end.
func (b *Body) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// InUse reports whether an exchange in progress has requested the body.
func (b *Body) InUse() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owner != nil
}

// ReadAhead reads up to n bytes of the body into memory, until the given time at the latest.
// Later reads return these bytes first. If the body ends or fails within these bytes, later
// reads end or fail at the same place. The error is that of a body that failed.
func (b *Body) ReadAhead(n int, until time.Time) error {
	reader := &sender{}
	b.setOwner(reader)
	defer b.setOwner(nil)
	if err := b.setSourceDeadline(until); err != nil {
		return err
	}
	prefix := make([]byte, n)
	read, err := fill(ownerReader{b, reader}, prefix)
	parts := []io.Reader{bytes.NewReader(prefix[:read])}
	switch {
	case err == nil:
		parts = append(parts, b.source)
	case !errors.Is(err, io.EOF):
		parts = append(parts, errReader{err})
	}
	b.replaceSource(io.MultiReader(parts...))
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	if err := b.setSourceDeadline(time.Time{}); err != nil {
		klog.V(2).InfoS("Read deadline of a body not removed: its source is already closed", "err", err)
	}
	return nil
}

// fill reads until p is full or an error occurs. Unlike io.ReadFull, it returns the reader's own
// error: io.EOF at the end of a body, and io.ErrUnexpectedEOF for a body that was cut off.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	if n == len(p) {
		err = nil
	}
	return n, err
}

// setSourceDeadline limits reads of a source that may block; the zero time removes the limit.
func (b *Body) setSourceDeadline(t time.Time) error {
	if b.setReadDeadline == nil {
		return nil
	}
	return b.setReadDeadline(t)
}

// replaceSource replaces the source by one that returns the bytes read ahead before the rest
// of the body. The digest must include these bytes only once.
func (b *Body) replaceSource(source io.Reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.source = source
	if b.digest == nil {
		return
	}
	if _, known := b.digest.Sum(b.ended); !known {
		// The bytes are read and hashed again when the body is sent.
		b.digest = quarantine.NewBodyDigest()
	}
}

// errReader returns the error of a body that failed.
type errReader struct{ err error }

// Read returns the error.
func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// EnableDigest enables hashing the body as it is read.
func (b *Body) EnableDigest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.digest = quarantine.NewBodyDigest()
}

// Sum returns the hash of the body. It is known only if EnableDigest was called and enough of
// the body was read.
func (b *Body) Sum() (sum quarantine.BodySum, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.digest == nil {
		return sum, false
	}
	return b.digest.Sum(b.ended)
}

// Stop tells the source that no attempt needs the rest of the body, so that it is no longer
// requested from the caller.
func (b *Body) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	if err := b.setSourceDeadline(aLongTimeAgo); err != nil {
		klog.V(2).InfoS("Body not stopped: its source is already closed", "err", err)
	}
}

// ReadFull reads a whole body of the given length, until the given time at the latest.
func (b *Body) ReadFull(length int64, until time.Time) ([]byte, error) {
	reader := &sender{}
	b.setOwner(reader)
	defer b.setOwner(nil)
	if err := b.setSourceDeadline(until); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(ownerReader{b, reader}, body); err != nil {
		return nil, err
	}
	return body, b.setSourceDeadline(time.Time{})
}

// errExchangeEnded is the error of reads by a sender whose exchange has ended.
var errExchangeEnded = errors.New("the exchange ended before its body was sent")

// ownerReader reads a body on behalf of its owner.
type ownerReader struct {
	body  *Body
	owner *sender
}

// Read reads the body, unless it no longer belongs to the owner.
func (r ownerReader) Read(p []byte) (int, error) {
	b := r.body
	if !b.beginRead(r.owner) {
		return 0, errExchangeEnded
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.ended = b.ended || errors.Is(err, io.EOF)
	if b.digest != nil {
		b.digest.Write(p[:n])
	}
	if b.owner != r.owner {
		r.owner.dropped += int64(n)
		return 0, errExchangeEnded
	}
	return n, err
}

func (b *Body) beginRead(owner *sender) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner != owner {
		return false
	}
	b.reading, b.readStarted = true, true
	return true
}

func (b *Body) setOwner(owner *sender) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.owner = owner
}

// removeOwner takes the body from its owner: a read in progress is interrupted, and later
// reads fail.
func (b *Body) removeOwner(owner *sender) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner == owner {
		b.owner = nil
	}
	if !b.reading {
		return nil
	}
	return b.setSourceDeadline(aLongTimeAgo)
}

// sender sends one body on one exchange.
type sender struct {
	out  *Outgoing
	conn *conn
	// done is closed when the sender's goroutine has ended. The fields below are read only
	// after that.
	done chan struct{}
	err  error
	// read and sent count the bytes of the body that were read, and written to the
	// connection; dropped counts those that a pending read returned after the end of the
	// exchange.
	read, sent, dropped int64
	// sourceFailed is set if reading the body failed. Only the sender uses it.
	sourceFailed bool
	// progressAt is when a part of the body was last read, in nanoseconds since begin.
	progressAt atomic.Int64
	begin      time.Time
}

// uploadProgressTimeout is how long a streamed body may make no progress after the deadline of its
// request. The parts of a body may wait for the link of a host, and a host may be paused for seconds.
const uploadProgressTimeout = 5 * time.Second

// startSender starts to send the body. It calls sent once the whole body was written.
func startSender(c *conn, out *Outgoing, sent func()) *sender {
	s := &sender{out: out, conn: c, done: make(chan struct{}), begin: time.Now()}
	out.Stream.setOwner(s)
	go s.run(sent)
	return s
}

func (s *sender) run(sent func()) {
	defer close(s.done)
	if !s.out.Deadline.IsZero() {
		defer s.watchProgress().stop()
	}
	var copied int64
	copied, s.err = s.copy()
	s.sent = max(0, copied-int64(s.conn.writer.Buffered()))
	if s.sourceFailed || errors.Is(s.err, io.ErrUnexpectedEOF) {
		// The body is incomplete. Break the connection, so that the peer does not take the
		// body for a complete one. If a write failed instead, because the peer closed the
		// connection, the peer's response may already have arrived and is still read.
		s.conn.fail()
	}
	if s.err == nil {
		sent()
	}
}

// progressWatch ends the exchange of a sender whose body stops on its way. Without a limit, a body
// whose source or receiver has failed would keep its connections and a slot of the backend server
// until the caller leaves.
type progressWatch struct {
	sender *sender
	timer  *time.Timer

	mu sync.Mutex
	// ended is set when the sender has ended: its connection may belong to another exchange.
	ended bool
}

// watchProgress starts the watch of a sender.
func (s *sender) watchProgress() *progressWatch {
	w := &progressWatch{sender: s}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(time.Until(s.progressDeadline()), w.check)
	return w
}

// check ends the exchange if the body has made no progress for too long.
func (w *progressWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	s := w.sender
	if left := time.Until(s.progressDeadline()); left > 0 {
		w.timer.Reset(left)
		return
	}
	logs.Decision(true, "Body stopped on its way", "request", s.out.ID, "attempt", FormatID(s.out.Attempt), "to", s.conn.RemoteAddr().String(), "length", s.out.Length)
	s.conn.fail()
	_ = s.out.Stream.removeOwner(s)
}

func (w *progressWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// progressDeadline returns the time at which the body counts as stopped unless more of it is read.
func (s *sender) progressDeadline() time.Time {
	end := s.begin.Add(time.Duration(s.progressAt.Load()) + uploadProgressTimeout)
	if end.Before(s.out.Deadline) {
		return s.out.Deadline
	}
	return end
}

// exited reports whether the sender's goroutine has ended.
func (s *sender) exited() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// completed reports whether the whole body was sent.
func (s *sender) completed() bool { return s.exited() && s.err == nil }

// wasReset reports whether the sender learned that the peer has reset the connection. A socket reports
// this once: the reader of the response then sees the same end as after an orderly close. A write
// after an orderly close fails with EPIPE. The exchange must have ended.
func (s *sender) wasReset() bool {
	return s != nil && s.exited() && errors.Is(s.err, syscall.ECONNRESET)
}

// stopAndWait revokes the sender's access to the body and waits for its goroutine to end. The
// connection that it writes to must be closed, or the body sent completely.
func (s *sender) stopAndWait() {
	stillRunning := !s.exited()
	if err := s.out.Stream.removeOwner(s); errors.Is(err, errors.ErrUnsupported) {
		// The pending read cannot be interrupted, so do not wait for it; the bytes that it
		// returns are dropped. Any other error means that the source is closed, and then a
		// pending read returns by itself.
		logs.Decision(true, "Body sender not woken", "request", s.out.ID, "attempt", FormatID(s.out.Attempt), "err", err)
		return
	}
	<-s.done
	logs.Decision(s.err != nil, "Body sender ended", "request", s.out.ID, "attempt", FormatID(s.out.Attempt), "to", s.conn.RemoteAddr().String(), "length", s.out.Length,
		"read", s.read, "sent", s.sent, "dropped", s.dropped, "exchangeOver", stillRunning, "err", s.err)
}

// Read reads the body for the sender and counts the bytes.
func (s *sender) Read(p []byte) (int, error) {
	n, err := ownerReader{s.out.Stream, s}.Read(p)
	s.read += int64(n)
	s.progressAt.Store(int64(time.Since(s.begin)))
	s.out.reportBodySent(n)
	s.sourceFailed = err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// copy sends the body and returns how many of its bytes were written.
func (s *sender) copy() (int64, error) {
	w := s.conn.writer
	if s.out.Length < 0 {
		return copyChunked(w, s)
	}
	n, err := io.Copy(w, io.LimitReader(s, s.out.Length))
	if err == nil && n != s.out.Length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return n, err
	}
	return n, w.Flush()
}

func copyChunked(w *bufio.Writer, source io.Reader) (int64, error) {
	chunked := httputil.NewChunkedWriter(flusher{w})
	n, err := io.Copy(chunked, source)
	if err != nil {
		return n, err
	}
	if err := chunked.Close(); err != nil {
		return n, err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return n, err
	}
	return n, w.Flush()
}

// flusher flushes the buffer once it is half full, so that the parts of a slow upload are
// sent as they arrive.
type flusher struct{ w *bufio.Writer }

// Write writes a part of a chunk.
func (f flusher) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil && f.w.Available() < bufferSize/2 {
		err = f.w.Flush()
	}
	return n, err
}
