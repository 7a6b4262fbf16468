package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/estate"
	"cactuspath/internal/wal"
)

// writeLog stores a log of committed changes, and a snapshot before it if state is not nil.
func writeLog(t *testing.T, folder string, state *estate.State, changes []*apiv1.Change) {
	t.Helper()
	founders := map[string]wal.Member{"a": {ID: 1, Address: "127.0.0.1:1"}}
	identity := wal.Identity{MemberID: 1, Name: "a", Founders: founders}
	assert.NilError(t, wal.WriteIdentity(folder, identity))
	log, _, _, err := wal.Open(folder)
	assert.NilError(t, err)
	first := uint64(1)
	hardState := &apiv1.HardState{Term: 1}
	if state != nil {
		data, err := estate.Marshal(state.Snapshot())
		assert.NilError(t, err)
		first = 100_001
		assert.NilError(t, log.Compact(&apiv1.Snapshot{Index: first - 1, Term: 1, Membership: identity.Membership(), Data: data}, nil, hardState))
	}
	var entries []*apiv1.LogEntry
	for i, c := range changes {
		data, err := proto.Marshal(c)
		assert.NilError(t, err)
		entries = append(entries, &apiv1.LogEntry{Term: 1, Index: first + uint64(i), Kind: apiv1.EntryKind_ENTRY_KIND_CHANGE, Data: data})
	}
	hardState.Commit = first + uint64(len(entries)) - 1
	assert.NilError(t, log.Append(entries, hardState))
	assert.NilError(t, log.Flush(true))
	assert.NilError(t, log.Close())
}

// hostChanges returns changes that announce planned stops of hosts and take them back.
func hostChanges(n int) []*apiv1.Change {
	var list []*apiv1.Change
	for i := range n {
		list = append(list, &apiv1.Change{Id: fmt.Sprint("host ", i), Kind: &apiv1.Change_Host{Host: &apiv1.HostChange{Host: fmt.Sprint(i / 2), Draining: i%2 == 0}}})
	}
	return list
}

func awaitRevision(t *testing.T, r *Replica, revision uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for r.readBarrier(ctx) != nil {
		assert.NilError(t, ctx.Err(), "no confirmed read")
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, r.Revision(), revision)
}

// Guards against a log of small entries that is never compacted: the time to restart grows with the
// number of changes.
func TestLogOfManySmallEntriesIsCompacted(t *testing.T) {
	const changes = compactThresholdEntries + 100
	folder := t.TempDir()
	writeLog(t, folder, nil, hostChanges(changes))
	r, stop := runProfileReplica(t, folder, false)
	awaitRevision(t, r, changes)
	for until := time.Now().Add(10 * time.Second); r.counters.compactions.Value() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d entries are not compacted", changes)
	}
	stop()
	log, _, restored, err := wal.Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, log.Close())
	assert.Assert(t, len(restored.Entries) < compactThresholdEntries/2, "%d entries are left", len(restored.Entries))
	r, _ = runProfileReplica(t, folder, false)
	awaitRevision(t, r, changes)
}

// Guards against a replica that makes one snapshot after the other while the disk rejects them, and
// against one that then takes a log for compacted that is not.
func TestFailedCompactionIsRetriedAfterAPause(t *testing.T) {
	const changes = compactThresholdEntries + 100
	folder := t.TempDir()
	writeLog(t, folder, nil, hostChanges(changes))
	// The snapshot cannot be written.
	obstacle := filepath.Join(folder, "snapshot.prepared.new")
	assert.NilError(t, os.Mkdir(obstacle, 0o700))
	r, _ := runProfileReplica(t, folder, false)
	awaitRevision(t, r, changes)
	retryIn := func() (pause time.Duration) {
		assert.NilError(t, r.runInLoop(t.Context(), func() { pause = time.Until(r.compactAfter) }))
		return pause
	}
	for range 2 {
		for until := time.Now().Add(10 * time.Second); retryIn() <= 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(until), "no pause after a failed compaction")
		}
		assert.Equal(t, r.counters.compactions.Value(), int64(0))
		assert.NilError(t, r.runInLoop(t.Context(), func() { r.compactAfter = time.Time{} }))
	}
}

// The estate and the history of the size that docs/CAPACITY.md works out: 990 services with 11 routes
// each, 50,000 records of changes, and the longest log. Guards against a replica that takes longer to
// restart than the two seconds within which a change has to take effect.
func TestRestartAtTheTargetsSizeTakesLessThanTwoSeconds(t *testing.T) {
	const services, routes, history, limit = 990, 11, 50_000, 2 * time.Second
	text := func(institution, change int) string {
		var b strings.Builder
		fmt.Fprintf(&b, `{"institution": "i%d", "services": {`, institution)
		for s := institution; s < services; s += 10 {
			fmt.Fprintf(&b, `"s%d": {"slots": %d}, `, s, 1+change%9)
		}
		b.WriteString(`}, "routes": {`)
		for s := institution; s < services; s += 10 {
			for route := range routes {
				fmt.Fprintf(&b, `"r%d-%d": {"host": "s%d.example", "pathPrefix": "/%d", "kind": "safe", "service": "s%d"}, `, s, route, s, route, s)
			}
		}
		b.WriteString("}}")
		return b.String()
	}
	state, index := estate.NewState(), uint64(0)
	submit := func(institution, i int) *apiv1.Change {
		source := text(institution, i)
		doc, problems := estate.Parse([]byte(source))
		assert.Assert(t, len(problems) == 0, "%v", problems)
		change := &apiv1.Change{Id: fmt.Sprint("submit ", i), Operator: "operator"}
		submit := &apiv1.SubmitChange{Institution: doc.Institution, BaseRevision: state.Document(doc.Institution).GetRevision(), TextGzip: estate.Gzip([]byte(source))}
		change.Kind = &apiv1.Change_Submit{Submit: submit}
		submit.Compiled = state.Compile(change, doc)
		return change
	}
	apply := func(c *apiv1.Change) *apiv1.Change {
		index++
		state.Apply(index, proto.CloneOf(c))
		return c
	}
	for i := range 10 {
		apply(submit(i, i))
	}
	for _, c := range hostChanges(history) {
		apply(c)
	}
	folder := t.TempDir()
	before := estate.NewState()
	before.Restore(state.Snapshot())
	var log []*apiv1.Change
	for i := range compactThresholdEntries - 1 {
		c := &apiv1.Change{Id: fmt.Sprint("later ", i), Kind: &apiv1.Change_Host{Host: &apiv1.HostChange{Host: fmt.Sprint("later ", i), Draining: true}}}
		if i%20 == 0 {
			c = submit(i%10, 100+i)
		}
		log = append(log, apply(c))
	}
	writeLog(t, folder, before, log)
	begin := time.Now()
	r, _ := runProfileReplica(t, folder, false)
	opened := time.Since(begin)
	awaitRevision(t, r, state.Revision())
	took := time.Since(begin)
	t.Logf("opened after %v, read back after %v; %d bytes of log", opened, took, r.disk.Size())
	assert.Assert(t, took < limit, "read back %v after the start", took)
}
