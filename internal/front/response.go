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

	"cactuspath/internal/resources"
)

// maxBufferedResponse bounds how much of a response, in bytes, is buffered before its header
// is sent. A response that fails within these bytes can still be replaced by an error
// response. A longer one is sent as it is written, once all earlier responses have been sent.
const maxBufferedResponse = 64 << 10

// maxHeldResponse bounds the buffer of a response while requests behind it on its connection are in
// progress, and maxHeldResponses that of all such responses of a server beyond maxBufferedResponse. If
// such a response is broken off before any of it is sent, the requests behind it still get theirs.
const (
	maxHeldResponse  = 2 << 20
	maxHeldResponses = 16 << 20
)

// writeTimeout bounds one write to the connection, which blocks if the caller does not read.
const writeTimeout = 30 * time.Second

// response is the response to one request.
type response struct {
	c       *conn
	request *http.Request
	header  http.Header
	status  int
	// prevDone is closed when all earlier responses on the connection have been sent, done
	// when this one has been sent.
	prevDone, done chan struct{}
	buffered       bytes.Buffer
	chunked        bool
	mustClose      bool
	closeAfter     bool
	// interimMu serializes writes until the response header is sent: the goroutine that
	// reads the body may send 100 Continue while the handler responds. It guards
	// started.
	interimMu sync.Mutex
	started   bool
	broken    atomic.Bool
	// number is that of the request on its connection; streaming is set, under the connection's lock,
	// if the response is sent before it is complete.
	number    uint64
	streaming bool
	// held is the number of bytes that are buffered beyond maxBufferedResponse.
	held int64
	// resources are those of the request.
	resources *resources.Request
	// length is the announced Content-Length, or -1.
	length, written int64
	body            *streamedBody
}

func newResponse(c *conn, r *http.Request, prevDone chan struct{}) *response {
	return &response{c: c, request: r, header: http.Header{}, prevDone: prevDone, done: make(chan struct{}), length: -1}
}

// Header returns the response header. Once it is sent, only trailers can be added.
func (w *response) Header() http.Header { return w.header }

// WriteHeader sets the status. The header is sent with the first bytes that exceed the
// buffer, or at the end. Status 100 sends 100 Continue to a caller that expects it;
// other interim responses are not passed on.
func (w *response) WriteHeader(status int) {
	if status == http.StatusContinue && w.body != nil {
		w.body.sendContinueAhead()
	}
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	}
}

// Write writes a part of the body.
func (w *response) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.hasBody() {
		return len(p), nil
	}
	w.written += int64(len(p))
	if !w.started {
		if w.buffers(len(p)) {
			return w.buffered.Write(p)
		}
		if err := w.sendHeader(false); err != nil {
			return 0, err
		}
	}
	return len(p), w.writeBody(p)
}

// bufferFactor is the memory of a buffer that grows, in multiples of its contents.
const bufferFactor = 2

// buffers reports whether the next bytes of a response are buffered. Otherwise they are sent as soon as
// all earlier responses have been.
func (w *response) buffers(size int) bool {
	if !w.resources.Take(bufferFactor * int64(size)) {
		w.c.beginStreaming(w, true)
		return false
	}
	return w.buffered.Len()+size <= maxBufferedResponse || w.hold(int64(size))
}

// hold reports whether the next bytes are buffered although they exceed maxBufferedResponse, since
// requests behind this one are in progress.
func (w *response) hold(size int64) bool {
	if w.c.beginStreaming(w, false) {
		return false
	}
	if int64(w.buffered.Len())+size <= maxHeldResponse {
		w.held += size
		if w.c.server.heldBytes.Add(size) <= maxHeldResponses {
			return true
		}
	}
	w.c.beginStreaming(w, true)
	return false
}

// release returns the bytes that are held to the budget of the server.
func (w *response) release() {
	w.c.server.heldBytes.Add(-w.held)
	w.held = 0
}

// Flush sends the buffered part if all earlier responses have been sent and no request behind this one
// is in progress; otherwise it does nothing.
func (w *response) Flush() {
	if w.broken.Load() {
		return
	}
	w.WriteHeader(http.StatusOK)
	if !w.started {
		select {
		case <-w.prevDone:
			if w.c.beginStreaming(w, false) {
				_ = w.sendHeader(false)
			}
		default:
		}
	}
}

// Reset discards the response, so that another one can be written, and returns true. It
// returns false if a part of the response was already sent.
func (w *response) Reset() bool {
	if w.started {
		return false
	}
	w.buffered.Reset()
	w.release()
	w.header, w.status, w.length, w.written = http.Header{}, 0, -1, 0
	return true
}

// EnableFullDuplex does nothing: full duplex is always enabled.
func (w *response) EnableFullDuplex() error { return nil }

// SetReadDeadline sets the deadline for reads of the request's body, including a
// blocked one. It is called through http.ResponseController.
func (w *response) SetReadDeadline(t time.Time) error {
	if w.body == nil {
		return nil
	}
	return w.body.setReadDeadline(t)
}

