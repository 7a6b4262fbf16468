// Package replica runs a control replica. It drives the consensus core with a clock, a disk and
// peers, applies committed changes to the estate, and serves operators, nodes and relays.
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
	// A follower starts an election 0.7 to 1.4 s after the last message of the leader, and a leader
	// steps down if it has not heard from a majority for 0.7 s. On links with delays of a few
	// milliseconds, about five heartbeats are sent in 0.7 s.
	electionTicks     = 14
	heartbeatTicks    = 3
	inputQueueSize    = 256
	maxInputsPerBatch = 256
)

// Options configure a replica.
type Options struct {
	Name, Address string
	DataFolder    string
	Security      *transport.Security
	Operators     []Operator
	// DataCenter is this replica's own data centre.
	DataCenter string
	// DataCenters lists the data centres that may be evacuated. If it is empty, any name is
	// accepted.
	DataCenters []string
	// LearnedProfiles makes the replica keep what gates learn of their backend servers, for gates
	// that start.
	LearnedProfiles bool
	// Tick is the time unit of the consensus core, in which election timeouts and heartbeats are
	// counted; 0 means 50 ms.
	Tick time.Duration
	// Group makes the replicas manage their membership themselves; nil leaves this to operators.
	Group *Group
}

// Replica is a control replica. Its exported methods are safe for concurrent use.
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

	proposals  proposals
	applyQueue *applyQueue

	// These fields are used only in the run loop.
	reads      map[uint64]chan<- consensus.Read
	lastReadID uint64
	hardState  *apiv1.HardState
	// compacting is set while the log is being compacted, and compactAfter is the earliest time at
	// which this is retried after a failure.
	compacting   bool
	compactAfter time.Time

	mu      sync.RWMutex
	state   *estate.State
	applied uint64
	// appliedSignal is closed and replaced whenever applied increases.
	appliedSignal chan struct{}

	status atomic.Pointer[publishedStatus]

	joinRequests *joinRequests
	joinLog      joinLogger
	voterLog     voterLogger
	lagLog       lagLogger
	watchers     watchers
	presence     *presence
	// quarantine stores what the nodes report about servers that crashed, and passes it on to the
	// other nodes.
	quarantine *quarantine.Tracker
	// profiles keeps what gates have learned; nil if options.LearnedProfiles is not set.
	profiles *profiles
}

// publishedStatus is the status of the consensus core at a time at which the run loop was not
// blocked.
type publishedStatus struct {
	consensus.Status
	at time.Time
}

// Open reads the data folder and returns a replica on which Run can be called.
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
		inbox: make(chan []*apiv1.RaftMessage, inputQueueSize), calls: make(chan func(), inputQueueSize), done: make(chan struct{}),
		applyQueue: newApplyQueue(), reads: map[uint64]chan<- consensus.Read{},
		state: estate.NewState(), appliedSignal: make(chan struct{}),
		hardState: restored.HardState, joinRequests: newJoinRequests(), presence: newPresence(),
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
		klog.ErrorS(err, "Stored quarantine not loaded", "replica", options.Name)
	}
	if options.LearnedProfiles {
		r.profiles = loadProfiles(options.Name, options.DataFolder)
	}
	seed := rand.New(rand.NewPCG(rand.Uint64(), identity.MemberID))
	r.raft = consensus.New(consensus.Config{ID: identity.MemberID, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Rand: seed}, restored)
	r.publishStatus()
	klog.InfoS("Log opened", "replica", options.Name, "bytes", disk.Size(), "entries", len(restored.Entries), "snapshot", restored.Snapshot.GetIndex(), "commit", r.Status().Commit, "revision", r.state.Revision())
	if disk.TornBytes > 0 {
		klog.InfoS("Truncated a torn tail of the log", "bytes", disk.TornBytes)
	}
	return r, nil
}

