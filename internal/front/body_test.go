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

// pastDeadline makes a blocked read return at once.
var pastDeadline = time.Unix(1, 0)

// uploadHeader is the header of a request whose caller waits for 100 Continue.
const uploadHeader = "POST /upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: 200000\r\nExpect: 100-continue\r\n\r\n"

// Guards against 100 Continue within a response. The response is sent in parts, and the
// handler first reads the body after the first part. The caller would read 100 Continue
// as a malformed chunk.
func TestNoContinueIsSentInsideTheAnswer(t *testing.T) {
	part := strings.Repeat("a", 100<<10)
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, part)
		w.(http.Flusher).Flush()
		readDone := make(chan struct{})
		go func() {
			defer close(readDone)
			_, _ = io.Copy(io.Discard, r.Body)
		}()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
		<-readDone
	})
	c := dial(t, address)
	c.send(t, uploadHeader)
	_, body := c.readResponse(t, http.MethodPost)
	assert.Assert(t, body == part+part)
	rest, err := io.ReadAll(c.reader)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
}

// Two requests are pipelined; the second expects 100 Continue, and its handler stops the body
// before the first response is out. 100 Continue must wait for that response, and must not be
// sent after the stop: the body that the caller would then send is not read, and 100 Continue
// could be written into the response.
func TestStoppedBodyGetsNoContinue(t *testing.T) {
	release := make(chan struct{})
	stopped := make(chan struct{})
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			<-release
			fmt.Fprint(w, "first")
			return
		}
		readDone := make(chan struct{})
		go func() {
			defer close(readDone)
			_, _ = r.Body.Read(make([]byte, 1))
		}()
		time.Sleep(20 * time.Millisecond)
		_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
		select {
		case <-readDone:
		case <-time.After(5 * time.Second):
			t.Error("reading a stopped body still blocks")
		}
		fmt.Fprint(w, "second")
		close(stopped)
	})
	c := dial(t, address)
	c.send(t, get("/first")+uploadHeader)
	<-stopped
	close(release)
	_, body := c.readResponse(t, http.MethodGet)
	assert.Equal(t, body, "first")
	resp, body := c.readResponse(t, http.MethodPost)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "second")
}

// A caller is still sending a long body when a long response has been written completely. It
// reads the response while it sends, and, like some callers, acts on "Connection: close" only
// after the response. Closing the connection with unread body bytes resets it and loses the
// part of the response that is still in transit.
func TestCallerThatStillSendsGetsWholeResponse(t *testing.T) {
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
		_, body := c.readResponse(t, http.MethodPost)
		assert.Equal(t, len(body), len(text))
		_ = c.Close()
		<-sent
	}
}

// A body is stopped after it was read to its end. By then the next request is read from the
// connection, and reading it must not be interrupted.
func TestLateStopDoesNotAffectNextRequest(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
		fmt.Fprint(w, n, err)
		_ = http.NewResponseController(w).SetReadDeadline(pastDeadline)
	})
	body := strings.Repeat("x", 100_000)
	for range 50 {
		c := dial(t, address)
		for range 5 {
			c.send(t, "POST /u HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100000\r\n\r\n"+body)
			_, text := c.readResponse(t, http.MethodPost)
			assert.Equal(t, text, "100000 <nil>")
		}
	}
}
