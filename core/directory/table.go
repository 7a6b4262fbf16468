// Package directory implements service discovery for the backend servers. Each
// backend server is announced by the node on its host; no other list of them
// exists.
//
// An entry describes the backend server of one host. Its only writer is the node on that
// host, except that a relay may mark it failed. The versions of an entry are ordered by
// (incarnation, sequence): the incarnation increases with each restart of the node, and the
// sequence with each change. Merging two versions keeps the larger one.
//
// Relays are nodes that keep the entries of all hosts. The nodes of a data centre send
// heartbeats to its relays, which mark the entry of a silent node failed. A node that is
// still running refutes this with its next sequence number. Between data centres, each
// relay sends only the entries of its own data centre, so that stale entries cannot return
// through a third data centre.
//
// All types are pure state machines: the time is passed in, and messages and work are
// returned. None is safe for concurrent use. Entries are immutable once they are in a
// table.
package directory

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Supersedes reports whether entry a is newer than entry b of the same host, or b is nil. At
// equal (incarnation, sequence), an entry that a relay marked failed is newer than the one
// announced by the node.
func Supersedes(a, b *apiv1.Entry) bool {
	if b == nil {
		return true
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	failed := apiv1.EndpointState_ENDPOINT_STATE_FAILED
	return a.State == failed && b.State != failed
}

// IsTombstone reports whether an entry is a tombstone: its host has failed or departed, and
// it is kept only so that an older entry of the host cannot return.
func IsTombstone(e *apiv1.Entry) bool {
	return e.State == apiv1.EndpointState_ENDPOINT_STATE_FAILED || e.State == apiv1.EndpointState_ENDPOINT_STATE_DEPARTED
}

// BucketCount is the number of digest buckets per data centre. Hosts are assigned to buckets
// by hash, and two tables are reconciled by sending the entries of the buckets whose digests
// differ. For two tables of 8,800 entries that differ in 10, this costs 18 KB with 1,024
// buckets and 132 KB with 64. The digests themselves take 8 KB and are sent only after a
// restart or a long silence.
const BucketCount = 1024

// row is an entry and the version of its last change.
type row struct {
	entry   *apiv1.Entry
	version uint64
}

type change struct {
	version uint64
	host    string
}

// Table holds one entry per host and assigns a version to each change, so that a
// reader at an earlier version can be sent only the changes since then.
type Table struct {
	rows    map[string]*row
	version uint64
	// changes is ordered by version; pruneChanges removes superseded changes.
	changes []change
	digests map[string]*[BucketCount]uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*row{}, digests: map[string]*[BucketCount]uint64{}}
}

// Version returns the version of the latest change.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of entries, including tombstones.
func (t *Table) Len() int { return len(t.rows) }

// Get returns the entry of a host, or nil.
func (t *Table) Get(host string) *apiv1.Entry {
	if r := t.rows[host]; r != nil {
		return r.entry
	}
	return nil
}

// Merge stores an entry if it supersedes the current one of its host, and reports
// whether it did.
func (t *Table) Merge(e *apiv1.Entry) bool {
	current := t.rows[e.Host]
	if current != nil && !Supersedes(e, current.entry) {
		return false
	}
	if current != nil {
		t.xorDigest(current.entry)
	} else {
		current = &row{}
		t.rows[e.Host] = current
	}
	t.version++
	current.entry, current.version = e, t.version
	t.changes = append(t.changes, change{t.version, e.Host})
	t.xorDigest(e)
	t.pruneChanges()
	return true
}

// Delete removes a host's entry if it is a tombstone.
func (t *Table) Delete(host string) {
	r := t.rows[host]
	if r == nil || !IsTombstone(r.entry) {
		return
	}
	t.xorDigest(r.entry)
	delete(t.rows, host)
}

// pruneChanges removes superseded changes once the list exceeds twice the number
// of rows plus 64.
func (t *Table) pruneChanges() {
	if len(t.changes) < 2*len(t.rows)+64 {
		return
	}
	kept := t.changes[:0]
	for _, c := range t.changes {
		if r := t.rows[c.host]; r != nil && r.version == c.version {
			kept = append(kept, c)
		}
	}
	t.changes = kept
}

// VisitChanges calls visit for the entries that changed after version, oldest change first,
// until visit returns false. It returns the version up to which visit has accepted all
// changes, from which a later call can continue.
func (t *Table) VisitChanges(version uint64, visit func(*apiv1.Entry) bool) uint64 {
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].version > version })
	for _, c := range t.changes[first:] {
		if r := t.rows[c.host]; r != nil && r.version == c.version && !visit(r.entry) {
			return c.version - 1
		}
	}
	return t.version
}

// VisitAll calls visit for every entry, in no particular order.
func (t *Table) VisitAll(visit func(*apiv1.Entry)) {
	for _, r := range t.rows {
		visit(r.entry)
	}
}

// AllDataCenters is the argument of Digests that selects all data centres.
const AllDataCenters = ""

// Digests returns the digest of each bucket over the entries of a data centre, or of all
// data centres. Two tables with equal digests hold the same entries.
func (t *Table) Digests(dataCenter string) []uint64 {
	out := make([]uint64, BucketCount)
	for center, d := range t.digests {
		if center != dataCenter && dataCenter != AllDataCenters {
			continue
		}
		for i, v := range d {
			out[i] ^= v
		}
	}
	return out
}

// xorDigest adds an entry to its bucket's digest, or removes it if it was added
// before.
func (t *Table) xorDigest(e *apiv1.Entry) {
	d := t.digests[e.DataCenter]
	if d == nil {
		d = new([BucketCount]uint64)
		t.digests[e.DataCenter] = d
	}
	d[Bucket(e.Host)] ^= entryHash(e)
}

// Bucket returns the digest bucket of a host.
func Bucket(host string) int { return int(xxhash.Sum64String(host) % BucketCount) }

func entryHash(e *apiv1.Entry) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], e.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], e.Sequence)
	binary.LittleEndian.PutUint64(b[16:], uint64(e.State))
	h := xxhash.New()
	_, _ = h.WriteString(e.Host)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Rendezvous orders names by their rendezvous hash (highest random weight) for a
// key. Every caller with the same names gets the same order, and adding or
// removing a name moves only the keys for which it ranks first.
func Rendezvous(key string, names []string) []string {
	out := append([]string(nil), names...)
	sort.Slice(out, func(i, j int) bool {
		a, b := weight(key, out[i]), weight(key, out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}

func weight(key, name string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(name)
	return h.Sum64()
}
