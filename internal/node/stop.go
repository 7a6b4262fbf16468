package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/directory"
	"cactuspath/core/shutdown"
)

// In a planned stop, the node closes the gate of its backend server, lets the requests there
// finish and notifies the directory. It still serves callers all this time, since they may not
// know yet that it is stopping, but accepts only requests that can finish before the end of the
// stop.

const (
	drainPollInterval = 20 * time.Millisecond
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
	schedule := shutdown.New(time.Now(), n.options.StopTimeout)
	n.logStop("Planned stop began", schedule)
	n.proxy.BeginStop(schedule)
	n.front.Drain()
	n.mu.Lock()
	n.unready = true
	n.mu.Unlock()
	n.keepServing(schedule.GateOpenUntil())
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.applyDraining()
	n.member.requestSync()
	lingerUntil := time.Now().Add(lingerDuration)
	n.logStop("Gate closed for the planned stop", schedule)
	// A request that never ends at the gate must not use up the time in which other nodes learn
	// that this one leaves.
	n.waitDrained(schedule.LatestStart(departureLinger))
	n.logStop("Gate drained for the planned stop", schedule)
	lingerEnd := func() time.Time { return schedule.Limit(latest(lingerUntil, time.Now().Add(departureLinger))) }
	// If no relay can be reached, other nodes find out by themselves.
	n.announceDeparture(lingerEnd())
	time.Sleep(time.Until(lingerEnd()))
	n.logStop("Listeners close for the planned stop", schedule)
	return shutDown(servers, schedule.End())
}

// logStop logs a stage of the planned stop with the requests in flight and the time left.
func (n *Node) logStop(stage string, schedule *shutdown.Schedule) {
	klog.InfoS(stage, "host", n.options.Host, "callersInFlight", n.callers.current(), "gateInFlight", n.InFlight(), "left", time.Until(schedule.End()))
}

// shutDown shuts the servers down one after the other. Those behind keep responding to their
// requests while it waits for the ones before. At the given time, all that is left is cut.
func shutDown(servers []httpServer, until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var cutErr error
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			cutErr = errors.Wrap(err, "requests were still in flight when stopTimeout passed and were cut; allow more in the settings")
			_ = s.Close()
		}
	}
	return cutErr
}

// keepServing keeps the gate open until the given time, or until its backend server is
// draining or withdrawn.
func (n *Node) keepServing(until time.Time) {
	for ; time.Now().Before(until); time.Sleep(drainPollInterval) {
		n.mu.Lock()
		serving := n.server != nil && !n.draining()
		n.mu.Unlock()
		if !serving {
			return
		}
	}
}

// waitDrained waits until no request is running or queued at the gate, or until the given time. It
// does not wait for callers' requests that this node sends to other nodes: new ones may arrive until
// the listeners are shut down, and the shutdown waits for those in progress.
func (n *Node) waitDrained(until time.Time) {
	for n.InFlight() > 0 && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// announceDeparture tells the directory that this node has left for good. It waits until a relay
// has confirmed this, or until the given time.
func (n *Node) announceDeparture(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	n.mu.Lock()
	n.departed = true
	n.mu.Unlock()
	n.member.syncNow(ctx)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
