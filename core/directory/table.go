// Package directory keeps track of the backend servers, each of which is
// announced by the node beside it. There is no list of them anywhere else.
//
// An entry has one writer, its node; (incarnation, sequence) orders what the
// writer said, so that merging is taking the larger. The relays of a data
// centre hear its nodes' heartbeats and may mark an entry failed; the node
// refutes that with its next sequence number. Data centres exchange only what
// their own relays vouch for, so that nothing comes back through a third one.
//
// All types are pure: time is passed in, messages and work come out. None is
// safe for concurrent use. Entries are never modified once they are in a table.
package directory

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Newer tells whether claim a supersedes claim b about the same host. At the
// same (incarnation, sequence) a relay's "failed" beats what the node said.
func Newer(a, b *apiv1.Entry) bool {
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

// Gone tells whether an entry is kept only so that an older claim about its
// host cannot come back.
func Gone(e *apiv1.Entry) bool {
	return e.State == apiv1.EndpointState_ENDPOINT_STATE_FAILED || e.State == apiv1.EndpointState_ENDPOINT_STATE_DEPARTED
}

// Buckets is how many digests sum up one data centre's entries. With 8,800
// entries that differ in 10, 64 buckets cost 132 KB and 1,024 cost 18 KB; the
// digests themselves are 8 KB, sent only after a restart or a long silence.
const Buckets = 1024

type row struct {
	entry   *apiv1.Entry
	version uint64
}

type change struct {
	version uint64
	host    string
}

// Table holds entries with a version for each change, so that a reader at an
// earlier version can be given what changed since.
type Table struct {
	rows    map[string]*row
	version uint64
	// changes is ordered by version; superseded ones are dropped now and then.
	changes []change
	digests map[string]*[Buckets]uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*row{}, digests: map[string]*[Buckets]uint64{}}
}

// Version counts the changes so far.
func (t *Table) Version() uint64 { return t.version }

// Len counts the entries, gone ones included.
func (t *Table) Len() int { return len(t.rows) }

// Get returns the entry of a host, or nil.
func (t *Table) Get(host string) *apiv1.Entry {
	if r := t.rows[host]; r != nil {
		return r.entry
	}
	return nil
}

// Merge takes in a claim and reports whether it superseded what was held.
func (t *Table) Merge(e *apiv1.Entry) bool {
	held := t.rows[e.Host]
	if held != nil && !Newer(e, held.entry) {
		return false
	}
	if held != nil {
		t.toggle(held.entry)
	} else {
		held = &row{}
		t.rows[e.Host] = held
	}
	t.version++
	held.entry, held.version = e, t.version
	t.changes = append(t.changes, change{t.version, e.Host})
	t.toggle(e)
	t.prune()
	return true
}

// Forget drops a gone entry for good.
func (t *Table) Forget(host string) {
	r := t.rows[host]
	if r == nil || !Gone(r.entry) {
		return
	}
	t.toggle(r.entry)
	delete(t.rows, host)
}

// prune keeps the list of changes within twice the number of rows.
func (t *Table) prune() {
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

// Since visits the entries that changed after version, oldest change first,
// until visit returns false. It returns the version up to which the reader is
// then current.
func (t *Table) Since(version uint64, visit func(*apiv1.Entry) bool) uint64 {
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].version > version })
	for _, c := range t.changes[first:] {
		if r := t.rows[c.host]; r != nil && r.version == c.version && !visit(r.entry) {
			return c.version - 1
		}
	}
	return t.version
}

// All visits every entry, in no particular order.
func (t *Table) All(visit func(*apiv1.Entry)) {
	for _, r := range t.rows {
		visit(r.entry)
	}
}

// AllCenters names every data centre in Digests.
const AllCenters = ""

// Digests sums up a data centre's entries, or all, one value per bucket. Two
// tables with equal digests hold the same entries.
func (t *Table) Digests(dataCenter string) []uint64 {
	out := make([]uint64, Buckets)
	for center, d := range t.digests {
		if center != dataCenter && dataCenter != AllCenters {
			continue
		}
		for i, v := range d {
			out[i] ^= v
		}
	}
	return out
}

// toggle adds an entry to its bucket's digest, or takes it out again.
func (t *Table) toggle(e *apiv1.Entry) {
	d := t.digests[e.DataCenter]
	if d == nil {
		d = new([Buckets]uint64)
		t.digests[e.DataCenter] = d
	}
	d[Bucket(e.Host)] ^= entryHash(e)
}

// Bucket is the digest bucket of a host.
func Bucket(host string) int { return int(xxhash.Sum64String(host) % Buckets) }

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

// Rendezvous orders names by their weight for a key: every caller with the
// same names gets the same order, and a name that comes or goes moves only the
// keys it ranks first for.
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
