package process

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
	"cactuspath/internal/replica"
	"cactuspath/internal/settings"
)

// controlGroup runs the replicas of a control group inside the test. They are
// configured as by a platform: all get the same three addresses, and none is told how
// many replicas there are.
type controlGroup struct {
	t         *testing.T
	folder    string
	addresses []string
	running   map[int]*runningProcess
}

type runningProcess struct {
	process *Process
	stop    context.CancelFunc
	done    chan struct{}
}

func newControlGroup(t *testing.T, size int) *controlGroup {
	g := &controlGroup{t: t, folder: t.TempDir(), running: map[int]*runningProcess{}}
	for range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		g.addresses = append(g.addresses, l.Addr().String())
		assert.NilError(t, l.Close())
	}
	t.Cleanup(func() {
		for i := range g.addresses {
			g.stop(i)
		}
	})
	return g
}

func (g *controlGroup) dataFolder(i int) string { return filepath.Join(g.folder, fmt.Sprint(i)) }

func (g *controlGroup) start(i int, bootstrap bool) {
	g.t.Helper()
	g.startKnowing(i, bootstrap, g.addresses[:3])
}

// startKnowing starts a replica whose settings name the given control replicas.
func (g *controlGroup) startKnowing(i int, bootstrap bool, replicas []string) {
	g.t.Helper()
	p, err := Open(&settings.Settings{Host: fmt.Sprint("h", i), ControlReplicas: replicas, Control: &settings.Control{
		Name: fmt.Sprint("c", i), Address: g.addresses[i], Listen: g.addresses[i], DataFolder: g.dataFolder(i), Group: &settings.Group{Tolerate: 2, Bootstrap: bootstrap}}}, nil)
	assert.NilError(g.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningProcess{p, cancel, make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = p.Run(ctx)
	}()
	g.running[i] = r
}

func (g *controlGroup) stop(i int) {
	if r := g.running[i]; r != nil {
		r.stop()
		<-r.done
		delete(g.running, i)
	}
}

func eventually(t *testing.T, what string, within time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("condition not met within ", within, ": ", what)
}

func estateText(revision int) []byte {
	return fmt.Appendf(nil, `{"institution": "site", "revision": %d, "services": {"a": {"slots": 1}}}`, revision)
}

// submit sends a change to each replica in turn, as an operator does, until one accepts
// it.
func (g *controlGroup) submit(revision, base int) bool {
	for _, r := range g.running {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		record, err := r.process.Replica.Submit(ctx, "op", replica.Submission{ID: fmt.Sprint(revision), BaseRevision: uint64(base), Text: estateText(revision), ContentID: true})
		cancel()
		if err == nil && record.Outcome == apiv1.Outcome_OUTCOME_ACCEPTED {
			return true
		}
	}
	return false
}

func (g *controlGroup) voters() int {
	for _, r := range g.running {
		if st := r.process.Replica.Status(); st.Leader == st.ID {
			return st.Voters()
		}
	}
	return 0
}

// Guards against losing an acknowledged change with two disks. Three founders alone
// must not acknowledge a change, because the loss of two of their disks could lose it.
// Five voters must acknowledge it. After two of them lose their disks at the same time,
// it must still be readable, and both must rejoin as new members.
func TestGroupBootstrapsAndSurvivesTwoLostDisks(t *testing.T) {
	g := newControlGroup(t, 5)
	for i := range 3 {
		g.start(i, true)
	}
	eventually(t, "three voters", 10*time.Second, func() bool { return g.voters() == 3 })
	assert.Assert(t, !g.submit(1, 0), "a change was acknowledged that would be lost with two disks")
	g.start(3, true)
	g.start(4, true)
	eventually(t, "five voters", 10*time.Second, func() bool { return g.voters() == 5 })
	eventually(t, "accepted", 10*time.Second, func() bool { return g.submit(1, 0) })
	for _, i := range []int{0, 4} {
		g.stop(i)
		assert.NilError(t, os.RemoveAll(g.dataFolder(i)))
	}
	eventually(t, "change is still readable", 10*time.Second, func() bool { return g.newest() == 1 })
	g.start(0, false)
	g.start(4, false)
	eventually(t, "both vote again, and nobody else", 10*time.Second, func() bool { return g.voters() == 5 })
	eventually(t, "accepted", 10*time.Second, func() bool { return g.submit(2, 1) })
}

func (g *controlGroup) newest() uint64 {
	for _, r := range g.running {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		doc, err := r.process.Replica.Newest(ctx, "site")
		cancel()
		if err == nil {
			return doc.Revision
		}
	}
	return 0
}

// Guards against applying a change twice. A change whose response was lost is sent
// again, possibly to another replica, after all processes were restarted. It must get
// the result of the first time, and a read must return what was sent.
func TestResentChangeGetsFirstResultAfterFullRestart(t *testing.T) {
	g := newControlGroup(t, 5)
	for i := range 5 {
		g.start(i, true)
	}
	eventually(t, "accepted", 15*time.Second, func() bool { return g.submit(1, 0) })
	eventually(t, "accepted", 5*time.Second, func() bool { return g.submit(2, 1) })
	for i := range 5 {
		g.stop(i)
	}
	for i := range 5 {
		g.start(i, false)
	}
	eventually(t, "the same change gets its first result", 15*time.Second, func() bool { return g.submit(1, 0) })
	assert.Equal(t, g.newest(), uint64(2))
}

// isMember reports whether replica i is a member of the group as its leader knows it.
func (g *controlGroup) isMember(i int) bool {
	for _, r := range g.running {
		if st := r.process.Replica.Status(); st.Leader == st.ID {
			return slices.ContainsFunc(st.Membership.GetMembers(), func(m *apiv1.Member) bool { return m.Address == g.addresses[i] })
		}
	}
	return false
}

// Guards against a group that lacks a voter for good: a replica that was removed while it was down
// takes itself for a member and campaigns in vain instead of joining again, or knows nobody to ask
// because its settings name only replicas that are gone.
func TestRemovedReplicaJoinsAgain(t *testing.T) {
	g := newControlGroup(t, 7)
	for i := range 5 {
		g.start(i, true)
	}
	eventually(t, "five voters", 15*time.Second, func() bool { return g.voters() == 5 })
	// The leader keeps a request to join for 3 s and would admit the removed replica because of its first one.
	time.Sleep(4 * time.Second)
	g.stop(4)
	g.start(5, false)
	eventually(t, "the replica that is down is replaced", 10*time.Second, func() bool { return g.voters() == 5 && g.isMember(5) && !g.isMember(4) })
	g.startKnowing(4, false, g.addresses[6:])
	eventually(t, "the removed replica is a member again", 10*time.Second, func() bool { return g.isMember(4) })
	g.stop(3)
	eventually(t, "it votes in place of another one", 10*time.Second, func() bool { return g.voters() == 5 && !g.isMember(3) })
	eventually(t, "a change is accepted", 5*time.Second, func() bool { return g.submit(1, 0) })
}

// evacuate sends an evacuation to each replica in turn until one accepts it.
func (g *controlGroup) evacuate(dataCenter string, evacuated bool) bool {
	for _, r := range g.running {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		record, err := r.process.Replica.Evacuate(ctx, "op", replica.Evacuation{ID: fmt.Sprint(time.Now().UnixNano()), DataCenter: dataCenter, Evacuated: evacuated})
		cancel()
		if err == nil && record.Outcome == apiv1.Outcome_OUTCOME_ACCEPTED {
			return true
		}
	}
	return false
}

// evacuated reports whether a confirmed status shows the data centre as evacuated.
func (g *controlGroup) evacuated(dataCenter string) bool {
	for i := range g.running {
		client := &operator.Client{Control: controlclient.New(nil, []string{g.addresses[i]}, "")}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, err := client.Status(ctx)
		cancel()
		if err != nil {
			continue
		}
		for _, d := range status.DataCenters {
			if d.DataCenter == dataCenter {
				return d.Evacuated
			}
		}
		return false
	}
	return false
}

// Guards against losing an acknowledged evacuation. Two disks are lost at the same time
// immediately after the acknowledgement, and then all processes are restarted.
func TestEvacuationSurvivesTwoLostDisksAndFullRestart(t *testing.T) {
	g := newControlGroup(t, 5)
	for i := range 5 {
		g.start(i, true)
	}
	eventually(t, "accepted", 15*time.Second, func() bool { return g.submit(1, 0) })
	eventually(t, "evacuated", 5*time.Second, func() bool { return g.evacuate("a", true) })
	for _, i := range []int{1, 3} {
		g.stop(i)
		assert.NilError(t, os.RemoveAll(g.dataFolder(i)))
	}
	eventually(t, "evacuation still in force", 10*time.Second, func() bool { return g.evacuated("a") })
	g.start(1, false)
	g.start(3, false)
	eventually(t, "five voters", 10*time.Second, func() bool { return g.voters() == 5 })
	for i := range 5 {
		g.stop(i)
	}
	for i := range 5 {
		g.start(i, false)
	}
	eventually(t, "evacuation in force after the restart", 15*time.Second, func() bool { return g.evacuated("a") })
	eventually(t, "evacuation canceled", 5*time.Second, func() bool { return g.evacuate("a", false) })
	assert.Assert(t, !g.evacuated("a"))
	assert.Equal(t, g.newest(), uint64(1))
}
