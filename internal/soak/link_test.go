package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// link is a TCP proxy in front of a listener of a process. All traffic from other processes to the
// listener passes through it.
type link struct {
	address string
	target  string
	// delay is added to each read, in nanoseconds. While dropAll or dropResponses is set, the link
	// discards all data or only the responses, and keeps connections open.
	delay                  atomic.Int64
	dropAll, dropResponses atomic.Bool
	// silenced counts the calls of silence. Connections of before the last one discard all data.
	silenced atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(t *testing.T, to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	k := &link{address: l.Addr().String(), target: to, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = l.Close()
		k.resetConnections()
	})
	go func() {
		for {
			downstream, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(downstream)
		}
	}()
	return k
}

func (k *link) forward(downstream net.Conn) {
	upstream, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		_ = downstream.(*net.TCPConn).SetLinger(0)
		_ = downstream.Close()
		return
	}
	k.mu.Lock()
	k.conns[downstream], k.conns[upstream] = true, true
	k.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { k.copy(upstream, downstream, false) })
	wait.Go(func() { k.copy(downstream, upstream, true) })
	wait.Wait()
	k.mu.Lock()
	delete(k.conns, downstream)
	delete(k.conns, upstream)
	k.mu.Unlock()
	_ = downstream.Close()
	_ = upstream.Close()
}

func (k *link) copy(to, from net.Conn, responses bool) {
	buffer := make([]byte, 32<<10)
	opened := k.silenced.Load()
	for {
		n, err := from.Read(buffer)
		if d := k.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if k.dropAll.Load() || responses && k.dropResponses.Load() || opened < k.silenced.Load() {
			// Data on the connection has been discarded. Discard all further data too, because
			// the receiver would otherwise get a stream with missing bytes.
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

// silence makes all open connections discard their data from now on, without a reset. New ones work.
func (k *link) silence() { k.silenced.Add(1) }

// resetConnections resets all connections.
func (k *link) resetConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// heal ends all faults and resets connections on which data may have been lost.
func (k *link) heal() {
	cut := k.dropAll.Swap(false)
	cut = k.dropResponses.Swap(false) || cut
	k.delay.Store(0)
	if cut {
		k.resetConnections()
	}
}

// Checks the guarantees while open connections between processes fall silent as well.
func TestSoakWithSilentConnections(t *testing.T) {
	seeds := []uint64{
		1,
		132, // an upload that stopped on its way kept a node that was being stopped until its stop timeout
	}
	if *onlySeed != 0 {
		seeds = []uint64{*onlySeed}
	}
	for _, n := range seeds {
		t.Run(fmt.Sprint("seed-", n), func(t *testing.T) { runWithFaults(t, n, extraFaults{silence: true}, defaultDataCenter) })
	}
}
