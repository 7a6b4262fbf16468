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

// oneWriter notes when two goroutines write answers at once, and what was written
// in which order.
type oneWriter struct {
	header  http.Header
	writing atomic.Int32
	mixed   atomic.Bool
	mu      sync.Mutex
	codes   []int
}

func (w *oneWriter) Header() http.Header         { return w.header }
func (w *oneWriter) Write(p []byte) (int, error) { return len(p), nil }

func (w *oneWriter) WriteHeader(code int) {
	if w.writing.Add(1) > 1 {
		w.mixed.Store(true)
	}
	defer w.writing.Add(-1)
	// Long enough for another goroutine to come in between.
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.codes = append(w.codes, code)
}

// A gate tells the caller's node of a faster sibling while the goroutine that sends
// the body on asks for it. Both write on the same connection: at once they mix, and
// the caller's node takes the exchange for broken.
func TestHintsAndTheQuestionForTheBodyDoNotMix(t *testing.T) {
	w := &oneWriter{header: http.Header{}}
	interim := &interimAnswers{w: w}
	body := &askedBody{ReadCloser: io.NopCloser(strings.NewReader("body")), interim: interim}
	var both sync.WaitGroup
	both.Go(func() {
		for range 20 {
			interim.hint(hop.AnyHost)
		}
	})
	both.Go(func() { _, _ = io.ReadAll(body) })
	both.Wait()
	assert.Assert(t, !w.mixed.Load(), "two interim answers were written at once")
	asked := 0
	for _, code := range w.codes {
		if code == http.StatusContinue {
			asked++
		}
	}
	assert.Equal(t, asked, 1)
}

// The same on a real connection: the caller's node asks first, is told of siblings
// and sends its body once asked. A tenth of such exchanges were unreadable, or hung,
// when the two were written at once.
func TestExchangeWithHintsAndABodyIsReadable(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		interim := &interimAnswers{w: w}
		body := &askedBody{ReadCloser: r.Body, interim: interim}
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
		assert.Equal(t, askedExchange(t, server.Listener.Addr().String(), "Content-Length: 10", "0123456789"), "0123456789 <nil>")
	}
}

// askedExchange sends a request with a body once it is asked for that, and returns the
// answer's body.
func askedExchange(t *testing.T, address, fields, text string) string {
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
			answer, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			return string(answer)
		}
	}
}

// The answer has begun. A hint or a question that comes now would be read as a part
// of it.
func TestNothingInterimFollowsTheAnswersBeginning(t *testing.T) {
	w := &oneWriter{header: http.Header{}}
	interim := &interimAnswers{w: w}
	body := &askedBody{ReadCloser: io.NopCloser(strings.NewReader("body")), interim: interim}
	interim.end()
	interim.hint(hop.AnyHost)
	_, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Equal(t, len(w.codes), 0)
}
