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
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/consensus"
	"cactuspath/core/estate"
	"cactuspath/internal/quarantine"
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
	inboxSize      = 256
	maxBatch       = 256
)

// Options set up a replica.
type Options struct {
	Name, Address string
	DataFolder    string
	Security      *transport.Security
	Operators     []Operator
	// DataCenters are those that may be evacuated; any if empty.
	DataCenters []string
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
	// quarantine remembers for the nodes what they know of servers that ended.
	quarantine *quarantine.Keeper
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
	r.quarantine = quarantine.New(quarantine.Options{Host: options.Name, Counters: &r.counters.quarantine})
	if err := r.quarantine.Load(options.DataFolder); err != nil {
		klog.ErrorS(err, "What was stored of servers that ended is not used", "replica", options.Name)
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
	go r.quarantine.Store(background, r.options.DataFolder)
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

func (r *Replica) answerReads(reads []consensus.Read) {
	for _, read := range reads {
		if answer, ok := r.reads[read.Context]; ok {
			delete(r.reads, read.Context)
			answer <- read
		}
	}
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
