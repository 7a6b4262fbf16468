package consensus

import (
	apiv1 "cactuspath/api/cactuspath/v1"
)

func (r *Raft) tickLeader() {
	r.heartbeatElapsed++
	for _, p := range r.progress {
		p.ticksSinceReply++
		r.expireSnapshot(p)
	}
	r.observeOwnCommit()
	if r.electionElapsed >= r.electionTicks {
		r.electionElapsed = 0
		r.transferee = 0
		if !r.quorumActive() {
			// A partitioned leader would otherwise remain leader for as long as the
			// partition lasts, and operator requests to it would hang.
			r.becomeFollower(r.term, 0)
			return
		}
	}
	if r.heartbeatElapsed >= r.heartbeatTicks {
		r.heartbeatElapsed = 0
		r.broadcastHeartbeat()
	}
}

func (r *Raft) quorumActive() bool {
	return r.quorum(func(id uint64) bool { return id == r.id || r.progress[id] != nil && r.progress[id].active }, true)
}

// quorum reports whether a majority of voters satisfies predicate. If clear is set, it
// also clears the active flag of all members, which is then set again by their next reply.
func (r *Raft) quorum(predicate func(uint64) bool, clear bool) bool {
	voters, satisfied := 0, 0
	for _, m := range r.membership.Members {
		if !m.Learner {
			voters++
			if predicate(m.Id) {
				satisfied++
			}
		}
		if p := r.progress[m.Id]; clear && p != nil {
			p.active = false
		}
	}
	return satisfied > voters/2
}

func (r *Raft) isVoter(id uint64) bool {
	m := FindMember(r.membership, id)
	return m != nil && !m.Learner
}

func (r *Raft) resetTimeout() {
	r.electionElapsed = 0
	r.electionTimeout = r.electionTicks + r.random.IntN(r.electionTicks)
	if r.leader == 0 && r.role != Leader {
		// No leader is known, as after a split vote or a restart of all replicas, so there
		// is no reason to wait for a full election timeout. The random part of the timeout
		// is enough to keep candidates from campaigning at the same time.
		r.electionTimeout = minLeaderlessElectionTicks + r.random.IntN(r.electionTicks)
	}
}

// minLeaderlessElectionTicks is the minimum election timeout, in ticks, when no
// leader is known. It is longer than a round of votes takes.
const minLeaderlessElectionTicks = 3

func (r *Raft) becomeFollower(term, leader uint64) {
	if r.role == Leader {
		r.ticksSinceLeader = r.Status().ticksSinceContact()
	}
	if term > r.term {
		r.term, r.vote = term, 0
	}
	r.role, r.leader = Follower, leader
	r.progress, r.votes, r.transferee = nil, nil, 0
	r.failReads()
	r.resetTimeout()
}

// campaign begins an election. If preVote is set, the replica first asks the others whether
// it could win, without increasing its term, so that a replica that returns from a
// partition does not depose a healthy leader with a higher term. forced is set for a
// leadership transfer.
func (r *Raft) campaign(preVote, forced bool) {
	r.resetTimeout()
	if !r.isVoter(r.id) {
		return
	}
	kind, term := apiv1.MessageKind_MESSAGE_KIND_VOTE, r.term+1
	r.leader = 0
	r.votes = map[uint64]bool{r.id: true}
	if preVote {
		r.role = PreCandidate
		kind = apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE
	} else {
		r.role = Candidate
		r.term, r.vote = term, r.id
	}
	if r.countVotes() {
		return
	}
	hint := uint64(0)
	if forced {
		hint = forcedCampaign
	}
	for _, m := range r.membership.Members {
		if m.Id != r.id && !m.Learner {
			r.send(&apiv1.RaftMessage{Kind: kind, To: m.Id, Term: term, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Hint: hint})
		}
	}
}

// countVotes advances from pre-candidate to candidate, or from candidate to leader, if a
// majority has granted its vote. It reports whether it did.
func (r *Raft) countVotes() bool {
	if !r.quorum(func(id uint64) bool { return r.votes[id] }, false) {
		return false
	}
	if r.role == PreCandidate {
		r.campaign(false, false)
	} else {
		r.becomeLeader()
	}
	return true
}

func (r *Raft) becomeLeader() {
	r.role, r.leader = Leader, r.id
	r.heartbeatElapsed, r.electionElapsed, r.ticksSinceLeader = 0, 0, 0
	r.progress = map[uint64]*progress{}
	r.syncProgress()
	// Entries of earlier terms are committed only together with an entry of this term
	// (section 5.4.2 of the Raft paper). Without this empty entry they would stay
	// uncommitted until the next proposal.
	r.appendEntry(apiv1.EntryKind_ENTRY_KIND_EMPTY, nil)
	r.observeOwnCommit()
	r.broadcastAppend()
}

// StepDown makes the replica a follower. The caller uses it if it cannot write to disk,
// which a leader or candidate must be able to do.
func (r *Raft) StepDown() {
	r.becomeFollower(r.term, 0)
}

// TransferLeader asks a voter with a complete log to take over leadership, for use before a
// planned stop of the leader. It reports whether there is such a voter.
func (r *Raft) TransferLeader() bool {
	if r.role != Leader {
		return false
	}
	best := uint64(0)
	for id, p := range r.progress {
		if id != r.id && r.isVoter(id) && p.active && p.match == r.log.lastIndex() && (best == 0 || id < best) {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	r.transferee = best
	r.electionElapsed = 0
	r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: best, Term: r.term})
	return true
}
