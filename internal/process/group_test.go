package process

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/controlclient"
	"cactuspath/internal/operator"
	"cactuspath/internal/replica"
	"cactuspath/internal/settings"
)

// site is a control group in this process, as a platform starts one: everybody
// gets the same three addresses and nobody is told how many there are.
type site struct {
	t         *testing.T
	folder    string
	addresses []string
	running   map[int]*run
}

type run struct {
	process *Process
	stop    context.CancelFunc
	done    chan struct{}
}

func newSite(t *testing.T, size int) *site {
	s := &site{t: t, folder: t.TempDir(), running: map[int]*run{}}
	for range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s.addresses = append(s.addresses, l.Addr().String())
		assert.NilError(t, l.Close())
	}
	t.Cleanup(func() {
		for i := range s.addresses {
			s.stop(i)
		}
	})
	return s
}

func (s *site) data(i int) string { return filepath.Join(s.folder, fmt.Sprint(i)) }

func (s *site) start(i int, found bool) {
	s.t.Helper()
	p, err := Open(&settings.Settings{Host: fmt.Sprint("h", i), ControlReplicas: s.addresses[:3], Control: &settings.Control{
		Name: fmt.Sprint("c", i), Address: s.addresses[i], Listen: s.addresses[i], DataFolder: s.data(i), Group: &settings.Group{Tolerate: 2, Found: found}}}, nil)
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{p, cancel, make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = p.Run(ctx)
	}()
	s.running[i] = r
}

func (s *site) stop(i int) {
	if r := s.running[i]; r != nil {
		r.stop()
		<-r.done
		delete(s.running, i)
	}
}

func eventually(t *testing.T, what string, within time.Duration, test func() bool) {
	t.Helper()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if test() {
			return
		}
	}
	t.Fatal("not within ", within, ": ", what)
}

func text(revision int) []byte {
	return fmt.Appendf(nil, `{"institution": "site", "revision": %d, "services": {"a": {"slots": 1}}}`, revision)
}

// submit sends a change to every replica in turn, as an operator does, until one
// accepts it.
func (s *site) submit(revision, base int) bool {
	for _, r := range s.running {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		record, err := r.process.Replica.Submit(ctx, "op", replica.Submission{ID: fmt.Sprint(revision), BaseRevision: uint64(base), Text: text(revision), ContentID: true})
		cancel()
		if err == nil && record.Outcome == apiv1.Outcome_OUTCOME_ACCEPTED {
			return true
		}
	}
	return false
}

func (s *site) voters() int {
	for _, r := range s.running {
		if st := r.process.Replica.Status(); st.Leader == st.ID {
			return st.Voters()
		}
	}
	return 0
}

// Three founders alone must acknowledge nothing: two of their disks could be lost
// with it. Once five vote, a change counts; it survives the loss of two disks at
// once, and both replicas come back as new members.
func TestGroupFormsByItselfAndOutlivesTwoLostDisks(t *testing.T) {
	s := newSite(t, 5)
	for i := range 3 {
		s.start(i, true)
	}
	eventually(t, "three voters", 10*time.Second, func() bool { return s.voters() == 3 })
	assert.Assert(t, !s.submit(1, 0), "a change was acknowledged that two lost disks could take back")
	s.start(3, true)
	s.start(4, true)
	eventually(t, "five voters", 10*time.Second, func() bool { return s.voters() == 5 })
	eventually(t, "accepted", 10*time.Second, func() bool { return s.submit(1, 0) })
	for _, i := range []int{0, 4} {
		s.stop(i)
		assert.NilError(t, os.RemoveAll(s.data(i)))
	}
	eventually(t, "still readable", 10*time.Second, func() bool { return s.newest() == 1 })
	s.start(0, false)
	s.start(4, false)
	eventually(t, "both vote again, and nobody else", 10*time.Second, func() bool { return s.voters() == 5 })
	eventually(t, "accepted", 10*time.Second, func() bool { return s.submit(2, 1) })
}

func (s *site) newest() uint64 {
	for _, r := range s.running {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		doc, err := r.process.Replica.Newest(ctx, "site")
		cancel()
		if err == nil {
			return doc.Revision
		}
	}
	return 0
}

// The same change reaches another replica after its answer was lost, also after
// all restarted: it gets the first answer, and a read gives back what was sent.
func TestResentChangeGetsItsFirstAnswerAfterARestartOfAll(t *testing.T) {
	s := newSite(t, 5)
	for i := range 5 {
		s.start(i, true)
	}
	eventually(t, "accepted", 15*time.Second, func() bool { return s.submit(1, 0) })
	eventually(t, "accepted", 5*time.Second, func() bool { return s.submit(2, 1) })
	for i := range 5 {
		s.stop(i)
	}
	for i := range 5 {
		s.start(i, false)
	}
	eventually(t, "the first answer again", 15*time.Second, func() bool { return s.submit(1, 0) })
	assert.Equal(t, s.newest(), uint64(2))
}

// evacuate gives an order to every replica in turn until one accepts it.
func (s *site) evacuate(dataCenter string, evacuated bool) bool {
	for _, r := range s.running {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		record, err := r.process.Replica.Evacuate(ctx, "op", replica.Evacuation{ID: fmt.Sprint(time.Now().UnixNano()), DataCenter: dataCenter, Evacuated: evacuated})
		cancel()
		if err == nil && record.Outcome == apiv1.Outcome_OUTCOME_ACCEPTED {
			return true
		}
	}
	return false
}

// evacuated tells whether a confirmed status says that the data centre is evacuated.
func (s *site) evacuated(dataCenter string) bool {
	for i := range s.running {
		client := &operator.Client{Control: controlclient.New(nil, []string{s.addresses[i]}, "")}
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

// Guards against an acknowledged evacuation that is gone: two disks are lost at once
// right after it, then every process ends.
func TestEvacuationOutlivesTwoLostDisksAndARestartOfAll(t *testing.T) {
	s := newSite(t, 5)
	for i := range 5 {
		s.start(i, true)
	}
	eventually(t, "accepted", 15*time.Second, func() bool { return s.submit(1, 0) })
	eventually(t, "evacuated", 5*time.Second, func() bool { return s.evacuate("a", true) })
	for _, i := range []int{1, 3} {
		s.stop(i)
		assert.NilError(t, os.RemoveAll(s.data(i)))
	}
	eventually(t, "still in force", 10*time.Second, func() bool { return s.evacuated("a") })
	s.start(1, false)
	s.start(3, false)
	eventually(t, "five voters", 10*time.Second, func() bool { return s.voters() == 5 })
	for i := range 5 {
		s.stop(i)
	}
	for i := range 5 {
		s.start(i, false)
	}
	eventually(t, "in force after the restart", 15*time.Second, func() bool { return s.evacuated("a") })
	eventually(t, "taken back", 5*time.Second, func() bool { return s.evacuate("a", false) })
	assert.Assert(t, !s.evacuated("a"))
	assert.Equal(t, s.newest(), uint64(1))
}
