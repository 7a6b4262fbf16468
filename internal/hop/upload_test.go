package hop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/quarantine"
)

// blockingSource is a body that returns nothing until it is released or stopped, like a
// connection whose read deadline is set.
type blockingSource struct {
	release, stopped    chan struct{}
	started             chan struct{}
	stopOnce, startOnce sync.Once
	data                io.Reader
	reading             atomic.Int32
}

func newBlockingSource(data string) *blockingSource {
	return &blockingSource{release: make(chan struct{}), stopped: make(chan struct{}), started: make(chan struct{}), data: strings.NewReader(data)}
}

func (s *blockingSource) Read(p []byte) (int, error) {
	s.reading.Add(1)
	defer s.reading.Add(-1)
	s.startOnce.Do(func() { close(s.started) })
	select {
	case <-s.release:
		return s.data.Read(p)
	case <-s.stopped:
		// A read that has received bytes returns them even if it is interrupted.
		return s.data.Read(p)
	}
}

func (s *blockingSource) setReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		s.stopOnce.Do(func() { close(s.stopped) })
	}
	return nil
}

// startServer accepts connections and passes each to serve.
func startServer(t *testing.T, serve func(net.Conn)) *Pool {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return newTestPool(t, l.Addr().String())
}

// readRequestHead reads a request's head; a streamed body is sent only once it is requested.
func readRequestHead(c net.Conn) {
	buffer := make([]byte, 4096)
	for text := ""; !strings.Contains(text, "\r\n\r\n"); {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		text += string(buffer[:n])
	}
}

const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// A server requests an upload and rejects it at the same time. The response is read before the
// goroutine that sends the body has started. After the end of the exchange that goroutine must
// read nothing: the bytes would be missing in the body that the next attempt sends.
func TestSenderThatBeginsLateReadsNothing(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+refusal)
		_, _ = io.Copy(io.Discard, c)
	})
	late := 0
	for range 50 {
		source := &countingReader{r: strings.NewReader(strings.Repeat("x", 200_000))}
		body := NewBody(source, nil)
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: body, Length: 200_000, Deadline: farDeadline()})
		assert.NilError(t, err)
		assert.Equal(t, read(t, resp), "")
		if !body.Unread() {
			continue
		}
		late++
		runtime.Gosched()
		time.Sleep(time.Millisecond)
		assert.Equal(t, source.n, 0, "a sender read after its exchange had ended")
	}
	assert.Assert(t, late > 10, "only %d senders started late", late)
}

// A server responds early while the caller sends nothing, so that the sender is blocked in a
// read of the caller's connection. The exchange must interrupt that read and wait for the
// sender to end. Bytes that the read still returns must not be forwarded.
func TestExchangeEndsAfterItsSender(t *testing.T) {
	source := newBlockingSource(strings.Repeat("x", 1000))
	var got atomic.Int64
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		<-source.started
		_, _ = io.WriteString(c, refusal)
		n, _ := io.Copy(io.Discard, c)
		got.Add(n)
	})
	body := NewBody(source, source.setReadDeadline)
	resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: body, Length: 200_000, Deadline: farDeadline()})
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "")
	assert.Equal(t, source.reading.Load(), int32(0), "the sender is still running after its exchange")
	assert.Assert(t, !body.Unread())
	assert.Equal(t, got.Load(), int64(0))
}

// A caller that stopped sending disconnects. The attempt must end at once, and its sender too.
func TestCanceledExchangeEndsAfterItsSender(t *testing.T) {
	source := newBlockingSource("")
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-source.started
		cancel()
	}()
	_, err := p.Do(ctx, &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(source, source.setReadDeadline), Length: -1, Deadline: farDeadline()})
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Equal(t, source.reading.Load(), int32(0), "the sender is still running after its exchange")
}

