package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
)

// Guards against lost and duplicated changes when the leader fails in any phase of a submit.
// Control replicas are killed repeatedly while one change after another is submitted, and each
// submit is repeated with the same ID until its outcome is known. Every change must have exactly
// one outcome, with increasing revisions, and no change may be applied twice.
func TestLeaderKilledAtAnyStageOfSubmits(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := testContext(t)
	c.leader()
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	var kills atomic.Int64
	chaos.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(700 * time.Millisecond):
			}
			c.replicas[i%3].restart(t)
			kills.Add(1)
		}
	})
	accepted := map[string]uint64{}
	base := uint64(0)
	for i := 0; i < 25 || kills.Load() < 6; i++ {
		if i >= 25 {
			// The audit trail is read with one call, which returns a limited number of records.
			time.Sleep(20 * time.Millisecond)
		}
		id := fmt.Sprintf("change-%d", i)
		record, err := c.client.Submit(ctx, []byte(estateText(id, "hello")), base, id)
		assert.NilError(t, err, id)
		assert.Assert(t, record.Revision > base)
		base = record.Revision
		accepted[id] = base
	}
	close(stop)
	chaos.Wait()
	c.leader()
	seen := map[string]int{}
	for _, r := range c.audit() {
		seen[r.Id]++
		assert.Equal(t, r.Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
		assert.Equal(t, r.Revision, accepted[r.Id])
	}
	for id := range accepted {
		assert.Equal(t, seen[id], 1, id)
	}
}

// Guards against stale reads from a deposed leader. The leader is frozen for longer than an
// election takes and still believes that it is the leader when it resumes. It must not respond with
// its old revision, and changes accepted in the meantime must be preserved.
func TestFrozenLeaderComesBack(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := testContext(t)
	first, err := c.client.Submit(ctx, []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	frozen := c.leader()
	c.replicas[frozen].freeze(t)
	second, err := c.client.Submit(ctx, []byte(estateText("second", "hello", "more")), first.Revision, "second")
	assert.NilError(t, err)
	c.replicas[frozen].signal(syscall.SIGCONT)
	frozenOnly := &operator.Client{Control: controlclient.New(nil, []string{c.controlAddresses[frozen]}, "")}
	shown, err := frozenOnly.Show(ctx, "trial")
	assert.NilError(t, err)
	assert.Equal(t, shown.Revision, second.Revision)
	assert.Assert(t, strings.Contains(string(shown.Text), "// second"))
}

// Guards against a replica that has lost its disk, and with it the record of its votes, but votes
// under its former member ID. Restarted with an empty data folder, it must wait as a new member
// without a vote. After it has been admitted in place of the former member, a second replica is
// lost, and changes must still be accepted.
func TestLostDiskReturnsAsNewMemberThenSecondLoss(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := testContext(t)
	first, err := c.client.Submit(ctx, []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	lost := (c.leader() + 1) % 3
	c.replicas[lost].kill()
	assert.NilError(t, os.RemoveAll(c.dataFolder(lost)))
	code, out := c.run("cactuspath", "init", "--settings", c.replicaSettingsFile(lost))
	assert.Equal(t, code, 1, out)
	assert.Assert(t, strings.Contains(out, "cactusctl replica replace"), out)
	c.replicas[lost].start(t)
	eventually(t, "the empty replica responds", func() bool { return awaitsAdmission(c, lost) })
	code, out = c.ctl("replica", "replace", fmt.Sprintf("control-%d", lost+1), c.controlAddresses[lost])
	assert.Equal(t, code, 0, out)
	assert.Equal(t, strings.Count(out, "voter"), 3, out)
	second := (lost + 1) % 3
	c.replicas[second].kill()
	record, err := c.client.Submit(ctx, []byte(estateText("second", "hello")), first.Revision, "second")
	assert.NilError(t, err)
	assert.Equal(t, record.Revision, first.Revision+1)
}

func awaitsAdmission(c *cluster, i int) bool {
	client := controlclient.New(nil, nil, "")
	resp, err := client.At(c.controlAddresses[i]).Log.LogStatus(testContext(c.t), logStatusRequest())
	return err == nil && !resp.Msg.Admitted
}

// Guards against conflicting submits that are both accepted. Three operators submit different texts
// with the same base revision, each repeatedly, as after lost responses. One must be accepted. The
// others must get a conflict, and the same one for every repetition.
func TestOperatorsRaceWithEqualBases(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := testContext(t)
	const operators, resends = 3, 4
	outcomes := make([][resends]int, operators)
	var wait sync.WaitGroup
	for i := range operators {
		for j := range resends {
			wait.Go(func() {
				client := &operator.Client{Control: controlclient.New(nil, c.controlAddresses, ""), Name: fmt.Sprintf("operator-%d", i)}
				_, err := client.Submit(ctx, []byte(estateText(fmt.Sprintf("by %d", i), "hello")), 0, fmt.Sprintf("race-%d", i))
				outcomes[i][j] = operator.ExitCode(err)
			})
		}
	}
	wait.Wait()
	won := 0
	for i := range operators {
		for j := range resends {
			assert.Equal(t, outcomes[i][j], outcomes[i][0], "operator %d got different outcomes", i)
		}
		switch outcomes[i][0] {
		case operator.ExitDone:
			won++
		default:
			assert.Equal(t, outcomes[i][0], operator.ExitConflict)
		}
	}
	assert.Equal(t, won, 1)
}

// Guards against a replica that starts with a corrupted log and thereby forgets a vote or an
// accepted change. After one byte of the log has changed on disk, the replica must not start, and
// its error message must contain the remedy.
func TestDamagedLogStopsTheReplica(t *testing.T) {
	c := newCluster(t, 1).start()
	_, err := c.client.Submit(testContext(t), []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	c.replicas[0].kill()
	file := filepath.Join(c.dataFolder(0), "log")
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	data[len(data)/2] ^= 0x40
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	code, out := c.run("cactuspath", "run", "--settings", c.replicaSettingsFile(0))
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(out, "is damaged at byte"), out)
	assert.Assert(t, strings.Contains(out, "cactusctl replica replace"), out)
}

// Guards against nodes that return to an old revision after a restart. A node is down during 300
// changes. After its restart it must reach the latest revision and never report an older one than
// before.
func TestNodeRejoinsAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, 1).start()
	n := c.addNode("")
	c.submit(estateText("first", "hello"))
	n.kill()
	ctx := testContext(t)
	base := uint64(1)
	for i := range 300 {
		record, err := c.client.Submit(ctx, []byte(estateText(fmt.Sprint("change ", i), fmt.Sprintf("service-%d", i%7))), base, fmt.Sprintf("c-%d", i))
		assert.NilError(t, err)
		base = record.Revision
	}
	n.start(t)
	seen := uint64(0)
	eventually(t, "the node has the latest revision", func() bool {
		if !adminResponds(n) {
			return false
		}
		now := n.revision(t)
		assert.Assert(t, now >= seen, "revision decreased from %d to %d", seen, now)
		seen = now
		return now == base
	})
}

