// Package hangup detects that the sender of a request has closed its connection. It asks the
// operating system for the state of the connection and reads nothing, so it works at any
// moment: while another goroutine reads the connection, and while a request body that nobody
// has read yet hides the end of the connection from readers.
//
// The goroutine that reads a connection detects its end as well and cancels the request. In a
// process that is short of processor time, however, the goroutine that serves the request may
// run first and send it on for a caller that has left.
package hangup

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type contextKey struct{}

// freshness is how long a connection that was open is taken to be open still, without asking
// the operating system again. What a request costs its server in that time is little.
const freshness = 50 * time.Millisecond

// watch is a connection whose state can be queried.
type watch struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
	// openAt is when the connection was last known to be open, in nanoseconds since start.
	openAt atomic.Int64
}

var start = time.Now()

// Watch returns a context for the requests of a connection. Gone cancels it once the other
// end has closed the connection. A connection that wraps another one, such as a *tls.Conn,
// must have the method NetConn. The signature is that of http.Server.ConnContext.
func Watch(ctx context.Context, conn net.Conn) context.Context {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	s, ok := conn.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	return context.WithValue(ctx, contextKey{}, &watch{raw: raw, cancel: cancel})
}

// ConfirmOpen records that the connection of a request was open at a time: for example, when
// the request was read by a process that reads at once what arrives.
func ConfirmOpen(ctx context.Context, at time.Time) {
	if w, ok := ctx.Value(contextKey{}).(*watch); ok {
		w.openAt.Store(int64(at.Sub(start)))
	}
}

// Expire makes the next call of Gone ask the operating system, whenever the connection was last
// known to be open: the request has waited.
func Expire(ctx context.Context) {
	if w, ok := ctx.Value(contextKey{}).(*watch); ok {
		w.openAt.Store(0)
	}
}

// Gone reports whether ctx has ended or the connection of its request has been closed by the
// other end. It never blocks, and cancels the request if the connection was closed. It does
// not ask the operating system if the connection was open less than 50 ms ago, unless Expire
// was called since. Without a connection from Watch in ctx, it only reports whether ctx has ended.
func Gone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	w, ok := ctx.Value(contextKey{}).(*watch)
	if !ok {
		return false
	}
	now := time.Since(start)
	if openAt := time.Duration(w.openAt.Load()); openAt > 0 && now-openAt < freshness {
		return false
	}
	if w.closed() {
		w.cancel()
		return true
	}
	w.openAt.Store(int64(now))
	return false
}

// closed reports whether either end has closed the connection.
func (w *watch) closed() bool {
	const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Events: unix.POLLRDHUP}}
	ready := 0
	err := w.raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		// An error leaves ready at 0: the connection counts as open.
		ready, _ = unix.Poll(fds, 0)
	})
	return err != nil || ready > 0 && fds[0].Revents&closedEvents != 0
}
