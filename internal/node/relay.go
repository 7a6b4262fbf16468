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
	relayTick = directory.HeartbeatInterval / 2
	// settleTick is the tick while the relay does not know enough to answer yet:
	// after a restart of everything all requests wait for that.
	settleTick = directory.SettleInterval
)

// relay is this node's part as a relay, if it was chosen. Safe for concurrent
// use.
type relay struct {
	n *Node

	mu        sync.Mutex
	state     *directory.Relay
	records   *rollout.Records
	all       []*apiv1.RelayInfo
	confirmed time.Time
	// more is how many nodes are to become relays.
	more uint32
	// settled: the relay was ready at the last tick.
	settled bool
	busy    map[string]bool
	// news is closed and replaced when there is something to tell.
	news chan struct{}
	// begun wakes the ticks when this node becomes a relay, or hears of one that it
	// does not know.
	begun chan struct{}
}

func newRelay(n *Node) *relay {
	return &relay{n: n, records: rollout.NewRecords(), busy: map[string]bool{}, news: make(chan struct{}), begun: make(chan struct{}, 1)}
}

// info names this node as a relay.
func (r *relay) info() *apiv1.RelayInfo {
	o := r.n.options
	return &apiv1.RelayInfo{Host: o.Host, PeerAddress: o.PeerAddress, DataCenter: o.DataCenter, Region: o.Region}
}

func (r *relay) now() time.Duration { return time.Since(r.n.start) }

// begin makes this node a relay.
func (r *relay) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil {
		return
	}
	r.state = directory.NewRelay(r.info(), uint64(time.Now().UnixNano()), r.now())
	select {
	case r.begun <- struct{}{}:
	default:
	}
	klog.InfoS("Became a relay", "host", r.n.options.Host, "dataCenter", r.n.options.DataCenter)
}

func (r *relay) end() {
	r.state = nil
	klog.InfoS("Ceased to be a relay", "host", r.n.options.Host, "dataCenter", r.n.options.DataCenter)
}

// run ticks while this node is a relay.
func (r *relay) run(ctx context.Context) {
	syncDue := true
	for {
		wait, settled := r.pace()
		select {
		case <-ctx.Done():
			return
		case <-r.begun:
			syncDue = true
		case <-time.After(wait):
		}
		if !r.active() {
			continue
		}
		if syncDue || !settled {
			r.syncControl(ctx)
		}
		syncDue = !syncDue
		r.tick(ctx)
	}
}

// pace is the time to the next tick, short while the relay settles.
func (r *relay) pace() (wait time.Duration, settled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil && !r.state.Ready(r.now()) {
		return settleTick, false
	}
	return relayTick, true
}

// tell wakes those whose answers are held; the caller holds the lock.
func (r *relay) tell() {
	close(r.news)
	r.news = make(chan struct{})
}
