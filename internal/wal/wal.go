package wal

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/consensus"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	// preparedName is a complete snapshot that does not replace the current one yet.
	preparedName = "snapshot.prepared"
	identityName = "identity.json"
	lockName     = "lock"
	filePerm     = 0o600
	dirPerm      = 0o700
)

// Errors returned for a data folder that cannot be used. The messages tell operators what to do.
var (
	ErrNoIdentity = errors.New("the data folder holds no replica; run `cactuspath init --settings F` for the first start of a new cluster, " +
		"or start it as it is and run `cactusctl replica add` to admit it to a running one")
	ErrLocked = errors.New("another process uses this data folder; stop that process first")
)

// Identity identifies the member that a data folder belongs to. A replica that lost its folder gets
// a new ID, so that it never votes under its previous identity.
type Identity struct {
	MemberID uint64            `json:"memberId"`
	Name     string            `json:"name"`
	Founders map[string]Member `json:"founders,omitempty"`
}

// Member is a founding member of the cluster.
type Member struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
}

// Membership returns the founders as the initial membership, or nil for a replica that waits to be
// admitted.
func (i Identity) Membership() *apiv1.Membership {
	if len(i.Founders) == 0 {
		return nil
	}
	m := &apiv1.Membership{}
	for name, f := range i.Founders {
		m.Members = append(m.Members, &apiv1.Member{Id: f.ID, Name: name, Address: f.Address})
	}
	return m
}

// HasIdentity reports whether the folder belongs to a replica.
func HasIdentity(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, identityName))
	return err == nil
}

// WriteIdentity assigns a folder to a member by storing its identity there. It fails if the folder
// already belongs to a replica.
func WriteIdentity(folder string, id Identity) error {
	if HasIdentity(folder) {
		return errors.Newf("%s already holds a replica; use another folder", folder)
	}
	if err := os.MkdirAll(folder, dirPerm); err != nil {
		return errors.Wrap(err, "create the data folder")
	}
	data, err := json.MarshalIndent(id, "", "  ")
	if err != nil {
		return err
	}
	return WriteSynced(folder, identityName, data)
}

// Log is the open data folder of a replica, with its log file and snapshot. It is not safe for
// concurrent use.
type Log struct {
	folder string
	lock   *os.File
	file   *os.File
	// buffer holds records that are not in the file yet. The first flushed bytes of it are from
	// before the last Flush without sync.
	buffer  []byte
	flushed int
	size    int64
	// syncedSize is the length of the file as of the last sync, up to which it holds only complete
	// records.
	syncedSize int64
	// TornBytes is the length of a partly written record at the end of the file that Open removed,
	// as left by a crash during a write.
	TornBytes int64
}

// Open locks the folder and returns its log, the identity of the replica and the stored state.
func Open(folder string) (*Log, Identity, consensus.PersistentState, error) {
	l := &Log{folder: folder}
	var id Identity
	if err := l.lockFolder(); err != nil {
		return nil, id, consensus.PersistentState{}, err
	}
	id, restored, err := l.load()
	if err != nil {
		_ = l.Close()
		return nil, id, restored, err
	}
	return l, id, restored, nil
}

func (l *Log) lockFolder() error {
	f, err := os.OpenFile(filepath.Join(l.folder, lockName), os.O_CREATE|os.O_RDWR, filePerm)
	if errors.Is(err, fs.ErrNotExist) {
		return ErrNoIdentity
	}
	if err != nil {
		return errors.Wrap(err, "open the data folder")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return ErrLocked
	}
	l.lock = f
	return nil
}

func (l *Log) load() (Identity, consensus.PersistentState, error) {
	var id Identity
	var restored consensus.PersistentState
	data, err := os.ReadFile(filepath.Join(l.folder, identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return id, restored, ErrNoIdentity
	}
	if err != nil {
		return id, restored, errors.Wrap(err, "read the replica's identity")
	}
	if err := json.Unmarshal(data, &id); err != nil {
		return id, restored, &DamageError{File: filepath.Join(l.folder, identityName), Reason: err.Error()}
	}
	restored.Founders = id.Membership()
	if restored.Snapshot, err = l.loadSnapshot(); err != nil {
		return id, restored, err
	}
	return id, restored, l.loadEntries(&restored)
}

func (l *Log) loadSnapshot() (*apiv1.Snapshot, error) {
	path := filepath.Join(l.folder, snapshotName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the snapshot")
	}
	// The snapshot is renamed into place after its sync, so a crash cannot tear it: any mismatch is
	// damage.
	_, payload, _, err := readRecord(data)
	if err != nil {
		return nil, &DamageError{File: path, Reason: err.Error()}
	}
	s := &apiv1.Snapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, &DamageError{File: path, Reason: err.Error()}
	}
	return s, nil
}

