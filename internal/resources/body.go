package resources

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// messageFactor is the memory of a message in multiples of its length: its bytes and what is decoded
// from them.
const messageFactor = 2

// callBytes is the memory of a call in progress without its body.
const callBytes = 8 << 10

// ErrNoMemory means that a body was not read to its end because there was no memory for it.
var ErrNoMemory = errors.New("this process has no memory left for the message; send it again later or to another one")

// HoldBodies wraps a handler that reads whole bodies into memory. Reading fails if there is none left.
func HoldBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held, ok := AccountOf(r.Context()).Hold(callBytes)
		if !ok {
			w.Header().Set("Retry-After", "1")
			http.Error(w, ErrNoMemory.Error(), http.StatusServiceUnavailable)
			return
		}
		defer held.End()
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = heldBody{r.Body, held}
		}
		next.ServeHTTP(w, r)
	})
}

// heldBody is a body whose memory is taken as it is read.
type heldBody struct {
	io.ReadCloser
	held *Request
}

// Read reads from the body.
func (b heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.held.Take(messageFactor*int64(n)) {
		return 0, ErrNoMemory
	}
	return n, err
}
