package consensus

import (
	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Members change one at a time, and a change counts from the moment it stands
// in the log, committed or not (section 4.1 of the thesis). Two changes at once
// could have majorities that do not overlap.

// AddLearner proposes a member that receives the log but does not vote.
func (r *Raft) AddLearner(id uint64, name, address string) (index, term uint64, err error) {
	if FindMember(r.membership, id) != nil {
		return 0, 0, ErrAlreadyMember
	}
	next := cloneMembership(r.membership)
	next.Members = append(next.Members, &apiv1.Member{Id: id, Name: name, Address: address, Learner: true})
	return r.proposeMembership(next)
}

// Promote proposes that a learner becomes a voter. A learner that lacks much
// of the log is refused: it would count in the quorum and could not help to
// commit, so that one more loss would stop all changes.
func (r *Raft) Promote(id uint64) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	next := cloneMembership(r.membership)
	member := FindMember(next, id)
	if member == nil {
		return 0, 0, ErrUnknownMember
	}
	p := r.progress[id]
	if p == nil || !p.active || p.match+CatchUpSlack < r.log.lastIndex() || p.match == 0 {
		return 0, 0, ErrNotCaughtUp
	}
	member.Learner = false
	return r.proposeMembership(next)
}

// Remove proposes that a member leaves.
func (r *Raft) Remove(id uint64) (index, term uint64, err error) {
	if FindMember(r.membership, id) == nil {
		return 0, 0, ErrUnknownMember
	}
	next := &apiv1.Membership{}
	voters := 0
	for _, m := range cloneMembership(r.membership).Members {
		if m.Id == id {
			continue
		}
		if !m.Learner {
			voters++
		}
		next.Members = append(next.Members, m)
	}
	if voters == 0 {
		return 0, 0, ErrLastVoter
	}
	return r.proposeMembership(next)
}

func (r *Raft) proposeMembership(next *apiv1.Membership) (index, term uint64, err error) {
	if r.role != Leader || r.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	if r.configIndex > r.log.committed {
		return 0, 0, ErrChangePending
	}
	if committedTerm, _ := r.log.term(r.log.committed); committedTerm != r.term {
		// A change left by an earlier leader may still be uncommitted elsewhere;
		// changing members before this term's first commit can split the quorum.
		return 0, 0, ErrNotReady
	}
	data, err := proto.Marshal(cloneMembership(next))
	if err != nil {
		return 0, 0, err
	}
	e := r.appendEntry(apiv1.EntryKind_ENTRY_KIND_CONFIG, data)
	r.loadMembership()
	r.broadcastAppend()
	return e.Index, e.Term, nil
}

// loadMembership takes the newest membership in the log, or the snapshot's.
func (r *Raft) loadMembership() {
	r.membership, r.configIndex = r.findMembership(r.log.lastIndex())
	if r.role == Leader {
		r.syncProgress()
	}
}

func (r *Raft) membershipAt(index uint64) *apiv1.Membership {
	m, _ := r.findMembership(index)
	return cloneMembership(m)
}

func (r *Raft) findMembership(upTo uint64) (*apiv1.Membership, uint64) {
	for i := upTo; i > r.log.snapIndex; i-- {
		e := r.log.entries[i-r.log.snapIndex-1]
		if e.Kind != apiv1.EntryKind_ENTRY_KIND_CONFIG {
			continue
		}
		m := &apiv1.Membership{}
		if err := proto.Unmarshal(e.Data, m); err == nil {
			return m, i
		}
	}
	return r.base, 0
}

// afterCommit lets a leader that was removed step down, once the members that
// remain have agreed on it.
func (r *Raft) afterCommit() {
	if r.role == Leader && r.configIndex <= r.log.committed && !r.voter(r.id) {
		r.becomeFollower(r.term, 0)
	}
}
