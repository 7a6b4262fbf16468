package node

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
	"cactuspath/internal/replica"
)

// One heartbeat: what the node reports, and what it takes in from the answer.

const (
	// heartbeatJitter spreads the heartbeats of nodes that started together.
	heartbeatJitter = 0.2
	// syncHold is how long the relay may hold its answer: a heartbeat a second, as
	// before, whose answer comes when there is news.
	syncHold = directory.HeartbeatInterval
	// syncTimeout is for the answer after the hold.
	syncTimeout = time.Second
	// staleConfirmation is how old a relay's confirmation may be for a node that
	// starts with nothing to take its configuration as confirmed.
	staleConfirmation = 10 * time.Second
)

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - heartbeatJitter/2 + heartbeatJitter*rand.Float64()))
}

// sync exchanges one heartbeat with a relay; again means that another is due
// at once.
func (m *member) sync(ctx context.Context, r *apiv1.RelayInfo) (again bool, err error) {
	n := m.n
	left := m.current
	if left.GetHost() != r.Host {
		m.current = r
		n.mu.Lock()
		n.sequence++
		n.view.Reset()
		n.mu.Unlock()
		m.announced = claim{}
	}
	req := m.request(r)
	ctx, cancel := context.WithTimeout(ctx, syncHold+syncTimeout)
	defer cancel()
	req.HoldMs = uint32(jitter(syncHold).Milliseconds())
	stop := m.breakOff(cancel)
	answer, err := n.peers.at(r.PeerAddress).Sync(ctx, connect.NewRequest(req))
	stop()
	if err != nil {
		return false, err
	}
	n.counters.heartbeats.Add(1)
	resp := answer.Msg
	if resp.NotRelay {
		return false, errNotRelay
	}
	if e := req.Entry; e != nil {
		m.announced = claim{e.Incarnation, e.Sequence, e.State}
		if left.GetHost() != r.Host {
			m.tellLeft(left, req)
		}
	}
	if resp.BecomeRelay {
		n.relay.begin()
	}
	if !resp.RelaysUnchanged && len(resp.Relays) > 0 {
		m.relays = resp.Relays
	}
	return m.take(req.Services, resp), nil
}

// tellLeft tells the relay that this node reported to before of its move. It
// would hear of it from the new one within seconds, and suspect the node until
// then, since its heartbeats ended.
func (m *member) tellLeft(left *apiv1.RelayInfo, req *apiv1.NodeSyncRequest) {
	if left == nil {
		return
	}
	moved := &apiv1.NodeSyncRequest{Report: req.Report, Entry: req.Entry}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		// A relay that is gone needs no telling.
		_, _ = m.n.peers.at(left.PeerAddress).Sync(ctx, connect.NewRequest(moved))
	}()
}

func (m *member) request(r *apiv1.RelayInfo) *apiv1.NodeSyncRequest {
	n := m.n
	n.mu.Lock()
	defer n.mu.Unlock()
	needed := n.subscription()
	req := &apiv1.NodeSyncRequest{Services: needed, Resubscribe: !n.view.Covers(needed), Cursor: n.view.Cursor(), Revision: n.records.Revision(), RelaysDigest: replica.RelaysDigest(m.relays)}
	for _, s := range needed {
		if record := n.records.Service(s); record == nil || record.Partial {
			req.Added = append(req.Added, s)
		}
	}
	inFlight := 0
	if n.server != nil {
		inFlight = n.server.endpoint.InFlight()
	}
	req.Report = &apiv1.NodeReport{Host: n.options.Host, Incarnation: n.incarnation.Load(), Sequence: n.sequence, Revision: n.records.Revision(),
		Draining: n.draining(), Drained: n.draining() && inFlight == 0, InFlight: uint32(inFlight)}
	if m.worthAnnouncing() {
		req.Entry = n.entry(r.Host)
		req.Report.Sequence = n.sequence
	}
	return req
}

// worthAnnouncing tells whether the relay lacks this node's newest claim. A
// change of state takes a new sequence number, so that it supersedes the claim
// before.
func (m *member) worthAnnouncing() bool {
	n := m.n
	now := n.claim()
	if now == m.announced {
		return false
	}
	if m.announced.sequence == n.sequence && m.announced.state != now.state {
		n.sequence++
	}
	return true
}

// take applies a relay's answer for the services; it reports whether another
// sync is due at once.
func (m *member) take(services []string, resp *apiv1.NodeSyncResponse) (again bool) {
	n := m.n
	n.mu.Lock()
	again = m.correct(resp)
	changed := n.view.Apply(services, resp.Entries, resp.Cursor, resp.Complete)
	if changed {
		n.counters.viewChanged.Set(time.Now().UnixMilli())
	}
	before := n.records.Revision()
	if n.records.Apply(resp.Delta) {
		changed = true
	}
	n.noteRevision(before, resp.ConfirmedAgeMs < uint64(staleConfirmation.Milliseconds()), "relay "+m.current.GetHost())
	// A service that became needed meanwhile is asked for at once; one that the
	// relay could not answer for waits for the next heartbeat.
	again = again || resp.Cursor != nil && !n.view.Covers(n.subscription())
	if changed {
		n.signalChange()
	}
	n.mu.Unlock()
	if changed {
		n.apply()
	}
	return again
}

// correct brings this node's own claim above what the relay believes, when that
// is not what the node says of itself: a relay marked it failed, or an earlier
// incarnation had a later clock.
func (m *member) correct(resp *apiv1.NodeSyncResponse) bool {
	n := m.n
	mine := n.incarnation.Load()
	switch {
	case resp.BelievedIncarnation > mine:
		n.incarnation.Store(resp.BelievedIncarnation + 1)
	case resp.BelievedIncarnation == mine && resp.BelievedSequence > n.sequence:
		n.sequence = resp.BelievedSequence + 1
	case resp.BelievedIncarnation == mine && resp.BelievedSequence == n.sequence && resp.Believed == apiv1.EndpointState_ENDPOINT_STATE_FAILED && !n.departed:
		n.sequence++
	case resp.NeedEntry:
	default:
		return false
	}
	m.announced = claim{}
	return true
}
