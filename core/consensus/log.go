package consensus

import (
	"sort"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// raftLog is the part of the log that follows the last snapshot.
//
// Invariants: applied ≤ applying ≤ committed ≤ lastIndex and snapIndex ≤ applying; entries[i] has
// index snapIndex+1+i; the caller has synced the entries up to stable to disk. A replica
// counts only its synced entries towards a quorum, since it could lose others in a crash.
type raftLog struct {
	snapIndex, snapTerm uint64
	entries             []*apiv1.LogEntry
	committed           uint64
	// applying is the last entry that the caller was given to apply, applied the last one that it
	// has applied. applied is below snapIndex while the caller restores a received snapshot.
	applying, applied uint64
	stable            uint64
}

func (l *raftLog) lastIndex() uint64 { return l.snapIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index; ok is false if the entry has been
// compacted or does not exist yet.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.snapIndex:
		return l.snapTerm, true
	case index < l.snapIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapIndex-1].Term, true
}

// slice returns the entries in (after, upTo].
func (l *raftLog) slice(after, upTo uint64) []*apiv1.LogEntry {
	upTo = min(upTo, l.lastIndex())
	if after >= upTo || after < l.snapIndex {
		return nil
	}
	return l.entries[after-l.snapIndex : upTo-l.snapIndex : upTo-l.snapIndex]
}

func (l *raftLog) append(entries ...*apiv1.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes every entry above index.
func (l *raftLog) truncate(index uint64) {
	if index >= l.lastIndex() {
		return
	}
	kept := int(index - l.snapIndex)
	l.entries = append([]*apiv1.LogEntry(nil), l.entries[:kept]...)
	l.stable = min(l.stable, index)
}

// compact discards the entries up to index, which are covered by a snapshot.
func (l *raftLog) compact(index uint64) {
	if index <= l.snapIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*apiv1.LogEntry(nil), l.entries[index-l.snapIndex:]...)
	l.snapIndex, l.snapTerm = index, term
}

// reset replaces the whole log with a snapshot at (index, term), which the caller is yet to apply.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{snapIndex: index, snapTerm: term, committed: index, applying: index, applied: l.applied, stable: index}
}

// upToDate reports whether a log that ends at (index, term) is at least as
// up-to-date as this one (section 5.4.1 of the Raft paper).
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// conflictHint returns the highest index at or below index whose term does not exceed term.
// After a rejected append, the logs of leader and member may match up to there, so the
// leader continues from this index.
func (l *raftLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.snapIndex {
		if t, ok := l.term(index); ok && t <= term {
			break
		}
		index--
	}
	return index
}

func cloneMembership(m *apiv1.Membership) *apiv1.Membership {
	out := &apiv1.Membership{}
	for _, member := range m.GetMembers() {
		out.Members = append(out.Members, &apiv1.Member{Id: member.Id, Name: member.Name, Address: member.Address, Learner: member.Learner})
	}
	sort.Slice(out.Members, func(i, j int) bool { return out.Members[i].Id < out.Members[j].Id })
	return out
}

// FindMember returns the member with the given id, or nil.
func FindMember(m *apiv1.Membership, id uint64) *apiv1.Member {
	for _, member := range m.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}
