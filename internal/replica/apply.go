package replica

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// This file applies committed entries to the estate.

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
	if w, ok := r.proposals[e.Index]; ok {
		delete(r.proposals, e.Index)
		if w.term != e.Term {
			// The committed entry at this index was proposed by another leader, so this proposal
			// was not committed.
			record = nil
		}
		w.done <- record
	}
}
