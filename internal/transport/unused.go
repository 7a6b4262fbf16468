package transport

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedConnTimeout is how long after the begin of a shutdown a first request may still begin to
// arrive on a connection that was opened before.
const unusedConnTimeout = 250 * time.Millisecond

// CloseUnusedOnShutdown makes a shutdown of the server close the connections on which no request has
// begun to arrive. The server of net/http waits for them until they are five seconds old: peers open
// spare connections, and a shutdown would use up its time although no request is in progress.
func CloseUnusedOnShutdown(s *http.Server) {
	u := &unusedConns{conns: map[net.Conn]bool{}}
	s.ConnState = u.observe
	s.RegisterOnShutdown(func() {
		time.Sleep(unusedConnTimeout)
		u.close()
	})
}

// unusedConns holds the connections of a server on which nothing has arrived.
type unusedConns struct {
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func (u *unusedConns) observe(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case state != http.StateNew:
		delete(u.conns, c)
	case u.closed:
		_ = c.Close()
	default:
		u.conns[c] = true
	}
}

func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for c := range u.conns {
		_ = c.Close()
	}
}
