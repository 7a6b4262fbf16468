package consensus

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func threeVoters() *apiv1.Membership {
	return &apiv1.Membership{Members: []*apiv1.Member{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"}}}
}

func newRaft(id uint64, restored PersistentState) *Raft {
	return New(Config{ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(1, id))}, restored)
}

// drainReady processes all pending work without a disk and returns the messages.
func drainReady(r *Raft) []*apiv1.RaftMessage {
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

// elect makes r the leader with the votes of the given voters.
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

// A replica that has acknowledged entry 3 receives a delayed snapshot at index 2.
// The snapshot covers less than the log, so the log must be kept. If the replica
// discarded it, a new leader could lack entry 3 and an accepted change would
// disappear.
func TestDelayedSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	r := newRaft(2, PersistentState{Founders: threeVoters()})
	entries := []*apiv1.LogEntry{{Term: 1, Index: 1}, {Term: 1, Index: 2}, {Term: 1, Index: 3}}
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 1, Entries: entries})
	drainReady(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, From: 1, To: 2, Term: 1,
		Snapshot: &apiv1.Snapshot{Index: 2, Term: 1, Membership: threeVoters()}})
	drainReady(r)
	assert.Equal(t, r.Status().LastIndex, uint64(3))
	assert.Equal(t, r.Status().Commit, uint64(2))
}

// A partitioned leader must detect by its own clock that no majority replies, step down
// and fail its pending reads. Otherwise operators who are connected to it would wait
// forever or read stale data.
func TestIsolatedLeaderStepsDownAndFailsReads(t *testing.T) {
	r := newRaft(1, PersistentState{Founders: threeVoters()})
	elect(t, r, 2)
	drainReady(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: r.term, Index: 1})
	drainReady(r)
	assert.NilError(t, r.Read(7))
	for range 25 {
		r.Tick()
	}
	assert.Equal(t, r.Status().Role != Leader, true)
	rd, _ := r.Ready()
	assert.Equal(t, len(rd.Reads), 1)
	assert.Equal(t, rd.Reads[0].Failed, true)
}

// A replica returns from a long partition and requests votes while the leader is healthy.
// Voters that still receive the leader's messages must ignore the request: adopting its
// higher term would depose the leader and fail every change in progress.
func TestReturningReplicaDoesNotDeposeLeader(t *testing.T) {
	r := newRaft(2, PersistentState{Founders: threeVoters()})
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 1, To: 2, Term: 5})
	drainReady(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, From: 3, To: 2, Term: 9, Index: 100, LogTerm: 8})
	assert.Equal(t, len(drainReady(r)), 0)
	assert.Equal(t, r.Status().Term, uint64(5))
	assert.Equal(t, r.Status().Leader, uint64(1))
}

// A host loses its disk and returns empty under its old address with a new ID.
// It must ignore messages for the old ID: it could otherwise vote twice in one
// term, and two leaders would be elected.
func TestEmptyDiskDoesNotVoteUnderOldID(t *testing.T) {
	r := newRaft(77, PersistentState{})
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE, From: 1, To: 3, Term: 4, Index: 9, LogTerm: 3})
	assert.Equal(t, len(drainReady(r)), 0)
	for range 200 {
		r.Tick()
	}
	assert.Equal(t, r.Status().Role, Follower)
}

// A new leader receives a read before it has committed an entry of its own term. It may
// not know yet up to which entry the previous leader has committed the log, so it must
// reject the read instead of returning stale data.
func TestNewLeaderAnswersNoReadBeforeItsFirstCommit(t *testing.T) {
	r := newRaft(1, PersistentState{Founders: threeVoters()})
	elect(t, r, 2)
	drainReady(r)
	assert.ErrorIs(t, r.Read(1), ErrNotReady)
}

// Promoting a learner that lacks most of the log must fail. As a voter it would count
// towards the quorum without being able to acknowledge new entries, so that the failure of
// one more replica would block all changes.
func TestLearnerMustCatchUpBeforePromotion(t *testing.T) {
	r := newRaft(1, PersistentState{Founders: &apiv1.Membership{Members: []*apiv1.Member{{Id: 1, Name: "a"}}}})
	for r.Status().Role != Leader {
		r.Tick()
	}
	drainReady(r)
	_, _, err := r.AddLearner(9, "d", "addr")
	assert.NilError(t, err)
	drainReady(r)
	_, _, err = r.Promote(9)
	assert.ErrorIs(t, err, ErrNotCaughtUp)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 9, To: 1, Term: r.term, Index: r.log.lastIndex()})
	_, _, err = r.Promote(9)
	assert.NilError(t, err)
}

// Two operators change the membership at the same time. With two uncommitted changes, there
// can be two majorities that share no replica, so the second change must be rejected.
func TestOneChangeOfMembersAtATime(t *testing.T) {
	r := newRaft(1, PersistentState{Founders: threeVoters()})
	elect(t, r, 2)
	drainReady(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: r.term, Index: 1})
	_, _, err := r.AddLearner(9, "d", "addr")
	assert.NilError(t, err)
	_, _, err = r.Remove(3)
	assert.ErrorIs(t, err, ErrChangePending)
}

// A batch of work with a vote must require a sync to disk before the vote is sent. If a
// replica crashed after sending a vote that is not on disk, it could vote for another
// candidate in the same term.
func TestReadyOrdersSyncBeforeMessages(t *testing.T) {
	r := newRaft(2, PersistentState{Founders: threeVoters()})
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 2, Term: 4, Index: 9, LogTerm: 3})
	rd, ok := r.Ready()
	assert.Assert(t, ok && rd.MustSync)
	assert.Equal(t, rd.HardState.Vote, uint64(3))
	assert.Equal(t, len(rd.Messages), 1)
}

