package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func entry(index, term uint64, text string) *apiv1.LogEntry {
	return &apiv1.LogEntry{Index: index, Term: term, Data: []byte(text)}
}

// folderWith is a data folder that holds the entries, synced.
func folderWith(t *testing.T, entries ...*apiv1.LogEntry) string {
	t.Helper()
	folder := t.TempDir()
	assert.NilError(t, WriteIdentity(folder, Identity{MemberID: 7, Name: "a"}))
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	for _, e := range entries {
		assert.NilError(t, l.Append([]*apiv1.LogEntry{e}, &apiv1.HardState{Term: e.Term, Vote: 1, Commit: e.Index}))
	}
	assert.NilError(t, l.Flush(true))
	assert.NilError(t, l.Close())
	return folder
}

func reopen(t *testing.T, folder string) []*apiv1.LogEntry {
	t.Helper()
	l, id, restored, err := Open(folder)
	assert.NilError(t, err)
	assert.Equal(t, id.MemberID, uint64(7))
	assert.NilError(t, l.Close())
	return restored.Entries
}

func TestWhatWasSyncedIsRestored(t *testing.T) {
	folder := folderWith(t, entry(1, 1, "one"), entry(2, 1, "two"), entry(2, 2, "two again"), entry(3, 2, "three"))
	entries := reopen(t, folder)
	assert.Equal(t, len(entries), 3)
	assert.Equal(t, string(entries[1].Data), "two again")
}

// Power fails while the last record is being written: the file ends at any byte
// of it. The replica must start with all records before, and go on from there.
func TestTornTailIsCutAtEveryByte(t *testing.T) {
	folder := folderWith(t, entry(1, 1, "one"), entry(2, 1, "two"))
	file := filepath.Join(folder, logName)
	whole, err := os.ReadFile(file)
	assert.NilError(t, err)
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry(3, 1, "three")}, nil))
	assert.NilError(t, l.Flush(true))
	assert.NilError(t, l.Close())
	longer, err := os.ReadFile(file)
	assert.NilError(t, err)
	for size := len(whole); size < len(longer); size++ {
		assert.NilError(t, os.WriteFile(file, longer[:size], filePerm))
		assert.Equal(t, len(reopen(t, folder)), 2, "cut at %d", size)
		zeros := append(append([]byte(nil), longer[:size]...), make([]byte, 600)...)
		assert.NilError(t, os.WriteFile(file, zeros, filePerm))
		assert.Equal(t, len(reopen(t, folder)), 2, "zeros from %d", size)
	}
	assert.NilError(t, os.WriteFile(file, longer, filePerm))
	assert.Equal(t, len(reopen(t, folder)), 3)
}

// Any single bit of a synced record flips. The replica must refuse to start: it
// might have forgotten a vote or an acknowledged change.
func TestEveryFlippedBitIsDamage(t *testing.T) {
	folder := folderWith(t, entry(1, 1, "one"), entry(2, 1, "two"))
	file := filepath.Join(folder, logName)
	good, err := os.ReadFile(file)
	assert.NilError(t, err)
	for i := range good {
		for bit := range 8 {
			bad := append([]byte(nil), good...)
			bad[i] ^= 1 << bit
			assert.NilError(t, os.WriteFile(file, bad, filePerm))
			_, _, _, err := Open(folder)
			var damage *DamageError
			assert.Assert(t, errors.As(err, &damage), "byte %d bit %d: %v", i, bit, err)
		}
	}
}

// A crash strikes between saving a received snapshot and rewriting the log. The
// old log may not continue the snapshot; entries that do not must be dropped.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	folder := folderWith(t, entry(1, 1, "one"), entry(2, 1, "two"), entry(3, 1, "three"))
	old, err := os.ReadFile(filepath.Join(folder, logName))
	assert.NilError(t, err)
	for _, c := range []struct {
		desc string
		snap *apiv1.Snapshot
		want int
	}{
		{"continues it", &apiv1.Snapshot{Index: 2, Term: 1}, 1},
		{"does not", &apiv1.Snapshot{Index: 2, Term: 9}, 0},
		{"is behind it", &apiv1.Snapshot{Index: 40, Term: 9}, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			l, _, _, err := Open(folder)
			assert.NilError(t, err)
			assert.NilError(t, l.Compact(c.snap, nil, nil))
			assert.NilError(t, l.Close())
			assert.NilError(t, os.WriteFile(filepath.Join(folder, logName), old, filePerm))
			l, _, restored, err := Open(folder)
			assert.NilError(t, err)
			assert.NilError(t, l.Close())
			assert.Equal(t, len(restored.Entries), c.want)
			assert.Equal(t, restored.Snapshot.Index, c.snap.Index)
		})
	}
}

