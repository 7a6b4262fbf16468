package consensus

import (
	apiv1 "cactuspath/api/cactuspath/v1"
)

func (r *Raft) tickLeader() {
	r.heartbeatElapsed++
	for _, p := range r.progress {
		p.silent++
		r.tickSnapshot(p)
	}
	if r.electionElapsed >= r.electionTicks {
		r.electionElapsed = 0
		r.transferee = 0
		if !r.quorumActive() {
			// A leader that a partition cut off would otherwise believe itself
			// healthy for as long as the cut lasts, and operators would wait on it.
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

// quorum tells whether a majority of voters satisfies test; clear also resets
// their activity for the next check.
func (r *Raft) quorum(test func(uint64) bool, clear bool) bool {
	voters, yes := 0, 0
	for _, m := range r.membership.Members {
		if !m.Learner {
			voters++
			if test(m.Id) {
				yes++
			}
		}
		if p := r.progress[m.Id]; clear && p != nil {
			p.active = false
		}
	}
	return yes > voters/2
}

func (r *Raft) voter(id uint64) bool {
	m := FindMember(r.membership, id)
	return m != nil && !m.Learner
}

func (r *Raft) resetTimeout() {
	r.electionElapsed = 0
	r.timeout = r.electionTicks + r.random.IntN(r.electionTicks)
	if r.leader == 0 && r.role != Leader {
		// No leader is waited for: the vote was split, or all restarted. The draw
		// alone keeps the next candidates apart.
		r.timeout = leaderlessTicks + r.random.IntN(r.electionTicks)
	}
}

// leaderlessTicks is the shortest election timeout where no leader is known:
// longer than a round of votes takes.
const leaderlessTicks = 3

func (r *Raft) becomeFollower(term, leader uint64) {
	if term > r.term {
		r.term, r.vote = term, 0
	}
	r.role, r.leader = Follower, leader
	r.progress, r.votes, r.transferee = nil, nil, 0
	r.failReads()
	r.resetTimeout()
}

// campaign starts an election; with pre it first asks whether it could win, so
// that a replica coming back from a cut does not depose a healthy leader by
// its higher term.
func (r *Raft) campaign(pre, forced bool) {
	r.resetTimeout()
	if !r.voter(r.id) {
		return
	}
	kind, term := apiv1.MessageKind_MESSAGE_KIND_VOTE, r.term+1
	r.leader = 0
	r.votes = map[uint64]bool{r.id: true}
	if pre {
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

// countVotes moves on when a majority granted; it reports whether it did.
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
	r.heartbeatElapsed, r.electionElapsed = 0, 0
	r.progress = map[uint64]*progress{}
	r.syncProgress()
	// Entries of earlier terms commit only behind one of this term (section
	// 5.4.2); without this entry they could wait for the next proposal.
	r.appendEntry(apiv1.EntryKind_ENTRY_KIND_EMPTY, nil)
	r.broadcastAppend()
}

// StepDown gives up leading or standing for election, for a replica that cannot
// save what it would promise.
func (r *Raft) StepDown() {
	r.becomeFollower(r.term, 0)
}

// TransferLeader asks the most advanced voter to take over, for a planned stop.
func (r *Raft) TransferLeader() bool {
	if r.role != Leader {
		return false
	}
	best := uint64(0)
	for id, p := range r.progress {
		if id != r.id && r.voter(id) && p.active && p.match == r.log.lastIndex() && (best == 0 || id < best) {
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
