package consensus

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
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

// disk is what a crash leaves: synced state, and a tail that may be lost.
type disk struct {
	hard     *apiv1.HardState
	snapshot *apiv1.Snapshot
	entries  []*apiv1.LogEntry
	founders *apiv1.Membership
}

func (d *disk) save(rd Ready) {
	if rd.Snapshot != nil {
		d.snapshot = rd.Snapshot
		d.entries = nil
	}
	for _, e := range rd.Entries {
		d.cut(e.Index)
		d.entries = append(d.entries, e)
	}
	if rd.HardState != nil {
		d.hard = rd.HardState
	}
}

func (d *disk) cut(index uint64) {
	for i, e := range d.entries {
		if e.Index >= index {
			d.entries = d.entries[:i:i]
			return
		}
	}
}

func (d *disk) compact(s *apiv1.Snapshot) {
	d.snapshot = s
	var kept []*apiv1.LogEntry
	for _, e := range d.entries {
		if e.Index > s.Index {
			kept = append(kept, e)
		}
	}
	d.entries = kept
}

// register is the state machine under test: a revision that a change moves on
// only from the base it names, with the outcome of every change remembered.
type register struct {
	revision uint64
	outcomes map[string]bool
}

func (s *register) apply(data []byte) (id string, accepted bool) {
	var base uint64
	_, _ = fmt.Sscanf(string(data), "%s %d", &id, &base)
	if outcome, seen := s.outcomes[id]; seen {
		return id, outcome
	}
	accepted = base == s.revision
	if accepted {
		s.revision++
	}
	s.outcomes[id] = accepted
	return id, accepted
}

func (s *register) snapshot() []byte {
	text := fmt.Sprintf("%d", s.revision)
	ids := make([]string, 0, len(s.outcomes))
	for id := range s.outcomes {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		text += fmt.Sprintf(" %s=%t", id, s.outcomes[id])
	}
	return []byte(text)
}

type replica struct {
	id      uint64
	raft    *Raft
	disk    *disk
	state   *register
	applied uint64
	alive   bool
	frozen  bool
}

type operation struct {
	client   int
	submit   bool
	id       string
	base     uint64
	started  int64
	finished int64
	// result: the revision read, or 1 for accepted.
	result  uint64
	unknown bool
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

// registerModel is the sequential history that operators may observe.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, op := state.(uint64), input.(*operation)
		if !op.submit {
			return op.unknown || op.result == revision, revision
		}
		if op.unknown {
			if op.base == revision {
				return true, revision + 1
			}
			return true, revision
		}
		accepted := op.base == revision
		if accepted != (op.result == 1) {
			return false, revision
		}
		if accepted {
			return true, revision + 1
		}
		return true, revision
	},
}

func (x *explorer) checkLinearizable() {
	var history []porcupine.Operation
	for _, op := range x.ops {
		if op.finished == 0 {
			if !op.submit {
				continue
			}
			op.unknown = true
			op.finished = 1 << 40
		}
		history = append(history, porcupine.Operation{ClientId: op.client, Input: op, Call: op.started, Output: nil, Return: op.finished})
	}
	if !porcupine.CheckOperations(registerModel, history) {
		x.t.Fatalf("seed %d: the history is not linearizable", x.seed)
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
