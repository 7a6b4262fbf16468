package endpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
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

// Guards against a download whose receiver has a slow link and which keeps a slot of its
// backend server until the last byte is sent: short requests to the server then wait.
func TestSlowReceiverHoldsNoSlot(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789abcdef"), readAheadBytes/16/2)
	source := newSource(bytes.NewReader(content))
	body := newReadAhead(source)
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
	body := newReadAhead(source)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, read.Load() <= readAheadBytes+readAheadChunk, "%d bytes were read ahead", read.Load())
	got, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, content))
}

type countingWriter struct{ n *atomic.Int64 }

func (w countingWriter) Write(p []byte) (int, error) {
	w.n.Add(int64(len(p)))
	return len(p), nil
}

// Guards against a response that broke off and looks complete, and against a reader that goes
// on after the receiver has gone.
func TestReadAheadPassesErrorsOn(t *testing.T) {
	broken := errors.New("connection reset")
	body := newReadAhead(newSource(io.MultiReader(bytes.NewReader([]byte("part")), errorReader{broken})))
	got, err := io.ReadAll(body)
	assert.ErrorIs(t, err, broken)
	assert.Equal(t, string(got), "part")

	source := newSource(bytes.NewReader(make([]byte, 4*readAheadBytes)))
	body = newReadAhead(source)
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
