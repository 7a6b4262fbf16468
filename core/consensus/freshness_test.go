package consensus

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// group is a group of replicas without disks, whose messages are delivered at once. Each applies
// what is committed when the test says so.
type group struct {
	t        *testing.T
	replicas map[uint64]*Raft
	// drop reports whether a message is lost.
	drop func(*apiv1.RaftMessage) bool
}

func newGroup(t *testing.T, founders *apiv1.Membership) *group {
	g := &group{t: t, replicas: map[uint64]*Raft{}, drop: func(*apiv1.RaftMessage) bool { return false }}
	for _, m := range founders.Members {
		g.replicas[m.Id] = newRaft(m.Id, PersistentState{Founders: founders})
	}
	return g
}

// run delivers messages until there are none.
func (g *group) run() {
	for sent := true; sent; {
		sent = false
		for _, r := range g.replicas {
			for _, m := range drainReady(r) {
				if to := g.replicas[m.To]; to != nil && !g.drop(m) {
					to.Step(m)
					sent = true
				}
			}
		}
	}
}

// tick advances all clocks and delivers what they cause. Replicas in applied apply what they have.
func (g *group) tick(applied ...uint64) {
	for _, r := range g.replicas {
		r.Tick()
	}
	g.run()
	for _, id := range applied {
		g.replicas[id].AppliedTo(g.replicas[id].Status().Commit)
	}
}

// elected elects replica 1 and commits an entry.
func (g *group) elected() {
	g.t.Helper()
	g.replicas[1].campaign(true, false)
	g.run()
	assert.Equal(g.t, g.replicas[1].Status().Role, Leader)
	_, _, err := g.replicas[1].Propose([]byte("first"))
	assert.NilError(g.t, err)
	g.run()
	for range 4 {
		g.tick(1, 2, 3)
	}
	for id, r := range g.replicas {
		assert.Assert(g.t, r.Status().TicksSinceConfirmed() <= 2, "replica %d: %d", id, r.Status().TicksSinceConfirmed())
	}
}

// Guards against a follower that confirms its configuration to nodes although it lacks changes: the
// message with a snapshot was lost, and heartbeats arrive.
func TestFollowerThatLacksEntriesIsNotConfirmedByHeartbeats(t *testing.T) {
	g := newGroup(t, threeVoters())
	g.elected()
	lost := 0
	g.drop = keepHeartbeats(3, &lost)
	_, _, err := g.replicas[1].Propose([]byte("missed"))
	assert.NilError(t, err)
	g.tick(1, 2)
	leader := g.replicas[1]
	assert.Assert(t, leader.Compact(leader.Status().Applied, nil) != nil)
	ticks := 0
	for ; lost == 0; ticks++ {
		assert.Assert(t, ticks < 100, "no snapshot sent")
		g.tick(1, 2, 3)
	}
	unconfirmed := 0
	for ; g.replicas[3].Status().Applied < leader.Status().Commit; unconfirmed++ {
		assert.Assert(t, unconfirmed < 200, "the snapshot is not sent again")
		g.tick(1, 2, 3)
		s := g.replicas[3].Status()
		assert.Assert(t, s.TicksSinceLeader <= 2, "no heartbeats")
		if s.Applied < leader.Status().Commit {
			assert.Assert(t, s.TicksSinceConfirmed() >= unconfirmed, "confirmed %d ticks ago, lacks entries for %d", s.TicksSinceConfirmed(), unconfirmed)
		}
	}
	assert.Assert(t, unconfirmed > 30, "the entries are missing for %d ticks only", unconfirmed)
	g.tick(1, 2, 3)
	g.tick(1, 2, 3)
	assert.Assert(t, g.replicas[3].Status().TicksSinceConfirmed() <= 2)
}

// keepHeartbeats loses entries and the first snapshot for a replica.
func keepHeartbeats(to uint64, lostSnapshots *int) func(*apiv1.RaftMessage) bool {
	return func(m *apiv1.RaftMessage) bool {
		if m.To != to {
			return false
		}
		if m.Snapshot != nil {
			*lostSnapshots++
			return *lostSnapshots == 1
		}
		return m.Kind == apiv1.MessageKind_MESSAGE_KIND_APPEND && *lostSnapshots == 0
	}
}

// Guards against a leader that confirms its configuration to nodes before it has applied what the
// leader before it had committed, and against its followers that do.
func TestNewLeaderIsNotConfirmedBeforeItHasApplied(t *testing.T) {
	g := newGroup(t, threeVoters())
	g.elected()
	_, _, err := g.replicas[1].Propose([]byte("acknowledged"))
	assert.NilError(t, err)
	// The others have the entry and do not know yet that it is committed.
	for _, m := range drainReady(g.replicas[1]) {
		g.replicas[m.To].Step(m)
	}
	for _, id := range []uint64{2, 3} {
		for _, m := range drainReady(g.replicas[id]) {
			g.replicas[1].Step(m)
		}
	}
	acknowledged := g.replicas[1].Status().Commit
	assert.Assert(t, g.replicas[2].Status().Commit < acknowledged)
	delete(g.replicas, 1)
	g.drop = func(*apiv1.RaftMessage) bool { return true }
	for range 40 {
		g.tick()
	}
	g.drop = func(*apiv1.RaftMessage) bool { return false }
	for range 40 {
		g.tick()
		for id, r := range g.replicas {
			assert.Assert(t, r.Status().TicksSinceConfirmed() >= 40, "replica %d has applied %d of %d and was confirmed %d ticks ago", id, r.Status().Applied, acknowledged, r.Status().TicksSinceConfirmed())
		}
	}
	assert.Assert(t, (g.replicas[2].Status().Role == Leader) != (g.replicas[3].Status().Role == Leader))
	for range 4 {
		g.tick(2, 3)
	}
	for id, r := range g.replicas {
		assert.Assert(t, r.Status().TicksSinceConfirmed() <= 2, "replica %d: %d", id, r.Status().TicksSinceConfirmed())
	}
}

// Guards against replicas that never count as confirmed while changes come in quick succession: there
// is always an entry that they have not applied.
func TestReplicasAreConfirmedDuringConstantChanges(t *testing.T) {
	g := newGroup(t, threeVoters())
	g.elected()
	for range 100 {
		_, _, err := g.replicas[1].Propose([]byte("change"))
		assert.NilError(t, err)
		g.run()
		for _, r := range g.replicas {
			// Each applies what was committed before the last change.
			r.AppliedTo(r.Status().Commit - 1)
			assert.Assert(t, r.Status().TicksSinceConfirmed() <= 6, "replica %d: %d", r.id, r.Status().TicksSinceConfirmed())
		}
		g.tick()
	}
}

// Guards against a bound that is never reached: it counts entries of a leader without a majority,
// which the next leader does not have.
func TestBoundOfALeaderWithoutMajorityIsForgotten(t *testing.T) {
	f := newFreshness()
	f.observe(70, 5, 60)
	f.observe(65, 8, 60)
	f.reached(65)
	assert.Equal(t, f.caughtUpAt, 8)
	f.observe(80, 9, 65)
	f.observe(65, 12, 65)
	assert.Equal(t, f.caughtUpAt, 12)
	f.reached(100)
	assert.Equal(t, f.caughtUpAt, 12)
}

// Guards against a replica that counts as confirmed after its start: its state is that of before.
func TestRestartedReplicaIsNotConfirmed(t *testing.T) {
	r := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(1, 1))}, PersistentState{Founders: threeVoters()})
	r.Tick()
	assert.Assert(t, r.Status().TicksSinceConfirmed() >= NeverCaughtUp)
}
