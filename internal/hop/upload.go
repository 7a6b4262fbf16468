package hop

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/quarantine"
	"cactuspath/internal/logs"
)

// A streamed body is sent by a goroutine beside the one that reads the answer, since
// the answer may come first. That goroutine touches three things that outlast its
// exchange: the caller's connection that it reads, the words that ask the caller for
// the body, and the connection that it writes. Begun or left over after the end of
// its exchange it took bytes out of the body that the next attempt sent, and the next
// server got a body with a hole. So an exchange does not end before its sender is
// gone: every way out of an exchange leads through sender.end.

// Body is a request's body that is read once, as it is sent. It is lent to one
// exchange after the other; only the sender of the exchange that has it can read it.
// Safe for concurrent use.
type Body struct {
	source io.Reader
	// setReadDeadline wakes a read of the source that waits; nil for a source that
	// never waits.
	setReadDeadline func(time.Time) error

	mu sync.Mutex
	// holder is the sender that may read, nil for none.
	holder *sender
	// reading: a read of the source is under way.
	reading bool
	// touched: a read was begun, so that what is left may not be the whole body.
	touched bool
	ended   bool
	// digest sums up what was read; nil where nobody asks for it.
	digest *quarantine.BodyDigest
}

// NewBody returns a body that is read from source. SetReadDeadline makes a read of
// it that waits return once the time has passed, as that of http.ResponseController
// does; nil stands for a source that never waits.
func NewBody(source io.Reader, setReadDeadline func(time.Time) error) *Body {
	return &Body{source: source, setReadDeadline: setReadDeadline}
}

// Whole tells whether no byte of the body was read, so that another attempt may send
// it.
func (b *Body) Whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.touched
}

// Ended tells whether the body was read to its end.
func (b *Body) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// Lent tells whether an exchange under way has asked for the body.
func (b *Body) Lent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder != nil
}

// ReadAhead reads up to n bytes of the body into memory, until a time at the latest; they
// are sent first. A body that ends or breaks off before does so again when it is sent.
func (b *Body) ReadAhead(n int, until time.Time) {
	reader := &sender{}
	b.lend(reader)
	defer b.lend(nil)
	if err := b.readUntil(until); err != nil {
		return
	}
	ahead := make([]byte, n)
	read, err := io.ReadFull(held{b, reader}, ahead)
	next := []io.Reader{bytes.NewReader(ahead[:read])}
	switch {
	case err == nil:
		next = append(next, b.source)
	case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		next = append(next, failingReader{err})
	}
	b.replay(io.MultiReader(next...))
	if err != nil {
		return
	}
	if err := b.readUntil(time.Time{}); err != nil {
		klog.V(2).InfoS("Deadline of a body stays; its source is closed already", "err", err)
	}
}

// readUntil bounds reads of a source that may wait; the zero time lifts the bound.
func (b *Body) readUntil(t time.Time) error {
	if b.setReadDeadline == nil {
		return nil
	}
	return b.setReadDeadline(t)
}

// replay puts what was read ahead before the rest, and has it summed up once.
func (b *Body) replay(source io.Reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.source = source
	if b.digest == nil {
		return
	}
	if _, known := b.digest.Sum(b.ended); !known {
		// It passes once more.
		b.digest = quarantine.NewBodyDigest()
	}
}

// failingReader is a body that broke off.
type failingReader struct{ err error }

// Read fails as the body did.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// SumUp has the body summed up as it is read.
func (b *Body) SumUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.digest = quarantine.NewBodyDigest()
}

// Sum is the sum of the body, if SumUp was called and enough of it was read.
func (b *Body) Sum() (sum quarantine.BodySum, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.digest == nil {
		return sum, false
	}
	return b.digest.Sum(b.ended)
}

// Stop tells the source that no attempt wants the rest of the body, so that its caller
// is not asked for it any more.
func (b *Body) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	if err := b.readUntil(longPast); err != nil {
		klog.V(2).InfoS("Body not stopped; its source is closed already", "err", err)
	}
}

