package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against violated guarantees when backend servers crash and restart as the same
// instance, concurrently with the other faults of the soak.
func TestSoakWithServerRestarts(t *testing.T) {
	n := uint64(31)
	if *onlySeed != 0 {
		n = *onlySeed
	}
	runWithFaults(t, n, extraFaults{serverRestarts: true}, defaultDataCenter)
}

// crashServers crashes and restarts randomly chosen backend servers for d, then waits for
// the pending restarts.
func (s *soak) crashServers(d time.Duration) {
	random := rand.New(rand.NewPCG(s.seed, s.seed+3))
	var crashes sync.WaitGroup
	defer crashes.Wait()
	for until := time.Now().Add(d); time.Now().Before(until); {
		node := random.IntN(len(s.backends))
		downtime := time.Duration(50+random.IntN(1500)) * time.Millisecond
		crashes.Go(func() {
			s.nodes[node].addFaults(1)
			defer s.nodes[node].addFaults(-1)
			if b := s.backends[node]; b.crash() {
				time.Sleep(downtime)
				b.restart(s.t)
			}
		})
		time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
	}
}

// crash simulates a crash of the backend server: it closes the listener and resets all connections.
// It returns false if the server is already down.
func (b *backend) crash() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return false
	}
	b.down = true
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	return true
}

// restart starts a crashed server again at the same address, as the same instance and not draining.
func (b *backend) restart(t *testing.T) {
	l, err := net.Listen("tcp", b.address)
	assert.Check(t, err)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener, b.down = l, false
	b.draining, b.drainedAt = false, time.Time{}
	b.startedAt = time.Now()
	go b.accept(l)
}
