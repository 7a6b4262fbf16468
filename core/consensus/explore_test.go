package consensus

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

var (
	exploreSeeds = flag.Int("explore.seeds", 300, "number of schedules that the explorer runs")
	exploreFrom  = flag.Int("explore.from", 1, "first seed of the explorer")
)

const (
	exploreSteps      = 3000
	convergenceRounds = 600
	compactionLag     = 12
)

// replica is a simulated replica. A replica that is not running has crashed; a
// paused one runs but processes nothing.
type replica struct {
	id      uint64
	raft    *Raft
	disk    *disk
	state   *register
	applied uint64
	running bool
	paused  bool
}

// explorer runs a random schedule of operations and faults on simulated replicas
// and checks the safety properties of Raft.
type explorer struct {
	t               *testing.T
	seed            int
	random          *rand.Rand
	replicas        map[uint64]*replica
	replicaIDs      []uint64
	inFlight        []*apiv1.RaftMessage
	blockedLinks    map[[2]uint64]bool
	leaderByTerm    map[uint64]uint64
	committedHashes map[uint64]uint64
	lastTimestamp   int64
	operations      []*operation
	pendingSubmits  map[string]*operation
	pendingReads    map[uint64]*operation
	lastReadContext uint64
	lastChangeID    int
	lastReplicaID   uint64
}

func newExplorer(t *testing.T, seed, voters int) *explorer {
	x := &explorer{t: t, seed: seed, random: rand.New(rand.NewPCG(uint64(seed), 7)), replicas: map[uint64]*replica{}, blockedLinks: map[[2]uint64]bool{},
		leaderByTerm: map[uint64]uint64{}, committedHashes: map[uint64]uint64{}, pendingSubmits: map[string]*operation{}, pendingReads: map[uint64]*operation{}, lastReplicaID: 100}
	founders := &apiv1.Membership{}
	for i := 1; i <= voters; i++ {
		founders.Members = append(founders.Members, &apiv1.Member{Id: uint64(i), Name: fmt.Sprint(i)})
	}
	for i := 1; i <= voters; i++ {
		x.addReplica(uint64(i), &disk{founders: founders})
	}
	return x
}

func (x *explorer) addReplica(id uint64, d *disk) {
	r := &replica{id: id, disk: d}
	x.replicas[id] = r
	x.replicaIDs = append(x.replicaIDs, id)
	x.startReplica(r)
}

func (x *explorer) startReplica(r *replica) {
	r.running, r.paused = true, false
	r.state = &register{outcomes: map[string]bool{}}
	r.applied = 0
	restored := PersistentState{HardState: r.disk.hardState, Snapshot: r.disk.snapshot, Entries: append([]*apiv1.LogEntry(nil), r.disk.entries...), Founders: r.disk.founders}
	r.raft = New(Config{ID: r.id, ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(x.random.Uint64(), r.id))}, restored)
	if s := r.disk.snapshot; s != nil {
		x.restoreState(r, s)
	}
}

func (x *explorer) restoreState(r *replica, s *apiv1.Snapshot) {
	r.state = &register{outcomes: map[string]bool{}}
	fields := strings.Split(string(s.Data), " ")
	_, _ = fmt.Sscan(fields[0], &r.state.revision)
	for _, f := range fields[1:] {
		for i := range f {
			if f[i] == '=' {
				r.state.outcomes[f[:i]] = f[i+1:] == "true"
			}
		}
	}
	r.applied = s.Index
}

// processReady processes one batch. If mayCrash is set, the replica may crash
// before, during or after the sync.
//
// What a batch applies is reported with the next one, as by a caller that applies in the background.
func (x *explorer) processReady(r *replica, mayCrash bool) {
	r.raft.AppliedTo(r.applied)
	if r.applied > r.raft.Status().SnapshotIndex+compactionLag {
		if s := r.raft.Compact(r.applied, r.state.snapshot()); s != nil {
			r.disk.compact(s)
		}
	}
	rd, ok := r.raft.Ready()
	if !ok {
		return
	}
	if mayCrash && x.random.IntN(400) == 0 {
		x.savePartially(r, rd)
		r.running = false
		return
	}
	r.disk.save(rd)
	x.inFlight = append(x.inFlight, rd.Messages...)
	if rd.Snapshot != nil {
		x.restoreState(r, rd.Snapshot)
	}
	for _, e := range rd.Committed {
		x.applyEntry(r, e)
	}
	for _, read := range rd.Reads {
		x.answerRead(r, read)
	}
	r.raft.Advance()
	x.checkLeader(r)
}

// savePartially saves a prefix of the entries being written, as a crash during
// a sync does.
func (x *explorer) savePartially(r *replica, rd Ready) {
	if rd.Snapshot != nil || len(rd.Entries) == 0 {
		return
	}
	rd.HardState = nil
	rd.Entries = rd.Entries[:x.random.IntN(len(rd.Entries)+1)]
	r.disk.save(rd)
}

func (x *explorer) checkLeader(r *replica) {
	s := r.raft.Status()
	if s.Role != Leader {
		return
	}
	if other, ok := x.leaderByTerm[s.Term]; ok && other != r.id {
		x.t.Fatalf("seed %d: term %d has two leaders, %d and %d", x.seed, s.Term, other, r.id)
	}
	x.leaderByTerm[s.Term] = r.id
}

