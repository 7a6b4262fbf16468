package resources

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// unsentLimit returns how much the kernel may hold as unsent for a connection, in bytes.
func unsentLimit(t *testing.T, c net.Conn) (limit int) {
	t.Helper()
	raw, err := tcpConn(c).SyscallConn()
	assert.NilError(t, err)
	var getErr error
	assert.NilError(t, raw.Control(func(fd uintptr) {
		limit, getErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT)
	}))
	assert.NilError(t, getErr)
	return limit
}

// Guards against a host that runs out of memory because clients do not read their responses: the kernel
// would hold megabytes for each connection.
func TestUnsentBytesOfConnectionsAreLimited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	r := New(64, 0)
	for _, k := range []struct{ open, limit int }{{0, maxUnsent}, {49, 64 << 20 / 20 / 50}, {10_000, minUnsent}} {
		client, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer client.Close()
		c, err := l.Accept()
		assert.NilError(t, err)
		defer c.Close()
		_, ok := r.NewAccount(&conn{Conn: c}, k.open)
		assert.Assert(t, ok)
		assert.Equal(t, unsentLimit(t, c), k.limit, "with %d others", k.open)
	}
}
