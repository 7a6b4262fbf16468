package replica

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Guards against nodes that stay with a replica whose disk does not respond: its status is still
// the one of before, so that it would go on to tell them that nothing is new.
func TestReplicaWithBlockedDiskSendsItsWatchersAway(t *testing.T) {
	r, _ := runProfileReplica(t, t.TempDir(), false)
	waitForLeader(t, r)
	for until := time.Now().Add(10 * time.Second); r.detached(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the leader has not applied its first entry")
	}
	held := watchReplica(t, r, &apiv1.WatchRequest{Revision: r.state.Revision(), HoldMs: 50})
	assert.Assert(t, !held.Detached)
	assert.Assert(t, held.HeldMs >= 50, "the response was held for %d ms", held.HeldMs)
	assert.Assert(t, held.ConfirmedAgeMs < uint32(detachedTimeout.Milliseconds()), "the replica was confirmed %d ms ago", held.ConfirmedAgeMs)
	release, blocked := make(chan struct{}), make(chan struct{})
	defer close(release)
	go func() {
		_ = r.runInLoop(context.Background(), func() {
			close(blocked)
			<-release
		})
	}()
	<-blocked
	begin := time.Now()
	resp := watchReplica(t, r, &apiv1.WatchRequest{HoldMs: 3000})
	assert.Assert(t, resp.Detached, "the replica says that it has the newest revision")
	assert.Assert(t, time.Since(begin) < 2*time.Second, "the watcher was kept for %v", time.Since(begin))
}