// Checks that a command fails within its timeout if no replica is reachable, with an exit code that
// is used only for this case and without an outcome of the change.
func TestUnreachableControlHasItsOwnExitCode(t *testing.T) {
	c := newCluster(t, 1)
	code, out := c.run("cactusctl", "--control", c.controlAddresses[0], "--timeout", "2s", "submit", "--base", "0", c.estateFile("e.jsonc", estateText("x", "hello")))
	assert.Equal(t, code, operator.ExitUnreachable, out)
}

// Guards against a wrong outcome if the majority of the replicas is lost during a submit. The
// reported outcome must be "unknown" or "unreachable", together with the command that determines
// the actual outcome, and never "accepted" or "refused".
func TestLostMajorityLeavesOutcomeOpen(t *testing.T) {
	c := newCluster(t, 3).start()
	l := c.leader()
	for i := range c.replicas {
		if i != l {
			c.replicas[i].freeze(t)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := c.client.Submit(ctx, []byte(estateText("x", "hello")), 0, "open")
	code := operator.ExitCode(err)
	assert.Assert(t, code == operator.ExitUnknown || code == operator.ExitUnreachable, "%d: %v", code, err)
	assert.Assert(t, strings.Contains(err.Error(), "cactusctl audit --change open") || strings.Contains(err.Error(), "no leader"), err.Error())
	for i := range c.replicas {
		c.replicas[i].signal(syscall.SIGCONT)
	}
	record, err := c.client.Submit(testContext(t), []byte(estateText("x", "hello")), 0, "open")
	assert.NilError(t, err)
	assert.Equal(t, record.Revision, uint64(1))
}

// Guards against an interruption when the leader stops gracefully. It must transfer its leadership
// and exit with code 0, and operators must be able to continue without a noticeable delay.
func TestControlReplicaStopsAsPlanned(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := testContext(t)
	first, err := c.client.Submit(ctx, []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	l := c.leader()
	c.replicas[l].signal(syscall.SIGTERM)
	second, err := c.client.Submit(ctx, []byte(estateText("second", "hello")), first.Revision, "second")
	assert.NilError(t, err)
	assert.Equal(t, second.Revision, first.Revision+1)
	<-c.replicas[l].done
	assert.Equal(t, c.replicas[l].cmd.ProcessState.ExitCode(), 0, c.replicas[l].log.String())
}

// Guards against nodes that cannot restart without a leader. Two of three control replicas are
// killed, so that no leader can be elected, and then a node is killed and restarted. It must serve
// its callers with the state held by other nodes, which it finds through the remaining replica.
func TestNodeRestartsWhileThereIsNoLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.watchControl = true
	c.start()
	c.addNode("hello")
	c.addNode("hello")
	front := c.addNode("")
	revision := c.submit(estateText("hello", "hello"))
	front.waitServing(t, "hello")
	leader := c.leader()
	c.replicas[leader].kill()
	c.replicas[(leader+1)%3].kill()
	front.restart(t)
	front.waitServing(t, "hello")
	assert.Equal(t, front.revision(t), revision)
}
