package hangup

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

func waitGone(t *testing.T, ctx context.Context) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !Gone(ctx); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the end of the connection was not detected")
	}
	assert.ErrorIs(t, ctx.Err(), context.Canceled)
}

// TestEndBehindUnreadBytesIsDetected guards against serving an upload whose caller has left:
// the bytes that were not read yet hide the end of the connection from readers.
func TestEndBehindUnreadBytesIsDetected(t *testing.T) {
	near, far := connect(t)
	ctx := Watch(t.Context(), near)
	_, err := far.Write([]byte("unread"))
	assert.NilError(t, err)
	assert.Assert(t, !Gone(ctx))
	assert.NilError(t, far.Close())
	waitGone(t, ctx)
	text, err := io.ReadAll(near)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "unread", "the check must not read from the connection")
}

// TestResetIsDetected guards against overlooking a caller whose process was killed.
func TestResetIsDetected(t *testing.T) {
	near, far := connect(t)
	ctx := Watch(t.Context(), near)
	assert.NilError(t, far.SetLinger(0))
	assert.NilError(t, far.Close())
	waitGone(t, ctx)
}

// TestCheckDoesNotWaitForReader guards against a check that blocks while another goroutine
// reads the connection, as the server does for each request in progress.
func TestCheckDoesNotWaitForReader(t *testing.T) {
	near, far := connect(t)
	ctx := Watch(t.Context(), near)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 1))
		read <- err
	}()
	for range 100 {
		assert.Assert(t, !Gone(ctx))
	}
	assert.NilError(t, far.Close())
	waitGone(t, ctx)
	assert.ErrorIs(t, <-read, io.EOF)
}

// TestContextWithoutConnection guards against treating requests of this process itself, such
// as health queries, as requests of a caller that has left.
func TestContextWithoutConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.Assert(t, !Gone(ctx))
	cancel()
	assert.Assert(t, Gone(ctx))
	piped, _ := net.Pipe()
	assert.Assert(t, !Gone(Watch(t.Context(), piped)))
}

// TestOpenConnectionIsNotAskedAgainAtOnce guards against a system call for each check of a
// request that nothing holds up, and against relying on an old one after the request has waited.
func TestOpenConnectionIsNotAskedAgainAtOnce(t *testing.T) {
	near, far := connect(t)
	ctx := Watch(t.Context(), near)
	ConfirmOpen(ctx, time.Now().Add(time.Hour))
	assert.NilError(t, far.SetLinger(0))
	assert.NilError(t, far.Close())
	assert.Assert(t, !Gone(ctx))
	Expire(ctx)
	waitGone(t, ctx)

	near, far = connect(t)
	ctx = Watch(t.Context(), near)
	ConfirmOpen(ctx, time.Now().Add(-time.Second))
	assert.NilError(t, far.Close())
	waitGone(t, ctx)
}
