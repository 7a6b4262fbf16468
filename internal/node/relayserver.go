package node

import (
	"context"
	"expvar"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/replica"
)

// The responses of a relay to nodes and other relays.

var errNotRelay = errors.New("this node is not a relay; ask another relay or the control replicas")

// sync handles a node's heartbeat. It holds the response until there are updates for
// the node or the requested hold ends, so that the node receives a change without
// delay.
func (r *relay) sync(ctx context.Context, req *apiv1.NodeSyncRequest) *apiv1.NodeSyncResponse {
	arrived := time.Now()
	deadline := arrived.Add(min(maxSyncHold, time.Duration(req.HoldMs)*time.Millisecond))
	for {
		resp, changed := r.respond(req)
		resp.HeldMs = uint32(time.Since(arrived).Milliseconds())
		if hasUpdates(req, resp) || !r.waitForChange(ctx, changed, deadline) {
			countSent(&r.n.counters.relayBytes, "configuration", resp.Delta)
			countSent(&r.n.counters.relayBytes, "entries", resp.Entries...)
			return resp
		}
	}
}

// countSent counts the bytes of what this relay sends to nodes and other relays, by content.
func countSent[M proto.Message](counter *expvar.Map, content string, messages ...M) {
	size := 0
	for _, m := range messages {
		size += proto.Size(m)
	}
	counter.Add(content, int64(size))
}

// maxSyncHold is the longest time for which a node may ask the relay to hold a
// response.
const maxSyncHold = 5 * time.Second

// refreshRelayList triggers an immediate fetch of the list of relays. It is called when
// an unknown relay asks for updates: this relay has to pull from the unknown one, which
// alone knows the state of the nodes that report to it. The caller holds the lock.
func (r *relay) refreshRelayList() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// waitForChange waits until changed is closed. It returns false if the deadline passes, ctx ends or
// held responses are released first.
func (r *relay) waitForChange(ctx context.Context, changed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-r.released:
	case <-ctx.Done():
	}
	return false
}

// hasUpdates reports whether a response contains something that the node does not have
// yet, so that it must not be held.
func hasUpdates(req *apiv1.NodeSyncRequest, resp *apiv1.NodeSyncResponse) bool {
	refute := resp.Believed == apiv1.EndpointState_ENDPOINT_STATE_FAILED || resp.BelievedIncarnation > req.Report.Incarnation ||
		resp.BelievedIncarnation == req.Report.Incarnation && resp.BelievedSequence > req.Report.Sequence
	return resp.NotRelay || resp.NeedEntry || resp.BecomeRelay || refute || !resp.RelaysUnchanged || len(resp.Entries) > 0 || resp.Cursor != nil && resp.Complete ||
		wantsConfiguration(req) && resp.Revision > req.Revision || len(req.Added) > 0
}

// wantsConfiguration reports whether the relay is to send a node the records that it lacks. One
// that receives them from control replicas would have each change twice, and the relay, which
// sends it to all of its nodes at once, could use its link for nothing else in the meantime.
func wantsConfiguration(req *apiv1.NodeSyncRequest) bool {
	return !req.Watching || len(req.Added) > 0
}

func (r *relay) respond(req *apiv1.NodeSyncRequest) (resp *apiv1.NodeSyncResponse, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return &apiv1.NodeSyncResponse{NotRelay: true}, r.changed
	}
	return r.respondLocked(req), r.changed
}

func (r *relay) respondLocked(req *apiv1.NodeSyncRequest) *apiv1.NodeSyncResponse {
	now := r.now()
	before := r.state.Table().Version()
	known, needEntry := r.state.Heartbeat(now, req.Report, req.Entry)
	if r.state.Table().Version() != before {
		r.signalChange()
	}
	resp := &apiv1.NodeSyncResponse{NeedEntry: needEntry, Believed: known.GetState(), BelievedIncarnation: known.GetIncarnation(), BelievedSequence: known.GetSequence(),
		Revision: r.records.Revision(), ConfirmedAgeMs: uint64(time.Since(r.confirmed).Milliseconds())}
	if r.state.Ready(now) {
		resp.Entries, resp.Cursor, resp.Complete = r.state.Entries(now, req.Cursor, req.Services, req.Resubscribe)
	}
	relays := r.state.Relays()
	resp.BecomeRelay = r.shouldPromote(req.Report.Host, relays)
	if replica.RelaysDigest(relays) == req.RelaysDigest {
		resp.RelaysUnchanged = true
	} else {
		resp.Relays = relays
	}
	if r.records.Revision() > 0 && wantsConfiguration(req) {
		resp.Delta = r.records.DeltaFor(req.Revision, req.Services, req.Added, req.Report.Host)
	}
	return resp
}

// shouldPromote reports whether a node that has just sent a heartbeat is to become a
// relay: it is not one yet, and the leader has requested more relays. It decrements
// relaysWanted if so.
func (r *relay) shouldPromote(host string, relays []*apiv1.RelayInfo) bool {
	if r.relaysWanted == 0 {
		return false
	}
	for _, info := range relays {
		if info.Host == host {
			return false
		}
	}
	r.relaysWanted--
	return true
}

// exchange handles a pull of another relay. It holds the response until there are
// updates or the requested hold ends.
func (r *relay) exchange(ctx context.Context, req *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	deadline := time.Now().Add(min(maxSyncHold, time.Duration(req.HoldMs)*time.Millisecond))
	for {
		r.mu.Lock()
		if r.state == nil {
			r.mu.Unlock()
			return nil, errNotRelay
		}
		if !r.state.HasRelay(req.FromHost) {
			r.refreshRelayList()
		}
		resp, changed := r.state.Exchange(r.now(), req), r.changed
		r.mu.Unlock()
		caughtUp := len(resp.Entries) == 0 && resp.Cursor.GetEpoch() == req.Cursor.GetEpoch()
		if !caughtUp || !r.waitForChange(ctx, changed, deadline) {
			countSent(&r.n.counters.relayBytes, "exchange", resp)
			return resp, nil
		}
	}
}
