// Package testnet provides network faults for tests.
package testnet

import (
	"net"
	"sync"
	"sync/atomic"
)

// Silencer makes connections silent: what is sent on them is lost without an error, as behind
// a firewall that has forgotten them. Connections that are opened later work. It is safe for
// concurrent use.
type Silencer struct {
	mu    sync.Mutex
	conns []*silenceableConn
}

// Silence makes all connections silent that were accepted so far.
func (s *Silencer) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.silent.Store(true)
	}
	s.conns = nil
}

// Listen returns a listener whose connections Silence affects.
func (s *Silencer) Listen(l net.Listener) net.Listener { return silenceableListener{l, s} }

type silenceableListener struct {
	net.Listener
	silencer *Silencer
}

// Accept accepts a connection.
func (l silenceableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silenceableConn{Conn: conn}
	l.silencer.mu.Lock()
	defer l.silencer.mu.Unlock()
	l.silencer.conns = append(l.silencer.conns, c)
	return c, nil
}

type silenceableConn struct {
	net.Conn
	silent atomic.Bool
}

// Read drops what arrives on a silent connection.
func (c *silenceableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.silent.Load() && err == nil {
		_, err = c.Conn.Read(p)
		n = 0
	}
	return n, err
}

// Write drops what is sent on a silent connection.
func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
