package replica

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/consensus"

	"github.com/cockroachdb/errors"
)

var errOutcomeUnknown = errors.New("the outcome is not known: the answer did not come in time; " +
	"submit the same change id again, or run `cactusctl audit --change ID`")

// propose has the replicas agree on a change and returns its record.
func (r *Replica) propose(ctx context.Context, change *apiv1.Change) (*apiv1.AuditRecord, error) {
	data, err := proto.Marshal(change)
	if err != nil {
		return nil, fault.New(fault.Invalid, err)
	}
	answer := make(chan *apiv1.AuditRecord, 1)
	var proposeErr error
	err = r.inLoop(ctx, func() {
		s := r.raft.Status()
		// Only the leader checks completeness: a follower may not know yet that a
		// membership change is committed. On other replicas, Propose returns ErrNotLeader.
		if s.Role == consensus.Leader && !r.options.Group.complete(s) {
			proposeErr = errGroupForming
			return
		}
		var index, term uint64
		index, term, proposeErr = r.raft.Propose(data)
		if proposeErr == nil {
			r.waiters[index] = waiter{term: term, done: answer}
		}
	})
	if err == nil {
		err = proposeErr
	}
	if err != nil {
		return nil, r.refusal(err)
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

// confirm waits until this replica is known to lead and has applied all that
// was agreed when the call came. A replica that a partition cut off fails
// here, so that it never passes an old revision for the newest.
func (r *Replica) confirm(ctx context.Context) error {
	answer := make(chan consensus.Read, 1)
	var readErr error
	err := r.inLoop(ctx, func() {
		r.nextRead++
		if readErr = r.raft.Read(r.nextRead); readErr == nil {
			r.reads[r.nextRead] = answer
		}
	})
	if err == nil {
		err = readErr
	}
	if err != nil {
		return r.refusal(err)
	}
	select {
	case read := <-answer:
		if read.Failed {
			return fault.NotLeaderAt(r.leaderAddress())
		}
		return r.waitApplied(ctx, read.Index)
	case <-ctx.Done():
		return fault.New(fault.Unavailable, errors.New("the leader could not confirm that it still leads; ask again"))
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

// refusal turns an error of the core into its wire form.
func (r *Replica) refusal(err error) error {
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
