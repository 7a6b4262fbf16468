package e2e

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
)

// Operators submit one change after another while the leader is killed again
// and again, at whatever stage a submit is in; each resends under the same id
// until it hears an outcome. Every change must end with one outcome, accepted
// ones with revisions that only grow, and no change may be applied twice.
func TestLeaderKilledAtAnyStageOfSubmits(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := contextOf(t)
	c.leader()
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	chaos.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(700 * time.Millisecond):
			}
			c.replicas[i%3].restart(t)
		}
	})
	accepted := map[string]uint64{}
	base := uint64(0)
	for i := range 25 {
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

// The leader is frozen for longer than an election takes and comes back
// believing that it leads. It must not answer with the revision it knew, and
// changes that went on meanwhile must stand.
func TestFrozenLeaderComesBack(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := contextOf(t)
	first, err := c.client.Submit(ctx, []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	old := c.leader()
	c.replicas[old].freeze(t)
	second, err := c.client.Submit(ctx, []byte(estateText("second", "hello", "more")), first.Revision, "second")
	assert.NilError(t, err)
	c.replicas[old].signal(syscall.SIGCONT)
	alone := &operator.Client{Control: controlclient.New(nil, []string{c.control[old]}, "")}
	shown, err := alone.Show(ctx, "trial")
	assert.NilError(t, err)
	assert.Equal(t, shown.Revision, second.Revision)
	assert.Assert(t, strings.Contains(string(shown.Text), "// second"))
}

// A replica loses its data folder. Started again with an empty one it waits, as
// a new member without a vote. It is admitted in place of its former self, and
// right after that a second replica is lost: changes must still be possible.
func TestLostDiskReturnsAsNewMemberThenSecondLoss(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := contextOf(t)
	first, err := c.client.Submit(ctx, []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	lost := (c.leader() + 1) % 3
	c.replicas[lost].kill()
	assert.NilError(t, os.RemoveAll(c.dataFolder(lost)))
	code, out := c.run("cactuspath", "init", "--settings", c.replicaFile(lost))
	assert.Equal(t, code, 1, out)
	assert.Assert(t, strings.Contains(out, "cactusctl replica replace"), out)
	c.replicas[lost].start(t)
	eventually(t, "the empty replica answers", func() bool { return waitingMember(c, lost) })
	code, out = c.ctl("replica", "replace", fmt.Sprintf("control-%d", lost+1), c.control[lost])
	assert.Equal(t, code, 0, out)
	assert.Equal(t, strings.Count(out, "voter"), 3, out)
	second := (lost + 1) % 3
	c.replicas[second].kill()
	record, err := c.client.Submit(ctx, []byte(estateText("second", "hello")), first.Revision, "second")
	assert.NilError(t, err)
	assert.Equal(t, record.Revision, first.Revision+1)
}

func waitingMember(c *cluster, i int) bool {
	client := controlclient.New(nil, nil, "")
	resp, err := client.At(c.control[i]).Log.LogStatus(contextOf(c.t), logStatusRequest())
	return err == nil && !resp.Msg.Admitted
}

// Three operators submit different texts based on the same revision, each
// resending as after lost answers. One is accepted; the others get a conflict,
// and the same one however often they ask.
func TestOperatorsRaceWithEqualBases(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := contextOf(t)
	const operators, resends = 3, 4
	outcomes := make([][resends]int, operators)
	var wait sync.WaitGroup
	for i := range operators {
		for j := range resends {
			wait.Go(func() {
				client := &operator.Client{Control: controlclient.New(nil, c.control, ""), Name: fmt.Sprintf("operator-%d", i)}
				_, err := client.Submit(ctx, []byte(estateText(fmt.Sprintf("by %d", i), "hello")), 0, fmt.Sprintf("race-%d", i))
				outcomes[i][j] = operator.ExitCode(err)
			})
		}
	}
	wait.Wait()
	won := 0
	for i := range operators {
		for j := range resends {
			assert.Equal(t, outcomes[i][j], outcomes[i][0], "operator %d got different answers", i)
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

// A byte in the middle of a replica's log changes on disk. The replica must not
// start: what it would have forgotten could be a vote or an accepted change.
// The message names the remedy.
func TestDamagedLogStopsTheReplica(t *testing.T) {
	c := newCluster(t, 1).start()
	_, err := c.client.Submit(contextOf(t), []byte(estateText("first", "hello")), 0, "first")
	assert.NilError(t, err)
	c.replicas[0].kill()
	file := filepath.Join(c.dataFolder(0), "log")
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	data[len(data)/2] ^= 0x40
	assert.NilError(t, os.WriteFile(file, data, 0o600))
	code, out := c.run("cactuspath", "run", "--settings", c.replicaFile(0))
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(out, "is damaged at byte"), out)
	assert.Assert(t, strings.Contains(out, "cactusctl replica replace"), out)
}

// A node is down while 300 changes go by. When it is back it must hold the
// newest at once, and at no moment show one that is older than what it showed.
func TestNodeRejoinsAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, 1).start()
	n := c.addNode("")
	c.submit(estateText("first", "hello"))
	n.kill()
	ctx := contextOf(t)
	base := uint64(1)
	for i := range 300 {
		record, err := c.client.Submit(ctx, []byte(estateText(fmt.Sprint("change ", i), fmt.Sprintf("service-%d", i%7))), base, fmt.Sprintf("c-%d", i))
		assert.NilError(t, err)
		base = record.Revision
	}
	n.start(t)
	seen := uint64(0)
	eventually(t, "the node holds the newest revision", func() bool {
		if !answers(n) {
			return false
		}
		now := n.revision(t)
		assert.Assert(t, now >= seen, "went back from %d to %d", seen, now)
		seen = now
		return now == base
	})
}

// No replica can be reached: the operator must hear that within the timeout,
// with an exit code of its own, and nothing must be claimed about the change.
func TestUnreachableControlHasItsOwnExitCode(t *testing.T) {
	c := newCluster(t, 1)
	code, out := c.run("cactusctl", "--control", c.control[0], "--timeout", "2s", "submit", "--base", "0", c.estateFile("e.jsonc", estateText("x", "hello")))
	assert.Equal(t, code, operator.ExitUnreachable, out)
}

// A majority is lost in the middle of a submit. The answer must be "unknown"
// or "unreachable" with the way to find out, never "accepted" or "refused".
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
	record, err := c.client.Submit(contextOf(t), []byte(estateText("x", "hello")), 0, "open")
	assert.NilError(t, err)
	assert.Equal(t, record.Revision, uint64(1))
}

// The leader's process is told to stop. It hands the lead over and exits 0, and
// operators go on without a pause that they would notice.
func TestControlReplicaStopsAsPlanned(t *testing.T) {
	c := newCluster(t, 3).start()
	ctx := contextOf(t)
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

// Two of three control replicas are gone, so that no leader can be chosen, and then
// a node is killed and started again. It must serve its callers by what the other
// nodes hold: the replica that is left knows who has announced itself, and a
// restart must not wait until a leader is back.
func TestNodeRestartsWhileThereIsNoLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.watch = true
	c.start()
	c.addNode("hello")
	c.addNode("hello")
	front := c.addNode("")
	revision := c.submit(estateText("hello", "hello"))
	front.serves(t, "hello")
	leader := c.leader()
	c.replicas[leader].kill()
	c.replicas[(leader+1)%3].kill()
	front.restart(t)
	front.serves(t, "hello")
	assert.Equal(t, front.revision(t), revision)
}
