package replica

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/consensus"

	"github.com/cockroachdb/errors"
)

var errOutcomeUnknown = errors.New("the outcome is unknown: there was no answer in time; " +
	"submit the same change id again, or run `cactusctl audit --change ID`")

// propose commits a change and returns its audit record.
func (r *Replica) propose(ctx context.Context, change *apiv1.Change) (*apiv1.AuditRecord, error) {
	data, err := proto.Marshal(change)
	if err != nil {
		return nil, fault.New(fault.Invalid, err)
	}
	answer := make(chan *apiv1.AuditRecord, 1)
	var proposeErr error
	err = r.runInLoop(ctx, func() {
		s := r.raft.Status()
		// Only the leader checks whether the group is complete, because a follower may not know yet
		// that a membership change is committed. On other replicas, Propose returns ErrNotLeader.
		if s.Role == consensus.Leader && !r.options.Group.complete(s) {
			proposeErr = errGroupIncomplete
			return
		}
		var index, term uint64
		index, term, proposeErr = r.raft.Propose(data)
		if proposeErr == nil {
			r.proposals.add(index, pendingProposal{term: term, done: answer})
		}
	})
	if err == nil {
		err = proposeErr
	}
	if err != nil {
		return nil, r.toFault(err)
	}
	select {
	case record := <-answer:
		if record == nil {
			return nil, fault.NotLeaderAt(r.leaderAddress())
		}
		return record, nil
	case <-ctx.Done():
		return nil, fault.New(fault.Unknown, errOutcomeUnknown)
	case <-r.done:
		return nil, fault.New(fault.Unknown, errOutcomeUnknown)
	}
}

// readBarrier waits until a majority confirms that this replica is the leader and until it has
// applied all entries that were committed before the call. It fails on a replica that a network
// partition separates from the majority, so that such a replica never returns an old revision as
// the newest.
func (r *Replica) readBarrier(ctx context.Context) error {
	answer := make(chan consensus.Read, 1)
	var readErr error
	err := r.runInLoop(ctx, func() {
		r.lastReadID++
		if readErr = r.raft.Read(r.lastReadID); readErr == nil {
			r.reads[r.lastReadID] = answer
		}
	})
	if err == nil {
		err = readErr
	}
	if err != nil {
		return r.toFault(err)
	}
	select {
	case read := <-answer:
		if read.Failed {
			return fault.NotLeaderAt(r.leaderAddress())
		}
		return r.waitApplied(ctx, read.Index)
	case <-ctx.Done():
		return fault.New(fault.Unavailable, errors.New("the leader could not confirm that it still leads; retry"))
	case <-r.done:
		return fault.New(fault.Unavailable, errStopped)
	}
}

func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for {
		r.mu.RLock()
		applied, signal := r.applied, r.appliedSignal
		r.mu.RUnlock()
		if applied >= index {
			return nil
		}
		select {
		case <-signal:
		case <-ctx.Done():
			return fault.New(fault.Unavailable, ctx.Err())
		case <-r.done:
			return fault.New(fault.Unavailable, errStopped)
		}
	}
}

// toFault converts an error of the consensus core to an error for the client.
func (r *Replica) toFault(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return fault.NotLeaderAt(r.leaderAddress())
	case errors.Is(err, consensus.ErrChangePending):
		return fault.New(fault.ChangePending, err)
	case errors.Is(err, consensus.ErrNotCaughtUp):
		return fault.New(fault.NotCaughtUp, err)
	case errors.Is(err, consensus.ErrUnknownMember), errors.Is(err, consensus.ErrLastVoter), errors.Is(err, consensus.ErrAlreadyMember):
		return fault.New(fault.Invalid, err)
	}
	return fault.New(fault.Unavailable, err)
}

func (r *Replica) leaderAddress() string {
	s := r.status.Load()
	if m := consensus.FindMember(s.Membership, s.Leader); m != nil && s.Leader != s.ID {
		return m.Address
	}
	return ""
}
