package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// link is a TCP proxy in front of one listener of one process. Everything that
// other processes send there passes it.
type link struct {
	address string
	to      string
	// delay holds each piece back, in nanoseconds; silent drops what comes while it
	// is on, and leaves connections open; oneWay drops only the answers.
	delay          atomic.Int64
	silent, oneWay atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(t *testing.T, to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	k := &link{address: l.Addr().String(), to: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = l.Close()
		k.reset()
	})
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go k.join(near)
		}
	}()
	return k
}

func (k *link) join(near net.Conn) {
	far, err := net.DialTimeout("tcp", k.to, time.Second)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	k.mu.Lock()
	k.conns[near], k.conns[far] = true, true
	k.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { k.copy(far, near, false) })
	wait.Go(func() { k.copy(near, far, true) })
	wait.Wait()
	k.mu.Lock()
	delete(k.conns, near)
	delete(k.conns, far)
	k.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

func (k *link) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if d := k.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if k.silent.Load() || answers && k.oneWay.Load() {
			// What a cut swallows is gone; the connection never works again.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// reset breaks every connection off.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// heal ends every fault; connections that a cut swallowed are broken off.
func (k *link) heal() {
	cut := k.silent.Swap(false)
	cut = k.oneWay.Swap(false) || cut
	k.delay.Store(0)
	if cut {
		k.reset()
	}
}
