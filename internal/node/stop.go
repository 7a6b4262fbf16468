package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/directory"
)

// The planned stop, step by step: no new work, work in flight ends, the directory is
// told, and callers that have not heard of it are answered for a while.

const (
	drainPoll = 20 * time.Millisecond
	// serveOnTime is for how long a node that stops still gives its backend server
	// work. Its own callers take about two seconds to see that it is not ready, and
	// the process has to wait for them; a gate that closed at once would take the
	// backend server out of its service for all of that time.
	serveOnTime = time.Second
	// lingerTime is how long a node answers after its gate closed: by then the
	// directory has told everybody. A connection closed under a request that was just
	// sent would leave its outcome unknown; refused, it goes elsewhere.
	lingerTime = 2 * time.Second
	// departTime is how long it answers after it told the directory that it is gone.
	// Nodes that have it for their relay ask once a heartbeat, and learn so of
	// another one.
	departTime = directory.HeartbeatInterval
)

// stop carries out a planned stop. The error names what was cut because the
// stop timeout passed.
func (n *Node) stop(servers []listening) error {
	klog.InfoS("Planned stop began", "host", n.options.Host, "callersInFlight", n.callers.now(), "gateInFlight", n.InFlight())
	n.front.Drain()
	n.mu.Lock()
	n.unready = true
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.options.StopTimeout)
	defer cancel()
	n.serveOn(ctx)
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.applyDraining()
	n.member.kick()
	closed := time.Now()
	klog.InfoS("Gate closed for the planned stop", "host", n.options.Host, "callersInFlight", n.callers.now(), "gateInFlight", n.InFlight())
	n.waitDrained(ctx)
	n.depart(ctx)
	n.linger(ctx, max(departTime, lingerTime-time.Since(closed)))
	var cut error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			cut = errors.Wrap(err, "requests were still in flight when stopTimeout passed and were cut; allow more in the settings")
			_ = s.Close()
		}
	}
	return cut
}

// serveOn lets the gate go on for a while, unless its backend server is leaving
// or gone.
func (n *Node) serveOn(ctx context.Context) {
	for end := time.Now().Add(serveOnTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(drainPoll) {
		n.mu.Lock()
		serving := n.server != nil && !n.draining()
		n.mu.Unlock()
		if !serving {
			return
		}
	}
}

// waitDrained waits until nothing runs or waits at the gate. Callers' requests
// that this node sends elsewhere are not waited for here: new ones may go on
// coming until the listeners close, which lets those under way end.
func (n *Node) waitDrained(ctx context.Context) {
	for n.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

// depart tells the directory that this node is gone for good.
func (n *Node) depart(ctx context.Context) {
	n.mu.Lock()
	n.departed = true
	n.mu.Unlock()
	n.member.syncNow(ctx)
}

func (n *Node) linger(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