func (w *response) hasBody() bool {
	return w.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// sendHeader waits until all earlier responses have been sent, and sends the header and the
// buffered part of the body. Complete means that the whole body is buffered, so that its
// length is known.
func (w *response) sendHeader(complete bool) error {
	select {
	case <-w.prevDone:
	case <-w.c.ctx.Done():
		w.broken.Store(true)
		return w.c.ctx.Err()
	}
	w.interimMu.Lock()
	if w.body != nil && w.body.continueDeferred && !w.body.isStopped() {
		_ = w.body.writeContinue()
	}
	w.started = true
	w.interimMu.Unlock()
	if complete && w.length < 0 && w.hasBody() && !w.hasTrailers() {
		w.length = int64(w.buffered.Len())
	}
	w.closeAfter = w.c.decideClose(w.mustClose || w.bodyUnread())
	var head bytes.Buffer
	w.formatHeader(&head)
	body := w.buffered.Bytes()
	if err := w.writeConn(head.Bytes()); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	return w.writeBody(body)
}

func (w *response) formatHeader(out *bytes.Buffer) {
	out.WriteString("HTTP/1.1 ")
	out.WriteString(strconv.Itoa(w.status))
	out.WriteByte(' ')
	out.WriteString(http.StatusText(w.status))
	out.WriteString("\r\n")
	for name, values := range w.header {
		if isFramingField(name) || strings.HasPrefix(name, http.TrailerPrefix) {
			continue
		}
		for _, v := range values {
			out.WriteString(name)
			out.WriteString(": ")
			out.WriteString(sanitizeFieldValue(v))
			out.WriteString("\r\n")
		}
	}
	switch {
	case w.length >= 0 && (w.hasBody() || w.request.Method == http.MethodHead):
		out.WriteString("Content-Length: " + strconv.FormatInt(w.length, 10) + "\r\n")
	case !w.hasBody():
	case w.request.ProtoMinor == 0:
		w.closeAfter = w.c.decideClose(true)
	default:
		w.chunked = true
		out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if w.closeAfter {
		out.WriteString("Connection: close\r\n")
	} else if w.request.ProtoMinor == 0 {
		out.WriteString("Connection: keep-alive\r\n")
	}
	out.WriteString("\r\n")
}

// isFramingField reports whether a field belongs to the framing of responses. The server
// writes these fields itself instead of copying them from the handler's header.
func isFramingField(name string) bool {
	switch name {
	case "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive":
		return true
	}
	return false
}

// sanitizeFieldValue removes line breaks from a value: what follows one could pass for
// another field or another response.
func sanitizeFieldValue(v string) string {
	if !strings.ContainsAny(v, "\r\n") {
		return v
	}
	return strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
}

func (w *response) writeBody(p []byte) error {
	if !w.chunked {
		return w.writeConn(p)
	}
	if len(p) == 0 {
		return nil
	}
	buffer := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buffer)
	chunk := strconv.AppendInt((*buffer)[:0], int64(len(p)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, p...)
	chunk = append(chunk, "\r\n"...)
	*buffer = chunk
	return w.writeConn(chunk)
}

// chunkBuffers are reused, since a long response would otherwise leave as much garbage as it has bytes.
var chunkBuffers = sync.Pool{New: func() any { return new([]byte) }}

func (w *response) writeConn(p []byte) error {
	return w.writeWithTimeout(p, writeTimeout)
}

func (w *response) writeWithTimeout(p []byte, timeout time.Duration) error {
	if w.broken.Load() {
		return net.ErrClosed
	}
	_ = w.c.raw.SetWriteDeadline(time.Now().Add(timeout))
	var err error
	w.c.stalls.wait(func() { _, err = w.c.raw.Write(p) })
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

// finish sends the rest of the response and completes it.
func (w *response) finish() {
	if w.broken.Load() {
		return
	}
	if w.status == 0 && w.c.ctx.Err() != nil {
		// The handler returned without a response because the caller disconnected. The
		// implied 200 would be a false success for a caller that closed only its sending
		// side.
		w.broken.Store(true)
		return
	}
	w.WriteHeader(http.StatusOK)
	if !w.started && w.sendHeader(true) != nil {
		return
	}
	if w.hasBody() && w.length >= 0 && w.written != w.length {
		// The body is shorter or longer than announced: the caller must see a broken
		// response.
		w.abort()
		return
	}
	if w.chunked {
		var tail bytes.Buffer
		tail.WriteString("0\r\n")
		for name, values := range w.header {
			if trailer, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
				for _, v := range values {
					tail.WriteString(trailer + ": " + sanitizeFieldValue(v) + "\r\n")
				}
			}
		}
		tail.WriteString("\r\n")
		_ = w.writeConn(tail.Bytes())
	}
}

// abort resets the connection, so that an incomplete response does not look complete.
func (w *response) abort() {
	w.broken.Store(true)
	w.c.mu.Lock()
	w.c.closing = true
	w.c.mu.Unlock()
	w.c.closeWithReset()
}

// closeWithReset ends the requests of the connection and resets it instead of closing it in order:
// after an orderly close, a response without a length would look complete.
func (c *conn) closeWithReset() {
	c.cancel()
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.raw.Close()
}

// closeIfLast closes the connection after its last response.
func (w *response) closeIfLast() {
	if !w.closeAfter || w.broken.Load() {
		return
	}
	if tcp, ok := w.c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	// The connection's goroutine may still be reading. Let it read for lingerTimeout before
	// it closes the connection, because closing with unread bytes would reset the connection
	// and lose the response.
	_ = w.c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}
