package replica

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/consensus"
	"cactuspath/core/estate"
)

// This file stores the state, compacts the log and handles a disk that rejects writes.

const (
	// compactThresholdBytes limits the size of the log file, and thus the time to restart.
	compactThresholdBytes = 8 << 20
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

func (r *Replica) maybeCompact() error {
	if r.disk.Size() < compactThresholdBytes || time.Now().Before(r.compactAfter) {
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
	if err := r.disk.Compact(s, r.raft.EntriesAfter(s.Index), r.hardState); err != nil {
		// The existing log stays valid; it is only longer than necessary.
		klog.ErrorS(err, "Log not compacted; will retry", "replica", r.options.Name)
		r.compactAfter = time.Now().Add(compactRetryInterval)
	}
	return nil
}