func (l *Log) loadEntries(restored *consensus.PersistentState) error {
	path := filepath.Join(l.folder, logName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		if restored.Snapshot != nil {
			return &DamageError{File: path, Reason: "the log file is missing although a snapshot exists"}
		}
		return l.rewrite(nil, nil, nil)
	}
	if err != nil {
		return errors.Wrap(err, "read the log")
	}
	r := logReplay{}
	offset := 0
	for offset < len(data) {
		kind, payload, size, err := readRecord(data[offset:])
		if errors.Is(err, errTorn) {
			break
		}
		if err == nil {
			err = r.apply(kind, payload)
		}
		if err != nil {
			return &DamageError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
	}
	l.TornBytes = int64(len(data) - offset)
	restored.HardState = r.hardState
	restored.Entries = r.entriesAfter(restored.Snapshot)
	return l.openForAppend(path, int64(offset))
}

// openForAppend truncates a torn tail and positions the file for appending.
func (l *Log) openForAppend(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_RDWR, filePerm)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	if err := f.Truncate(size); err != nil {
		return errors.Wrap(err, "truncate the log's torn tail")
	}
	if err := syncFile(f); err != nil {
		return errors.Wrap(err, "sync the log")
	}
	if _, err := f.Seek(size, 0); err != nil {
		return errors.Wrap(err, "seek to the end of the log")
	}
	l.file, l.size, l.syncedSize = f, size, size
	return nil
}

// logReplay collects the records of a log file.
type logReplay struct {
	base      *apiv1.LogEntry
	entries   []*apiv1.LogEntry
	hardState *apiv1.HardState
}

func (r *logReplay) apply(kind recordKind, payload []byte) error {
	switch kind {
	case kindBase:
		r.base = &apiv1.LogEntry{}
		return proto.Unmarshal(payload, r.base)
	case kindHardState:
		r.hardState = &apiv1.HardState{}
		return proto.Unmarshal(payload, r.hardState)
	case kindEntry:
		e := &apiv1.LogEntry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return err
		}
		return r.applyEntry(e)
	}
	return errors.Newf("unknown record kind %d", kind)
}

// applyEntry appends an entry. An entry whose index is already present replaces that entry and all
// that follow it, because a leader of a later term overwrote them.
func (r *logReplay) applyEntry(e *apiv1.LogEntry) error {
	next := r.base.GetIndex() + uint64(len(r.entries)) + 1
	if e.Index > next || e.Index <= r.base.GetIndex() {
		return errors.Newf("entry %d cannot follow entry %d", e.Index, next-1)
	}
	r.entries = append(r.entries[:e.Index-r.base.GetIndex()-1], e)
	return nil
}

// entriesAfter returns the entries that continue the snapshot. After a crash between saving a
// received snapshot and rewriting the log, the log may not continue the snapshot; its entries are
// then dropped, since the snapshot supersedes them.
func (r *logReplay) entriesAfter(s *apiv1.Snapshot) []*apiv1.LogEntry {
	if s == nil || r.base.GetIndex() == s.Index && r.base.GetTerm() == s.Term {
		return r.entries
	}
	for i, e := range r.entries {
		if e.Index == s.Index && e.Term == s.Term {
			return r.entries[i+1:]
		}
	}
	return nil
}

// Append buffers entries and, unless it is nil, the hard state (term, vote and commit position) for
// the next Flush.
func (l *Log) Append(entries []*apiv1.LogEntry, hardState *apiv1.HardState) error {
	for _, e := range entries {
		if err := l.bufferRecord(kindEntry, e); err != nil {
			return err
		}
	}
	if hardState != nil {
		return l.bufferRecord(kindHardState, hardState)
	}
	return nil
}

func (l *Log) bufferRecord(kind recordKind, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	l.buffer = appendRecord(l.buffer, kind, payload)
	return nil
}

// Flush writes the buffered records and waits until they are on disk if sync is set. Without sync,
// it keeps them in memory until the next Flush with sync. Use this only for records that are not
// needed after a crash.
//
// As a result, the file never holds more than one unsynced write. A power failure preserves or
// loses each unsynced write independently. With two unsynced writes, it could lose the first and
// preserve the second, which leaves a gap before valid records. Such a gap cannot be distinguished
// from damage to synced data, so the replica would permanently refuse to start.
func (l *Log) Flush(sync bool) error {
	if !sync {
		l.flushed = len(l.buffer)
		return nil
	}
	n, err := l.file.Write(l.buffer)
	l.size += int64(n)
	if err != nil {
		return errors.Wrap(err, "write the log; free disk space or replace the disk")
	}
	if err := syncFile(l.file); err != nil {
		return errors.Wrap(err, "sync the log; replace the disk")
	}
	l.buffer, l.flushed = l.buffer[:0], 0
	l.syncedSize = l.size
	return nil
}

