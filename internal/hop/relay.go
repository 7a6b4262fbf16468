package hop

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// hopByHopFields apply to a single connection and are never forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CleanHeader removes the hop-by-hop fields, including those that Connection names.
func CleanHeader(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}

// CleanRequest removes from a request the hop-by-hop fields, the field that only this
// project's processes may set (Header), and the fields that are set anew when the request is
// sent to the next hop.
func CleanRequest(h http.Header) {
	CleanHeader(h)
	delete(h, Header)
	delete(h, "Expect")
	delete(h, "Content-Length")
}

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// TruncatedResponseError means that a response ended prematurely. The receiver must not take
// the truncated body for a complete one, so the connection to it must be broken off.
type TruncatedResponseError struct{ Err error }

// Error returns the cause.
func (e *TruncatedResponseError) Error() string { return "the answer was cut short: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TruncatedResponseError) Unwrap() error { return e.Err }

// Relay writes a response's head with the extra fields, its body and its trailers to w, and
// closes the body. The error is a *TruncatedResponseError if the response ended prematurely;
// the caller must then abort its own response.
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
	if err := copyBody(w, resp); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody copies the body. A body of unknown length is flushed after every read, because it
// may be a stream whose receiver waits for each part.
func copyBody(w http.ResponseWriter, resp *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	writeFailed := false
	defer func() {
		// When the client resets an HTTP/2 stream, Write returns while the server still sends
		// this buffer. Reusing it would overwrite these bytes with another response's.
		if !writeFailed {
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
				writeFailed = true
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
			return &TruncatedResponseError{err}
		}
	}
}
