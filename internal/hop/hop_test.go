package hop

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/core/quarantine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func farDeadline() time.Time { return time.Now().Add(time.Minute) }

// newTestPool returns a pool that is closed at the end of the test.
func newTestPool(t *testing.T, address string) *Pool {
	t.Helper()
	p := NewPool(address, nil)
	t.Cleanup(p.Close)
	return p
}

func serve(t *testing.T, h http.HandlerFunc) *Pool {
	t.Helper()
	s := httptest.NewServer(h)
	p := newTestPool(t, s.Listener.Addr().String())
	t.Cleanup(func() { p.Close(); s.Close() })
	return p
}

func read(t *testing.T, resp *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return string(text)
}

func TestHeadersRoundTrip(t *testing.T) {
	req := Request{ID: gate.AttemptID{Request: [2]uint64{1 << 63, 42}, Attempt: 3}, Incarnation: 99, Timeout: 1500 * time.Microsecond, Movable: true, Revision: 7, Content: quarantine.Content{Exact: 1 << 63, Alike: 12}, Caller: "10.0.0.1;x"}
	got, err := ParseRequest(req.Encode())
	assert.NilError(t, err)
	assert.Equal(t, got, req)
	reply := Reply{ID: req.ID, Verdict: Moved, Reason: gate.QueueFull, RetryAfter: 20 * time.Millisecond, SiblingsFull: true, To: "host-9", Incarnation: 5, Revision: 8}
	back, err := ParseReply(reply.Encode())
	assert.NilError(t, err)
	assert.Equal(t, back, reply)
	for _, bad := range []string{"", "1", "2;1-1-1;0;0;0;0;0;0;0;r;dc;x", "3;1-1;0;0;0;0;0;0;0;0;0;r;dc;x", "3;x-1-1;0;0;0;0;0;0;0;0;0;r;dc;x",
		"3;1-1-1;-5;0;0;0;0;0;0;0;0;r;dc;x", "3;1-1-1;0;0;0;0;0;0;x;0;0;r;dc;x", "3;1-1-1;0;0;0;0;0;0;0;g;0;r;dc;x", "3;1-1-1;0;0;0;0;0;0;0;0;g;r;dc;x", "3;1-1-1;0;0;0;0;0;0;0;0;0;%;dc;x"} {
		_, err := ParseRequest(bad)
		assert.Assert(t, err != nil, bad)
	}
}

func TestExchangesReuseConnection(t *testing.T) {
	connections := map[string]bool{}
	p := serve(t, func(w http.ResponseWriter, r *http.Request) {
		connections[r.RemoteAddr] = true
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Header.Get("X-One"), body)
	})
	for range 5 {
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/a%2Fb?q=1", Host: "h", Header: http.Header{"X-One": {"1"}}, Buffered: []byte("body"), Deadline: farDeadline()})
		assert.NilError(t, err)
		assert.Equal(t, read(t, resp), "POST /a%2Fb?q=1 1 body")
	}
	assert.Equal(t, len(connections), 1)
}

// A streamed body must not be sent before the peer requests it: after an attempt that is
// refused or moved, the next attempt needs the whole body.
func TestRefusedStreamIsNotRead(t *testing.T) {
	p := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	body := &countingReader{r: strings.NewReader(strings.Repeat("x", 100_000))}
	resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(body, nil), Length: 100_000, Deadline: farDeadline()})
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	_ = read(t, resp)
	assert.Equal(t, body.n, 0)
}

type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

func TestStreamedBodiesArriveComplete(t *testing.T) {
	for _, length := range []int64{200_000, -1} {
		p := serve(t, func(w http.ResponseWriter, r *http.Request) {
			n, err := io.Copy(io.Discard, r.Body)
			fmt.Fprintf(w, "%d %v", n, err)
		})
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(strings.NewReader(strings.Repeat("x", 200_000)), nil), Length: length, Deadline: farDeadline()})
		assert.NilError(t, err)
		assert.Equal(t, read(t, resp), "200000 <nil>")
	}
}