// Repair removes the records of a failed Flush from the file and the buffer, so that the caller can
// append and flush the same records again. It returns an error as long as the disk rejects writes.
func (l *Log) Repair() error {
	l.buffer = l.buffer[:l.flushed]
	if err := l.file.Truncate(l.syncedSize); err != nil {
		return errors.Wrap(err, "truncate the log after a failed write")
	}
	if _, err := l.file.Seek(l.syncedSize, 0); err != nil {
		return errors.Wrap(err, "seek to the end of the log")
	}
	l.size = l.syncedSize
	return nil
}

// Size returns the length of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

// Compact saves a snapshot and rewrites the log to hold only the entries that follow it.
func (l *Log) Compact(s *apiv1.Snapshot, entries []*apiv1.LogEntry, hardState *apiv1.HardState) error {
	if err := l.writeSnapshot(snapshotName, s); err != nil {
		return err
	}
	return l.rewrite(s, entries, hardState)
}

// PrepareSnapshot saves a snapshot for InstallSnapshot. In contrast to all other methods, it may be
// called while the log is in use.
func (l *Log) PrepareSnapshot(s *apiv1.Snapshot) error { return l.writeSnapshot(preparedName, s) }

// InstallSnapshot replaces the current snapshot by the prepared one, which must be s, and rewrites the
// log to hold only the entries that follow it.
func (l *Log) InstallSnapshot(s *apiv1.Snapshot, entries []*apiv1.LogEntry, hardState *apiv1.HardState) error {
	if err := os.Rename(filepath.Join(l.folder, preparedName), filepath.Join(l.folder, snapshotName)); err != nil {
		return errors.Wrap(err, "install the snapshot")
	}
	if err := syncFolder(l.folder); err != nil {
		return errors.Wrap(err, "sync the data folder")
	}
	return l.rewrite(s, entries, hardState)
}

func (l *Log) writeSnapshot(name string, s *apiv1.Snapshot) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return err
	}
	return WriteSynced(l.folder, name, appendRecord(nil, kindBase, payload))
}

// rewrite replaces the log file. The snapshot that it continues is already on disk, so a crash at
// any point leaves a consistent log and snapshot.
func (l *Log) rewrite(s *apiv1.Snapshot, entries []*apiv1.LogEntry, hardState *apiv1.HardState) error {
	var data []byte
	base, err := proto.Marshal(&apiv1.LogEntry{Index: s.GetIndex(), Term: s.GetTerm()})
	if err != nil {
		return err
	}
	data = appendRecord(data, kindBase, base)
	for _, e := range entries {
		payload, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		data = appendRecord(data, kindEntry, payload)
	}
	if hardState != nil {
		payload, err := proto.Marshal(hardState)
		if err != nil {
			return err
		}
		data = appendRecord(data, kindHardState, payload)
	}
	if err := WriteSynced(l.folder, logName, data); err != nil {
		return err
	}
	// The buffered records are older than the state that was just written.
	l.buffer, l.flushed = l.buffer[:0], 0
	if l.file != nil {
		_ = l.file.Close()
	}
	return l.openForAppend(filepath.Join(l.folder, logName), int64(len(data)))
}

// Close closes the log file and unlocks the folder.
func (l *Log) Close() error {
	if l.file != nil {
		_ = l.file.Close()
	}
	return l.lock.Close()
}

// WriteSynced replaces a file atomically: a reader sees either the old or the new contents. If
// that fails, it removes the partial new file, which would take up space on a full disk.
func WriteSynced(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
	if err != nil {
		return errors.Wrapf(err, "create %s", path)
	}
	_, err = f.Write(data)
	if err == nil {
		err = syncFile(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		_ = os.Remove(path + ".new")
	} else {
		err = syncFolder(folder)
	}
	return errors.Wrapf(err, "write %s", path)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return syncFile(d)
}

// slowSync is the duration from which a sync is logged: until one of the log ends, the replica acknowledges
// nothing.
const slowSync = 500 * time.Millisecond

func syncFile(f *os.File) error {
	begin := time.Now()
	err := f.Sync()
	if took := time.Since(begin); took >= slowSync {
		klog.InfoS("Disk slow: a sync took long", "file", f.Name(), "took", took, "err", err)
	}
	return err
}
