package consensus

import (
	apiv1 "cactuspath/api/cactuspath/v1"
)

// Step processes a message from another replica.
func (r *Raft) Step(m *apiv1.RaftMessage) {
	if m.To != r.id {
		// The message is for the replica that this one replaced after losing its
		// disk. Answering could cast a second vote under the old ID.
		return
	}
	switch {
	case m.Term > r.term:
		if !r.handleNewerTerm(m) {
			return
		}
	case m.Term < r.term:
		r.replyToStaleTerm(m)
		return
	}
	r.dispatch(m)
}

// handleNewerTerm processes the term of a message with a newer term than this replica's,
// which usually adopts it. It reports whether to process the message further.
func (r *Raft) handleNewerTerm(m *apiv1.RaftMessage) bool {
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, apiv1.MessageKind_MESSAGE_KIND_VOTE:
		// While this replica still receives messages from the leader, a vote request with a
		// newer term comes from a replica that was partitioned or removed. Adopting its term
		// would depose a healthy leader.
		if m.Hint != forcedCampaign && r.leader != 0 && r.ticksSinceLeader < r.electionTicks {
			return false
		}
		if m.Kind == apiv1.MessageKind_MESSAGE_KIND_VOTE {
			r.becomeFollower(m.Term, 0)
		}
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if m.Reject {
			r.becomeFollower(m.Term, 0)
		}
	case apiv1.MessageKind_MESSAGE_KIND_APPEND, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, 0)
	}
	return true
}

// replyToStaleTerm replies to a message with an older term with this replica's current
// term, so that a leader that was partitioned learns that it has been replaced.
func (r *Raft) replyToStaleTerm(m *apiv1.RaftMessage) {
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true, Hint: r.log.committed})
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

func (r *Raft) dispatch(m *apiv1.RaftMessage) {
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, apiv1.MessageKind_MESSAGE_KIND_VOTE:
		r.handleVoteRequest(m)
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		r.handleVoteReply(m, PreCandidate)
	case apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		r.handleVoteReply(m, Candidate)
	case apiv1.MessageKind_MESSAGE_KIND_APPEND:
		r.recordLeaderContact(m)
		r.handleAppend(m)
		r.observeLeaderCommit(m.CommitBound)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT:
		r.recordLeaderContact(m)
		r.log.committed = max(r.log.committed, min(m.Commit, r.log.lastIndex()))
		r.observeLeaderCommit(m.CommitBound)
		r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, Round: m.Round})
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		r.recordLeaderContact(m)
		r.handleSnapshot(m)
		r.observeLeaderCommit(m.CommitBound)
	case apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		r.handleAppendReply(m)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		r.handleHeartbeatReply(m)
	case apiv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if r.role != Leader {
			r.campaign(false, true)
		}
	}
}

func (r *Raft) recordLeaderContact(m *apiv1.RaftMessage) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.electionElapsed, r.ticksSinceLeader = 0, 0
}

func (r *Raft) handleVoteRequest(m *apiv1.RaftMessage) {
	reply := &apiv1.RaftMessage{To: m.From, Term: m.Term, Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY}
	upToDate := r.log.upToDate(m.Index, m.LogTerm)
	if m.Kind == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE {
		if !upToDate || m.Term <= r.term {
			reply.Reject, reply.Term = true, r.term
		}
		r.send(reply)
		return
	}
	reply.Kind = apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY
	canVote := r.vote == 0 && r.leader == 0
	if (canVote || r.vote == m.From) && upToDate {
		r.vote = m.From
		r.electionElapsed = 0
	} else {
		reply.Reject = true
	}
	r.send(reply)
}

func (r *Raft) handleVoteReply(m *apiv1.RaftMessage, role Role) {
	if r.role != role || !r.isVoter(m.From) {
		return
	}
	r.votes[m.From] = !m.Reject
	if r.countVotes() {
		return
	}
	if r.quorum(func(id uint64) bool { granted, seen := r.votes[id]; return seen && !granted }, false) {
		r.becomeFollower(r.term, 0)
	}
}

func (r *Raft) handleAppend(m *apiv1.RaftMessage) {
	reply := &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From}
	if m.Index < r.log.committed {
		reply.Index = r.log.committed
		r.send(reply)
		return
	}
	if term, ok := r.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject, reply.Index = true, m.Index
		reply.Hint = r.log.conflictHint(m.Index, m.LogTerm)
		r.send(reply)
		return
	}
	r.appendMissing(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	r.log.committed = max(r.log.committed, min(m.Commit, last))
	reply.Index = last
	r.send(reply)
}

// appendMissing appends new entries and truncates conflicting ones. Entries
// already in the log are kept: a delayed message must not truncate a longer log
// that has been acknowledged since.
func (r *Raft) appendMissing(entries []*apiv1.LogEntry) {
	for i, e := range entries {
		if term, ok := r.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= r.log.lastIndex() {
			r.log.truncate(e.Index - 1)
			r.loadMembership()
		}
		r.log.append(entries[i:]...)
		r.loadMembership()
		return
	}
}

