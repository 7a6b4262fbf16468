package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/hangup"
)

// serve starts a server for the handler and closes it when the test ends.
func serve(t testing.TB, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := New(handler, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return s, l.Addr().String()
}

type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(t testing.TB, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// readResponse reads one response with its body.
func (c *client) readResponse(t testing.TB, method string) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

// Three requests are sent at once. They must run concurrently, so that the total takes
// as long as the slowest, and the responses must come in request order although the
// last one is ready first.
func TestPipelinedRequestsRunConcurrentlyAndRespondInOrder(t *testing.T) {
	running := make(chan string, 3)
	release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{}), "/3": make(chan struct{})}
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		running <- r.URL.Path
		<-release[r.URL.Path]
		fmt.Fprint(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send(t, get("/1")+get("/2")+get("/3"))
	for range 3 {
		select {
		case <-running:
		case <-time.After(5 * time.Second):
			t.Fatal("the requests do not run concurrently")
		}
	}
	for _, path := range []string{"/3", "/2", "/1"} {
		close(release[path])
	}
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body := c.readResponse(t, "GET")
		assert.Equal(t, body, path)
	}
}

// A caller disconnects while its request runs and a second one is pipelined behind it. Both
// must be canceled at once; otherwise the backend servers would work on responses that cannot
// be delivered.
func TestHangUpCancelsPipelinedRequests(t *testing.T) {
	ended := make(chan string, 2)
	running := make(chan struct{}, 2)
	_, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
		ended <- r.URL.Path
	})
	c := dial(t, address)
	c.send(t, get("/1")+get("/2"))
	<-running
	<-running
	assert.NilError(t, c.Close())
	for range 2 {
		select {
		case <-ended:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("a request still runs half a second after its caller disconnected")
		}
	}
}

// While the server drains, a response announces the close of the connection only if no
// request behind it is in progress, since that request would be lost.
func TestDrainClosesConnectionAfterLastPendingRequest(t *testing.T) {
	both := make(chan struct{}, 2)
	release := make(chan struct{})
	s, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		both <- struct{}{}
		<-release
		fmt.Fprint(w, r.URL.Path)
	})
	c := dial(t, address)
	c.send(t, get("/1")+get("/2"))
	<-both
	<-both
	s.Drain()
	close(release)
	first, _ := c.readResponse(t, "GET")
	assert.Assert(t, !first.Close, "the first response closed the connection before the second request was answered")
	second, body := c.readResponse(t, "GET")
	assert.Equal(t, body, "/2")
	assert.Assert(t, second.Close)
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// Shutdown closes an idle connection at once; one with a request in progress gets its
// response first.
func TestShutdownCompletesRunningRequests(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-release
		}
		fmt.Fprint(w, "done")
	})
	idle, busy := dial(t, address), dial(t, address)
	idle.send(t, get("/quick"))
	idle.readResponse(t, "GET")
	busy.send(t, get("/slow"))
	<-running
	done := make(chan error)
	go func() { done <- s.Shutdown(context.Background()) }()
	_, err := idle.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	close(release)
	_, body := busy.readResponse(t, "GET")
	assert.Equal(t, body, "done")
	assert.NilError(t, <-done)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	long := strings.Repeat("x", 20<<10)
	cases := []struct {
		name, text string
		want       int
	}{
		{"no request line", "nonsense\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"a header over the limit", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long + "\r\n\r\n", 431},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		{"a negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400},
		{"an unknown encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", 400},
		{"an obsolete version", "GET / HTTP/0.9\r\nHost: a\r\n\r\n", 505},
		{"a body over the limit", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", 413},
		{"a CONNECT request", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501},
		{"a space in a field's name", "GET / HTTP/1.1\r\nHost: a\r\nX : y\r\n\r\n", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ran atomic.Bool
			s, address := serve(t, func(http.ResponseWriter, *http.Request) { ran.Store(true) })
			s.SetLimits(Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 20})
			conn := dial(t, address)
			conn.send(t, c.text)
			resp, _ := conn.readResponse(t, "GET")
			assert.Equal(t, resp.StatusCode, c.want)
			assert.Assert(t, resp.Close)
			assert.Assert(t, !ran.Load())
		})
	}
}

// A request with both Content-Length and chunked encoding can be parsed in two ways by
// two programs, which allows request smuggling. The body is read by its chunks, and
// what follows is never treated as a request.
func TestContentLengthWithChunkedEncodingDoesNotSmuggle(t *testing.T) {
	paths := make(chan string, 4)
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		paths <- r.URL.Path + " " + string(body)
	})
	c := dial(t, address)
	c.send(t, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"+get("/b"))
	c.readResponse(t, "POST")
	assert.Equal(t, <-paths, "/a hello")
}

// A caller that sends part of a header and stops gets 408 after the timeout. The
// request was not read, so it has not run.
func TestSlowHeaderTimesOut(t *testing.T) {
	s, address := serve(t, func(http.ResponseWriter, *http.Request) { t.Error("ran") })
	s.SetLimits(Limits{HeaderTimeout: 50 * time.Millisecond})
	c := dial(t, address)
	c.send(t, "GET / HTTP/1.1\r\nHost")
	resp, _ := c.readResponse(t, "GET")
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
}

func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	s, address := serve(t, func(http.ResponseWriter, *http.Request) {})
	s.SetLimits(Limits{IdleTimeout: 50 * time.Millisecond})
	c := dial(t, address)
	c.send(t, get("/"))
	c.readResponse(t, "GET")
	_, err := c.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}

