package replica

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/consensus"
)

const (
	// maxWatchers bounds the nodes that watch one replica: 512 of them cost it a
	// per cent of a core. Fleets beyond that hear of changes from their relays.
	maxWatchers = 512
	longestHold = 5 * time.Second
	// detachedAfter is when a follower that hears no leader sends its watchers
	// elsewhere: a few missed heartbeats.
	detachedAfter = 600 * time.Millisecond
	// attachedCheck is how often a held watch looks whether the leader is heard.
	attachedCheck = 250 * time.Millisecond
)

// watchers counts the watches that are held.
type watchers struct{ held atomic.Int64 }

// Watch holds the request until a revision above the watcher's is applied here.
// Only agreed revisions are told, so that no watcher learns of one that a later
// leader could take back.
func (c control) Watch(ctx context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	r := c.r
	resp := &apiv1.WatchResponse{}
	r.presence.put(req.Msg.Entry)
	if r.watchers.held.Add(1) > maxWatchers {
		resp.Full = true
	} else {
		r.hold(ctx, req.Msg)
	}
	r.watchers.held.Add(-1)
	r.counters.watches.Add(1)
	resp.Detached = r.detached()
	resp.Replicas = memberAddresses(r.Status().Membership)
	r.mu.RLock()
	if r.state.Revision() > req.Msg.Revision {
		resp.Delta = r.state.Records().Delta(req.Msg.Revision)
	}
	r.mu.RUnlock()
	if req.Msg.WantEntries {
		resp.Entries, resp.Heard = r.presence.since(req.Msg.Heard)
	}
	return connect.NewResponse(resp), nil
}

// hold waits for a newer revision, the end of the hold, or the loss of the leader.
func (r *Replica) hold(ctx context.Context, req *apiv1.WatchRequest) {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(req.HoldMs)*time.Millisecond, longestHold))
	defer cancel()
	check := time.NewTicker(attachedCheck)
	defer check.Stop()
	for !r.detached() {
		r.mu.RLock()
		revision, signal := r.state.Revision(), r.appliedSignal
		r.mu.RUnlock()
		if revision > req.Revision {
			return
		}
		select {
		case <-signal:
		case <-check.C:
		case <-r.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// detached tells whether this replica hears no leader and is none.
func (r *Replica) detached() bool {
	s := r.Status()
	if s.Role == consensus.Leader {
		return false
	}
	return s.Leader == 0 || time.Duration(s.LeaderSilent)*r.options.Tick > detachedAfter
}

func memberAddresses(m *apiv1.Membership) []string {
	var list []string
	for _, member := range m.GetMembers() {
		list = append(list, member.Address)
	}
	return list
}
