package endpoint

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

// slowSource is a response body whose end and close are recorded.
type slowSource struct {
	io.Reader
	ended  atomic.Bool
	closed chan struct{}
}

func (s *slowSource) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil {
		s.ended.Store(true)
	}
	return n, err
}

func (s *slowSource) Close() error {
	close(s.closed)
	return nil
}

func newSource(r io.Reader) *slowSource { return &slowSource{Reader: r, closed: make(chan struct{})} }

func testLimits(bytes int) readAheadLimits {
	return readAheadLimits{bytes: bytes, inAll: new(expvar.Int), onStall: func() bool { return false }, onWait: func() {}}
}

// Guards against a download whose receiver has a slow link and which keeps a slot of its
// backend server until the last byte is sent: short requests to the server then wait.
func TestSlowReceiverHoldsNoSlot(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789abcdef"), readAheadBytes/16/2)
	source := newSource(bytes.NewReader(content))
	body := newReadAhead(source, testLimits(readAheadBytes))
	select {
	case <-source.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the source is not read to its end while nobody reads the body")
	}
	assert.Assert(t, source.ended.Load())
	got, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, content))
}

// Guards against a response that is whole in memory: no more than readAheadBytes may be read
// ahead, and all bytes must come in order.
func TestReadAheadIsBounded(t *testing.T) {
	var read atomic.Int64
	content := bytes.Repeat([]byte("0123456789abcdef"), readAheadBytes/4)
	source := newSource(io.TeeReader(bytes.NewReader(content), countingWriter{&read}))
	body := newReadAhead(source, testLimits(readAheadBytes))
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, read.Load() <= readAheadBytes+readAheadChunk, "%d bytes were read ahead", read.Load())
	got, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, content))
}

// Guards against large responses that together take the memory of a small host: beyond
// maxReadAheadInAll, each may hold readAheadBytes only. What was held must not count after
// the response was read or closed.
func TestReadAheadIsBoundedInAll(t *testing.T) {
	for _, c := range []struct {
		desc   string
		others int64
		most   int
	}{{"others hold little", 0, pacedReadAheadBytes}, {"others hold much", maxReadAheadInAll, readAheadBytes}} {
		t.Run(c.desc, func(t *testing.T) {
			limits := testLimits(pacedReadAheadBytes)
			limits.inAll.Set(c.others)
			source := newSource(bytes.NewReader(make([]byte, 2*pacedReadAheadBytes)))
			body := newReadAhead(source, limits)
			held := func() int { return int(limits.inAll.Value() - c.others) }
			eventually(t, "the response is read ahead", func() bool { return held() >= c.most })
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, held() < c.most+readAheadChunk, "%d bytes are held", held())
			_, err := io.CopyN(io.Discard, body, pacedReadAheadBytes)
			assert.NilError(t, err)
			assert.NilError(t, body.Close())
			<-source.closed
			assert.Equal(t, held(), 0)
		})
	}
}

// Guards against the wait for a receiver that is taken for a slow server, and against a
// receiver that reads at once and is taken for a slow one.
func TestWaitForTheReceiverIsObserved(t *testing.T) {
	waits := make(chan bool, 10)
	limits := testLimits(readAheadBytes)
	limits.onWait = func() { waits <- true }
	body := newReadAhead(newSource(bytes.NewReader(make([]byte, readAheadBytes/2))), limits)
	time.Sleep(10 * maxReceiverWait)
	_, err := io.Copy(io.Discard, body)
	assert.NilError(t, err)
	assert.Equal(t, len(waits), 0)

	body = newReadAhead(newSource(bytes.NewReader(make([]byte, 4*readAheadBytes))), limits)
	<-waits
	for range 3 {
		_, err = io.CopyN(io.Discard, body, readAheadBytes)
		assert.NilError(t, err)
		time.Sleep(2 * maxReceiverWait)
	}
	assert.Equal(t, len(waits), 0, "the wait is observed more than once")
	assert.NilError(t, body.Close())
}

