package node

import (
	"context"
	"sync/atomic"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// minSyncInterval is the minimum time between two syncs, so that several updates in
// quick succession are sent together.
const minSyncInterval = 20 * time.Millisecond

// member keeps this node registered in the directory: it sends heartbeats to a relay of
// its data centre and applies the directory entries and configuration changes in the
// responses.
type member struct {
	n            *Node
	syncRequests chan struct{}
	// interrupted is set when requestSync cancels the sync in progress, to distinguish
	// this from a failure of the relay.
	interrupted atomic.Bool
	// roundRequests receives requests for a sync round. Each request is a channel that
	// is closed when the round is done.
	roundRequests    chan chan<- struct{}
	relays           []*apiv1.RelayInfo
	unreachableUntil map[string]time.Time
	currentRelay     *apiv1.RelayInfo
	searchBackoff    time.Duration
	// saidWatching is set if the last heartbeat said that this node watches control replicas.
	saidWatching atomic.Bool
	// sentVersion is the version of this node's entry that was last sent to the current
	// relay.
	sentVersion entryVersion
}

func newMember(n *Node) *member {
	return &member{n: n, syncRequests: make(chan struct{}, 1), roundRequests: make(chan chan<- struct{}), unreachableUntil: map[string]time.Time{}, searchBackoff: minSearchBackoff}
}

// requestSync requests an immediate sync without waiting for it.
func (m *member) requestSync() {
	m.n.watcher.announceSoon()
	select {
	case m.syncRequests <- struct{}{}:
	default:
	}
}

func (m *member) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := m.syncRound(ctx)
		select {
		case <-ctx.Done():
		case <-m.syncRequests:
		case done := <-m.roundRequests:
			m.syncRound(ctx)
			close(done)
		case <-time.After(wait):
		}
	}
}

// syncRound syncs once with the first relay that responds, and returns how long to wait
// before the next round.
func (m *member) syncRound(ctx context.Context) time.Duration {
	for _, r := range m.rankRelays() {
		again, err := m.sync(ctx, r)
		if err == nil {
			m.searchBackoff = minSearchBackoff
			if again || m.interrupted.Swap(false) {
				return 0
			}
			return minSyncInterval
		}
		if m.interrupted.Swap(false) {
			return 0
		}
		m.unreachableUntil[r.Host] = time.Now().Add(relayAvoidPeriod)
		m.n.counters.relayFailures.Add(1)
	}
	return m.findRelays(ctx)
}

// interruptOnRequest cancels the sync in progress when another one is requested. The
// relay may hold its response until it has updates, and an update of this node must not
// wait for that. The returned function stops the goroutine that waits for requests.
func (m *member) interruptOnRequest(cancel context.CancelFunc) (stop func()) {
	done, exited := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(exited)
		select {
		case <-m.syncRequests:
			m.interrupted.Store(true)
			cancel()
		case <-done:
		}
	}()
	return func() {
		close(done)
		<-exited
	}
}

// syncNow runs a round and waits until it is done.
func (m *member) syncNow(ctx context.Context) {
	done := make(chan struct{})
	m.requestSync()
	select {
	case m.roundRequests <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
