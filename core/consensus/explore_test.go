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
	exploreSeeds = flag.Int("explore.seeds", 300, "schedules that the explorer runs")
	exploreFrom  = flag.Int("explore.from", 1, "first seed of the explorer")
)

const (
	exploreSteps = 3000
	settleRounds = 600
	snapshotLag  = 12
)

type replica struct {
	id      uint64
	raft    *Raft
	disk    *disk
	state   *register
	applied uint64
	alive   bool
	frozen  bool
}

type explorer struct {
	t        *testing.T
	seed     int
	random   *rand.Rand
	replicas map[uint64]*replica
	order    []uint64
	flights  []*apiv1.RaftMessage
	cuts     map[[2]uint64]bool
	leaders  map[uint64]uint64
	chosen   map[uint64]uint64
	clock    int64
	ops      []*operation
	waiting  map[string]*operation
	reads    map[uint64]*operation
	nextRead uint64
	nextOp   int
	nextID   uint64
}

func newExplorer(t *testing.T, seed, voters int) *explorer {
	x := &explorer{t: t, seed: seed, random: rand.New(rand.NewPCG(uint64(seed), 7)), replicas: map[uint64]*replica{}, cuts: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{}, chosen: map[uint64]uint64{}, waiting: map[string]*operation{}, reads: map[uint64]*operation{}, nextID: 100}
	founders := &apiv1.Membership{}
	for i := 1; i <= voters; i++ {
		founders.Members = append(founders.Members, &apiv1.Member{Id: uint64(i), Name: fmt.Sprint(i)})
	}
	for i := 1; i <= voters; i++ {
		x.add(uint64(i), &disk{founders: founders})
	}
	return x
}

func (x *explorer) add(id uint64, d *disk) {
	r := &replica{id: id, disk: d}
	x.replicas[id] = r
	x.order = append(x.order, id)
	x.start(r)
}

func (x *explorer) start(r *replica) {
	r.alive, r.frozen = true, false
	r.state = &register{outcomes: map[string]bool{}}
	r.applied = 0
	restored := Restored{HardState: r.disk.hard, Snapshot: r.disk.snapshot, Entries: append([]*apiv1.LogEntry(nil), r.disk.entries...), Founders: r.disk.founders}
	r.raft = New(Config{ID: r.id, ElectionTicks: 10, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(x.random.Uint64(), r.id))}, restored)
	if s := r.disk.snapshot; s != nil {
		x.restore(r, s)
	}
}

