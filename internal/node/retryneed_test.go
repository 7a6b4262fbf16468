package node

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
	"cactuspath/internal/controlclient"
)

// Guards against a setting retryOrder that does not reach the callers' side of the node, and
// against one that the switched-off mechanism does not end.
func TestRetryOrderReachesTheProxy(t *testing.T) {
	for _, c := range []struct {
		byNeed   bool
		disabled mechanism.Set
		want     bool
	}{{false, 0, false}, {true, 0, true}, {true, mechanism.RetryNeed, false}, {true, mechanism.Moves, true}} {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(t, err)
		n := New(Options{Host: "h", DataCenter: "dc", Region: "r", Reports: socket, PeerAddress: "127.0.0.1:1", Control: controlclient.New(nil, []string{"127.0.0.1:1"}, ""),
			StopTimeout: time.Second, RetryByNeed: c.byNeed, Disabled: c.disabled})
		assert.Equal(t, n.proxy.RetryByNeed(), c.want, "%+v", c)
		n.Disable(0)
		assert.Equal(t, n.proxy.RetryByNeed(), c.byNeed, "%+v", c)
		n.Disable(mechanism.RetryNeed)
		assert.Assert(t, !n.proxy.RetryByNeed())
		assert.NilError(t, socket.Close())
	}
}
