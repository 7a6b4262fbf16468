package consensus

import (
	apiv1 "cactuspath/api/cactuspath/v1"
)

// Step takes in a message from another replica.
func (r *Raft) Step(m *apiv1.RaftMessage) {
	if m.To != r.id {
		// Addressed to the replica whose disk was replaced: this one must not
		// answer for it, or it would vote as its former self.
		return
	}
	switch {
	case m.Term > r.term:
		if !r.admitTerm(m) {
			return
		}
	case m.Term < r.term:
		r.answerStale(m)
		return
	}
	r.dispatch(m)
}

// admitTerm handles a message of a newer term; it reports whether the message
// is to be processed further.
func (r *Raft) admitTerm(m *apiv1.RaftMessage) bool {
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, apiv1.MessageKind_MESSAGE_KIND_VOTE:
		// While the leader is heard, a newer term comes from a replica that was
		// cut off or removed; following it would depose a healthy leader.
		if m.Hint != forcedCampaign && r.leader != 0 && r.electionElapsed < r.electionTicks {
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

// answerStale tells the sender of an older term about the newer one, so that a
// leader which was cut off learns that it was replaced.
func (r *Raft) answerStale(m *apiv1.RaftMessage) {
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
		r.handleVote(m)
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		r.handleVoteReply(m, PreCandidate)
	case apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		r.handleVoteReply(m, Candidate)
	case apiv1.MessageKind_MESSAGE_KIND_APPEND:
		r.heardLeader(m)
		r.handleAppend(m)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT:
		r.heardLeader(m)
		r.log.committed = max(r.log.committed, min(m.Commit, r.log.lastIndex()))
		r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, Round: m.Round})
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		r.heardLeader(m)
		r.handleSnapshot(m)
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

func (r *Raft) heardLeader(m *apiv1.RaftMessage) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From)
	}
	r.electionElapsed = 0
}

func (r *Raft) handleVote(m *apiv1.RaftMessage) {
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
	free := r.vote == 0 && r.leader == 0
	if (free || r.vote == m.From) && upToDate {
		r.vote = m.From
		r.electionElapsed = 0
	} else {
		reply.Reject = true
	}
	r.send(reply)
}

func (r *Raft) handleVoteReply(m *apiv1.RaftMessage, role Role) {
	if r.role != role || !r.voter(m.From) {
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
		reply.Hint = r.log.hint(m.Index, m.LogTerm)
		r.send(reply)
		return
	}
	r.takeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	r.log.committed = max(r.log.committed, min(m.Commit, last))
	reply.Index = last
	r.send(reply)
}

// takeEntries appends what is new and removes what conflicts. Entries that are
// held already stay: a delayed message must not cut off a longer log that was
// acknowledged since.
func (r *Raft) takeEntries(entries []*apiv1.LogEntry) {
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
		// The log reaches past the snapshot already. Resetting it would drop
		// entries that this replica acknowledged: a late or doubled snapshot
		// could then take a committed entry off the majority that holds it.
		r.log.committed = s.Index
		reply.Index = s.Index
		r.send(reply)
		return
	}
	r.log.reset(s.Index, s.Term)
	r.snapshot, r.restoreSnapshot = s, s
	r.base = cloneMembership(s.Membership)
	r.loadMembership()
	reply.Index = s.Index
	r.send(reply)
}

func (r *Raft) handleAppendReply(m *apiv1.RaftMessage) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active, p.silent = true, 0
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
	p.active, p.silent = true, 0
	p.paused = false
	p.round = max(p.round, m.Round)
	if p.match < r.log.lastIndex() {
		if !p.probing && p.next > p.match+1 {
			// The append may have been lost; start again from what is known.
			p.next = p.match + 1
		}
		r.sendAppend(m.From)
	}
	r.releaseReads()
}

func (r *Raft) releaseReads() {
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
	r.wantRound = false
	for _, p := range r.unsentRead {
		p.round = r.round
		r.reads = append(r.reads, p)
	}
	r.unsentRead = nil
	for _, m := range r.membership.Members {
		p := r.progress[m.Id]
		if m.Id == r.id || p == nil {
			continue
		}
		// Commit is bounded by what the member is known to hold: beyond it, its
		// log may still differ from the leader's.
		r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: m.Id, Commit: min(p.match, r.log.committed), Round: r.round})
	}
	r.releaseReads()
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
	entries := bounded(r.log.slice(prev, min(r.log.lastIndex(), prev+maxEntriesPerAppend)))
	r.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND, To: to, Index: prev, LogTerm: term, Entries: entries, Commit: r.log.committed})
	if p.probing {
		p.paused = true
	} else {
		p.next += uint64(len(entries))
	}
}

func bounded(entries []*apiv1.LogEntry) []*apiv1.LogEntry {
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
	r.send(m)
}

// maybeCommit advances the commit index to what a majority of voters holds.
// Only an entry of the leader's own term is counted (section 5.4.2): an older
// one, though on a majority, could still be overwritten by another leader.
func (r *Raft) maybeCommit() bool {
	index := r.majorityMatch()
	if term, ok := r.log.term(index); !ok || term != r.term || index <= r.log.committed {
		return false
	}
	r.log.committed = index
	r.afterCommit()
	return true
}

func (r *Raft) majorityMatch() uint64 {
	best := uint64(0)
	for _, m := range r.membership.Members {
		if m.Learner || r.progress[m.Id] == nil {
			continue
		}
		at := r.progress[m.Id].match
		if at > best && r.quorum(func(id uint64) bool { return r.progress[id] != nil && r.progress[id].match >= at }, false) {
			best = at
		}
	}
	return best
}
