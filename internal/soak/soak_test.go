package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	onlySeed  = flag.Uint64("seed", 0, "run this seed only")
	duration  = flag.Duration("for", 6*time.Second, "how long faults go on")
	nodeCount = flag.Int("nodes", usualNodes, "how many nodes")
)

// regressions are seeds that failed once, with the cause.
var regressions = []uint64{
	132, // a node that was down lost its port to another process: picked from the range of outgoing connections
	263, // a paused node took in a server's drain and then an announcement from before it, which ended the drain
	345, // a node that had just started put an empty table in force after its first one, and told a caller that there is no route
	717, // a caller that still sent its body lost the end of an early answer: the connection was closed with bytes unread
	832, // a server closed its connection under a body's sender, and its answer, which was there, was not read to its end
}

// Open: seeds 209, 210, 216, 237, 245 and 264 had final answers up to 7 s late, on
// all nodes at once, on eight cores with 27 to 40 runnable processes; a read's
// deadline fired 3.4 s late in a process that nobody had paused. All six hold on
// the same machine at half that load. They would take the short run over its minute.

// short are the seeds of a run without flags.
var short = []uint64{1, 2}

const (
	// calmAfter is how long a process must have been left alone for promises with a
	// time bound to hold there.
	calmAfter = 4 * time.Second
	settle    = 25 * time.Second
)

// Whatever befalls the processes and the links between them: what must run once
// runs once, "not run" is true, answers are whole and the caller's own, answers
// come in time, a server that leaves gets nothing, and no accepted change is lost
// or taken back. When the faults are over, everybody is served again.
func TestSoak(t *testing.T) {
	seeds := append(append([]uint64{}, regressions...), short...)
	if *onlySeed != 0 {
		seeds = []uint64{*onlySeed}
	}
	// Two at a time: mostly they wait, and one after the other they take over a minute.
	lanes := make(chan struct{}, 2)
	for _, n := range seeds {
		t.Run(fmt.Sprint("seed-", n), func(t *testing.T) {
			t.Parallel()
			lanes <- struct{}{}
			defer func() { <-lanes }()
			run(t, n, usualCenter)
		})
	}
}

type soak struct {
	*site
	t      *testing.T
	seed   uint64
	random *rand.Rand
	stop   chan struct{}
	wait   sync.WaitGroup

	mu       sync.Mutex
	failures []string
	accepted uint64
	ids      atomic.Uint64
	// served and uploaded count answers, left the uploads that their callers left.
	served, uploaded, refused, left atomic.Int64
	// uploading counts the uploads under way by node.
	uploading []atomic.Int64
}

// usualCenter is where all of a site is, unless a data centre is evacuated.
const usualCenter = "dc"

// extraFaults selects faults that are off by default.
type extraFaults struct{ serverRestarts bool }

func run(t *testing.T, n uint64, dataCenters ...string) {
	runWithFaults(t, n, extraFaults{}, dataCenters...)
}

func runWithFaults(t *testing.T, n uint64, extra extraFaults, dataCenters ...string) {
	s := &soak{site: newSite(t, dataCenters...), t: t, seed: n, random: rand.New(rand.NewPCG(n, n)), stop: make(chan struct{})}
	s.uploading = make([]atomic.Int64, len(s.nodes))
	defer s.keepLogs()
	s.eventually("the first change is accepted", func() bool { return s.submit(context.Background()) })
	s.eventually("every node serves", s.allServe)
	for i := range s.callers {
		for range callersPerNode {
			s.wait.Go(func() { s.call(i) })
		}
		for number := range uploadersPerNode {
			s.wait.Go(func() { s.upload(i, number) })
		}
	}
	s.wait.Go(s.operate)
	if len(dataCenters) > 1 {
		s.wait.Go(func() { s.evacuate(dataCenters) })
	}
	var series sync.WaitGroup
	series.Go(func() { s.series(*duration) })
	if extra.serverRestarts {
		series.Go(func() { s.crashServers(*duration) })
	}
	s.trouble(*duration)
	series.Wait()
	s.heal()
	site, own := s.memory()
	s.eventually("every node serves again", s.allServe)
	s.rollQuietly()
	s.eventually("every node serves behind planned stops", s.allServe)
	s.eventually("changes are accepted again", func() bool { return s.submit(context.Background()) })
	close(s.stop)
	s.wait.Wait()
	s.check()
	for _, f := range s.failures {
		t.Error(f)
	}
	t.Logf("seed %d: %d served, %d uploads answered, %d left, %d not run, revision %d, %d MB in the site, %d MB here", n, s.served.Load(), s.uploaded.Load(), s.left.Load(), s.refused.Load(), s.accepted, site, own)
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, at()+fmt.Sprintf(format, args...))
}

func (s *soak) eventually(what string, test func() bool) {
	s.t.Helper()
	for until := time.Now().Add(settle); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if test() {
			return
		}
	}
	s.fail("not within %v: %s", settle, what)
}
