// Package replica runs one control replica: it drives the consensus core with
// a clock, a disk and peers, applies agreed changes to the estate, and serves
// operators, nodes and relays.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/consensus"
	"cactuspath/core/estate"
	"cactuspath/internal/transport"
	"cactuspath/internal/wal"
)

const (
	tickInterval = 50 * time.Millisecond
	// electionTicks and heartbeatTicks make a follower stand for election 0.7 to
	// 1.4 s after the leader was last heard, and a leader step down 0.7 s after
	// its majority: some five heartbeats, where links delay a few milliseconds.
	electionTicks  = 14
	heartbeatTicks = 3
	// compactBytes bounds the log file, and with it the time to restart.
	compactBytes = 8 << 20
	// compactRetry spaces tries to compact a log on a disk that refuses them.
	compactRetry = 5 * time.Second
	inboxSize    = 256
	maxBatch     = 256
)

// Options set up a replica.
type Options struct {
	Name, Address string
	DataFolder    string
	Security      *transport.Security
	Operators     []Operator
	// Tick is the length of one tick; 0 means the usual 50 ms.
	Tick time.Duration
	// Group, if not nil, has the members chosen by the replicas themselves.
	Group *Group
}

// Replica is one control replica. Its exported methods are safe for
// concurrent use.
type Replica struct {
	options  Options
	identity wal.Identity
	disk     *wal.Log
	raft     *consensus.Raft
	peers    *peers
	relays   *relayTable
	counters *counters

	inbox chan []*apiv1.RaftMessage
	calls chan func()
	done  chan struct{}

	// The run loop alone uses these.
	waiters  map[uint64]waiter
	reads    map[uint64]chan<- consensus.Read
	nextRead uint64
	hard     *apiv1.HardState
	// compactAfter puts the next try off after one that failed.
	compactAfter time.Time

	mu      sync.RWMutex
	state   *estate.State
	applied uint64
	// appliedSignal is closed and replaced whenever applied grows.
	appliedSignal chan struct{}

	status atomic.Pointer[consensus.Status]

	joiners   *joiners
	joinState joinReporter
	watchers  watchers
	presence  *presence
}

type waiter struct {
	term uint64
	done chan<- *apiv1.AuditRecord
}

// Open reads the data folder and returns a replica that is ready to run.
func Open(options Options) (*Replica, error) {
	if options.Tick == 0 {
		options.Tick = tickInterval
	}
	disk, identity, restored, err := wal.Open(options.DataFolder)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options: options, identity: identity, disk: disk,
		relays: newRelayTable(), counters: newCounters(),
		inbox: make(chan []*apiv1.RaftMessage, inboxSize), calls: make(chan func(), inboxSize), done: make(chan struct{}),
		waiters: map[uint64]waiter{}, reads: map[uint64]chan<- consensus.Read{},
		state: estate.NewState(), appliedSignal: make(chan struct{}),
		hard: restored.HardState, joiners: newJoiners(), presence: newPresence(),
	}
	r.peers = newPeers(options.Security, r.counters, identity.MemberID, options.Address)
	if restored.Snapshot != nil {
		if err := r.restore(restored.Snapshot); err != nil {
			_ = disk.Close()
			return nil, err
		}
	}
	seed := rand.New(rand.NewPCG(rand.Uint64(), identity.MemberID))
	r.raft = consensus.New(consensus.Config{ID: identity.MemberID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: seed}, restored)
	r.publish()
	if disk.TornBytes > 0 {
		klog.InfoS("Cut a torn tail off the log", "bytes", disk.TornBytes)
	}
	return r, nil
}

// Run drives the replica until ctx ends. A disk that refuses writes makes it
// stand aside until the disk takes them again.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	defer r.peers.close()
	defer r.disk.Close()
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.runGroup(background)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.raft.Tick()
		case messages := <-r.inbox:
			r.step(messages)
		case call := <-r.calls:
			call()
		}
		r.drainInputs()
		if err := r.work(); err != nil && !r.standAside(ctx, err) {
			return nil
		}
	}
}

// diskRetry is how often a disk that refused a write is tried again.
const diskRetry = 250 * time.Millisecond

// standAside waits until the disk takes writes again; false means that ctx ended.
// Meanwhile the replica leads nobody and promises nothing: what it could not
// save is not sent, and proposals and reads are sent elsewhere. Going on without
// the disk would acknowledge what a crash takes back; ending the process would
// only have it started again in front of the same disk.
func (r *Replica) standAside(ctx context.Context, cause error) bool {
	klog.ErrorS(cause, "Disk lost: standing aside", "replica", r.options.Name, "folder", r.options.DataFolder)
	r.counters.diskFailures.Add(1)
	since := time.Now()
	r.raft.StepDown()
	r.publish()
	retry := time.NewTicker(diskRetry)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-r.inbox:
			// Others send again what they are not answered.
		case call := <-r.calls:
			call()
		case <-retry.C:
			if r.disk.Repair() == nil && r.work() == nil {
				klog.InfoS("Disk regained", "replica", r.options.Name, "after", time.Since(since))
				return true
			}
			r.raft.StepDown()
		}
		rd, _ := r.raft.Ready()
		r.answerReads(rd.Reads)
	}
}