// Fetch reads a whole body of the given length, until a time at the latest.
func (b *Body) Fetch(length int64, until time.Time) ([]byte, error) {
	reader := &sender{}
	b.lend(reader)
	defer b.lend(nil)
	if err := b.readUntil(until); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(held{b, reader}, body); err != nil {
		return nil, err
	}
	return body, b.readUntil(time.Time{})
}

// errTakenBack ends a sender whose exchange is over.
var errTakenBack = errors.New("the exchange ended before its body was sent")

// held reads a body for its holder.
type held struct {
	body   *Body
	holder *sender
}

// Read reads the body, as long as the holder has it.
func (h held) Read(p []byte) (int, error) {
	b := h.body
	if !b.begin(h.holder) {
		return 0, errTakenBack
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.ended = b.ended || errors.Is(err, io.EOF)
	if b.digest != nil {
		b.digest.Write(p[:n])
	}
	if b.holder != h.holder {
		h.holder.dropped += int64(n)
		return 0, errTakenBack
	}
	return n, err
}

func (b *Body) begin(holder *sender) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holder != holder {
		return false
	}
	b.reading, b.touched = true, true
	return true
}

func (b *Body) lend(holder *sender) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder = holder
}

// takeBack ends the holder's reads: the one under way is woken, and those that would
// begin later fail.
func (b *Body) takeBack(holder *sender) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holder == holder {
		b.holder = nil
	}
	if !b.reading {
		return nil
	}
	return b.readUntil(longPast)
}

// sender sends one body on one exchange.
type sender struct {
	out  *Outgoing
	conn *conn
	// done is closed when the sender's goroutine has ended; what follows is read only
	// then.
	done chan struct{}
	err  error
	// read and sent count the body's bytes that were read and handed to the
	// connection, dropped those that a read under way took after the exchange's end.
	read, sent, dropped int64
	// sourceFailed: the body broke off. Only the sender uses it.
	sourceFailed bool
}

func startSender(c *conn, out *Outgoing) *sender {
	s := &sender{out: out, conn: c, done: make(chan struct{})}
	out.Stream.lend(s)
	go s.run()
	return s
}

func (s *sender) run() {
	defer close(s.done)
	var copied int64
	copied, s.err = s.copy()
	s.sent = max(0, copied-int64(s.conn.writer.Buffered()))
	if s.sourceFailed || errors.Is(s.err, io.ErrUnexpectedEOF) {
		// The peer must see a broken body, never a shortened one. Where it was the peer
		// that ended the connection, its answer may be there: that one is read.
		s.conn.fail()
	}
}

// gone tells whether the sender's goroutine has ended.
func (s *sender) gone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// finished tells whether the body was sent to its end.
func (s *sender) finished() bool { return s.gone() && s.err == nil }

// end takes the body back and returns when the sender's goroutine is gone. The
// connection that it writes to must be closed, or the body sent.
func (s *sender) end() {
	over := !s.gone()
	if err := s.out.Stream.takeBack(s); errors.Is(err, errors.ErrUnsupported) {
		// Nothing can wake the read under way; what it takes is dropped when it returns.
		// Any other error is that of a source that is closed: its reads return.
		logs.Decision(true, "Body sender not woken", "request", s.out.ID, "attempt", FormatID(s.out.Attempt), "err", err)
		return
	}
	<-s.done
	logs.Decision(s.err != nil, "Body sender ended", "request", s.out.ID, "attempt", FormatID(s.out.Attempt), "to", s.conn.RemoteAddr().String(), "length", s.out.Length,
		"read", s.read, "sent", s.sent, "dropped", s.dropped, "exchangeOver", over, "err", s.err)
}

// Read reads the body for the sender, and counts.
func (s *sender) Read(p []byte) (int, error) {
	n, err := held{s.out.Stream, s}.Read(p)
	s.read += int64(n)
	s.sourceFailed = err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// copy sends the body; it returns how many of its bytes were written.
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

// flusher sends each chunk as it comes, so that a slow upload is not held back.
type flusher struct{ w *bufio.Writer }

// Write sends a part of a chunk.
func (f flusher) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil && f.w.Available() < bufferSize/2 {
		err = f.w.Flush()
	}
	return n, err
}
