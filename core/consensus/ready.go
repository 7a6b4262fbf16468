package consensus

import (
	apiv1 "cactuspath/api/cactuspath/v1"
)

// Ready is a batch of work. The caller must, in this order: save Snapshot,
// append Entries, save HardState, sync if MustSync, send Messages, hand over Snapshot
// and Committed to be applied, answer Reads, call Advance.
// Messages sent before the sync would acknowledge state that a crash can lose.
//
// The state machine is restored from Snapshot and applies Committed in the order of the
// batches, but it may do so later: the caller reports with AppliedTo how far it is.
type Ready struct {
	Snapshot  *apiv1.Snapshot
	Entries   []*apiv1.LogEntry
	HardState *apiv1.HardState
	MustSync  bool
	Messages  []*apiv1.RaftMessage
	Committed []*apiv1.LogEntry
	Reads     []Read
}

// Read is the result of a read request: once the state machine has applied
// Index, it may answer the request identified by Context. If Failed is set, the
// read was not confirmed and must be requested again.
type Read struct {
	Context uint64
	Index   uint64
	Failed  bool
}

// Ready returns the pending work; ok is false if there is none.
func (r *Raft) Ready() (rd Ready, ok bool) {
	if r.roundRequested && r.role == Leader {
		r.broadcastHeartbeat()
	}
	rd.Snapshot = r.restoreSnapshot
	rd.Entries = r.log.slice(r.log.stable, r.log.lastIndex())
	hard := apiv1.HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
	if hard.Term != r.saved.Term || hard.Vote != r.saved.Vote || hard.Commit != r.saved.Commit {
		rd.HardState = &apiv1.HardState{Term: hard.Term, Vote: hard.Vote, Commit: hard.Commit}
	}
	rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil || hard.Term != r.saved.Term || hard.Vote != r.saved.Vote
	rd.Messages = r.messages
	rd.Committed = r.log.slice(r.log.applying, r.log.committed)
	rd.Reads = r.readyReads
	r.pendingReady = rd
	ok = rd.HardState != nil || rd.MustSync || len(rd.Messages) > 0 || len(rd.Committed) > 0 || len(rd.Reads) > 0
	return rd, ok
}

// Advance reports that the work returned by the last Ready has been done.
func (r *Raft) Advance() {
	rd := r.pendingReady
	r.pendingReady = Ready{}
	if rd.HardState != nil {
		r.saved = apiv1.HardState{Term: rd.HardState.Term, Vote: rd.HardState.Vote, Commit: rd.HardState.Commit}
	}
	if rd.Snapshot != nil && rd.Snapshot == r.restoreSnapshot {
		r.restoreSnapshot = nil
	}
	r.messages = r.messages[len(rd.Messages):]
	r.readyReads = r.readyReads[len(rd.Reads):]
	if n := len(rd.Committed); n > 0 {
		r.log.applying = max(r.log.applying, rd.Committed[n-1].Index)
	}
	if n := len(rd.Entries); n > 0 {
		last := rd.Entries[n-1]
		if term, ok := r.log.term(last.Index); ok && term == last.Term {
			r.log.stable = max(r.log.stable, last.Index)
		}
	}
	if r.role == Leader && r.progress[r.id] != nil {
		r.progress[r.id].match = r.log.stable
		if r.maybeCommit() {
			r.broadcastAppend()
		}
	}
}

// AppliedTo reports that the state machine has applied all entries up to index.
func (r *Raft) AppliedTo(index uint64) {
	r.log.applied = max(r.log.applied, min(index, r.log.applying))
	r.freshness.reached(r.log.applied)
}

// SnapshotAt returns the snapshot that could replace the log up to index. data is the encoded state
// machine after the entry at index. It returns nil unless that entry has been applied and is newer
// than the last snapshot.
func (r *Raft) SnapshotAt(index uint64, data []byte) *apiv1.Snapshot {
	if index <= r.log.snapIndex || index > r.log.applied {
		return nil
	}
	term, _ := r.log.term(index)
	return &apiv1.Snapshot{Index: index, Term: term, Membership: r.membershipAt(index), Data: data}
}

// Compact discards the log up to index and returns the snapshot that replaces it, or does nothing
// and returns nil if SnapshotAt does.
func (r *Raft) Compact(index uint64, data []byte) *apiv1.Snapshot {
	s := r.SnapshotAt(index, data)
	if s == nil {
		return nil
	}
	r.snapshot, r.baseMembership = s, s.Membership
	r.log.compact(index)
	return s
}

// EntriesAfter returns the synced entries above index, for rewriting the log on
// disk. The caller must not modify them.
func (r *Raft) EntriesAfter(index uint64) []*apiv1.LogEntry {
	return r.log.slice(index, r.log.stable)
}
