package replica

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// This file applies snapshots and committed entries to the estate. They are applied outside the run
// loop, which goes on sending votes and heartbeats however long that takes.

// applyBatch is restored and then applied: a snapshot, if any, and the entries that follow it.
type applyBatch struct {
	snapshot *apiv1.Snapshot
	entries  []*apiv1.LogEntry
}

// applyQueue holds what the run loop has handed over to be applied. Its length is not limited: the
// entries are in the log in memory anyway.
type applyQueue struct {
	mu      sync.Mutex
	batches []applyBatch
	// filled wakes the goroutine that applies the batches, and progressed the run loop when it has
	// applied more.
	filled, progressed chan struct{}
}

func newApplyQueue() *applyQueue {
	return &applyQueue{filled: make(chan struct{}, 1), progressed: make(chan struct{}, 1)}
}

func (q *applyQueue) put(b applyBatch) {
	if b.snapshot == nil && len(b.entries) == 0 {
		return
	}
	q.mu.Lock()
	q.batches = append(q.batches, b)
	q.mu.Unlock()
	wake(q.filled)
}

func (q *applyQueue) take() []applyBatch {
	q.mu.Lock()
	defer q.mu.Unlock()
	batches := q.batches
	q.batches = nil
	return batches
}

// wake signals a goroutine that waits on a channel with a buffer of one.
func wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// runApply applies what is in the queue until ctx ends or a snapshot cannot be restored.
func (r *Replica) runApply(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.applyQueue.filled:
		}
		for _, b := range r.applyQueue.take() {
			if err := r.applyBatch(ctx, b); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) applyBatch(ctx context.Context, b applyBatch) error {
	if b.snapshot != nil {
		if err := r.restore(b.snapshot); err != nil {
			return err
		}
		wake(r.applyQueue.progressed)
	}
	for _, e := range b.entries {
		if ctx.Err() != nil {
			return nil
		}
		r.apply(e)
		wake(r.applyQueue.progressed)
	}
	return nil
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
	klog.InfoS("Revision restored from a snapshot", "replica", r.options.Name, "revision", r.state.Revision(), "index", s.Index, "term", s.Term)
	return nil
}

func (r *Replica) setApplied(index uint64) {
	r.applied = index
	close(r.appliedSignal)
	r.appliedSignal = make(chan struct{})
}

// appliedIndex returns the index up to which the estate is applied.
func (r *Replica) appliedIndex() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.applied
}

func (r *Replica) apply(e *apiv1.LogEntry) {
	var record *apiv1.AuditRecord
	r.mu.Lock()
	if e.Kind == apiv1.EntryKind_ENTRY_KIND_CHANGE {
		change := &apiv1.Change{}
		if err := proto.Unmarshal(e.Data, change); err == nil {
			before := r.state.Revision()
			record = r.state.Apply(e.Index, change)
			r.counters.changes.Add(record.Outcome.String(), 1)
			if revision := r.state.Revision(); revision > before {
				klog.InfoS("Revision applied", "replica", r.options.Name, "revision", revision, "before", before, "change", change.Id, "index", e.Index, "term", e.Term)
			}
		}
	}
	r.setApplied(e.Index)
	r.mu.Unlock()
	r.proposals.complete(e, record)
}

// proposals holds the changes that this replica has proposed and not applied yet. It is safe for
// concurrent use.
type proposals struct {
	mu      sync.Mutex
	pending map[uint64]pendingProposal
}

type pendingProposal struct {
	term uint64
	done chan<- *apiv1.AuditRecord
}

func (p *proposals) add(index uint64, proposal pendingProposal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending == nil {
		p.pending = map[uint64]pendingProposal{}
	}
	p.pending[index] = proposal
}

// complete returns the record of an applied entry to whoever proposed it.
func (p *proposals) complete(e *apiv1.LogEntry, record *apiv1.AuditRecord) {
	p.mu.Lock()
	proposal, ok := p.pending[e.Index]
	delete(p.pending, e.Index)
	p.mu.Unlock()
	if !ok {
		return
	}
	if proposal.term != e.Term {
		// The committed entry at this index was proposed by another leader, so this proposal
		// was not committed.
		record = nil
	}
	proposal.done <- record
}