// The caller's upload fails after the start of the server's response has arrived and before
// its head was parsed. The server must still see a broken body, and reading the response,
// whose rest the server sends only after the body, must end. If parsing the head removed the
// deadline that the failure set, node and server would wait for each other.
func TestBodyFailureAfterResponseHead(t *testing.T) {
	broken := make(chan struct{})
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		_, _ = io.Copy(io.Discard, c)
		close(broken)
	})
	source := newBlockingSource("")
	close(source.release)
	out := &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(source, source.setReadDeadline), Length: 200_000, Deadline: farDeadline()}
	out.OnInterim = func(http.Header) {
		// Delay parsing the response head until the sender has failed.
		<-source.started
		time.Sleep(20 * time.Millisecond)
	}
	resp, err := p.Do(context.Background(), out)
	if err == nil {
		read := make(chan error, 1)
		go func() {
			_, err := io.ReadAll(resp.Body)
			read <- err
		}()
		select {
		case err = <-read:
		case <-time.After(5 * time.Second):
			t.Fatal("the read of the response did not end")
		}
	}
	assert.Assert(t, err != nil)
	select {
	case <-broken:
	case <-time.After(5 * time.Second):
		t.Fatal("the server did not see a broken body")
	}
}

// A sender is blocked in a read when the exchange ends and the sender loses access to the
// body; the read then returns bytes. They must not be sent or counted as sent, because the
// exchange has ended.
func TestLateReadIsDropped(t *testing.T) {
	source := newBlockingSource("taken")
	body := NewBody(source, source.setReadDeadline)
	s := &sender{out: &Outgoing{Stream: body}, done: make(chan struct{})}
	body.setOwner(s)
	var n int
	var err error
	go func() {
		defer close(s.done)
		n, err = s.Read(make([]byte, 100))
	}()
	<-source.started
	assert.NilError(t, body.removeOwner(s))
	<-s.done
	assert.Equal(t, n, 0)
	assert.Assert(t, errors.Is(err, errExchangeEnded))
	assert.Equal(t, s.dropped, int64(5))
	assert.Assert(t, !body.Unread())
}

// The first attempt's sender may be at any point when the next attempt begins. However the reads
// interleave, the servers must get the caller's bytes in order, or the body must not count as
// whole.
func TestBodyHasOneSenderAtATime(t *testing.T) {
	text := strings.Repeat("0123456789", 100)
	for round := range 200 {
		body := NewBody(strings.NewReader(text), nil)
		first, second := &sender{out: &Outgoing{Stream: body}}, &sender{out: &Outgoing{Stream: body}}
		body.setOwner(first)
		started := make(chan int, 1)
		go func() {
			n, _ := first.Read(make([]byte, 7))
			started <- n
		}()
		if round%2 == 0 {
			runtime.Gosched()
		}
		assert.NilError(t, body.removeOwner(first))
		if !body.Unread() {
			<-started
			continue
		}
		body.setOwner(second)
		got, err := io.ReadAll(second)
		assert.NilError(t, err)
		assert.Equal(t, string(got), text)
		assert.Equal(t, <-started, 0)
	}
}

// A source whose reads cannot be interrupted must not block the end of an exchange.
func TestExchangeEndsWithUninterruptibleSource(t *testing.T) {
	source := newBlockingSource("")
	defer close(source.release)
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		<-source.started
		_, _ = io.WriteString(c, refusal)
		_, _ = io.Copy(io.Discard, c)
	})
	unsupported := func(time.Time) error { return fmt.Errorf("no deadlines here: %w", errors.ErrUnsupported) }
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(source, unsupported), Length: 200_000, Deadline: farDeadline()})
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the exchange did not end")
	}
}

// The caller's connection is closed while a sender is blocked in a read of it, so that
// setting a read deadline fails. The read returns by itself after a delay, and the exchange
// must wait for its sender until then.
func TestExchangeWaitsForSenderOfClosedSource(t *testing.T) {
	source := newBlockingSource("")
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		<-source.started
		_, _ = io.WriteString(c, refusal)
		_, _ = io.Copy(io.Discard, c)
	})
	closed := func(time.Time) error {
		time.AfterFunc(30*time.Millisecond, func() { close(source.stopped) })
		return net.ErrClosed
	}
	resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(source, closed), Length: 200_000, Deadline: farDeadline()})
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "")
	assert.Equal(t, source.reading.Load(), int32(0), "the sender is still running after its exchange")
}

