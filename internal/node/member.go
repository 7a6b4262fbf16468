package node

import (
	"context"
	"sync/atomic"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// minSyncInterval makes updates that arrive in quick succession share one sync.
const minSyncInterval = 20 * time.Millisecond

// member maintains this node's membership in the directory: it reports to a relay of
// its data centre and applies what the relay knows.
type member struct {
	n            *Node
	syncRequests chan struct{}
	// interrupted is set when a sync request canceled the sync in progress.
	interrupted atomic.Bool
	// roundRequests receives requests for a round; the channel sent is closed when the
	// round is done.
	roundRequests    chan chan<- struct{}
	relays           []*apiv1.RelayInfo
	unreachableUntil map[string]time.Time
	currentRelay     *apiv1.RelayInfo
	searchBackoff    time.Duration
	// sentVersion is the version of the entry that the current relay has.
	sentVersion entryVersion
}

func newMember(n *Node) *member {
	return &member{n: n, syncRequests: make(chan struct{}, 1), roundRequests: make(chan chan<- struct{}), unreachableUntil: map[string]time.Time{}, searchBackoff: minSearchBackoff}
}

// requestSync requests an immediate sync.
func (m *member) requestSync() {
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

// interruptOnRequest cancels a held sync when another one is requested: an update of
// this node must not wait for the relay's updates. The returned function stops the
// goroutine.
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
