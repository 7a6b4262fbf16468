package consensus

import (
	"fmt"
	"sort"
)

// This file implements the operations and faults of the explorer, of which it performs one
// per step.

func (x *explorer) randomReplica() *replica {
	return x.replicas[x.replicaIDs[x.random.IntN(len(x.replicaIDs))]]
}

func (x *explorer) randomStep() {
	switch draw := x.random.IntN(1000); {
	case draw < 450:
		x.deliverRandom()
		x.deliverRandom()
	case draw < 800:
		if r := x.randomReplica(); r.running && !r.paused {
			r.raft.Tick()
			x.processReady(r, true)
		}
	case draw < 880:
		x.submit()
	case draw < 930:
		x.read()
	case draw < 945:
		r := x.randomReplica()
		if !r.running {
			x.startReplica(r)
		}
	case draw < 950:
		x.randomReplica().paused = true
	case draw < 960:
		x.randomReplica().paused = false
	case draw < 970:
		x.blockedLinks[[2]uint64{x.randomReplica().id, x.randomReplica().id}] = true
	case draw < 980:
		x.blockedLinks = map[[2]uint64]bool{}
	case draw < 983:
		x.isolateLeader()
	case draw < 986:
		x.replaceDisk()
	case draw < 996:
		x.promoteReplicas()
	case draw < 998:
		if r := x.leaderReplica(); r != nil {
			r.raft.TransferLeader()
			x.processReady(r, true)
		}
	}
}

func (x *explorer) isolateLeader() {
	r := x.leaderReplica()
	if r == nil {
		return
	}
	for _, id := range x.replicaIDs {
		x.blockedLinks[[2]uint64{r.id, id}] = true
		x.blockedLinks[[2]uint64{id, r.id}] = true
	}
}

func (x *explorer) leaderReplica() *replica {
	for _, id := range x.replicaIDs {
		if r := x.replicas[id]; r.running && !r.paused && r.raft.Status().Role == Leader {
			return r
		}
	}
	return nil
}

// replaceDisk simulates the loss of one voter's disk, if the other voters can continue
// without it. The replica is removed and returns as a new member: first as a learner, then
// as a voter once it has caught up.
func (x *explorer) replaceDisk() {
	leader := x.leaderReplica()
	if leader == nil {
		return
	}
	status := leader.raft.Status()
	voters, caughtUp := 0, 0
	var target *replica
	for _, m := range status.Membership.Members {
		r := x.replicas[m.Id]
		if m.Learner {
			return
		}
		voters++
		if r == nil {
			return
		}
		if r.running && status.Match[m.Id] >= status.Commit {
			caughtUp++
		}
		if r != leader {
			target = r
		}
	}
	if target == nil || voters < 3 || caughtUp < voters {
		return
	}
	if _, _, err := leader.raft.Remove(target.id); err != nil {
		return
	}
	x.processReady(leader, false)
	x.lastReplicaID++
	id := x.lastReplicaID
	target.running = false
	target.disk = &disk{}
	delete(x.replicas, target.id)
	for i, replicaID := range x.replicaIDs {
		if replicaID == target.id {
			x.replicaIDs = append(x.replicaIDs[:i:i], x.replicaIDs[i+1:]...)
			break
		}
	}
	x.addReplica(id, &disk{})
}

// promoteReplicas adds replicas that are not members as learners and promotes
// learners to voters.
func (x *explorer) promoteReplicas() {
	leader := x.leaderReplica()
	if leader == nil {
		return
	}
	for _, id := range x.replicaIDs {
		if m := FindMember(leader.raft.Status().Membership, id); m == nil {
			_, _, _ = leader.raft.AddLearner(id, fmt.Sprint(id), "")
		} else if m.Learner {
			_, _, _ = leader.raft.Promote(id)
		}
	}
	x.processReady(leader, false)
}

func (x *explorer) submit() {
	r := x.randomReplica()
	if !r.running || r.paused {
		return
	}
	op := &operation{client: len(x.operations), submit: true, started: x.nextTimestamp()}
	x.lastChangeID++
	op.id, op.base = fmt.Sprintf("c%d", x.lastChangeID), r.state.revision
	if len(x.pendingSubmits) > 0 && x.random.IntN(3) == 0 {
		x.resubmit(r)
		return
	}
	if _, _, err := r.raft.Propose([]byte(fmt.Sprintf("%s %d", op.id, op.base))); err != nil {
		return
	}
	x.operations = append(x.operations, op)
	x.pendingSubmits[op.id] = op
	x.processReady(r, true)
}

// resubmit proposes a change again that has not been answered yet.
func (x *explorer) resubmit(r *replica) {
	ids := make([]string, 0, len(x.pendingSubmits))
	for id := range x.pendingSubmits {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	op := x.pendingSubmits[ids[x.random.IntN(len(ids))]]
	_, _, _ = r.raft.Propose([]byte(fmt.Sprintf("%s %d", op.id, op.base)))
	x.processReady(r, true)
}

func (x *explorer) read() {
	r := x.randomReplica()
	if !r.running || r.paused {
		return
	}
	x.lastReadContext++
	if err := r.raft.Read(x.lastReadContext); err != nil {
		return
	}
	op := &operation{client: len(x.operations), started: x.nextTimestamp()}
	x.operations = append(x.operations, op)
	x.pendingReads[x.lastReadContext] = op
	x.processReady(r, true)
}
