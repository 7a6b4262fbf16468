package replica

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/consensus"
	"cactuspath/core/estate"
)

// The disk: what is saved, when the log is compacted, and what becomes of a replica
// whose disk refuses writes.

const (
	// compactBytes bounds the log file, and with it the time to restart.
	compactBytes = 8 << 20
	// compactRetry spaces tries to compact a log on a disk that refuses them.
	compactRetry = 5 * time.Second
	// diskRetry is how often a disk that refused a write is tried again.
	diskRetry = 250 * time.Millisecond
)

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
