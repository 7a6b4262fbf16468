package node

import (
	"context"
	"sync/atomic"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// syncSpacing keeps news that come one by one from being fetched one by one.
const syncSpacing = 20 * time.Millisecond

// member keeps this node in the directory: it reports to a relay of its data
// centre and takes in what the relay knows.
type member struct {
	n     *Node
	kicks chan struct{}
	// kicked: the sync under way was broken off by a kick.
	kicked atomic.Bool
	// rounds asks for a round and is told when it is over.
	rounds  chan chan<- struct{}
	relays  []*apiv1.RelayInfo
	avoid   map[string]time.Time
	current *apiv1.RelayInfo
	pause   time.Duration
	// announced is the claim that the current relay has.
	announced claim
}

func newMember(n *Node) *member {
	return &member{n: n, kicks: make(chan struct{}, 1), rounds: make(chan chan<- struct{}), avoid: map[string]time.Time{}, pause: firstSearch}
}

// kick asks for a sync at once.
func (m *member) kick() {
	select {
	case m.kicks <- struct{}{}:
	default:
	}
}

func (m *member) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := m.round(ctx)
		select {
		case <-ctx.Done():
		case <-m.kicks:
		case over := <-m.rounds:
			m.round(ctx)
			close(over)
		case <-time.After(wait):
		}
	}
}

// round syncs once with the first relay that answers, and returns how long to
// wait for the next round.
func (m *member) round(ctx context.Context) time.Duration {
	for _, r := range m.order() {
		again, err := m.sync(ctx, r)
		if err == nil {
			m.pause = firstSearch
			if again || m.kicked.Swap(false) {
				return 0
			}
			return syncSpacing
		}
		if m.kicked.Swap(false) {
			return 0
		}
		m.avoid[r.Host] = time.Now().Add(avoidRelayFor)
		m.n.counters.relayFailures.Add(1)
	}
	return m.search(ctx)
}

// breakOff ends a held sync when a kick comes: what this node has to say must not
// wait for the relay's news. The function it returns ends the watch.
func (m *member) breakOff(cancel context.CancelFunc) (stop func()) {
	over, watching := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watching)
		select {
		case <-m.kicks:
			m.kicked.Store(true)
			cancel()
		case <-over:
		}
	}()
	return func() {
		close(over)
		<-watching
	}
}

// syncNow carries out a round and waits for its end.
func (m *member) syncNow(ctx context.Context) {
	over := make(chan struct{})
	m.kick()
	select {
	case m.rounds <- over:
	case <-ctx.Done():
		return
	}
	select {
	case <-over:
	case <-ctx.Done():
	}
}
