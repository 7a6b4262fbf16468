package replica

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
)

const (
	// maxWatchers limits the nodes that watch one replica. 512 watchers cost it one per cent of a
	// core. In larger fleets, nodes receive changes from their relays.
	maxWatchers = 512
	maxHold     = 5 * time.Second
	// A replica that may have lacked changes for detachedTimeout, which is a few missed heartbeats,
	// tells its watchers to use another one.
	detachedTimeout = 600 * time.Millisecond
	// detachedCheckInterval is the interval at which a call to Watch that waits for a change checks
	// whether the replica has lost contact with the leader.
	detachedCheckInterval = 250 * time.Millisecond
)

// watchers counts the calls to Watch that are in progress.
type watchers struct{ active atomic.Int64 }

// Watch returns the changes after the revision of the calling node. If there are none, it holds the
// response until this replica has applied a newer revision, the requested hold time ends or the
// replica loses contact with the leader. It returns only committed revisions, which a later leader
// cannot revert. A node that wants a profile gets it at once if it is complete.
func (c controlService) Watch(ctx context.Context, req *connect.Request[apiv1.WatchRequest]) (*connect.Response[apiv1.WatchResponse], error) {
	r, arrived := c.r, time.Now()
	resp := &apiv1.WatchResponse{}
	r.presence.put(req.Msg.Entry)
	r.profiles.observe(req.Msg)
	resp.Profile = r.profiles.profileFor(req.Msg)
	switch {
	case r.watchers.active.Add(1) > maxWatchers:
		resp.Full = true
	case resp.Profile.GetContentionPercent() > 0:
		// The gate of the node has no profile. Requests may reach it before the hold ends.
		// The node asks no more once it has a contention factor, so that this does not repeat.
	default:
		r.waitForNews(ctx, req.Msg)
	}
	r.watchers.active.Add(-1)
	r.counters.watches.Add(1)
	resp.Detached = r.detached()
	resp.HeldMs, resp.ConfirmedAgeMs = uint32(time.Since(arrived).Milliseconds()), uint32(min(r.confirmedAge().Milliseconds(), math.MaxUint32))
	resp.Replicas = memberAddresses(r.Status().Membership)
	r.mu.RLock()
	if r.state.Revision() > req.Msg.Revision {
		resp.Delta = r.state.Records().Delta(req.Msg.Revision)
	}
	r.mu.RUnlock()
	if req.Msg.WantEntries {
		resp.Entries, resp.Heard = r.presence.changedSince(req.Msg.Heard)
	}
	return connect.NewResponse(resp), nil
}

// waitForNews waits for a newer revision or, if the node wants them, for entries.
func (r *Replica) waitForNews(ctx context.Context, req *apiv1.WatchRequest) {
	if !req.WantEntries || req.EntriesHoldMs == 0 {
		r.waitForRevision(ctx, req)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(req.EntriesHoldMs)*time.Millisecond, maxHold))
	defer cancel()
	go func() {
		defer cancel()
		r.presence.awaitChange(ctx, req.Heard)
	}()
	r.waitForRevision(ctx, &apiv1.WatchRequest{Revision: req.Revision, HoldMs: req.EntriesHoldMs})
}

// waitForRevision waits for a newer revision, the end of the hold time or the loss of the leader.
func (r *Replica) waitForRevision(ctx context.Context, req *apiv1.WatchRequest) {
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(req.HoldMs)*time.Millisecond, maxHold))
	defer cancel()
	check := time.NewTicker(detachedCheckInterval)
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

// detached reports whether this replica may lack changes that were acknowledged a while ago: it is
// not in contact with a leader or a majority, it has not received or applied what is committed, or
// its run loop is blocked, as by a disk that does not respond. The status is then that of before.
func (r *Replica) detached() bool {
	return r.status.Load().Leader == 0 || r.confirmedAge() > detachedTimeout
}

// confirmedAge returns for how long the applied configuration may have lacked changes.
func (r *Replica) confirmedAge() time.Duration {
	s := r.status.Load()
	return time.Since(s.at) + time.Duration(s.TicksSinceConfirmed())*r.options.Tick
}

func memberAddresses(m *apiv1.Membership) []string {
	var list []string
	for _, member := range m.GetMembers() {
		list = append(list, member.Address)
	}
	return list
}
