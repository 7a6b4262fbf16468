package e2e

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
)

// partitionProxy forwards connections to an address until it is partitioned. With one proxy in
// front of each replica, a replica can be isolated from the others while operators still reach it
// directly.
type partitionProxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	partitioned bool
	conns       map[net.Conn]bool
}

func newPartitionProxy(t *testing.T, to string) *partitionProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &partitionProxy{listener: l, target: to, conns: map[net.Conn]bool{}}
	go c.accept()
	t.Cleanup(func() { _ = l.Close(); c.setPartitioned(true) })
	return c
}

func (c *partitionProxy) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.forward(conn)
	}
}

func (c *partitionProxy) forward(conn net.Conn) {
	defer conn.Close()
	if !c.track(conn) {
		return
	}
	upstream, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if !c.track(upstream) {
		return
	}
	go func() { _, _ = io.Copy(upstream, conn); _ = upstream.Close() }()
	_, _ = io.Copy(conn, upstream)
}

func (c *partitionProxy) track(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.partitioned {
		c.conns[conn] = true
	}
	return !c.partitioned
}

func (c *partitionProxy) setPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = map[net.Conn]bool{}
}

// Guards against stale reads from an isolated leader. A partition separates the leader from the
// other replicas for longer than an election takes, while operators can still reach it. It must
// neither respond with its old revision nor accept a change. The other replicas elect a new leader,
// which the isolated one must follow after the partition.
func TestIsolatedLeaderAnswersNothingStale(t *testing.T) {
	c := newCluster(t, 3)
	var proxies []*partitionProxy
	c.advertisedAddresses = nil
	for _, a := range c.controlAddresses {
		proxy := newPartitionProxy(t, a)
		proxies = append(proxies, proxy)
		c.advertisedAddresses = append(c.advertisedAddresses, proxy.listener.Addr().String())
	}
	c.start()
	ctx := testContext(t)
	first, err := c.client.Submit(ctx, []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	isolated := c.leader()
	// Close all connections from other replicas to the isolated leader. The proxies of the
	// other replicas, through which the leader's own messages pass, stay open.
	others := &operator.Client{Control: controlclient.New(nil, without(c.controlAddresses, isolated), ""), Name: "tester"}
	isolatedOnly := &operator.Client{Control: controlclient.New(nil, []string{c.controlAddresses[isolated]}, ""), Name: "tester"}
	proxies[isolated].setPartitioned(true)
	second, err := others.Submit(ctx, []byte(estateText("second", "hello")), first.Revision, "second")
	assert.NilError(t, err)
	shortCtx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	shown, err := isolatedOnly.Show(shortCtx, "trial")
	if err == nil {
		assert.Equal(t, shown.Revision, second.Revision, "the isolated leader returned an old revision")
	}
	proxies[isolated].setPartitioned(false)
	eventually(t, "the old leader follows the others", func() bool {
		resp, err := c.client.Control.At(c.controlAddresses[isolated]).Log.LogStatus(ctx, logStatusRequest())
		return err == nil && resp.Msg.LeaderId != resp.Msg.MemberId && resp.Msg.Commit >= second.Index
	})
}

func without(list []string, i int) []string {
	return append(append([]string(nil), list[:i]...), list[i+1:]...)
}
