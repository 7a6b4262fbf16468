package replica

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/consensus"
)

// newFollower returns replica 2 as a follower of replica 1.
func newFollower(t *testing.T, group *Group, members ...*apiv1.Member) *Replica {
	t.Helper()
	for _, m := range members {
		m.Address = "address of " + m.Name
	}
	raft := newRaft(members...)
	raft.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, From: 1, To: 2, Term: 1})
	return newTestReplica(t, group, raft)
}

// newRaft returns the consensus state of replica 2 in a group with the given members.
func newRaft(members ...*apiv1.Member) *consensus.Raft {
	return consensus.New(consensus.Config{ID: 2, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: rand.New(rand.NewPCG(1, 2))},
		consensus.PersistentState{Founders: &apiv1.Membership{Members: members}})
}

// newTestReplica returns a replica without storage or peers. A goroutine runs the
// functions passed to runInLoop until the test ends.
func newTestReplica(t *testing.T, group *Group, raft *consensus.Raft) *Replica {
	t.Helper()
	r := &Replica{options: Options{Group: group}, raft: raft, calls: make(chan func()), done: make(chan struct{}), relays: newRelayTable()}
	r.publishStatus()
	go func() {
		for call := range r.calls {
			call()
		}
	}()
	t.Cleanup(func() { close(r.calls) })
	return r
}

// Guards against a follower returning unavailable instead of the leader's
// address because its own view of the group is incomplete.
func TestFollowerInIncompleteGroupReturnsLeaderAddress(t *testing.T) {
	r := newFollower(t, &Group{Tolerate: 1}, voters(1, 2)...)
	_, err := r.propose(t.Context(), newChange("c", "operator"))
	kind, leader := fault.KindOf(err)
	assert.Equal(t, kind, fault.NotLeader)
	assert.Equal(t, leader, "address of b")
}

// Guards against a leader proposing a change although its group is incomplete.
func TestLeaderOfIncompleteGroupRefusesChanges(t *testing.T) {
	raft := newRaft(voters(2)...)
	for raft.Status().Role != consensus.Leader {
		raft.Tick()
		for _, ok := raft.Ready(); ok; _, ok = raft.Ready() {
			raft.Advance()
		}
	}
	last := raft.Status().LastIndex
	r := newTestReplica(t, &Group{Tolerate: 1}, raft)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := r.propose(ctx, newChange("c", "operator"))
	kind, _ := fault.KindOf(err)
	assert.Equal(t, kind, fault.Unavailable)
	assert.Equal(t, r.raft.Status().LastIndex, last)
}

// Guards against accepting a change that is stored on too few disks to survive
// the loss of Tolerate members.
func TestLeaderAcceptsChangesOnlyInCompleteGroup(t *testing.T) {
	cases := []struct {
		desc      string
		members   []*apiv1.Member
		committed bool
		complete  bool
	}{
		{"too few voters", voters(1, 2), true, false},
		{"learner does not count as voter", append(voters(1, 2), learner(3)), true, false},
		{"all voters", voters(1, 2, 3), true, true},
		{"all voters, not committed", voters(1, 2, 3), false, false},
		{"one extra voter, not committed", voters(1, 2, 3, 4), false, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			s := newLeaderStatus(c.members...)
			s.ConfigCommitted = c.committed
			assert.Equal(t, (&Group{Tolerate: 1}).complete(s), c.complete)
		})
	}
}
