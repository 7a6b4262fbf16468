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

// newDataFolder returns a data folder with synced entries.
func newDataFolder(t *testing.T, entries ...*apiv1.LogEntry) string {
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

func TestSyncedEntriesAreRestored(t *testing.T) {
	folder := newDataFolder(t, entry(1, 1, "one"), entry(2, 1, "two"), entry(2, 2, "two again"), entry(3, 2, "three"))
	entries := reopen(t, folder)
	assert.Equal(t, len(entries), 3)
	assert.Equal(t, string(entries[1].Data), "two again")
}

// Guards against a replica that cannot start after a power failure during a write. The file may end
// at any byte of the last record; all records before it must be restored, and appending must
// continue after them.
func TestTornTailIsCutAtEveryByte(t *testing.T) {
	folder := newDataFolder(t, entry(1, 1, "one"), entry(2, 1, "two"))
	file := filepath.Join(folder, logName)
	intact, err := os.ReadFile(file)
	assert.NilError(t, err)
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry(3, 1, "three")}, nil))
	assert.NilError(t, l.Flush(true))
	assert.NilError(t, l.Close())
	longer, err := os.ReadFile(file)
	assert.NilError(t, err)
	for size := len(intact); size < len(longer); size++ {
		assert.NilError(t, os.WriteFile(file, longer[:size], filePerm))
		assert.Equal(t, len(reopen(t, folder)), 2, "truncated at %d", size)
		zeros := append(append([]byte(nil), longer[:size]...), make([]byte, 600)...)
		assert.NilError(t, os.WriteFile(file, zeros, filePerm))
		assert.Equal(t, len(reopen(t, folder)), 2, "zeros from %d", size)
	}
	assert.NilError(t, os.WriteFile(file, longer, filePerm))
	assert.Equal(t, len(reopen(t, folder)), 3)
}

// Guards against starting on corrupted data, which may have lost a vote or an acknowledged change.
// A flip of any single bit of a synced record must be detected.
func TestEveryFlippedBitIsDamage(t *testing.T) {
	folder := newDataFolder(t, entry(1, 1, "one"), entry(2, 1, "two"))
	file := filepath.Join(folder, logName)
	valid, err := os.ReadFile(file)
	assert.NilError(t, err)
	for i := range valid {
		for bit := range 8 {
			bad := append([]byte(nil), valid...)
			bad[i] ^= 1 << bit
			assert.NilError(t, os.WriteFile(file, bad, filePerm))
			_, _, _, err := Open(folder)
			var damage *DamageError
			assert.Assert(t, errors.As(err, &damage), "byte %d bit %d: %v", i, bit, err)
		}
	}
}

// Guards against restoring entries that do not continue the snapshot, as left by a crash between
// saving a received snapshot and rewriting the log.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	folder := newDataFolder(t, entry(1, 1, "one"), entry(2, 1, "two"), entry(3, 1, "three"))
	old, err := os.ReadFile(filepath.Join(folder, logName))
	assert.NilError(t, err)
	for _, c := range []struct {
		desc string
		snap *apiv1.Snapshot
		want int
	}{
		{"log continues the snapshot", &apiv1.Snapshot{Index: 2, Term: 1}, 1},
		{"log does not continue the snapshot", &apiv1.Snapshot{Index: 2, Term: 9}, 0},
		{"log ends before the snapshot", &apiv1.Snapshot{Index: 40, Term: 9}, 0},
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

// Guards against two processes using one data folder.
func TestFolderIsLocked(t *testing.T) {
	folder := newDataFolder(t)
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	_, _, _, err = Open(folder)
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, l.Close())
}

// Guards against overwriting the identity of a folder in use, which could make its contents
// unusable.
func TestWriteIdentityRefusesUsedFolder(t *testing.T) {
	folder := newDataFolder(t)
	assert.ErrorContains(t, WriteIdentity(folder, Identity{MemberID: 9}), "already holds a replica")
}

// Guards against a partial record after a failed write. Repair must remove it; after the same
// entries are written again, a restart must find each once.
func TestRepairRemovesPartialRecord(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, WriteIdentity(folder, Identity{MemberID: 1, Name: "a"}))
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	entry := func(i uint64) *apiv1.LogEntry { return &apiv1.LogEntry{Term: 1, Index: i, Data: []byte("change")} }
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry(1)}, nil))
	assert.NilError(t, l.Flush(true))
	writable := l.file
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry(2)}, nil))
	_, err = writable.Write(l.buffer[:len(l.buffer)/2])
	assert.NilError(t, err)
	l.file, err = os.Open(writable.Name())
	assert.NilError(t, err)
	assert.Assert(t, l.Flush(true) != nil, "a write to a read-only file succeeded")
	l.file = writable
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

// Guards against mistaking the effect of a power failure for damage, after which the replica would
// not start. If two commit positions were written without a sync, the disk could lose the first
// write and preserve the second. The gap before a valid record would look like a change to synced
// data.
func TestLostWriteBeforePersistedWriteIsNotDamage(t *testing.T) {
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

// Guards against Repair discarding records that were flushed without a sync before the failed
// write. Only the failed records are written again.
func TestRepairKeepsEarlierFlushedRecords(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, WriteIdentity(folder, Identity{MemberID: 1, Name: "a"}))
	l, _, _, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, l.Append(nil, &apiv1.HardState{Term: 3, Commit: 7}))
	assert.NilError(t, l.Flush(false))
	entry := &apiv1.LogEntry{Term: 3, Index: 1, Data: []byte("change")}
	assert.NilError(t, l.Append([]*apiv1.LogEntry{entry}, nil))
	writable := l.file
	l.file, err = os.Open(writable.Name())
	assert.NilError(t, err)
	assert.Assert(t, l.Flush(true) != nil, "a write to a read-only file succeeded")
	l.file = writable
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

// Guards against partial files that stay on a full disk after each failed write.
func TestFailedWriteLeavesNoPartialFile(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "data")
	// A folder cannot be replaced by a file.
	assert.NilError(t, os.Mkdir(path, 0o700))
	assert.Assert(t, WriteSynced(folder, "data", []byte("text")) != nil)
	_, err := os.Stat(path + ".new")
	assert.Assert(t, os.IsNotExist(err), "%v", err)
}