// The source of an upload ends early. The receiver must see a broken body: otherwise, for
// example, a truncated photograph would be stored as complete.
func TestShortSourceBreaksConnection(t *testing.T) {
	seen := make(chan error, 1)
	p := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		seen <- err
	})
	_, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(strings.NewReader("short"), nil), Length: 100_000, Deadline: farDeadline()})
	var lost *LostError
	assert.Assert(t, errors.As(err, &lost))
	assert.Assert(t, <-seen != nil)
}

// A backend server sends two responses to one request. The second must not be returned for
// the next request on the connection.
func TestSecondResponseIsNotDelivered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			_, _ = conn.Read(buffer)
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
			_, _ = conn.Write([]byte(answer + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"))
			defer conn.Close()
		}
	}()
	p := newTestPool(t, l.Addr().String())
	for range 2 {
		resp, err := p.Do(context.Background(), &Outgoing{Method: "GET", URI: "/", Host: "h", Deadline: farDeadline()})
		assert.NilError(t, err)
		assert.Equal(t, read(t, resp), "first")
	}
	<-done
	p.Close()
}

// The peer closed an idle connection. The next request must be sent on another connection
// instead of being lost.
func TestClosedIdleConnectionLosesNoRequest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer s.Close()
	p := newTestPool(t, s.Listener.Addr().String())
	defer p.Close()
	for range 3 {
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Deadline: farDeadline()})
		assert.NilError(t, err)
		assert.Equal(t, read(t, resp), "ok")
		s.CloseClientConnections()
		waitClosed(t, p)
	}
}

func waitClosed(t *testing.T, p *Pool) {
	t.Helper()
	for range 1000 {
		p.mu.Lock()
		open := len(p.idle) > 0 && p.idle[0].isHealthy()
		p.mu.Unlock()
		if !open {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the idle connection was not closed")
}

// If nothing listens on the address, nothing was sent, and the error must be a DialError. If
// the connection breaks after the request was sent, the request may have run, and the error
// must be a LostError.
func TestErrorsTellWhetherAnythingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 100))
			_ = conn.Close()
		}
	}()
	p := newTestPool(t, address)
	_, err = p.Do(context.Background(), &Outgoing{Method: "GET", URI: "/", Host: "h", Deadline: farDeadline()})
	var lost *LostError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	<-done
	_ = l.Close()
	_, err = p.Do(context.Background(), &Outgoing{Method: "GET", URI: "/", Host: "h", Deadline: farDeadline()})
	var dial *DialError
	assert.Assert(t, errors.As(err, &dial), "%v", err)
}

// When the caller cancels, the exchange must end and the peer must notice.
func TestCancellationClosesConnection(t *testing.T) {
	canceled := make(chan struct{})
	arrived := make(chan struct{})
	p := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-arrived; cancel() }()
	_, err := p.Do(ctx, &Outgoing{Method: "GET", URI: "/", Host: "h", Deadline: farDeadline()})
	assert.ErrorIs(t, err, context.Canceled)
	<-canceled
}

func TestCleanRequestDropsConnectionFields(t *testing.T) {
	h := http.Header{"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"x"}, "Keep-Alive": {"5"}, "Transfer-Encoding": {"chunked"},
		"Cactus-Hop": {"forged"}, "Content-Length": {"9"}, "Expect": {"100-continue"}, "X-Keep": {"1"}}
	CleanRequest(h)
	assert.DeepEqual(t, h, http.Header{"X-Keep": {"1"}})
}

func TestTrailersAreForwarded(t *testing.T) {
	p := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		_, _ = w.Write([]byte("body"))
		w.Header().Set("X-Sum", "42")
	})
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := p.Do(r.Context(), &Outgoing{Method: "GET", URI: "/", Host: "h", Deadline: farDeadline()})
		if err == nil {
			err = Relay(w, resp)
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer front.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(front.URL)
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "body")
	assert.Equal(t, resp.Trailer.Get("X-Sum"), "42")
}
