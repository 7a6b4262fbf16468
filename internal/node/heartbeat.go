package node

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/directory"
	"cactuspath/internal/replica"
	"cactuspath/internal/transport"
)

// The heartbeat between a node and its relay: building the request and applying the
// response.

const (
	// heartbeatJitter spreads the heartbeats of nodes that started together.
	heartbeatJitter = 0.2
	// syncHold is how long the relay may hold its response while there are no updates,
	// so that a node sends about one heartbeat per second.
	syncHold = directory.HeartbeatInterval
	// syncTimeout is the time after the hold in which the response must begin, and the longest
	// pause between its parts.
	syncTimeout = time.Second
	// staleConfirmation is the maximum age of the last confirmation by a leader that
	// the relay has the newest configuration. If it is older, a node that has no
	// configuration treats the one from the relay as unconfirmed.
	staleConfirmation = 10 * time.Second
	// maxConfirmedAgeMs prevents overflow for a relay that was never confirmed.
	maxConfirmedAgeMs = uint64(365 * 24 * time.Hour / time.Millisecond)
)

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - heartbeatJitter/2 + heartbeatJitter*rand.Float64()))
}

// sync sends one heartbeat to a relay and applies the response. It returns again if
// another heartbeat is due immediately.
func (m *member) sync(ctx context.Context, r *apiv1.RelayInfo) (again bool, err error) {
	n := m.n
	previous := m.currentRelay
	if previous.GetHost() != r.Host {
		m.currentRelay = r
		n.mu.Lock()
		n.sequence++
		n.view.Reset()
		n.mu.Unlock()
		m.sentVersion = entryVersion{}
	}
	req := m.buildRequest(r)
	ctx, cancel := transport.WithStallLimit(ctx, syncHold+syncTimeout, syncTimeout, nil)
	defer cancel()
	req.HoldMs = uint32(jitter(syncHold).Milliseconds())
	m.saidWatching.Store(req.Watching)
	stop := m.interruptOnRequest(cancel)
	sent := time.Now()
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
		m.sentVersion = entryVersion{e.Incarnation, e.Sequence, e.State}
		if previous.GetHost() != r.Host {
			m.notifyPreviousRelay(previous, req)
		}
	}
	if resp.BecomeRelay {
		n.relay.start()
	}
	if !resp.RelaysUnchanged && len(resp.Relays) > 0 {
		m.relays = resp.Relays
	}
	return m.applyResponse(req.Services, sent, resp), nil
}

// notifyPreviousRelay tells the previous relay that this node reports to another relay
// now. The previous relay would otherwise learn this from the new relay within seconds,
// but until then it would suspect that the node has failed because its heartbeats
// stopped.
func (m *member) notifyPreviousRelay(previous *apiv1.RelayInfo, req *apiv1.NodeSyncRequest) {
	if previous == nil {
		return
	}
	notice := moveNotice(req)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		defer cancel()
		// The error is ignored: a relay that does not respond need not be notified.
		_, _ = m.n.peers.at(previous.PeerAddress).Sync(ctx, connect.NewRequest(notice))
	}()
}

// moveNotice returns the notice for the previous relay of a node that has sent req to another one.
// It names what the node has, so that the response, which is not used, is short.
func moveNotice(req *apiv1.NodeSyncRequest) *apiv1.NodeSyncRequest {
	return &apiv1.NodeSyncRequest{Report: req.Report, Entry: req.Entry, Revision: req.Revision, RelaysDigest: req.RelaysDigest, Watching: true}
}

func (m *member) buildRequest(r *apiv1.RelayInfo) *apiv1.NodeSyncRequest {
	n := m.n
	n.mu.Lock()
	defer n.mu.Unlock()
	services := n.subscribedServices()
	req := &apiv1.NodeSyncRequest{Services: services, Resubscribe: !n.view.Covers(services), Cursor: n.view.Cursor(), Revision: n.records.Revision(), RelaysDigest: replica.RelaysDigest(m.relays),
		Watching: n.watcher.receivesChanges(time.Now())}
	for _, s := range services {
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
	if m.entryChanged() {
		req.Entry = n.entry(r.Host)
		req.Report.Sequence = n.sequence
	}
	return req
}

// entryChanged reports whether the relay does not have this node's latest entry. If the
// state has changed, it increases the sequence number, so that the new entry supersedes
// the previous one.
func (m *member) entryChanged() bool {
	n := m.n
	now := n.entryVersion()
	if now == m.sentVersion {
		return false
	}
	if m.sentVersion.sequence == n.sequence && m.sentVersion.state != now.state {
		n.sequence++
	}
	return true
}

// applyResponse applies a relay's response to a heartbeat that was sent at the given time and
// requested the given services, and reports whether another heartbeat is due immediately.
func (m *member) applyResponse(services []string, sent time.Time, resp *apiv1.NodeSyncResponse) (again bool) {
	n := m.n
	n.mu.Lock()
	again = m.refuteOutdated(resp)
	changed := n.view.Apply(n.relay.now(), services, resp.Entries, resp.Cursor, resp.Complete)
	if changed {
		n.counters.viewChanged.Set(time.Now().UnixMilli())
	}
	before := n.records.Revision()
	if n.records.Apply(resp.Delta) {
		changed = true
	}
	if n.records.Revision() >= resp.Revision {
		n.configurationConfirmed(sent, resp.HeldMs, time.Duration(min(resp.ConfirmedAgeMs, maxConfirmedAgeMs))*time.Millisecond)
	}
	logInForce := n.publishRevision(before, resp.ConfirmedAgeMs < uint64(staleConfirmation.Milliseconds()), "relay "+m.currentRelay.GetHost())
	// A service that was requested in the meantime is fetched immediately. A service
	// for which the relay has no answer yet is requested again with the next heartbeat.
	again = again || resp.Cursor != nil && !n.view.Covers(n.subscribedServices())
	if changed {
		n.signalChange()
	}
	n.mu.Unlock()
	if changed {
		n.apply()
	}
	logInForce()
	return again
}

// refuteOutdated makes this node's entry newer than the one that the relay holds, if
// the relay's entry is wrong: a relay has marked the node as failed, or an earlier
// process of the node used a higher incarnation because its clock was ahead. It reports
// whether the entry has to be sent again.
func (m *member) refuteOutdated(resp *apiv1.NodeSyncResponse) bool {
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
	m.sentVersion = entryVersion{}
	return true
}
