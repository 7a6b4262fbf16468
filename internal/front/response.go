package front

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heldAnswer is how much of an answer is held while earlier ones are not out,
// or while its end is near. An answer that breaks off within it can still be
// replaced by one that says so.
const heldAnswer = 64 << 10

// writeTimeout bounds one write to a caller that does not read.
const writeTimeout = 30 * time.Second

// response is the answer to one request.
type response struct {
	c       *conn
	request *http.Request
	header  http.Header
	status  int
	// turn is closed when all earlier answers are out, done when this one is.
	turn, done chan struct{}
	held       bytes.Buffer
	chunked    bool
	mustClose  bool
	last       bool
	// interim lets one goroutine write at a time until the head is out: the one that
	// reads the body may ask for it while the handler answers. It guards started.
	interim sync.Mutex
	started bool
	broken  atomic.Bool
	// length is what Content-Length announced, or -1.
	length, written int64
	body            *streamedBody
}

func newResponse(c *conn, r *http.Request, turn chan struct{}) *response {
	return &response{c: c, request: r, header: http.Header{}, turn: turn, done: make(chan struct{}), length: -1}
}

// Header is the answer's header, until it is sent.
func (w *response) Header() http.Header { return w.header }

// WriteHeader sets the status; the head goes out with the first bytes that do
// not fit what is held, or at the end. Continue has the caller asked for the request's
// body, if it waits for that; no other interim answer is passed on.
func (w *response) WriteHeader(status int) {
	if status == http.StatusContinue && w.body != nil {
		w.body.askAhead()
	}
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	}
}

// Write takes a part of the body.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.hasBody() {
		return len(p), nil
	}
	w.written += int64(len(p))
	if !w.started {
		if w.held.Len()+len(p) <= heldAnswer {
			return w.held.Write(p)
		}
		if err := w.start(false); err != nil {
			return 0, err
		}
	}
	return len(p), w.send(p)
}

// Flush sends what is held, once it is this answer's turn.
func (w *response) Flush() {
	if w.broken.Load() {
		return
	}
	w.WriteHeader(http.StatusOK)
	if !w.started {
		select {
		case <-w.turn:
			_ = w.start(false)
		default:
		}
	}
}

// Reset drops an answer of which nothing was sent; it reports whether it could.
func (w *response) Reset() bool {
	if w.started {
		return false
	}
	w.held.Reset()
	w.header, w.status, w.length, w.written = http.Header{}, 0, -1, 0
	return true
}

// EnableFullDuplex is always on.
func (w *response) EnableFullDuplex() error { return nil }

// SetReadDeadline bounds reads of the request's body, also one that waits. It is
// meant for http.ResponseController.
func (w *response) SetReadDeadline(t time.Time) error {
	if w.body == nil {
		return nil
	}
	return w.body.setReadDeadline(t)
}