// Two processes are started on one data folder. The second must not open it.
func TestFolderIsLocked(t *testing.T) {
	folder := folderWith(t)
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	_, _, _, err = Open(folder)
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, l.Close())
}

// A folder is claimed once. Claiming it again could hide what it held.
func TestFolderIsClaimedOnce(t *testing.T) {
	folder := folderWith(t)
	assert.ErrorContains(t, WriteIdentity(folder, Identity{MemberID: 9}), "already holds a replica")
}

// The disk refuses a write half-way. What it left is cut off, the same entries
// are written again once the disk takes them, and a restart finds each once.
func TestRepairTakesBackAHalfWrittenRecord(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, WriteIdentity(folder, Identity{MemberID: 1, Name: "a"}))
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	entry := func(i uint64) *apiv1.LogEntry { return &apiv1.LogEntry{Term: 1, Index: i, Data: []byte("change")} }
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry(1)}, nil))
	assert.NilError(t, l.Flush(true))
	whole := l.file
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry(2)}, nil))
	_, err = whole.Write(l.buffer[:len(l.buffer)/2])
	assert.NilError(t, err)
	l.file, err = os.Open(whole.Name())
	assert.NilError(t, err)
	assert.Assert(t, l.Flush(true) != nil, "a file that is open for reading only took a write")
	l.file = whole
	assert.NilError(t, l.Repair())
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry(2)}, nil))
	assert.NilError(t, l.Flush(true))
	assert.NilError(t, l.Close())
	l, _, restored, err := Open(folder)
	assert.NilError(t, err)
	defer l.Close()
	assert.Equal(t, len(restored.Entries), 2)
	assert.Equal(t, l.TornBytes, int64(0))
}

// A replica does not start any more after a loss of power: "the log is damaged".
// It had written two commit positions, each without a sync; the disk lost the
// first write and kept the second, which left a hole with a whole record behind
// it. The log then looks as if synced data had changed.
func TestLostWriteBeforeAKeptOneIsNoDamage(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, WriteIdentity(folder, Identity{MemberID: 1, Name: "a"}))
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	path := filepath.Join(folder, logName)
	sizeOf := func() int64 {
		info, err := os.Stat(path)
		assert.NilError(t, err)
		return info.Size()
	}
	assert.NilError(t, l.Append([]*apiv1.LogEntry{{Term: 1, Index: 1, Data: []byte("change")}}, &apiv1.HardState{Term: 1}))
	assert.NilError(t, l.Flush(true))
	synced := sizeOf()
	assert.NilError(t, l.Append(nil, &apiv1.HardState{Term: 1, Commit: 1}))
	assert.NilError(t, l.Flush(false))
	first := sizeOf()
	assert.NilError(t, l.Append(nil, &apiv1.HardState{Term: 1, Commit: 1}))
	assert.NilError(t, l.Flush(false))
	assert.NilError(t, l.Close())

	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	clear(data[synced:first])
	assert.NilError(t, os.WriteFile(path, data, filePerm))
	l, _, restored, err := Open(folder)
	assert.NilError(t, err)
	defer l.Close()
	assert.Equal(t, len(restored.Entries), 1)
}

// Records that were flushed without a sync outlast a failed write behind them: the
// replica that repairs its log writes only the failed ones again.
func TestRepairKeepsWhatWasFlushedBefore(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, WriteIdentity(folder, Identity{MemberID: 1, Name: "a"}))
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, l.Append(nil, &apiv1.HardState{Term: 3, Commit: 7}))
	assert.NilError(t, l.Flush(false))
	entry := &apiv1.LogEntry{Term: 3, Index: 1, Data: []byte("change")}
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry}, nil))
	whole := l.file
	l.file, err = os.Open(whole.Name())
	assert.NilError(t, err)
	assert.Assert(t, l.Flush(true) != nil, "a file that is open for reading only took a write")
	l.file = whole
	assert.NilError(t, l.Repair())
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry}, nil))
	assert.NilError(t, l.Flush(true))
	assert.NilError(t, l.Close())
	l, _, restored, err := Open(folder)
	assert.NilError(t, err)
	defer l.Close()
	assert.Equal(t, len(restored.Entries), 1)
	assert.Equal(t, restored.HardState.Commit, uint64(7))
}
