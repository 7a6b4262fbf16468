package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/replica"
)

// What a relay answers nodes and other relays.

var errNotRelay = errors.New("this node is not a relay; ask another relay or the control replicas")

// sync serves a node's heartbeat. The answer is held while there is no news for
// the node, so that it hears of a change as it happens.
func (r *relay) sync(ctx context.Context, req *apiv1.NodeSyncRequest) *apiv1.NodeSyncResponse {
	until := time.Now().Add(min(longestSyncHold, time.Duration(req.HoldMs)*time.Millisecond))
	for {
		resp, news := r.answer(req)
		if worthTelling(req, resp) || !wait(ctx, news, until) {
			return resp
		}
	}
}

// longestSyncHold bounds what a node may ask for.
const longestSyncHold = 5 * time.Second

// askForList has the list of relays fetched at once: one that this relay does not
// know asked for news, and has nodes of its own that only it can tell of. The
// caller holds the lock.
func (r *relay) askForList() {
	select {
	case r.begun <- struct{}{}:
	default:
	}
}

// wait waits for news; false means that the hold is over.
func wait(ctx context.Context, news <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-news:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// worthTelling tells whether an answer holds news for the node.
func worthTelling(req *apiv1.NodeSyncRequest, resp *apiv1.NodeSyncResponse) bool {
	refute := resp.Believed == apiv1.EndpointState_ENDPOINT_STATE_FAILED || resp.BelievedIncarnation > req.Report.Incarnation ||
		resp.BelievedIncarnation == req.Report.Incarnation && resp.BelievedSequence > req.Report.Sequence
	return resp.NotRelay || resp.NeedEntry || resp.BecomeRelay || refute || !resp.RelaysUnchanged || len(resp.Entries) > 0 || resp.Cursor != nil && resp.Complete ||
		resp.Revision > req.Revision || len(req.Added) > 0
}

func (r *relay) answer(req *apiv1.NodeSyncRequest) (resp *apiv1.NodeSyncResponse, news <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return &apiv1.NodeSyncResponse{NotRelay: true}, r.news
	}
	return r.answerLocked(req), r.news
}

func (r *relay) answerLocked(req *apiv1.NodeSyncRequest) *apiv1.NodeSyncResponse {
	now := r.now()
	before := r.state.Table().Version()
	held, needEntry := r.state.Heartbeat(now, req.Report, req.Entry)
	if r.state.Table().Version() != before {
		r.tell()
	}
	resp := &apiv1.NodeSyncResponse{NeedEntry: needEntry, Believed: held.GetState(), BelievedIncarnation: held.GetIncarnation(), BelievedSequence: held.GetSequence(),
		Revision: r.records.Revision(), ConfirmedAgeMs: uint64(time.Since(r.confirmed).Milliseconds())}
	if r.state.Ready(now) {
		resp.Entries, resp.Cursor, resp.Complete = r.state.Entries(req.Cursor, req.Services, req.Resubscribe)
	}
	relays := r.state.Relays()
	resp.BecomeRelay = r.promote(req.Report.Host, relays)
	if replica.RelaysDigest(relays) == req.RelaysDigest {
		resp.RelaysUnchanged = true
	} else {
		resp.Relays = relays
	}
	if r.records.Revision() > 0 {
		resp.Delta = r.records.DeltaFor(req.Revision, req.Services, req.Added, req.Report.Host)
	}
	return resp
}

// promote tells whether a node is to become a relay: the first that reports and
// is none, while the leader asked for more.
func (r *relay) promote(host string, relays []*apiv1.RelayInfo) bool {
	if r.more == 0 {
		return false
	}
	for _, info := range relays {
		if info.Host == host {
			return false
		}
	}
	r.more--
	return true
}

// exchange serves another relay, and holds the answer while there is no news.
func (r *relay) exchange(ctx context.Context, req *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	until := time.Now().Add(min(longestSyncHold, time.Duration(req.HoldMs)*time.Millisecond))
	for {
		r.mu.Lock()
		if r.state == nil {
			r.mu.Unlock()
			return nil, errNotRelay
		}
		if !r.state.Knows(req.FromHost) {
			r.askForList()
		}
		resp, news := r.state.Exchange(r.now(), req), r.news
		r.mu.Unlock()
		caughtUp := len(resp.Entries) == 0 && resp.Cursor.GetEpoch() == req.Cursor.GetEpoch()
		if !caughtUp || !wait(ctx, news, until) {
			return resp, nil
		}
	}
}