func (r *Raft) handleSnapshot(m *apiv1.RaftMessage) {
	s := m.Snapshot
	reply := &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Index: r.log.committed}
	if s == nil || s.Index <= r.log.committed {
		r.send(reply)
		return
	}
	if term, ok := r.log.term(s.Index); ok && term == s.Term {
		// The log already contains everything in the snapshot. Replacing the log by a
		// delayed or duplicated snapshot would discard entries that this replica has
		// acknowledged, so that a committed entry could be left on less than a majority.
		r.log.committed = s.Index
		reply.Index = s.Index
		r.send(reply)
		return
	}
	r.log.reset(s.Index, s.Term)
	r.snapshot, r.restoreSnapshot = s, s
	r.baseMembership = cloneMembership(s.Membership)
	r.loadMembership()
	reply.Index = s.Index
	r.send(reply)
}

func (r *Raft) handleAppendReply(m *apiv1.RaftMessage) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active, p.ticksSinceReply = true, 0
	if m.Reject {
		if m.Index != 0 && (p.probing && m.Index == p.next-1 || !p.probing && m.Index > p.match) {
			p.next = max(p.match+1, min(m.Hint+1, m.Index))
			p.probing, p.paused = true, false
			r.sendAppend(m.From)
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	if p.pendingSnapshot != 0 && p.match >= p.pendingSnapshot {
		p.pendingSnapshot = 0
	}
	p.next = max(p.next, p.match+1)
	if p.pendingSnapshot == 0 && p.probing {
		p.probing, p.paused = false, false
		p.next = p.match + 1
	}
	if r.maybeCommit() {
		r.broadcastAppend()
	} else if p.next <= r.log.lastIndex() {
		r.sendAppend(m.From)
	}
}

func (r *Raft) handleHeartbeatReply(m *apiv1.RaftMessage) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active, p.ticksSinceReply = true, 0
	p.paused = false
	p.round = max(p.round, m.Round)
	if p.match < r.log.lastIndex() {
		if !p.probing && p.next > p.match+1 {
			// The last append message may have been lost; resend the entries after the
			// last one known to match.
			p.next = p.match + 1
		}
		r.sendAppend(m.From)
	}
	r.confirmReads()
}

func (r *Raft) confirmReads() {
	for len(r.reads) > 0 {
		first := r.reads[0]
		if !r.quorum(func(id uint64) bool {
			return id == r.id || r.progress[id] != nil && r.progress[id].round >= first.round
		}, false) {
			return
		}
		r.readyReads = append(r.readyReads, Read{Context: first.context, Index: first.index})
		r.reads = r.reads[1:]
	}
}

func (r *Raft) broadcastHeartbeat() {
	r.round++
	r.roundRequested = false
	for _, p := range r.unsentReads {
		p.round = r.round
		r.reads = append(r.reads, p)
	}
	r.unsentReads = nil
	for _, m := range r.membership.Members {
		p := r.progress[m.Id]
		if m.Id == r.id || p == nil {
			continue
		}
		// Commit is limited to the member's known match index: beyond it, its log
		// may still differ from the leader's.
		r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: m.Id, Commit: min(p.match, r.log.committed), CommitBound: r.commitBound(), Round: r.round})
	}
	r.confirmReads()
}

func (r *Raft) broadcastAppend() {
	for _, m := range r.membership.Members {
		if m.Id != r.id {
			r.sendAppend(m.Id)
		}
	}
}

func (r *Raft) sendAppend(to uint64) {
	p := r.progress[to]
	if p == nil || p.paused || p.pendingSnapshot != 0 {
		return
	}
	prev := p.next - 1
	term, ok := r.log.term(prev)
	if !ok {
		r.sendSnapshot(to, p)
		return
	}
	entries := limitAppendBytes(r.log.slice(prev, min(r.log.lastIndex(), prev+maxEntriesPerAppend)))
	r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND, To: to, Index: prev, LogTerm: term, Entries: entries, Commit: r.log.committed, CommitBound: r.commitBound()})
	if p.probing {
		p.paused = true
	} else {
		p.next += uint64(len(entries))
	}
}

// limitAppendBytes returns the entries that fit into maxBytesPerAppend, but at
// least one.
func limitAppendBytes(entries []*apiv1.LogEntry) []*apiv1.LogEntry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxBytesPerAppend {
			return entries[:i]
		}
	}
	return entries
}

func (r *Raft) sendSnapshot(to uint64, p *progress) {
	m := r.snapshotMessage(to)
	if m == nil {
		return
	}
	p.pendingSnapshot, p.snapshotTicks = m.Snapshot.Index, 0
	p.next = m.Snapshot.Index + 1
	m.CommitBound = r.commitBound()
	r.send(m)
}

// maybeCommit advances the commit index to the highest entry replicated on a
// majority of voters. Only entries of the leader's own term count (section 5.4.2 of the
// Raft paper): an entry of an older term, even if it is on a majority, could still be
// overwritten by another leader.
func (r *Raft) maybeCommit() bool {
	index := r.majorityMatch()
	if term, ok := r.log.term(index); !ok || term != r.term || index <= r.log.committed {
		return false
	}
	r.log.committed = index
	r.stepDownIfRemoved()
	return true
}

func (r *Raft) majorityMatch() uint64 {
	best := uint64(0)
	for _, m := range r.membership.Members {
		if m.Learner || r.progress[m.Id] == nil {
			continue
		}
		index := r.progress[m.Id].match
		if index > best && r.quorum(func(id uint64) bool { return r.progress[id] != nil && r.progress[id].match >= index }, false) {
			best = index
		}
	}
	return best
}
