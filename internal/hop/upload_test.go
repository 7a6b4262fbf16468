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

// stalled is a caller that sends nothing until it is released or stopped, as a
// connection does whose read deadline is set.
type stalled struct {
	release, stopped chan struct{}
	begun            chan struct{}
	stop, begin      sync.Once
	rest             io.Reader
	reading          atomic.Int32
}

func newStalled(rest string) *stalled {
	return &stalled{release: make(chan struct{}), stopped: make(chan struct{}), begun: make(chan struct{}), rest: strings.NewReader(rest)}
}

func (s *stalled) Read(p []byte) (int, error) {
	s.reading.Add(1)
	defer s.reading.Add(-1)
	s.begin.Do(func() { close(s.begun) })
	select {
	case <-s.release:
		return s.rest.Read(p)
	case <-s.stopped:
		// A read that has taken bytes returns them, whoever stops it.
		return s.rest.Read(p)
	}
}

func (s *stalled) setReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		s.stop.Do(func() { close(s.stopped) })
	}
	return nil
}

// peer accepts connections and hands each to the function.
func peer(t *testing.T, serve func(net.Conn)) *Pool {
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

// readHead reads a request's head; a streamed body waits to be asked for.
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

// A server asks for an upload and rejects it, both at once. The answer is read
// before the goroutine that sends the body has begun. Once the exchange has ended
// that goroutine must read nothing: what it took would be missing in the body that
// the next attempt sends.
func TestSenderThatBeginsLateReadsNothing(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p := peer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+refusal)
		_, _ = io.Copy(io.Discard, c)
	})
	late := 0
	for range 50 {
		source := &countingReader{r: strings.NewReader(strings.Repeat("x", 200_000))}
		body := NewBody(source, nil)
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: body, Length: 200_000, Deadline: far()})
		assert.NilError(t, err)
		assert.Equal(t, read(t, resp), "")
		if !body.Whole() {
			continue
		}
		late++
		runtime.Gosched()
		time.Sleep(time.Millisecond)
		assert.Equal(t, source.n, 0, "a sender read after its exchange had ended")
	}
	assert.Assert(t, late > 10, "only %d senders began late", late)
}

// A server answers early while the caller sends nothing. The sender waits in a read
// of the caller's connection. The exchange must not end before it is gone, woken
// from that read; what the read took meanwhile is passed on to nobody.
func TestExchangeEndsAfterItsSender(t *testing.T) {
	source := newStalled(strings.Repeat("x", 1000))
	var got atomic.Int64
	p := peer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		<-source.begun
		_, _ = io.WriteString(c, refusal)
		n, _ := io.Copy(io.Discard, c)
		got.Add(n)
	})
	body := NewBody(source, source.setReadDeadline)
	resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: body, Length: 200_000, Deadline: far()})
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "")
	assert.Equal(t, source.reading.Load(), int32(0), "the sender outlived its exchange")
	assert.Assert(t, !body.Whole())
	assert.Equal(t, got.Load(), int64(0))
}

// A caller that sends nothing more goes away. The attempt ends at once, and its
// sender with it.
func TestCanceledExchangeEndsAfterItsSender(t *testing.T) {
	source := newStalled("")
	p := peer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-source.begun
		cancel()
	}()
	_, err := p.Do(ctx, &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(source, source.setReadDeadline), Length: -1, Deadline: far()})
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Equal(t, source.reading.Load(), int32(0), "the sender outlived its exchange")
}

// The caller's upload breaks off while the server's answer begins: the server's words
// are there in one read, and the sender fails before the head has been taken in. The
// server must see a broken body all the same, and the answer that waits for the rest
// must end; with the deadline lifted again both would wait for each other.
func TestBodyThatBreaksOffBehindTheAnswersHeadIsBroken(t *testing.T) {
	broken := make(chan struct{})
	p := peer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		_, _ = io.Copy(io.Discard, c)
		close(broken)
	})
	source := newStalled("")
	close(source.release)
	out := &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(source, source.setReadDeadline), Length: 200_000, Deadline: far()}
	out.OnInterim = func(http.Header) {
		// The head of the answer is read once the sender has failed.
		<-source.begun
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
			t.Fatal("the answer is still waited for")
		}
	}
	assert.Assert(t, err != nil)
	select {
	case <-broken:
	case <-time.After(5 * time.Second):
		t.Fatal("the server still waits for the body")
	}
}

// A sender waits in a read when its body is taken back, and the read has taken bytes
// by then. They must not be sent, nor counted as sent: the exchange that they were
// read for is over.
func TestWhatALateReadTakesGoesToNobody(t *testing.T) {
	source := newStalled("taken")
	body := NewBody(source, source.setReadDeadline)
	s := &sender{out: &Outgoing{Stream: body}, done: make(chan struct{})}
	body.lend(s)
	var n int
	var err error
	go func() {
		defer close(s.done)
		n, err = s.Read(make([]byte, 100))
	}()
	<-source.begun
	assert.NilError(t, body.takeBack(s))
	<-s.done
	assert.Equal(t, n, 0)
	assert.Assert(t, errors.Is(err, errTakenBack))
	assert.Equal(t, s.dropped, int64(5))
	assert.Assert(t, !body.Whole())
}