// The handler responds before it has read a long body. The connection must close, or
// the rest of the body would be parsed as the next request.
func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusForbidden) })
	c := dial(t, address)
	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, _ := c.readResponse(t, "POST")
	assert.Equal(t, resp.StatusCode, http.StatusForbidden)
	assert.Assert(t, resp.Close)
}

// An aborted response must not look complete, whichever framing it uses.
func TestAbortedResponseIsIncomplete(t *testing.T) {
	for _, length := range []string{"", "100000"} {
		_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = w.Write(make([]byte, maxBufferedResponse+1))
			panic(http.ErrAbortHandler)
		})
		c := dial(t, address)
		c.send(t, get("/"))
		resp, err := http.ReadResponse(c.reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, "the response looks complete")
	}
}

// A response of which nothing was sent yet can be discarded and replaced.
func TestResetReplacesBufferedResponse(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "half of an ans")
		if !w.(*response).Reset() {
			t.Error("not reset")
		}
		w.WriteHeader(http.StatusBadGateway)
		fmt.Fprint(w, "broken")
	})
	c := dial(t, address)
	c.send(t, get("/"))
	resp, body := c.readResponse(t, "GET")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, body, "broken")
}

func TestResponseFraming(t *testing.T) {
	big := strings.Repeat("b", maxBufferedResponse+10)
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/trailer":
			w.Header().Set("Trailer", "X-Sum")
			fmt.Fprint(w, "body")
			w.Header().Set(http.TrailerPrefix+"X-Sum", "7")
		case "/big":
			fmt.Fprint(w, big)
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/field":
			w.Header().Set("X-Evil", "a\r\nX-More: b")
		default:
			_, _ = io.Copy(w, r.Body)
		}
	}
	_, address := serve(t, handler)
	c := dial(t, address)
	c.send(t, get("/trailer")+get("/big")+get("/none")+"HEAD /big HTTP/1.1\r\nHost: a\r\n\r\n"+get("/field"))
	resp, body := c.readResponse(t, "GET")
	assert.Equal(t, body, "body")
	assert.Equal(t, resp.Trailer.Get("X-Sum"), "7")
	_, body = c.readResponse(t, "GET")
	assert.Equal(t, len(body), len(big))
	resp, _ = c.readResponse(t, "GET")
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	_, body = c.readResponse(t, "HEAD")
	assert.Equal(t, body, "")
	resp, _ = c.readResponse(t, "GET")
	assert.Equal(t, resp.Header.Get("X-More"), "")

	c.send(t, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = c.reader.ReadString('\n')
	assert.NilError(t, err)
	c.send(t, "hello")
	_, body = c.readResponse(t, "POST")
	assert.Equal(t, body, "hello")

	http10 := dial(t, address)
	http10.send(t, "GET /big HTTP/1.0\r\n\r\n")
	resp, body = http10.readResponse(t, "GET")
	assert.Assert(t, resp.Close)
	assert.Equal(t, len(body), len(big))
}

func TestHTTP2IsHandedOff(t *testing.T) {
	_, address := serve(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Proto) })
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("http://" + address + "/")
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "HTTP/2.0")
}

// FuzzConnection sends arbitrary bytes. The server must neither crash nor hang, and
// every request that runs must have been read completely.
func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		get("/"), get("/1") + get("/2"), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get("/"),
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\r\n\r\n" + get("/"),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Host == "" && r.ProtoMinor == 1 {
				t.Error("a request without a host ran")
			}
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprint(w, "ok")
		}), nil)
		s.SetLimits(Limits{HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
		defer s.Close()
		near, far := net.Pipe()
		s.startConn(far)
		_ = near.SetDeadline(time.Now().Add(2 * time.Second))
		go func() {
			_, _ = near.Write(data)
			time.Sleep(time.Millisecond)
			_ = near.Close()
		}()
		_, _ = io.Copy(io.Discard, near)
		done := make(chan struct{})
		go func() {
			s.connGroup.Wait()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection is still served after its caller disconnected")
		}
	})
}

// Guards against a connection that stays open and delays a shutdown. If Shutdown runs after
// the response was sent and before the pending count drops, it considers the connection busy
// and leaves it open. The connection must be checked again when the pending count drops.
func TestShutdownDuringResponseClosesConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	s := New(http.NotFoundHandler(), nil)
	c := newConn(s, near, nil, t.Context(), func() {})
	s.conns[c], c.pending = true, 1
	assert.Assert(t, !c.decideClose(false), "the response precedes the shutdown")
	assert.NilError(t, s.Shutdown(t.Context()))
	assert.Assert(t, c.finishRequest(&response{}))
	assert.Assert(t, !c.armIdleDeadline(s.limits.Load()))
}

// TestHTTP2CallerThatLeftIsNoticed guards against sending requests on for callers whose HTTP/2
// connection has ended, which the server has not read yet.
func TestHTTP2CallerThatLeftIsNoticed(t *testing.T) {
	entered, left := make(chan bool, 1), make(chan struct{})
	result := make(chan bool, 1)
	_, address := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		entered <- r.ProtoMajor == 2
		<-left
		result <- hangup.Gone(r.Context())
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	var conn atomic.Pointer[net.TCPConn]
	transport := &http.Transport{Protocols: protocols, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			conn.Store(c.(*net.TCPConn))
		}
		return c, err
	}}
	go func() {
		if resp, err := (&http.Client{Transport: transport}).Get("http://" + address + "/"); err == nil {
			_ = resp.Body.Close()
		}
	}()
	assert.Assert(t, <-entered, "the request came over HTTP/2")
	assert.NilError(t, conn.Load().SetLinger(0))
	assert.NilError(t, conn.Load().Close())
	close(left)
	assert.Assert(t, <-result)
}
