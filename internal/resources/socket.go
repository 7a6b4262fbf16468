package resources

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// unsentShare is the part of the memory that the kernel may hold as unsent for connections that
	// are opened while there are few.
	unsentShare = 0.05
	// minUnsent and maxUnsent limit what the kernel holds as unsent for one connection, in bytes.
	minUnsent = 16 << 10
	maxUnsent = 128 << 10
)

// limitUnsent limits what the kernel holds as unsent for a connection to a listener. The more
// connections the listener has open, the less each further one gets.
func (r *Resources) limitUnsent(c net.Conn, open int) {
	if tcp := tcpConn(c); r != nil && tcp != nil {
		LimitUnsent(tcp, min(max(r.unsent/(open+1), minUnsent), maxUnsent))
	}
}

// LimitUnsent limits what the kernel holds as unsent for a connection, in bytes. By default it grows the
// buffer of a fast connection to megabytes, which then stay full if the receiver stops reading.
func LimitUnsent(c *net.TCPConn, bytes int) {
	raw, err := c.SyscallConn()
	if err == nil {
		var setErr error
		err = raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
		})
		err = errors.CombineErrors(err, setErr)
	}
	if err != nil {
		klog.V(2).InfoS("Unsent bytes of a connection are not limited", "peer", c.RemoteAddr().String(), "err", err)
	}
}

// tcpConn returns the connection of the operating system, or nil if there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	for {
		switch inner := c.(type) {
		case *net.TCPConn:
			return inner
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}