// A leader of term 4 finds an entry of term 2 on a majority. It must not consider the entry
// committed: a replica with an entry of term 3 at that index could win the next election
// and overwrite it after an operator was told "accepted".
func TestEntryOfOlderTermIsNotCommittedByCounting(t *testing.T) {
	r := newRaft(1, PersistentState{Founders: threeVoters(), HardState: &apiv1.HardState{Term: 3}, Entries: []*apiv1.LogEntry{{Term: 1, Index: 1}, {Term: 2, Index: 2}}})
	elect(t, r, 2)
	drainReady(r)
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: r.term, Index: 2})
	drainReady(r)
	assert.Equal(t, r.Status().Commit, uint64(0))
	r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: r.term, Index: 3})
	drainReady(r)
	assert.Equal(t, r.Status().Commit, uint64(3))
}

// A change is proposed while an earlier batch of entries is being synced to disk. The new
// entry is not on disk yet and must not count towards the quorum, or a crash could lose a
// committed entry.
func TestLeaderCountsOnlyItsSyncedEntries(t *testing.T) {
	r := newRaft(1, PersistentState{Founders: &apiv1.Membership{Members: []*apiv1.Member{{Id: 1, Name: "a"}}}})
	for r.Status().Role != Leader {
		r.Tick()
	}
	_, ok := r.Ready()
	assert.Assert(t, ok)
	index, _, err := r.Propose([]byte("late"))
	assert.NilError(t, err)
	r.Advance()
	assert.Assert(t, r.Status().Commit < index)
	drainReady(r)
	assert.Equal(t, r.Status().Commit, index)
}

// Guards against replicas that confirm a configuration to nodes although they may have missed
// changes: a follower since its leader was silent, a leader since a majority was.
func TestTicksSinceConfirmed(t *testing.T) {
	members := func(voters, learners int) *apiv1.Membership {
		m := &apiv1.Membership{}
		for i := range voters + learners {
			m.Members = append(m.Members, &apiv1.Member{Id: uint64(i + 1), Learner: i >= voters})
		}
		return m
	}
	for _, c := range []struct {
		desc    string
		status  Status
		confirm int
	}{
		{"follower", Status{ID: 1, Role: Follower, TicksSinceLeader: 7, Membership: members(3, 0)}, 7},
		{"only voter", Status{ID: 1, Role: Leader, Membership: members(1, 0)}, 0},
		{"two voters", Status{ID: 1, Role: Leader, Membership: members(2, 0), TicksSinceReply: map[uint64]int{2: 9}}, 9},
		{"one of three is silent", Status{ID: 1, Role: Leader, Membership: members(3, 0), TicksSinceReply: map[uint64]int{2: 1, 3: 90}}, 1},
		{"two of five are silent", Status{ID: 1, Role: Leader, Membership: members(5, 0), TicksSinceReply: map[uint64]int{2: 80, 3: 1, 4: 2, 5: 90}}, 2},
		{"three of five are silent", Status{ID: 1, Role: Leader, Membership: members(5, 0), TicksSinceReply: map[uint64]int{2: 80, 3: 1, 4: 70, 5: 90}}, 70},
		{"learners do not count", Status{ID: 1, Role: Leader, Membership: members(3, 2), TicksSinceReply: map[uint64]int{2: 8, 3: 9, 4: 0, 5: 0}}, 8},
	} {
		assert.Equal(t, c.status.TicksSinceConfirmed(), c.confirm, c.desc)
	}
}

// Guards against a replica that never notices that it was removed: the group sends it nothing more, and
// each of its campaigns resets the election timer.
func TestTicksSinceLeaderCountAcrossCampaigns(t *testing.T) {
	withLearner := threeVoters()
	withLearner.Members[1].Learner = true
	heartbeat := &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 1, To: 2, Term: 5}
	preVote := func(term uint64) *apiv1.RaftMessage {
		return &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, From: 3, To: 2, Term: term}
	}
	for _, c := range []struct {
		desc    string
		members *apiv1.Membership
		heard   bool
		term    uint64
	}{
		{"voter", threeVoters(), true, 6},
		{"learner", withLearner, true, 6},
		{"voter since its restart", threeVoters(), false, 1},
	} {
		r := newRaft(2, PersistentState{Founders: c.members})
		if c.heard {
			r.Step(heartbeat)
			drainReady(r)
		}
		for range 200 {
			r.Tick()
			drainReady(r)
		}
		assert.Equal(t, r.Status().TicksSinceLeader, 200, c.desc)
		r.Step(preVote(c.term))
		replies := drainReady(r)
		assert.Equal(t, len(replies), 1, "%s: a candidate gets no answer from a replica without a leader", c.desc)
		r.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 1, To: 2, Term: r.term + 1})
		assert.Equal(t, r.Status().TicksSinceLeader, 0, c.desc)
	}
}

// Guards against a leader that steps down and counts as just confirmed, although a majority was silent
// before.
func TestTicksSinceLeaderIncludeThoseOfALeaderWithoutMajority(t *testing.T) {
	r := newRaft(1, PersistentState{Founders: threeVoters()})
	elect(t, r, 2)
	drainReady(r)
	ticks := 0
	for ; r.Status().Role == Leader; ticks++ {
		r.Tick()
		drainReady(r)
	}
	assert.Equal(t, r.Status().TicksSinceLeader, ticks)
}