// Guards against a caller that does not read a large response and so keeps a slot of the backend
// server from others, and against the end of a response whose slot nobody needs.
func TestStalledReceiverYieldsItsSlot(t *testing.T) {
	needed := make(chan bool, 2)
	needed <- false
	needed <- true
	limits := testLimits(readAheadBytes)
	limits.onStall = func() bool { return <-needed }
	source := newSource(bytes.NewReader(make([]byte, 4*readAheadBytes)))
	begin := time.Now()
	body := newReadAhead(source, limits)
	select {
	case <-source.closed:
	case <-time.After(4 * maxReceiverStall):
		t.Fatal("the source still waits for the receiver")
	}
	assert.Assert(t, time.Since(begin) >= maxReceiverStall)
	assert.Equal(t, len(needed), 0)
	_, err := io.Copy(io.Discard, body)
	assert.ErrorIs(t, err, errReceiverStalled, "the response must not pass for complete")
}

// Guards against the end of a response whose receiver is slow and reads all the time, while the source
// waits because others hold much.
func TestSlowReceiverKeepsItsSlot(t *testing.T) {
	limits := testLimits(pacedReadAheadBytes)
	limits.onStall = func() bool { return true }
	body := newReadAhead(newSource(bytes.NewReader(make([]byte, 2*pacedReadAheadBytes))), limits)
	eventually(t, "the response is read ahead", func() bool { return limits.inAll.Value() >= pacedReadAheadBytes })
	limits.inAll.Add(maxReadAheadInAll)
	for range 4 {
		time.Sleep(maxReceiverStall / 3)
		_, err := io.CopyN(io.Discard, body, readAheadChunk)
		assert.NilError(t, err)
	}
	_, err := io.Copy(io.Discard, body)
	assert.NilError(t, err)
}

type countingWriter struct{ n *atomic.Int64 }

func (w countingWriter) Write(p []byte) (int, error) {
	w.n.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a download that passes for events of a stream on the link because its server
// writes it in small pieces.
func TestSmallPiecesAreReadTogether(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789abcdef"), 1000)
	source := newSource(iotest.OneByteReader(bytes.NewReader(content)))
	body := newReadAhead(source, testLimits(readAheadBytes))
	<-source.closed
	got := make([]byte, len(content)+1)
	n, err := body.Read(got)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got[:n], content), "%d bytes were read", n)
}

// Guards against a response that broke off and looks complete, and against a reader that goes
// on after the receiver has gone.
func TestReadAheadPassesErrorsOn(t *testing.T) {
	broken := errors.New("connection reset")
	body := newReadAhead(newSource(io.MultiReader(bytes.NewReader([]byte("part")), errorReader{broken})), testLimits(readAheadBytes))
	got, err := io.ReadAll(body)
	assert.ErrorIs(t, err, broken)
	assert.Equal(t, string(got), "part")

	source := newSource(bytes.NewReader(make([]byte, 4*readAheadBytes)))
	body = newReadAhead(source, testLimits(readAheadBytes))
	assert.NilError(t, body.Close())
	<-source.closed
	_, err = body.Read(make([]byte, 1))
	assert.ErrorIs(t, err, http.ErrBodyReadAfterClose)
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against short responses that wait on the host's link behind many large ones.
func TestLargeResponsesAreSentAFewAtATime(t *testing.T) {
	slots := newTransfers()
	var ends []func()
	for range maxLargeTransfers {
		ends = append(ends, slots.begin(context.Background()))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	slots.begin(ctx)()
	assert.Assert(t, ctx.Err() != nil, "one more transfer began")
	ends[0]()
	slots.begin(context.Background())()
	begin := time.Now()
	slots.begin(context.Background())
	slots.begin(context.Background())()
	assert.Assert(t, time.Since(begin) < 10*time.Second, "receivers that take nothing hold up all others")
	assert.Assert(t, isLarge(&http.Response{ContentLength: 90000}) && !isLarge(&http.Response{ContentLength: 2000}))
}
