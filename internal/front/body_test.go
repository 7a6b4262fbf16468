package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longPast makes a read that waits return at once.
var longPast = time.Unix(1, 0)

// longUpload is the head of a request whose caller waits to be asked for its body.
const longUpload = "POST /upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 200000\r\nExpect: 100-continue\r\n\r\n"

// A caller waits to be asked for its body. The answer comes first, in pieces, and
// only then does somebody read the body. The caller was asked in the middle of the
// answer, where it read the question as a broken piece of it.
func TestBodyIsNotAskedForInsideTheAnswer(t *testing.T) {
	part := strings.Repeat("a", 100<<10)
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, part)
		w.(http.Flusher).Flush()
		reading := make(chan struct{})
		go func() {
			defer close(reading)
			_, _ = io.Copy(io.Discard, r.Body)
		}()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).SetReadDeadline(longPast)
		<-reading
	})
	c := dial(t, address)
	c.send(t, longUpload)
	_, body := c.answer(t, http.MethodPost)
	assert.Assert(t, body == part+part)
	rest, err := io.ReadAll(c.reader)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
}

// Two requests on one connection: the second waits to be asked for its body, and its
// handler stops reading the body before the first one is answered. The question
// waits for the first answer, and must not go out once the body is stopped: what the
// caller then sends nobody wants, and the question may meet the answer.
func TestStoppedBodyIsNotAskedFor(t *testing.T) {
	release := make(chan struct{})
	stopped := make(chan struct{})
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			<-release
			fmt.Fprint(w, "first")
			return
		}
		reading := make(chan struct{})
		go func() {
			defer close(reading)
			_, _ = r.Body.Read(make([]byte, 1))
		}()
		time.Sleep(20 * time.Millisecond)
		_ = http.NewResponseController(w).SetReadDeadline(longPast)
		select {
		case <-reading:
		case <-time.After(5 * time.Second):
			t.Error("the reader of a stopped body waits on")
		}
		fmt.Fprint(w, "second")
		close(stopped)
	})
	c := dial(t, address)
	c.send(t, get("/first")+longUpload)
	<-stopped
	close(release)
	_, body := c.answer(t, http.MethodGet)
	assert.Equal(t, body, "first")
	resp, body := c.answer(t, http.MethodPost)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "second")
}

// A caller is still sending a long body when the whole of a long answer is there. It
// reads the answer while it goes on sending, as callers do that answer to
// "Connection: close" only behind the answer. Closing the connection with bytes of the
// body unread resets it, and what is still on its way of the answer is lost.
func TestCallerThatStillSendsGetsTheWholeAnswer(t *testing.T) {
	text := strings.Repeat("a", 4<<20)
	_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	for range 10 {
		c := dial(t, address)
		c.send(t, "POST /upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000000\r\n\r\n")
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			piece := strings.Repeat("x", 10_000)
			for range 100 {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
			}
		}()
		_, body := c.answer(t, http.MethodPost)
		assert.Equal(t, len(body), len(text))
		_ = c.Close()
		<-sent
	}
}

// A body that was read to its end is stopped late. By then the connection belongs to
// the next request, whose reading must not end.
func TestLateStopDoesNotHitTheNextRequest(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		_ = http.NewResponseController(w).SetReadDeadline(longPast)
		fmt.Fprint(w, n, err)
		_ = http.NewResponseController(w).SetReadDeadline(longPast)
	})
	body := strings.Repeat("x", 100_000)
	for range 50 {
		c := dial(t, address)
		for range 5 {
			c.send(t, "POST /u HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100000\r\n\r\n"+body)
			_, text := c.answer(t, http.MethodPost)
			assert.Equal(t, text, "100000 <nil>")
		}
	}
}