func (w *response) hasBody() bool {
	return w.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// start waits for the turn and sends the head. Whole means that the body is held
// in full, so that its length is known.
func (w *response) start(whole bool) error {
	select {
	case <-w.turn:
	case <-w.c.ctx.Done():
		w.broken.Store(true)
		return w.c.ctx.Err()
	}
	w.interim.Lock()
	if w.body != nil && w.body.wanted && !w.body.isStopped() {
		_ = w.body.question()
	}
	w.started = true
	w.interim.Unlock()
	if whole && w.length < 0 && w.hasBody() && !w.hasTrailers() {
		w.length = int64(w.held.Len())
	}
	w.last = w.c.lastWord(w.mustClose || w.bodyLeft())
	var head bytes.Buffer
	w.writeHead(&head)
	body := w.held.Bytes()
	if err := w.raw(head.Bytes()); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	return w.send(body)
}

func (w *response) writeHead(out *bytes.Buffer) {
	out.WriteString("HTTP/1.1 ")
	out.WriteString(strconv.Itoa(w.status))
	out.WriteByte(' ')
	out.WriteString(http.StatusText(w.status))
	out.WriteString("\r\n")
	for name, values := range w.header {
		if framing(name) || strings.HasPrefix(name, http.TrailerPrefix) {
			continue
		}
		for _, v := range values {
			out.WriteString(name)
			out.WriteString(": ")
			out.WriteString(cleanValue(v))
			out.WriteString("\r\n")
		}
	}
	switch {
	case w.length >= 0 && (w.hasBody() || w.request.Method == http.MethodHead):
		out.WriteString("Content-Length: " + strconv.FormatInt(w.length, 10) + "\r\n")
	case !w.hasBody():
	case w.request.ProtoMinor == 0:
		w.last = w.c.lastWord(true)
	default:
		w.chunked = true
		out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if w.last {
		out.WriteString("Connection: close\r\n")
	} else if w.request.ProtoMinor == 0 {
		out.WriteString("Connection: keep-alive\r\n")
	}
	out.WriteString("\r\n")
}

// framing fields are this server's own.
func framing(name string) bool {
	switch name {
	case "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive":
		return true
	}
	return false
}

// cleanValue keeps a value from ending its line: what follows would pass for
// another field or another answer.
func cleanValue(v string) string {
	if !strings.ContainsAny(v, "\r\n") {
		return v
	}
	return strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
}

func (w *response) send(p []byte) error {
	if !w.chunked {
		return w.raw(p)
	}
	if len(p) == 0 {
		return nil
	}
	chunk := make([]byte, 0, len(p)+16)
	chunk = strconv.AppendInt(chunk, int64(len(p)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, p...)
	chunk = append(chunk, "\r\n"...)
	return w.raw(chunk)
}

func (w *response) raw(p []byte) error {
	return w.write(p, writeTimeout)
}

func (w *response) write(p []byte, timeout time.Duration) error {
	if w.broken.Load() {
		return net.ErrClosed
	}
	_ = w.c.raw.SetWriteDeadline(time.Now().Add(timeout))
	_, err := w.c.raw.Write(p)
	if err != nil {
		w.broken.Store(true)
		w.c.cancel()
	}
	return err
}

func (w *response) hasTrailers() bool {
	if len(w.header["Trailer"]) > 0 {
		return true
	}
	for name := range w.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

// finish sends what is left and ends the answer.
func (w *response) finish() {
	if w.broken.Load() {
		return
	}
	if w.status == 0 && w.c.ctx.Err() != nil {
		// The handler gave up because the caller is gone. The implied 200 would be a false
		// success for a caller that closed only its sending side.
		w.broken.Store(true)
		return
	}
	w.WriteHeader(http.StatusOK)
	if !w.started && w.start(true) != nil {
		return
	}
	if w.hasBody() && w.length >= 0 && w.written != w.length {
		// Shorter or longer than announced: the caller must see a broken answer.
		w.abort()
		return
	}
	if w.chunked {
		var tail bytes.Buffer
		tail.WriteString("0\r\n")
		for name, values := range w.header {
			if trailer, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
				for _, v := range values {
					tail.WriteString(trailer + ": " + cleanValue(v) + "\r\n")
				}
			}
		}
		tail.WriteString("\r\n")
		_ = w.raw(tail.Bytes())
	}
}

// abort breaks the connection off, so that an answer which is not whole does not
// look complete.
func (w *response) abort() {
	w.broken.Store(true)
	w.c.mu.Lock()
	w.c.closing = true
	w.c.mu.Unlock()
	w.c.cancel()
	if tcp, ok := w.c.raw.(*net.TCPConn); ok {
		// A reset, not an end: an answer without a length would end with either.
		_ = tcp.SetLinger(0)
	}
	_ = w.c.raw.Close()
}

// closeIfLast ends the connection after its last answer.
func (w *response) closeIfLast() {
	if !w.last || w.broken.Load() {
		return
	}
	if tcp, ok := w.c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	// The reader, which may wait for another request, is given a moment: closing
	// with bytes unread would reset the connection under the answer.
	_ = w.c.raw.SetReadDeadline(time.Now().Add(lingerTime))
}
