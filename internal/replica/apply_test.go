package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/consensus"
	"cactuspath/core/estate"
)

const smallEstate = `{"institution": "a", "services": {"x": {"slots": 1}}}`

func waitForLeader(t *testing.T, r *Replica) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); r.Status().Role != consensus.Leader; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "no leader")
	}
}

// submitSmall submits a change of a small estate.
func submitSmall(ctx context.Context, r *Replica, base uint64) (*apiv1.AuditRecord, error) {
	return r.Submit(ctx, "operator", Submission{ID: fmt.Sprint("on ", base), BaseRevision: base, Text: []byte(smallEstate)})
}

// Guards against a replica that neither votes nor sends heartbeats while it applies entries: the
// others elect another leader, or none if all of them replay their logs.
func TestRunLoopDoesNotWaitForEntriesToBeApplied(t *testing.T) {
	r, _ := runProfileReplica(t, t.TempDir(), false)
	waitForLeader(t, r)
	first, err := submitSmall(t.Context(), r, 0)
	assert.NilError(t, err)
	// Applying an entry takes as long as the state is locked here.
	r.mu.RLock()
	submitted := make(chan error, 1)
	go func() {
		change := newChange("second", "operator")
		change.Kind = &apiv1.Change_Submit{Submit: &apiv1.SubmitChange{Institution: "a", BaseRevision: first.Revision, TextGzip: estate.Gzip([]byte(smallEstate))}}
		_, err := r.propose(t.Context(), change)
		submitted <- err
	}()
	entered := make(chan struct{})
	go func() {
		for r.Status().Commit < 3 {
			time.Sleep(time.Millisecond)
		}
		_ = r.runInLoop(t.Context(), func() {})
		close(entered)
	}()
	select {
	case <-entered:
	case <-time.After(5 * time.Second):
		t.Error("the run loop waits for an entry to be applied")
	}
	r.mu.RUnlock()
	assert.NilError(t, <-submitted)
}
