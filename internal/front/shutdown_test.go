package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// handledPaths records which requests a handler got.
type handledPaths struct {
	mu    sync.Mutex
	paths map[string]bool
}

func (h *handledPaths) record(path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paths[path] = true
}

func (h *handledPaths) has(path string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paths[path]
}

// Guards against a shutdown that cuts a connection under running requests because the caller
// always has another request in progress on it, so that no response announces the close. The
// requests behind the response that announces it must not run.
func TestShutdownClosesConnectionOnWhichRequestsOverlap(t *testing.T) {
	handled := &handledPaths{paths: map[string]bool{}}
	s, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		handled.record(r.URL.Path)
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(w, r.URL.Path)
	})
	c := dial(t, address)
	closed := make(chan struct{})
	sent := make(chan int)
	go func() {
		for i := 0; ; i++ {
			_, _ = io.WriteString(c, get(fmt.Sprintf("/%d", i)))
			select {
			case <-closed:
				sent <- i
				return
			case <-time.After(30 * time.Millisecond):
			}
		}
	}()
	shutdownDone := make(chan error, 1)
	answered := 0
	for last := false; !last; answered++ {
		if answered == 5 {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				shutdownDone <- s.Shutdown(ctx)
			}()
		}
		resp, body := c.readResponse(t, "GET")
		assert.Equal(t, body, fmt.Sprintf("/%d", answered))
		last = resp.Close
	}
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	close(closed)
	lastSent := <-sent
	assert.NilError(t, c.Close())
	assert.NilError(t, <-shutdownDone)
	assert.Assert(t, lastSent >= answered, "no request was sent behind the last response")
	for i := answered; i <= lastSent; i++ {
		assert.Assert(t, !handled.has(fmt.Sprintf("/%d", i)), "request %d of %d ran behind the response that closed the connection", i, answered)
	}
}

// Guards against a shutdown that interrupts an upload whose body is still being received, and runs
// the request behind it.
func TestShutdownCompletesUploadThatIsBeingReceived(t *testing.T) {
	const length = 200 << 10
	handled := &handledPaths{paths: map[string]bool{}}
	receiving := make(chan struct{})
	s, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		handled.record(r.URL.Path)
		if r.URL.Path == "/upload" {
			close(receiving)
		}
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n, err)
	})
	c := dial(t, address)
	c.send(t, fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", length))
	<-receiving
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	for !s.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	c.send(t, string(make([]byte, length))+get("/behind"))
	resp, body := c.readResponse(t, "POST")
	assert.Equal(t, body, fmt.Sprint(length, nil))
	assert.Assert(t, resp.Close)
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, c.Close())
	assert.NilError(t, <-done)
	assert.Assert(t, !handled.has("/behind"))
}

// Guards against a request that is being received when the shutdown begins and runs behind the
// response that closes its connection: its caller sends it again.
func TestShutdownStartsNoRequestThatIsBeingReceived(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	handled := &handledPaths{paths: map[string]bool{}}
	s, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		handled.record(r.URL.Path)
		close(running)
		<-release
		fmt.Fprint(w, "done")
	})
	c := dial(t, address)
	c.send(t, get("/1")+"GET /2 HTTP/1.1\r\n")
	<-running
	// The header of the second request has to be in the reader before the shutdown.
	time.Sleep(50 * time.Millisecond)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	for !s.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	c.send(t, "Host: a.example\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	close(release)
	resp, _ := c.readResponse(t, "GET")
	assert.Assert(t, resp.Close)
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, c.Close())
	assert.NilError(t, <-done)
	assert.Assert(t, !handled.has("/2"))
}

// Guards against requests of a caller that has left which run on until the end of a shutdown: the
// connection is not read any more, and what the caller sent last hides its end.
func TestShutdownCancelsRequestsOfCallerThatLeft(t *testing.T) {
	running, canceled := make(chan struct{}), make(chan struct{})
	s, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(canceled)
	})
	c := dial(t, address)
	c.send(t, get("/1"))
	<-running
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	for !s.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	c.send(t, get("/unread"))
	assert.NilError(t, c.Close())
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the request still runs")
	}
	assert.NilError(t, <-done)
}

// Guards against a shutdown that cuts streams of HTTP/2 callers: those in progress must end, and
// later ones must not run, so that their callers may send them again.
func TestShutdownCompletesHTTP2Streams(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	handled := &handledPaths{paths: map[string]bool{}}
	s, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		handled.record(r.URL.Path)
		if r.URL.Path == "/slow" {
			close(running)
			<-release
		}
		fmt.Fprint(w, "done")
	})
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	slow := make(chan string, 1)
	go func() {
		resp, err := client.Get("http://" + address + "/slow")
		if err != nil {
			slow <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		slow <- string(body)
	}()
	<-running
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	// New streams are refused once GOAWAY has arrived; until then they are answered.
	for i := 0; ; i++ {
		path := fmt.Sprintf("/%d", i)
		resp, err := client.Get("http://" + address + path)
		if err != nil {
			assert.Assert(t, !handled.has(path))
			break
		}
		_ = resp.Body.Close()
	}
	close(release)
	assert.Equal(t, <-slow, "done")
	assert.NilError(t, <-done)
}