// Run runs the replica until ctx ends. While the disk rejects writes, the replica is not the leader
// and acknowledges neither changes nor log entries.
func (r *Replica) Run(ctx context.Context) error {
	defer r.peers.close()
	defer r.disk.Close()
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.manageMembership(background)
	go r.quarantine.Store(background, r.options.DataFolder)
	var loops sync.WaitGroup
	loops.Go(func() { r.profiles.run(background, r.options.DataFolder) })
	applyFailed := make(chan error, 1)
	loops.Go(func() {
		if err := r.runApply(background); err != nil {
			applyFailed <- err
		}
	})
	defer loops.Wait()
	defer close(r.done)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-applyFailed:
			return err
		case <-r.applyQueue.progressed:
			r.raft.AppliedTo(r.appliedIndex())
		case <-ticker.C:
			r.raft.Tick()
		case messages := <-r.inbox:
			r.step(messages)
		case call := <-r.calls:
			call()
		}
		r.processQueuedInputs()
		if err := r.processReady(); err != nil && !r.waitForDisk(ctx, err) {
			return nil
		}
		r.maybeCompact(background, &loops)
	}
}

// processQueuedInputs handles all queued messages and calls together, so that one disk sync
// suffices for them.
func (r *Replica) processQueuedInputs() {
	for range maxInputsPerBatch {
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

// processReady handles the output of the consensus core in the order that consensus.Ready
// documents.
func (r *Replica) processReady() error {
	for {
		rd, ok := r.raft.Ready()
		if !ok {
			r.publishStatus()
			return nil
		}
		if err := r.persist(rd); err != nil {
			return err
		}
		r.peers.send(rd.Messages, r.raft.Status().Membership)
		r.applyQueue.put(applyBatch{snapshot: rd.Snapshot, entries: rd.Committed})
		r.completeReads(rd.Reads)
		r.raft.Advance()
	}
}

func (r *Replica) completeReads(reads []consensus.Read) {
	for _, read := range reads {
		if answer, ok := r.reads[read.Context]; ok {
			delete(r.reads, read.Context)
			answer <- read
		}
	}
}

// publishStatus makes the status of the consensus core available outside the run loop and logs
// changes of the role or leader.
func (r *Replica) publishStatus() {
	s := r.raft.Status()
	old := r.status.Swap(&publishedStatus{s, time.Now()})
	if old == nil || old.Role != s.Role || old.Leader != s.Leader {
		klog.InfoS("Control replica changed role", "replica", r.options.Name, "role", s.Role.String(), "term", s.Term, "leader", memberName(s.Membership, s.Leader))
		if s.Role == consensus.Leader {
			r.relays.reset()
		}
	}
	r.lagLog.observe(r.options.Name, s, time.Now())
}

// lagLogThreshold is how long a replica lacks committed entries before this is logged.
const lagLogThreshold = 250 * time.Millisecond

// lagLogger logs when a replica has lacked committed entries for a while, and when it has caught up.
type lagLogger struct {
	since  time.Time
	logged bool
}

func (l *lagLogger) observe(replica string, s consensus.Status, now time.Time) {
	behind := s.Applied < s.CommitBound
	switch {
	case behind && l.since.IsZero():
		l.since = now
	case behind && !l.logged && now.Sub(l.since) >= lagLogThreshold:
		l.logged = true
		klog.InfoS("Control replica behind", "replica", replica, "applied", s.Applied, "lastIndex", s.LastIndex, "commitBound", s.CommitBound, "term", s.Term)
	case !behind:
		if l.logged {
			klog.InfoS("Control replica caught up", "replica", replica, "applied", s.Applied, "after", now.Sub(l.since))
		}
		*l = lagLogger{}
	}
}

func memberName(m *apiv1.Membership, id uint64) string {
	if member := consensus.FindMember(m, id); member != nil {
		return member.Name
	}
	return "none"
}

// Status returns the status of the consensus core after the last batch of messages and calls that
// the run loop has processed.
func (r *Replica) Status() consensus.Status { return r.status.Load().Status }

// Revision returns the newest revision that is applied on this replica.
func (r *Replica) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Revision()
}

// runInLoop runs f in the run loop and waits until it returns.
func (r *Replica) runInLoop(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	select {
	case r.calls <- func() { f(); close(finished) }:
	case <-r.done:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-r.done:
		return errStopped
	}
}

var errStopped = errors.New("the control replica is stopping; use another one")

// TransferLeadership starts a transfer of leadership to another replica, for a planned stop.
func (r *Replica) TransferLeadership(ctx context.Context) {
	_ = r.runInLoop(ctx, func() { r.raft.TransferLeader() })
}