// drainInputs takes in what waits already, so that one sync serves many.
func (r *Replica) drainInputs() {
	for range maxBatch {
		select {
		case messages := <-r.inbox:
			r.step(messages)
		case call := <-r.calls:
			call()
		default:
			return
		}
	}
}

func (r *Replica) step(messages []*apiv1.RaftMessage) {
	for _, m := range messages {
		r.raft.Step(m)
	}
}

// work does what the core asks, in the order that consensus.Ready documents.
func (r *Replica) work() error {
	for {
		rd, ok := r.raft.Ready()
		if !ok {
			r.publish()
			return nil
		}
		if err := r.save(rd); err != nil {
			return err
		}
		r.peers.send(rd.Messages, r.raft.Status().Membership)
		if rd.Snapshot != nil {
			if err := r.restore(rd.Snapshot); err != nil {
				return err
			}
		}
		for _, e := range rd.Committed {
			r.apply(e)
		}
		r.answerReads(rd.Reads)
		r.raft.Advance()
		if err := r.maybeCompact(); err != nil {
			return err
		}
	}
}

func (r *Replica) save(rd consensus.Ready) error {
	if rd.HardState != nil {
		r.hard = rd.HardState
	}
	if rd.Snapshot != nil {
		return r.disk.Compact(rd.Snapshot, rd.Entries, r.hard)
	}
	if err := r.disk.Append(rd.Entries, rd.HardState); err != nil {
		return err
	}
	if rd.MustSync {
		r.counters.syncs.Add(1)
	}
	return r.disk.Flush(rd.MustSync)
}

func (r *Replica) restore(s *apiv1.Snapshot) error {
	snapshot := &apiv1.EstateSnapshot{}
	if err := proto.Unmarshal(s.Data, snapshot); err != nil {
		return errors.Wrap(err, "read the snapshot's estate; move the data folder away and replace the replica")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Restore(snapshot)
	r.setApplied(s.Index)
	return nil
}

func (r *Replica) setApplied(index uint64) {
	r.applied = index
	close(r.appliedSignal)
	r.appliedSignal = make(chan struct{})
}

func (r *Replica) apply(e *apiv1.LogEntry) {
	var record *apiv1.AuditRecord
	r.mu.Lock()
	if e.Kind == apiv1.EntryKind_ENTRY_KIND_CHANGE {
		change := &apiv1.Change{}
		if err := proto.Unmarshal(e.Data, change); err == nil {
			record = r.state.Apply(e.Index, change)
			r.counters.changes.Add(record.Outcome.String(), 1)
		}
	}
	r.setApplied(e.Index)
	r.mu.Unlock()
	if w, ok := r.waiters[e.Index]; ok {
		delete(r.waiters, e.Index)
		if w.term != e.Term {
			// Another leader's entry took the place: this proposal is not agreed.
			record = nil
		}
		w.done <- record
	}
}

func (r *Replica) answerReads(reads []consensus.Read) {
	for _, read := range reads {
		if answer, ok := r.reads[read.Context]; ok {
			delete(r.reads, read.Context)
			answer <- read
		}
	}
}

func (r *Replica) maybeCompact() error {
	if r.disk.Size() < compactBytes || time.Now().Before(r.compactAfter) {
		return nil
	}
	r.mu.RLock()
	data, err := estate.Marshal(r.state.Snapshot())
	applied := r.applied
	r.mu.RUnlock()
	if err != nil {
		return err
	}
	s := r.raft.Compact(applied, data)
	if s == nil {
		return nil
	}
	r.counters.compactions.Add(1)
	if err := r.disk.Compact(s, r.raft.EntriesAfter(s.Index), r.hard); err != nil {
		// The log as it stands goes on being right; it is only longer than need be.
		klog.ErrorS(err, "Log not compacted; tried again later", "replica", r.options.Name)
		r.compactAfter = time.Now().Add(compactRetry)
	}
	return nil
}

// publish makes the core's status readable outside the loop and logs changes
// of role.
func (r *Replica) publish() {
	s := r.raft.Status()
	old := r.status.Swap(&s)
	if old == nil || old.Role != s.Role || old.Leader != s.Leader {
		klog.InfoS("Control replica changed role", "replica", r.options.Name, "role", s.Role.String(), "term", s.Term, "leader", memberName(s.Membership, s.Leader))
		if s.Role == consensus.Leader {
			r.relays.reset()
		}
	}
}

func memberName(m *apiv1.Membership, id uint64) string {
	if member := consensus.FindMember(m, id); member != nil {
		return member.Name
	}
	return "none"
}

// Status returns the core's view as of the last batch.
func (r *Replica) Status() consensus.Status { return *r.status.Load() }

// Revision is the newest revision applied here.
func (r *Replica) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Revision()
}

// inLoop runs f in the run loop and waits for it.
func (r *Replica) inLoop(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(ran) }:
	case <-r.done:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ran:
		return nil
	case <-r.done:
		return errStopped
	}
}

var errStopped = errors.New("the control replica is stopping; ask another one")

// HandOver asks another replica to lead, for a planned stop.
func (r *Replica) HandOver(ctx context.Context) {
	_ = r.inLoop(ctx, func() { r.raft.TransferLeader() })
}
