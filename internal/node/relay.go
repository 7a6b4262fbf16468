package node

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
	"cactuspath/core/rollout"
)

const (
	relayTickInterval = directory.HeartbeatInterval / 2
	// startupTickInterval is the tick interval while the relay does not know enough
	// entries to respond. It is short because after a restart of all nodes every
	// request waits until the relays respond.
	startupTickInterval = directory.StartupInterval
)

// relay implements the relay role of this node. It does nothing until the node is told
// to become a relay. It is safe for concurrent use.
type relay struct {
	n *Node

	mu        sync.Mutex
	state     *directory.Relay
	records   *rollout.Records
	allRelays []*apiv1.RelayInfo
	confirmed time.Time
	// relaysWanted is the number of nodes that this relay still has to turn into
	// relays, as requested by the leader of the control replicas.
	relaysWanted uint32
	// ready is set if the relay knew enough entries to respond at the last tick.
	ready      bool
	inProgress map[string]bool
	// changed is closed and replaced when there are updates to send.
	changed chan struct{}
	// released is closed when the node's listeners close. Responses are not held any more then.
	released chan struct{}
	// wake triggers a tick when this node becomes a relay, or is contacted by a relay
	// that it does not know.
	wake chan struct{}
}

func newRelay(n *Node) *relay {
	return &relay{n: n, records: rollout.NewRecords(), inProgress: map[string]bool{}, changed: make(chan struct{}), released: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// info describes this node as a relay.
func (r *relay) info() *apiv1.RelayInfo {
	o := r.n.options
	return &apiv1.RelayInfo{Host: o.Host, PeerAddress: o.PeerAddress, DataCenter: o.DataCenter, Region: o.Region}
}

func (r *relay) now() time.Duration { return time.Since(r.n.start) }

// start makes this node a relay.
func (r *relay) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil {
		return
	}
	r.state = directory.NewRelay(r.info(), uint64(time.Now().UnixNano()), r.now())
	select {
	case r.wake <- struct{}{}:
	default:
	}
	klog.InfoS("Became a relay", "host", r.n.options.Host, "dataCenter", r.n.options.DataCenter)
}

func (r *relay) stepDown() {
	r.state = nil
	klog.InfoS("Ceased to be a relay", "host", r.n.options.Host, "dataCenter", r.n.options.DataCenter)
}

// run calls tick periodically while this node is a relay, and exchanges state with the
// leader of the control replicas.
func (r *relay) run(ctx context.Context) {
	syncDue := true
	for {
		wait, ready := r.tickInterval()
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			syncDue = true
		case <-time.After(wait):
		}
		if !r.active() {
			continue
		}
		if syncDue || !ready {
			r.syncControl(ctx)
		}
		syncDue = !syncDue
		r.tick(ctx)
	}
}

// tickInterval returns the time to the next tick, which is shorter until the relay is
// ready.
func (r *relay) tickInterval() (wait time.Duration, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil && !r.state.Ready(r.now()) {
		return startupTickInterval, false
	}
	return relayTickInterval, true
}

// releaseHeld makes the calls respond that hold their responses until there are updates. It is called
// once.
func (r *relay) releaseHeld() { close(r.released) }

// signalChange wakes the calls that hold their responses until there are updates. The
// caller holds the lock.
func (r *relay) signalChange() {
	close(r.changed)
	r.changed = make(chan struct{})
}