func (x *explorer) restore(r *replica, s *apiv1.Snapshot) {
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

// work does one batch. A crash may strike before, amid or after the sync.
func (x *explorer) work(r *replica, mayCrash bool) {
	rd, ok := r.raft.Ready()
	if !ok {
		return
	}
	if mayCrash && x.random.IntN(400) == 0 {
		x.tear(r, rd)
		r.alive = false
		return
	}
	r.disk.save(rd)
	x.flights = append(x.flights, rd.Messages...)
	if rd.Snapshot != nil {
		x.restore(r, rd.Snapshot)
	}
	for _, e := range rd.Committed {
		x.applyEntry(r, e)
	}
	for _, read := range rd.Reads {
		x.answerRead(r, read)
	}
	r.raft.Advance()
	x.checkLeader(r)
	if r.applied > r.raft.Status().SnapshotIndex+snapshotLag {
		if s := r.raft.Compact(r.applied, r.state.snapshot()); s != nil {
			r.disk.compact(s)
		}
	}
}

// tear keeps a prefix of what was being written, as a crash amid a sync does.
func (x *explorer) tear(r *replica, rd Ready) {
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
	if other, ok := x.leaders[s.Term]; ok && other != r.id {
		x.t.Fatalf("seed %d: term %d has two leaders, %d and %d", x.seed, s.Term, other, r.id)
	}
	x.leaders[s.Term] = r.id
}

func (x *explorer) applyEntry(r *replica, e *apiv1.LogEntry) {
	if e.Index != r.applied+1 {
		x.t.Fatalf("seed %d: replica %d applied %d after %d", x.seed, r.id, e.Index, r.applied)
	}
	r.applied = e.Index
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %s", e.Term, e.Kind, e.Data)
	if held, ok := x.chosen[e.Index]; ok && held != h.Sum64() {
		x.t.Fatalf("seed %d: replica %d applied another entry at index %d than was committed", x.seed, r.id, e.Index)
	}
	x.chosen[e.Index] = h.Sum64()
	if e.Kind != apiv1.EntryKind_ENTRY_KIND_CHANGE {
		return
	}
	id, accepted := r.state.apply(e.Data)
	if op := x.waiting[id]; op != nil {
		op.finished = x.tick()
		op.result = 0
		if accepted {
			op.result = 1
		}
		delete(x.waiting, id)
	}
}

func (x *explorer) answerRead(r *replica, read Read) {
	op := x.reads[read.Context]
	if op == nil {
		return
	}
	delete(x.reads, read.Context)
	if read.Failed || r.applied < read.Index {
		op.unknown = true
		return
	}
	op.finished = x.tick()
	op.result = r.state.revision
}

func (x *explorer) tick() int64 {
	x.clock++
	return x.clock
}

func (x *explorer) deliver() {
	if len(x.flights) == 0 {
		return
	}
	i := x.random.IntN(min(len(x.flights), 8))
	m := x.flights[i]
	x.flights = append(x.flights[:i:i], x.flights[i+1:]...)
	roll := x.random.IntN(100)
	if x.cuts[[2]uint64{m.From, m.To}] || roll < 4 {
		return
	}
	if roll < 8 {
		x.flights = append(x.flights, m)
	}
	x.step(m)
}

func (x *explorer) step(m *apiv1.RaftMessage) {
	r := x.replicas[m.To]
	if r == nil || !r.alive || r.frozen {
		return
	}
	copied, _ := proto.Clone(m).(*apiv1.RaftMessage)
	r.raft.Step(copied)
	x.work(r, true)
}

// settle heals everything and expects one leader that all members follow.
func (x *explorer) settle() {
	x.cuts = map[[2]uint64]bool{}
	for _, id := range x.order {
		r := x.replicas[id]
		if !r.alive {
			x.start(r)
		}
		r.frozen = false
	}
	for round := 0; round < settleRounds; round++ {
		for _, id := range x.order {
			x.replicas[id].raft.Tick()
			x.work(x.replicas[id], false)
		}
		x.drain()
		if round%20 == 19 {
			x.promote()
		}
	}
	leader := x.leaderReplica()
	if leader == nil {
		x.t.Fatalf("seed %d: no leader after healing", x.seed)
	}
	x.checkConverged(leader)
}

func (x *explorer) drain() {
	for n := 0; len(x.flights) > 0 && n < 10_000; n++ {
		m := x.flights[0]
		x.flights = x.flights[1:]
		if r := x.replicas[m.To]; r != nil {
			copied, _ := proto.Clone(m).(*apiv1.RaftMessage)
			r.raft.Step(copied)
			x.work(r, false)
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
			x.t.Fatalf("seed %d: replica %d is at %d, the leader at %d", x.seed, r.id, r.applied, leader.applied)
		}
	}
}

// Operators submit and read while replicas crash with their unsynced tail
// gone, freeze, are cut off one way or both, lose a disk and are replaced, and
// messages are lost, doubled and reordered. Whatever the schedule, a term has
// one leader, a committed entry is never another one, and what operators see
// is one sequence of revisions; after healing all replicas hold the same.
func TestExploreSchedules(t *testing.T) {
	for seed := *exploreFrom; seed < *exploreFrom+*exploreSeeds; seed++ {
		voters := []int{1, 3, 3, 5}[seed%4]
		x := newExplorer(t, seed, voters)
		for i := 0; i < exploreSteps; i++ {
			x.chaos()
		}
		x.settle()
		x.checkLinearizable()
	}
}

// The explorer is of use only if changes get through while it runs.
func TestExplorerMakesProgress(t *testing.T) {
	x := newExplorer(t, 3, 3)
	for i := 0; i < exploreSteps; i++ {
		x.chaos()
	}
	x.settle()
	accepted := 0
	for _, op := range x.ops {
		if op.submit && op.result == 1 {
			accepted++
		}
	}
	assert.Assert(t, accepted > 10, "accepted %d", accepted)
}
