package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/hop"
)

// overlapDetector is a ResponseWriter that detects concurrent WriteHeader calls and
// records the status codes in order.
type overlapDetector struct {
	header     http.Header
	active     atomic.Int32
	overlapped atomic.Bool
	mu         sync.Mutex
	codes      []int
}

func (w *overlapDetector) Header() http.Header         { return w.header }
func (w *overlapDetector) Write(p []byte) (int, error) { return len(p), nil }

func (w *overlapDetector) WriteHeader(code int) {
	if w.active.Add(1) > 1 {
		w.overlapped.Store(true)
	}
	defer w.active.Add(-1)
	// Long enough for another goroutine to interleave.
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.codes = append(w.codes, code)
}

// Guards against concurrent interim responses. The gate sends the caller's node a hint
// about a faster sibling while the goroutine that forwards the body sends 100 Continue.
// Interleaved on the connection, they make the caller's node treat the exchange as
// broken.
func TestHintsAndContinueDoNotOverlap(t *testing.T) {
	w := &overlapDetector{header: http.Header{}}
	interim := &interimResponses{w: w}
	body := &continueBody{ReadCloser: io.NopCloser(strings.NewReader("body")), interim: interim}
	var writers sync.WaitGroup
	writers.Go(func() {
		for range 20 {
			interim.hint(hop.AnyHost)
		}
	})
	writers.Go(func() { _, _ = io.ReadAll(body) })
	writers.Wait()
	assert.Assert(t, !w.overlapped.Load(), "two interim responses were written at once")
	continues := 0
	for _, code := range w.codes {
		if code == http.StatusContinue {
			continues++
		}
	}
	assert.Equal(t, continues, 1)
}

// Guards against concurrent interim responses on a real connection, where the caller's node
// expects 100 Continue, gets hints and then sends its body. If hints and 100 Continue are
// written at the same time, a tenth of such exchanges are unreadable or hang.
func TestExchangeWithHintsAndBodyIsReadable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		interim := &interimResponses{w: w}
		body := &continueBody{ReadCloser: r.Body, interim: interim}
		var hints sync.WaitGroup
		hints.Go(func() {
			for range 5 {
				interim.hint("host-1")
			}
		})
		got, err := io.ReadAll(body)
		hints.Wait()
		interim.end()
		fmt.Fprintf(w, "%s %v", got, err)
	}))
	defer server.Close()
	for range 200 {
		assert.Equal(t, exchangeWithContinue(t, server.Listener.Addr().String(), "Content-Length: 10", "0123456789"), "0123456789 <nil>")
	}
}

// exchangeWithContinue sends a request, sends its body after 100 Continue, and returns
// the response body.
func exchangeWithContinue(t *testing.T, address, fields, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n%s\r\n\r\n", fields)
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		switch {
		case resp.StatusCode == http.StatusContinue:
			_, err = io.WriteString(c, text)
			assert.NilError(t, err)
		case resp.StatusCode >= http.StatusOK:
			response, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			return string(response)
		}
	}
}

// A hint or 100 Continue sent after the response has begun would be read as part of it.
func TestNoInterimResponseAfterResponseBegins(t *testing.T) {
	w := &overlapDetector{header: http.Header{}}
	interim := &interimResponses{w: w}
	body := &continueBody{ReadCloser: io.NopCloser(strings.NewReader("body")), interim: interim}
	interim.end()
	interim.hint(hop.AnyHost)
	_, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, len(w.codes), 0)
}
