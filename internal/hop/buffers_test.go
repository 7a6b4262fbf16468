package hop

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a host that runs out of memory because callers do not read large responses: the kernel
// would hold megabytes of each on its way to them.
func TestBuffersOfConnectionAreLimited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var written atomic.Int64
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(nearReceiveBuffer)
		for part := make([]byte, bufferSize); err == nil; {
			var n int
			n, err = c.Write(part)
			written.Add(int64(n))
		}
	}()
	p := NewPool(l.Addr().String(), nil)
	defer p.Close()
	c, err := p.dial(t.Context())
	assert.NilError(t, err)
	defer c.Close()
	// The kernel grows the buffer while the connection is read fast.
	const read = 64 << 20
	_, err = io.CopyN(io.Discard, c.Conn, read)
	assert.NilError(t, err)
	for before := int64(-1); before != written.Load(); time.Sleep(100 * time.Millisecond) {
		before = written.Load()
	}
	// The kernel makes each of the two buffers twice as large for its own records, and accepts one
	// more packet for a buffer that is not full yet.
	const loopbackPacket = 64 << 10
	held := written.Load() - read
	assert.Assert(t, held <= 2*(2*nearReceiveBuffer+loopbackPacket), "%d bytes", held)
}
