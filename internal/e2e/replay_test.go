package e2e

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const replayRoutes = 1400

// routesText returns an estate text with many routes, one of which depends on the change.
func routesText(change int) string {
	var b strings.Builder
	b.WriteString(`{"institution": "trial", "services": {"hello": {"slots": 4}}, "routes": {`)
	for i := range replayRoutes {
		timeout := 1200
		if i == change%replayRoutes {
			timeout += change
		}
		fmt.Fprintf(&b, `"route-%d": {"host": "h%d.example", "pathPrefix": "/p/%d", "kind": "safe", "timeout": "%dms", "service": "hello"}, `, i, i%7, i, timeout)
	}
	b.WriteString("}}\n")
	return b.String()
}

// Guards against replicas that compile the whole estate again for each change in their log: after a
// restart of all, nobody leads and the configuration cannot be read until they are done.
func TestRestartOfAllReplicasDoesNotGrowWithTheChangesInTheirLogs(t *testing.T) {
	const changes, limit = 120, 2 * time.Second
	c := newCluster(t, 5).start()
	ctx := testContext(t)
	base := uint64(0)
	submit := func(i int) {
		record, err := c.client.Submit(ctx, []byte(routesText(i)), base, fmt.Sprintf("c-%d", i))
		assert.NilError(t, err)
		base = record.Revision
	}
	submit(1)
	afterOne := c.restartReplicas(base)
	begin := time.Now()
	for i := range changes {
		submit(i + 2)
	}
	submitting := time.Since(begin)
	afterAll := c.restartReplicas(base)
	t.Logf("read back %v after a restart with 1 change, %v after one with %d; a change took %v", afterOne, afterAll, changes+1, submitting/changes)
	assert.Assert(t, afterAll-afterOne < limit, "read back %v after a restart with %d changes, %v with 1", afterAll, changes+1, afterOne)
}

// restartReplicas kills all replicas, starts them a second later and returns how long it takes from
// then until the configuration is read back.
func (c *cluster) restartReplicas(revision uint64) time.Duration {
	c.t.Helper()
	for _, r := range c.replicas {
		r.kill()
	}
	time.Sleep(time.Second)
	begin := time.Now()
	for _, r := range c.replicas {
		r.start(c.t)
	}
	eventually(c.t, "the configuration is read back", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		shown, err := c.client.Show(ctx, "trial")
		return err == nil && shown.Revision == revision
	})
	return time.Since(begin)
}
