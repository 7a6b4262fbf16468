package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/directory"
)

// In a planned stop, the node accepts no new requests, lets those in flight finish and
// notifies the directory. It then still responds for a while, for peers and callers
// that do not know yet that it is stopping.

const (
	drainPollInterval = 20 * time.Millisecond
	// preDrainDelay is how long a stopping node keeps its gate open. The process has to
	// run for about two more seconds anyway, until its callers see that it is not
	// ready. Closing the gate immediately would leave the backend server unused for all
	// of that time.
	preDrainDelay = time.Second
	// lingerDuration is how long a node keeps responding after its gate has closed. By
	// the end of it, all nodes know from the directory that the gate is closed. A
	// request that is refused in the meantime is sent to another node; if the
	// connection were closed instead, its outcome would be unknown.
	lingerDuration = 2 * time.Second
	// departureLinger is how long a node keeps responding after it has told the
	// directory that it has left. Nodes that use it as their relay send a heartbeat in
	// this time, and learn from the response that they need another relay.
	departureLinger = directory.HeartbeatInterval
)

// stop performs a planned stop. It returns an error if requests were cut off because
// the stop timeout passed.
func (n *Node) stop(servers []httpServer) error {
	klog.InfoS("Planned stop began", "host", n.options.Host, "callersInFlight", n.callers.current(), "gateInFlight", n.InFlight())
	n.front.Drain()
	n.mu.Lock()
	n.unready = true
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.options.StopTimeout)
	defer cancel()
	n.keepServing(ctx)
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.applyDraining()
	n.member.requestSync()
	closed := time.Now()
	klog.InfoS("Gate closed for the planned stop", "host", n.options.Host, "callersInFlight", n.callers.current(), "gateInFlight", n.InFlight())
	n.waitDrained(ctx)
	n.announceDeparture(ctx)
	n.linger(ctx, max(departureLinger, lingerDuration-time.Since(closed)))
	var cutErr error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			cutErr = errors.Wrap(err, "requests were still in flight when stopTimeout passed and were cut; allow more in the settings")
			_ = s.Close()
		}
	}
	return cutErr
}

// keepServing keeps the gate open for preDrainDelay, or until its backend server is
// draining or withdrawn.
func (n *Node) keepServing(ctx context.Context) {
	for deadline := time.Now().Add(preDrainDelay); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(drainPollInterval) {
		n.mu.Lock()
		serving := n.server != nil && !n.draining()
		n.mu.Unlock()
		if !serving {
			return
		}
	}
}

// waitDrained waits until no request is running or queued at the gate. It does not wait
// for callers' requests that this node sends to other nodes: new ones may arrive until
// the listeners are shut down, and the shutdown waits for those in progress.
func (n *Node) waitDrained(ctx context.Context) {
	for n.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// announceDeparture tells the directory that this node has left for good.
func (n *Node) announceDeparture(ctx context.Context) {
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
