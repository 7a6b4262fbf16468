package replica

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/consensus"
	"cactuspath/core/estate"
)

// This file stores the state, compacts the log and handles a disk that rejects writes.

const (
	// compactThresholdBytes and compactThresholdEntries limit the log, and thus the time to restart.
	compactThresholdBytes   = 8 << 20
	compactThresholdEntries = 4096
	// compactRetryInterval is the delay before compaction is retried after a disk error.
	compactRetryInterval = 5 * time.Second
	// diskRetryInterval is the interval of retries on a disk that rejected a write.
	diskRetryInterval = 250 * time.Millisecond
)

// waitForDisk waits until the disk accepts writes again. It returns false if ctx ends first.
// Meanwhile, the replica does not lead and does not vote or acknowledge entries: it sends nothing
// that it could not store, and redirects proposals and reads. If it continued without the disk, it
// would acknowledge data that a crash loses. Exiting would not help either, because a restarted
// process would find the same disk.
func (r *Replica) waitForDisk(ctx context.Context, cause error) bool {
	klog.ErrorS(cause, "Disk lost: standing aside", "replica", r.options.Name, "folder", r.options.DataFolder)
	r.counters.diskFailures.Add(1)
	failedAt := time.Now()
	r.raft.StepDown()
	r.publishStatus()
	retry := time.NewTicker(diskRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-r.inbox:
			// Drop the messages: senders retry those that are not acknowledged.
		case call := <-r.calls:
			call()
		case <-retry.C:
			if r.disk.Repair() == nil && r.processReady() == nil {
				klog.InfoS("Disk regained", "replica", r.options.Name, "after", time.Since(failedAt))
				return true
			}
			r.raft.StepDown()
		}
		rd, _ := r.raft.Ready()
		r.completeReads(rd.Reads)
	}
}

func (r *Replica) persist(rd consensus.Ready) error {
	if rd.HardState != nil {
		r.hardState = rd.HardState
	}
	if rd.Snapshot != nil {
		return r.disk.Compact(rd.Snapshot, rd.Entries, r.hardState)
	}
	if err := r.disk.Append(rd.Entries, rd.HardState); err != nil {
		return err
	}
	if rd.MustSync {
		r.counters.syncs.Add(1)
	}
	return r.disk.Flush(rd.MustSync)
}

// maybeCompact starts to compact the log if it is long. The snapshot is made and stored in the
// background, since that takes a time that grows with the state.
func (r *Replica) maybeCompact(ctx context.Context, loops *sync.WaitGroup) {
	s := r.status.Load()
	if r.compacting || time.Now().Before(r.compactAfter) || r.disk.Size() < compactThresholdBytes && s.Applied < s.SnapshotIndex+compactThresholdEntries {
		return
	}
	r.compacting = true
	loops.Go(func() {
		compacted, err := r.compact(ctx)
		if err != nil && ctx.Err() == nil {
			// The existing log stays valid; it is only longer than necessary.
			klog.ErrorS(err, "Log not compacted; will retry", "replica", r.options.Name)
		}
		_ = r.runInLoop(ctx, func() {
			r.compacting = false
			if !compacted {
				r.compactAfter = time.Now().Add(compactRetryInterval)
			}
		})
	})
}

// compact replaces the applied part of the log by a snapshot, unless the log already begins there. It
// is called outside the run loop.
func (r *Replica) compact(ctx context.Context) (compacted bool, err error) {
	begin := time.Now()
	r.mu.RLock()
	state, index := r.state.Snapshot(), r.applied
	r.mu.RUnlock()
	// Records that are in use are replaced and never modified, so that they can be encoded meanwhile.
	data, err := estate.Marshal(state)
	if err != nil {
		return false, err
	}
	var s *apiv1.Snapshot
	err = r.runInLoop(ctx, func() {
		r.raft.AppliedTo(index)
		s = r.raft.SnapshotAt(index, data)
	})
	if err != nil || s == nil {
		return false, err
	}
	if err := r.disk.PrepareSnapshot(s); err != nil {
		return false, err
	}
	var installErr error
	err = r.runInLoop(ctx, func() {
		// A snapshot that another replica sent may have replaced the log meanwhile.
		if r.raft.Compact(index, data) != nil {
			installErr = r.disk.InstallSnapshot(s, r.raft.EntriesAfter(index), r.hardState)
			compacted = installErr == nil
		}
	})
	if !compacted {
		return false, errors.CombineErrors(err, installErr)
	}
	r.counters.compactions.Add(1)
	klog.InfoS("Log compacted", "replica", r.options.Name, "index", s.Index, "bytes", len(data), "after", time.Since(begin))
	return true, nil
}