func (x *explorer) applyEntry(r *replica, e *apiv1.LogEntry) {
	if e.Index != r.applied+1 {
		x.t.Fatalf("seed %d: replica %d applied entry %d after entry %d", x.seed, r.id, e.Index, r.applied)
	}
	r.applied = e.Index
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %s", e.Term, e.Kind, e.Data)
	if hash, ok := x.committedHashes[e.Index]; ok && hash != h.Sum64() {
		x.t.Fatalf("seed %d: replica %d applied an entry at index %d that differs from the committed one", x.seed, r.id, e.Index)
	}
	x.committedHashes[e.Index] = h.Sum64()
	if e.Kind != apiv1.EntryKind_ENTRY_KIND_CHANGE {
		return
	}
	id, accepted := r.state.apply(e.Data)
	if op := x.pendingSubmits[id]; op != nil {
		op.finished = x.nextTimestamp()
		op.result = 0
		if accepted {
			op.result = 1
		}
		delete(x.pendingSubmits, id)
	}
}

func (x *explorer) answerRead(r *replica, read Read) {
	op := x.pendingReads[read.Context]
	if op == nil {
		return
	}
	delete(x.pendingReads, read.Context)
	if read.Failed || r.applied < read.Index {
		op.unknown = true
		return
	}
	op.finished = x.nextTimestamp()
	op.result = r.state.revision
}

func (x *explorer) nextTimestamp() int64 {
	x.lastTimestamp++
	return x.lastTimestamp
}

func (x *explorer) deliverRandom() {
	if len(x.inFlight) == 0 {
		return
	}
	i := x.random.IntN(min(len(x.inFlight), 8))
	m := x.inFlight[i]
	x.inFlight = append(x.inFlight[:i:i], x.inFlight[i+1:]...)
	draw := x.random.IntN(100)
	if x.blockedLinks[[2]uint64{m.From, m.To}] || draw < 4 {
		return
	}
	if draw < 8 {
		x.inFlight = append(x.inFlight, m)
	}
	x.deliverMessage(m)
}

func (x *explorer) deliverMessage(m *apiv1.RaftMessage) {
	r := x.replicas[m.To]
	if r == nil || !r.running || r.paused {
		return
	}
	copied, _ := proto.Clone(m).(*apiv1.RaftMessage)
	r.raft.Step(copied)
	x.processReady(r, true)
}

// heal removes all faults and checks that one leader is elected and that all
// members converge to its state.
func (x *explorer) heal() {
	x.blockedLinks = map[[2]uint64]bool{}
	for _, id := range x.replicaIDs {
		r := x.replicas[id]
		if !r.running {
			x.startReplica(r)
		}
		r.paused = false
	}
	for round := 0; round < convergenceRounds; round++ {
		for _, id := range x.replicaIDs {
			x.replicas[id].raft.Tick()
			x.processReady(x.replicas[id], false)
		}
		x.deliverAll()
		if round%20 == 19 {
			x.promoteReplicas()
		}
	}
	leader := x.leaderReplica()
	if leader == nil {
		x.t.Fatalf("seed %d: no leader after healing", x.seed)
	}
	x.checkConverged(leader)
}

func (x *explorer) deliverAll() {
	for n := 0; len(x.inFlight) > 0 && n < 10_000; n++ {
		m := x.inFlight[0]
		x.inFlight = x.inFlight[1:]
		if r := x.replicas[m.To]; r != nil {
			copied, _ := proto.Clone(m).(*apiv1.RaftMessage)
			r.raft.Step(copied)
			x.processReady(r, false)
		}
	}
}

func (x *explorer) checkConverged(leader *replica) {
	want := string(leader.state.snapshot())
	for _, m := range leader.raft.Status().Membership.Members {
		r := x.replicas[m.Id]
		if r == nil {
			continue
		}
		if r.applied != leader.applied || string(r.state.snapshot()) != want {
			x.t.Fatalf("seed %d: replica %d has applied up to %d, the leader up to %d", x.seed, r.id, r.applied, leader.applied)
		}
	}
}

// Operators submit changes and read while replicas crash and lose unsynced
// entries, pause, are partitioned in one or both directions, or are replaced after
// a disk loss, and while messages are lost, duplicated and reordered. In every
// schedule a term has at most one leader, a committed entry never changes, and
// the operations are linearizable; after healing all replicas hold the same state.
func TestExploreSchedules(t *testing.T) {
	for seed := *exploreFrom; seed < *exploreFrom+*exploreSeeds; seed++ {
		voters := []int{1, 3, 3, 5}[seed%4]
		x := newExplorer(t, seed, voters)
		for i := 0; i < exploreSteps; i++ {
			x.randomStep()
		}
		x.heal()
		x.checkLinearizable()
	}
}

// Guards against an explorer whose faults prevent changes from being committed, so that it
// hardly tests anything.
func TestExplorerMakesProgress(t *testing.T) {
	x := newExplorer(t, 3, 3)
	for i := 0; i < exploreSteps; i++ {
		x.randomStep()
	}
	x.heal()
	accepted := 0
	for _, op := range x.operations {
		if op.submit && op.result == 1 {
			accepted++
		}
	}
	assert.Assert(t, accepted > 10, "accepted %d", accepted)
}
