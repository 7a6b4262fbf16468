package consensus

import (
	"fmt"
	"sort"
)

// What the explorer does to the replicas, one step at a time.

func (x *explorer) any() *replica { return x.replicas[x.order[x.random.IntN(len(x.order))]] }

func (x *explorer) chaos() {
	switch roll := x.random.IntN(1000); {
	case roll < 450:
		x.deliver()
		x.deliver()
	case roll < 800:
		if r := x.any(); r.alive && !r.frozen {
			r.raft.Tick()
			x.work(r, true)
		}
	case roll < 880:
		x.submit()
	case roll < 930:
		x.read()
	case roll < 945:
		r := x.any()
		if !r.alive {
			x.start(r)
		}
	case roll < 950:
		x.any().frozen = true
	case roll < 960:
		x.any().frozen = false
	case roll < 970:
		x.cuts[[2]uint64{x.any().id, x.any().id}] = true
	case roll < 980:
		x.cuts = map[[2]uint64]bool{}
	case roll < 983:
		x.isolateLeader()
	case roll < 986:
		x.replaceDisk()
	case roll < 996:
		x.promote()
	case roll < 998:
		if r := x.leaderReplica(); r != nil {
			r.raft.TransferLeader()
			x.work(r, true)
		}
	}
}

func (x *explorer) isolateLeader() {
	r := x.leaderReplica()
	if r == nil {
		return
	}
	for _, id := range x.order {
		x.cuts[[2]uint64{r.id, id}] = true
		x.cuts[[2]uint64{id, r.id}] = true
	}
}

func (x *explorer) leaderReplica() *replica {
	for _, id := range x.order {
		if r := x.replicas[id]; r.alive && !r.frozen && r.raft.Status().Role == Leader {
			return r
		}
	}
	return nil
}

// replaceDisk loses one voter's disk when the others can go on without it. The
// replica returns as a new member: learner first, voter once it caught up.
func (x *explorer) replaceDisk() {
	leader := x.leaderReplica()
	if leader == nil {
		return
	}
	status := leader.raft.Status()
	voters, up := 0, 0
	var victim *replica
	for _, m := range status.Membership.Members {
		r := x.replicas[m.Id]
		if m.Learner {
			return
		}
		voters++
		if r == nil {
			return
		}
		if r.alive && status.Match[m.Id] >= status.Commit {
			up++
		}
		if r != leader {
			victim = r
		}
	}
	if victim == nil || voters < 3 || up < voters {
		return
	}
	if _, _, err := leader.raft.Remove(victim.id); err != nil {
		return
	}
	x.work(leader, false)
	x.nextID++
	id := x.nextID
	victim.alive = false
	victim.disk = &disk{}
	delete(x.replicas, victim.id)
	for i, o := range x.order {
		if o == victim.id {
			x.order = append(x.order[:i:i], x.order[i+1:]...)
			break
		}
	}
	x.add(id, &disk{})
}

// promote moves the newest replica towards voting.
func (x *explorer) promote() {
	leader := x.leaderReplica()
	if leader == nil {
		return
	}
	for _, id := range x.order {
		if m := FindMember(leader.raft.Status().Membership, id); m == nil {
			_, _, _ = leader.raft.AddLearner(id, fmt.Sprint(id), "")
		} else if m.Learner {
			_, _, _ = leader.raft.Promote(id)
		}
	}
	x.work(leader, false)
}

func (x *explorer) submit() {
	r := x.any()
	if !r.alive || r.frozen {
		return
	}
	op := &operation{client: len(x.ops), submit: true, started: x.tick()}
	x.nextOp++
	op.id, op.base = fmt.Sprintf("c%d", x.nextOp), r.state.revision
	if len(x.waiting) > 0 && x.random.IntN(3) == 0 {
		x.resend(r)
		return
	}
	if _, _, err := r.raft.Propose([]byte(fmt.Sprintf("%s %d", op.id, op.base))); err != nil {
		return
	}
	x.ops = append(x.ops, op)
	x.waiting[op.id] = op
	x.work(r, true)
}

// resend proposes a change again whose answer has not come.
func (x *explorer) resend(r *replica) {
	ids := make([]string, 0, len(x.waiting))
	for id := range x.waiting {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	op := x.waiting[ids[x.random.IntN(len(ids))]]
	_, _, _ = r.raft.Propose([]byte(fmt.Sprintf("%s %d", op.id, op.base)))
	x.work(r, true)
}

func (x *explorer) read() {
	r := x.any()
	if !r.alive || r.frozen {
		return
	}
	x.nextRead++
	if err := r.raft.Read(x.nextRead); err != nil {
		return
	}
	op := &operation{client: len(x.ops), started: x.tick()}
	x.ops = append(x.ops, op)
	x.reads[x.nextRead] = op
	x.work(r, true)
}
