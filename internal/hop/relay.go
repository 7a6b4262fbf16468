package hop

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// connectionFields are meant for one connection only and never forwarded.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CleanHeader removes the fields that are meant for one connection only, those
// that Connection names among them.
func CleanHeader(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionFields {
		delete(h, name)
	}
}

// CleanRequest also removes what only our own processes may set, and what the
// sender of the next hop sets itself.
func CleanRequest(h http.Header) {
	CleanHeader(h)
	delete(h, Header)
	delete(h, "Expect")
	delete(h, "Content-Length")
}

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// CutShortError means that an answer ended before its end. The receiver must
// see a broken connection and never a body that looks whole.
type CutShortError struct{ Err error }

// Error tells the cause.
func (e *CutShortError) Error() string { return "the answer was cut short: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *CutShortError) Unwrap() error { return e.Err }

// Relay writes an answer's head, body and trailers to w and closes it. The
// error is a *CutShortError when the answer ended early; the caller must then
// abort its own answer.
func Relay(w http.ResponseWriter, resp *http.Response, extra ...Field) error {
	defer resp.Body.Close()
	CleanHeader(resp.Header)
	delete(resp.Header, Header)
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	for _, f := range extra {
		h.Set(f.Name, f.Value)
	}
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyAnswer(w, resp); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyAnswer copies the body. One of unknown length is flushed as it comes,
// since it may be a stream that its reader waits on.
func copyAnswer(w http.ResponseWriter, resp *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	failed := false
	defer func() {
		// An HTTP/2 server whose caller resets the stream returns from the write while it
		// still sends these bytes: the next answer's must not take their place.
		if !failed {
			copyBuffers.Put(buffer)
		}
	}()
	var flush func()
	if resp.ContentLength < 0 {
		if f, ok := w.(http.Flusher); ok {
			flush = f.Flush
		}
	}
	for {
		n, err := resp.Body.Read(*buffer)
		if n > 0 {
			if _, writeErr := w.Write((*buffer)[:n]); writeErr != nil {
				failed = true
				return writeErr
			}
			if flush != nil {
				flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &CutShortError{err}
		}
	}
}
