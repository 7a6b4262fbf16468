package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/directory"
)

// The planned stop: the node accepts no new work, lets requests in flight finish,
// notifies the directory, and for a while answers callers that have not heard of it.

const (
	drainPollInterval = 20 * time.Millisecond
	// preDrainDelay is how long a stopping node still sends work to its backend server.
	// Its own callers take about two seconds to see that it is not ready, and the
	// process has to wait for them; a gate that closed immediately would take the
	// backend server out of its service for all of that time.
	preDrainDelay = time.Second
	// lingerDuration is how long a node responds after its gate has closed: by then the
	// directory has informed all nodes. Closing a connection on which a request was
	// just sent would leave the outcome unknown, while a refused request is sent
	// elsewhere.
	lingerDuration = 2 * time.Second
	// departureLinger is how long a node responds after it told the directory that it
	// is gone. Nodes that use it as their relay ask once a heartbeat, and learn then to
	// use another one.
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

// keepServing lets the gate continue for preDrainDelay, unless its backend server is
// leaving or gone.
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
// for callers' requests that this node sends elsewhere: new ones may arrive until the
// listeners close, which lets those in progress finish.
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
