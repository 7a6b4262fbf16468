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

// cut passes connections on to an address until it is closed off. One cut
// stands before each replica, so that closing it off isolates the replica from
// the others while operators still reach it directly.
type cut struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	closed bool
	open   map[net.Conn]bool
}

func newCut(t *testing.T, to string) *cut {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &cut{listener: l, to: to, open: map[net.Conn]bool{}}
	go c.accept()
	t.Cleanup(func() { _ = l.Close(); c.set(true) })
	return c
}

func (c *cut) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.pass(conn)
	}
}

func (c *cut) pass(conn net.Conn) {
	defer conn.Close()
	if !c.track(conn) {
		return
	}
	there, err := net.Dial("tcp", c.to)
	if err != nil {
		return
	}
	defer there.Close()
	if !c.track(there) {
		return
	}
	go func() { _, _ = io.Copy(there, conn); _ = there.Close() }()
	_, _ = io.Copy(conn, there)
}

func (c *cut) track(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.open[conn] = true
	}
	return !c.closed
}

func (c *cut) set(closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = closed
	for conn := range c.open {
		_ = conn.Close()
	}
	c.open = map[net.Conn]bool{}
}

// A partition cuts the leader off from the other replicas for a long time, and
// operators still reach it. It must not answer with the revision that it knew,
// nor accept a change; the others go on, and after the cut it follows them.
func TestIsolatedLeaderAnswersNothingStale(t *testing.T) {
	c := newCluster(t, 3)
	var cuts []*cut
	c.advertised = nil
	for _, a := range c.control {
		one := newCut(t, a)
		cuts = append(cuts, one)
		c.advertised = append(c.advertised, one.listener.Addr().String())
	}
	c.start()
	ctx := contextOf(t)
	first, err := c.client.Submit(ctx, []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	old := c.leader()
	// Every path to and from the leader is closed: its own cut, and those of the
	// others, which would carry its messages.
	others := &operator.Client{Control: controlclient.New(nil, without(c.control, old), ""), Name: "tester"}
	alone := &operator.Client{Control: controlclient.New(nil, []string{c.control[old]}, ""), Name: "tester"}
	cuts[old].set(true)
	second, err := others.Submit(ctx, []byte(estateText("second", "hello")), first.Revision, "second")
	assert.NilError(t, err)
	short, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	shown, err := alone.Show(short, "trial")
	if err == nil {
		assert.Equal(t, shown.Revision, second.Revision, "the isolated leader answered with the past")
	}
	cuts[old].set(false)
	eventually(t, "the old leader follows the others", func() bool {
		resp, err := c.client.Control.At(c.control[old]).Log.LogStatus(ctx, logStatusRequest())
		return err == nil && resp.Msg.LeaderId != resp.Msg.MemberId && resp.Msg.Commit >= second.Index
	})
}

func without(list []string, i int) []string {
	return append(append([]string(nil), list[:i]...), list[i+1:]...)
}
