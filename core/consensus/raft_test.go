package consensus

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func threeFounders() *apiv1.Membership {
	return &apiv1.Membership{Members: []*apiv1.Member{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"}}}
}

func newRaft(id uint64, from Restored) *Raft {
	return New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(1, id))}, from)
}

// flush does a Ready's work on no disk and returns its messages.
func flush(r *Raft) []*apiv1.RaftMessage {
	var out []*apiv1.RaftMessage
	for {
		rd, ok := r.Ready()
		if !ok {
			return out
		}
		out = append(out, rd.Messages...)
		r.Advance()
	}
}

func elect(t *testing.T, r *Raft, voters ...uint64) {
	t.Helper()
	for r.Status().Role == Follower {
		r.Tick()
	}
	term := r.Status().Term + 1
	for _, id := range voters {
		r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: id, To: r.id, Term: term})
	}
	for _, id := range voters {
		r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: id, To: r.id, Term: term})
	}
	assert.Equal(t, r.Status().Role, Leader)
}

// An operator sees an accepted change disappear: a replica acknowledges entry
// 3, then a delayed snapshot of entry 2 arrives and it drops its whole log. If
// the leader counted on that entry 3, a new leader may lack it. The snapshot
// covers less than the log holds, so the log must stay.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	r := newRaft(2, Restored{Founders: threeFounders()})
	entries := []*apiv1.LogEntry{{Term: 1, Index: 1}, {Term: 1, Index: 2}, {Term: 1, Index: 3}}
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 1, Entries: entries})
	flush(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, From: 1, To: 2, Term: 1,
		Snapshot: &apiv1.Snapshot{Index: 2, Term: 1, Membership: threeFounders()}})
	flush(r)
	assert.Equal(t, r.Status().LastIndex, uint64(3))
	assert.Equal(t, r.Status().Commit, uint64(2))
}

// A leader is cut off and keeps believing itself healthy; operators who reach
// it wait on answers that cannot come, or read the past. By its own clock it
// must notice that no majority answers, step down and fail the reads it holds.
func TestIsolatedLeaderStepsDownAndFailsReads(t *testing.T) {
	r := newRaft(1, Restored{Founders: threeFounders()})
	elect(t, r, 2)
	flush(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: r.term, Index: 1})
	flush(r)
	assert.NilError(t, r.Read(7))
	for range 25 {
		r.Tick()
	}
	assert.Equal(t, r.Status().Role != Leader, true)
	rd, _ := r.Ready()
	assert.Equal(t, len(rd.Reads), 1)
	assert.Equal(t, rd.Reads[0].Failed, true)
}

// A replica comes back from a long cut and asks for votes while the leader is
// well. Were it answered, its higher term would depose the leader and every
// change under way would fail. Voters that hear the leader do not answer.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	r := newRaft(2, Restored{Founders: threeFounders()})
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 1, To: 2, Term: 5})
	flush(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, From: 3, To: 2, Term: 9, Index: 100, LogTerm: 8})
	assert.Equal(t, len(flush(r)), 0)
	assert.Equal(t, r.Status().Term, uint64(5))
	assert.Equal(t, r.Status().Leader, uint64(1))
}

// A host loses its disk and comes back empty under the old address. If it
// answered for its former id it could vote twice in one term, and two leaders
// would be chosen. It has a new id and does not answer to the old one.
func TestEmptyDiskDoesNotVoteAsFormerSelf(t *testing.T) {
	r := newRaft(77, Restored{})
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE, From: 1, To: 3, Term: 4, Index: 9, LogTerm: 3})
	assert.Equal(t, len(flush(r)), 0)
	for range 200 {
		r.Tick()
	}
	assert.Equal(t, r.Status().Role, Follower)
}

// A new leader is asked for the newest revision before an entry of its own
// term is committed. It may not know yet how far its predecessor committed, so
// it must refuse rather than answer with the past.
func TestNewLeaderAnswersNoReadBeforeItsFirstCommit(t *testing.T) {
	r := newRaft(1, Restored{Founders: threeFounders()})
	elect(t, r, 2)
	flush(r)
	assert.ErrorIs(t, r.Read(1), ErrNotReady)
}

// An operator promotes a learner that lacks the log. It would count in the
// quorum without being able to help, and the next loss would stop all changes.
func TestLearnerMustCatchUpBeforePromotion(t *testing.T) {
	r := newRaft(1, Restored{Founders: &apiv1.Membership{Members: []*apiv1.Member{{Id: 1, Name: "a"}}}})
	for r.Status().Role != Leader {
		r.Tick()
	}
	flush(r)
	_, _, err := r.AddLearner(9, "d", "addr")
	assert.NilError(t, err)
	flush(r)
	_, _, err = r.Promote(9)
	assert.ErrorIs(t, err, ErrNotCaughtUp)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 9, To: 1, Term: r.term, Index: r.log.lastIndex()})
	_, _, err = r.Promote(9)
	assert.NilError(t, err)
}

// Two operators change members at once. Two changes in flight can have
// majorities that share no replica, so the second is refused.
func TestOneChangeOfMembersAtATime(t *testing.T) {
	r := newRaft(1, Restored{Founders: threeFounders()})
	elect(t, r, 2)
	flush(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: r.term, Index: 1})
	_, _, err := r.AddLearner(9, "d", "addr")
	assert.NilError(t, err)
	_, _, err = r.Remove(3)
	assert.ErrorIs(t, err, ErrChangePending)
}

// Messages must not leave before what they promise is synced: a vote that was
// sent and then forgotten in a crash could be given again to another.
func TestReadyOrdersSyncBeforeMessages(t *testing.T) {
	r := newRaft(2, Restored{Founders: threeFounders()})
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 2, Term: 4, Index: 9, LogTerm: 3})
	rd, ok := r.Ready()
	assert.Assert(t, ok && rd.MustSync)
	assert.Equal(t, rd.HardState.Vote, uint64(3))
	assert.Equal(t, len(rd.Messages), 1)
}

// A leader of term 4 finds an entry of term 2 on a majority. Were it counted as
// committed by that, a replica with an entry of term 3 in its place could still
// win the next election and overwrite it, after an operator was told "accepted".
func TestEntryOfOlderTermIsNotCommittedByCounting(t *testing.T) {
	r := newRaft(1, Restored{Founders: threeFounders(), HardState: &apiv1.HardState{Term: 3}, Entries: []*apiv1.LogEntry{{Term: 1, Index: 1}, {Term: 2, Index: 2}}})
	elect(t, r, 2)
	flush(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: r.term, Index: 2})
	flush(r)
	assert.Equal(t, r.Status().Commit, uint64(0))
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: r.term, Index: 3})
	flush(r)
	assert.Equal(t, r.Status().Commit, uint64(3))
}

// A change is proposed while the sync of an earlier batch is under way. It is
// not on disk yet and must not count, or a crash would forget what was agreed.
func TestLeaderCountsOnlyItsSyncedEntries(t *testing.T) {
	r := newRaft(1, Restored{Founders: &apiv1.Membership{Members: []*apiv1.Member{{Id: 1, Name: "a"}}}})
	for r.Status().Role != Leader {
		r.Tick()
	}
	_, ok := r.Ready()
	assert.Assert(t, ok)
	index, _, err := r.Propose([]byte("late"))
	assert.NilError(t, err)
	r.Advance()
	assert.Assert(t, r.Status().Commit < index)
	flush(r)
	assert.Equal(t, r.Status().Commit, index)
}