// endlessReader is an upload that never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// A server responds without reading a long upload, and its sender is blocked in a write. The
// exchange must end with the response, however much of the body was sent.
func TestExchangeEndsWithSenderBlockedInWrite(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		// Wait until the sender has filled the connection's buffers and blocks.
		time.Sleep(100 * time.Millisecond)
		// There is no "Connection: close": only the sender's state decides about reuse.
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		<-release
	})
	for _, length := range []int64{1 << 40, -1} {
		ended := make(chan error, 1)
		go func() {
			resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(endlessReader{}, nil), Length: length, Deadline: farDeadline()})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			ended <- err
		}()
		select {
		case err := <-ended:
			assert.NilError(t, err)
		case <-time.After(5 * time.Second):
			t.Fatal("the exchange did not end")
		}
	}
}

// A server responds to an upload early and closes the connection because it needs no more of it.
// The sender's write fails first. The response must still be read to its end.
func TestResponseIsReadAfterServerCloses(t *testing.T) {
	text := strings.Repeat("a", 30_000)
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.CopyN(io.Discard, c, 1000)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	for _, length := range []int64{1 << 40, -1} {
		body := NewBody(endlessReader{}, nil)
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: body, Length: length, Deadline: farDeadline()})
		assert.NilError(t, err)
		// The sender's write fails before the response is read.
		time.Sleep(50 * time.Millisecond)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(text))
	}
}

// A gate reads the beginning of a body before it lets the request run. The server must still get
// the whole body, the hash must equal that of a body that was not read ahead, and a failed body
// must still fail.
func TestBodyReadAhead(t *testing.T) {
	text := strings.Repeat("body ", 50)
	for _, c := range []struct {
		desc   string
		ahead  int
		source io.Reader
		err    error
	}{
		{"part of the body", 20, strings.NewReader(text), nil},
		{"more than the body", 1000, strings.NewReader(text), nil},
		{"body that was cut off", 1000, io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), io.ErrUnexpectedEOF},
		{"failed body", 1000, io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrClosedPipe)), io.ErrClosedPipe},
	} {
		t.Run(c.desc, func(t *testing.T) {
			b := NewBody(c.source, nil)
			b.EnableDigest()
			_ = b.ReadAhead(c.ahead, farDeadline())
			reader := &sender{}
			b.setOwner(reader)
			got, err := io.ReadAll(ownerReader{b, reader})
			assert.Equal(t, string(got), text)
			assert.Assert(t, errors.Is(err, c.err), err)
			sum, known := b.Sum()
			assert.Equal(t, known, c.err == nil)
			if known {
				assert.Equal(t, sum, quarantine.SumOf([]byte(text)))
			}
		})
	}
}

// Guards against an upload that waits for its response for as long as its caller does: the peer
// or the connection to it falls silent after it has taken the body.
func TestUploadWithoutResponseEndsAtItsDeadline(t *testing.T) {
	const allowed = 200 * time.Millisecond
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*allowed)
	defer cancel()
	begin := time.Now()
	_, err := p.Do(ctx, &Outgoing{Method: http.MethodPost, URI: "/", Host: "h", Stream: NewBody(strings.NewReader("body"), nil), Length: 4, Deadline: begin.Add(allowed)})
	var lost *LostError
	assert.Assert(t, errors.As(err, &lost), "%v", err)
	assert.Assert(t, ctx.Err() == nil && time.Since(begin) >= allowed, "ended after %v", time.Since(begin))
}

// Guards against cutting off a response that begins in time and takes longer than the deadline,
// and an upload that takes longer.
func TestLongUploadAndResponseAreNotCutOff(t *testing.T) {
	const allowed = 100 * time.Millisecond
	p := startServer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.ReadFull(c, make([]byte, 4))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nlong")
		time.Sleep(3 * allowed)
		_, _ = io.WriteString(c, "tail")
	})
	source := newBlockingSource("body")
	time.AfterFunc(3*allowed, func() { close(source.release) })
	resp, err := p.Do(t.Context(), &Outgoing{Method: http.MethodPost, URI: "/", Host: "h", Stream: NewBody(source, source.setReadDeadline), Length: 4, Deadline: time.Now().Add(allowed)})
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "longtail")
}