// The first attempt's sender may be anywhere when the next attempt begins: whoever
// reads, and in whatever pieces, the bytes that reach the servers in the end are the
// caller's, in order, or the body does not count as whole.
func TestBodyIsLentToOneSenderAtATime(t *testing.T) {
	text := strings.Repeat("0123456789", 100)
	for round := range 200 {
		body := NewBody(strings.NewReader(text), nil)
		first, second := &sender{out: &Outgoing{Stream: body}}, &sender{out: &Outgoing{Stream: body}}
		body.lend(first)
		begun := make(chan int, 1)
		go func() {
			n, _ := first.Read(make([]byte, 7))
			begun <- n
		}()
		if round%2 == 0 {
			runtime.Gosched()
		}
		assert.NilError(t, body.takeBack(first))
		if !body.Whole() {
			<-begun
			continue
		}
		body.lend(second)
		got, err := io.ReadAll(second)
		assert.NilError(t, err)
		assert.Equal(t, string(got), text)
		assert.Equal(t, <-begun, 0)
	}
}

// A source that cannot be woken must not hold the end of an exchange up for ever.
func TestSourceThatCannotBeWokenHoldsNobodyUp(t *testing.T) {
	source := newStalled("")
	defer close(source.release)
	p := peer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		<-source.begun
		_, _ = io.WriteString(c, refusal)
		_, _ = io.Copy(io.Discard, c)
	})
	unsupported := func(time.Time) error { return fmt.Errorf("no deadlines here: %w", errors.ErrUnsupported) }
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(source, unsupported), Length: 200_000, Deadline: far()})
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the exchange does not end")
	}
}

// The caller's connection is closed under a sender that waits in a read of it, and
// cannot be given a deadline any more. The read returns by itself, if not at once: the
// exchange still ends after its sender.
func TestExchangeWaitsForTheSenderOfAClosedSource(t *testing.T) {
	source := newStalled("")
	p := peer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		<-source.begun
		_, _ = io.WriteString(c, refusal)
		_, _ = io.Copy(io.Discard, c)
	})
	closed := func(time.Time) error {
		time.AfterFunc(30*time.Millisecond, func() { close(source.stopped) })
		return net.ErrClosed
	}
	resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(source, closed), Length: 200_000, Deadline: far()})
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "")
	assert.Equal(t, source.reading.Load(), int32(0), "the sender outlived its exchange")
}

// endless is an upload that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// A server answers and reads nothing of a long upload: its sender waits in a write.
// The exchange must end with the answer, whatever of the body is out.
func TestExchangeEndsWithASenderThatWaitsInAWrite(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	p := peer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		// By now the sender has filled what the connection holds.
		time.Sleep(100 * time.Millisecond)
		// Nothing says that the connection ends: whether it may be kept is the sender's state.
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		<-release
	})
	for _, length := range []int64{1 << 40, -1} {
		ended := make(chan error, 1)
		go func() {
			resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: NewBody(endless{}, nil), Length: length, Deadline: far()})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			ended <- err
		}()
		select {
		case err := <-ended:
			assert.NilError(t, err)
		case <-time.After(5 * time.Second):
			t.Fatal("the exchange does not end")
		}
	}
}

// A server answers an upload early and closes the connection, as one does that wants no
// more of it. The sender notices first: its write fails. The answer is there all the
// same, and must be read to its end.
func TestAnswerIsReadThoughItsServerClosedUnderTheSender(t *testing.T) {
	text := strings.Repeat("a", 30_000)
	p := peer(t, func(c net.Conn) {
		readRequestHead(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		_, _ = io.CopyN(io.Discard, c, 1000)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	for _, length := range []int64{1 << 40, -1} {
		body := NewBody(endless{}, nil)
		resp, err := p.Do(context.Background(), &Outgoing{Method: "POST", URI: "/", Host: "h", Stream: body, Length: length, Deadline: far()})
		assert.NilError(t, err)
		// The sender's write fails before the answer is read.
		time.Sleep(50 * time.Millisecond)
		got, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(text))
	}
}

// A gate reads the beginning of a body before it lets the request run. The server must
// get the whole body all the same, the sum be that of a body that was not read ahead,
// and one that broke off look broken.
func TestBodyIsReadAhead(t *testing.T) {
	text := strings.Repeat("body ", 50)
	for _, c := range []struct {
		desc   string
		ahead  int
		source io.Reader
		err    error
	}{
		{"a part of it", 20, strings.NewReader(text), nil},
		{"all of it and more", 1000, strings.NewReader(text), nil},
		{"it breaks off", 1000, io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrClosedPipe)), io.ErrClosedPipe},
	} {
		t.Run(c.desc, func(t *testing.T) {
			b := NewBody(c.source, nil)
			b.SumUp()
			b.ReadAhead(c.ahead, far())
			reader := &sender{}
			b.lend(reader)
			got, err := io.ReadAll(held{b, reader})
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
