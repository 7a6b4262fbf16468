package consensus

import (
	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Members are added and removed one at a time, and a change takes effect as soon as it is
// in the log, committed or not (section 4.1 of the Raft thesis). If two changes were in
// progress at once, the old and the new membership could have majorities that do not
// overlap, so that two leaders could be elected in one term.

// AddLearner proposes a new member that receives the log but does not vote.
func (r *Raft) AddLearner(id uint64, name, address string) (index, term uint64, err error) {
	if FindMember(r.membership, id) != nil {
		return 0, 0, ErrAlreadyMember
	}
	next := cloneMembership(r.membership)
	next.Members = append(next.Members, &apiv1.Member{Id: id, Name: name, Address: address, Learner: true})
	return r.proposeMembership(next)
}

// Promote proposes to turn a learner into a voter. A learner that lags far
// behind is rejected: it would count towards the quorum without being able to
// commit entries, so that one more failure would block all changes.
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
	if p == nil || !p.active || p.match+MaxPromotionLag < r.log.lastIndex() || p.match == 0 {
		return 0, 0, ErrNotCaughtUp
	}
	member.Learner = false
	return r.proposeMembership(next)
}

// Remove proposes to remove a member.
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
		// A membership change by an earlier leader may still be uncommitted on
		// another replica; a second change before the first commit of this term
		// could produce two disjoint quorums.
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

// loadMembership loads the latest membership from the log, or else from the
// snapshot.
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
	return r.baseMembership, 0
}

// stepDownIfRemoved makes a leader that is no longer a voter step down once the
// remaining members have committed its removal.
func (r *Raft) stepDownIfRemoved() {
	if r.role == Leader && r.configIndex <= r.log.committed && !r.isVoter(r.id) {
		r.becomeFollower(r.term, 0)
	}
}
