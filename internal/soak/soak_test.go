package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cactuspath/api/fault"
	"cactuspath/internal/operator"
)

var (
	seed     = flag.Uint64("seed", 0, "run this seed only")
	duration = flag.Duration("for", 6*time.Second, "how long faults go on")
)

// regressions are seeds that failed once, with the cause.
var regressions = []uint64{
	132, // a node that was down lost its port to another process: picked from the range of outgoing connections
	263, // a paused node took in a server's drain and then an announcement from before it, which ended the drain
}

// Open: seeds 209, 210, 216, 237, 245 and 264 had final answers up to 7 s late, on
// all nodes at once, on eight cores with 27 to 40 runnable processes; a read's
// deadline fired 3.4 s late in a process that nobody had paused. All six hold on
// the same machine at half that load. They would take the short run over its minute.

// short are the seeds of a run without flags.
var short = []uint64{1, 2}

const (
	// routeTimeout is the route's time limit; a final answer may come answerSlack
	// later, on a machine that runs other things beside.
	routeTimeout = 1500 * time.Millisecond
	answerSlack  = 1500 * time.Millisecond
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
	if *seed != 0 {
		seeds = []uint64{*seed}
	}
	for _, n := range seeds {
		t.Run(fmt.Sprint("seed-", n), func(t *testing.T) { run(t, n) })
	}
}

type soak struct {
	*site
	t      *testing.T
	random *rand.Rand
	stop   chan struct{}
	wait   sync.WaitGroup

	mu       sync.Mutex
	failures []string
	refused  map[string]bool
	accepted uint64
	served   atomic.Int64
	ids      atomic.Uint64
}

func run(t *testing.T, n uint64) {
	s := &soak{site: newSite(t), t: t, random: rand.New(rand.NewPCG(n, n)), stop: make(chan struct{}), refused: map[string]bool{}}
	defer s.keepLogs(n)
	s.eventually("the first change is accepted", func() bool { return s.submit(context.Background()) })
	s.eventually("every node serves", s.allServe)
	for i := range s.callers {
		for range 3 {
			s.wait.Go(func() { s.call(i) })
		}
	}
	s.wait.Go(s.operate)
	s.trouble(*duration)
	s.heal()
	s.eventually("every node serves again", s.allServe)
	s.eventually("changes are accepted again", func() bool { return s.submit(context.Background()) })
	close(s.stop)
	s.wait.Wait()
	s.check()
	for _, f := range s.failures {
		t.Error(f)
	}
	t.Logf("seed %d: %d served, %d refused, revision %d", n, s.served.Load(), len(s.refused), s.accepted)
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
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

// step is one fault that begins now; it returns how the fault ends.
type step func() (end func())

// trouble lets random faults begin, overlap and end.
func (s *soak) trouble(d time.Duration) {
	var ends sync.WaitGroup
	down := make(chan struct{}, tolerate)
	for until := time.Now().Add(d); time.Now().Before(until); {
		lasts := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
		end := s.pick(down)()
		ends.Go(func() {
			time.Sleep(lasts)
			end()
		})
		time.Sleep(time.Duration(100+s.random.IntN(700)) * time.Millisecond)
	}
	ends.Wait()
}

// pick draws a fault. No more replicas are lost at once than the group bears.
func (s *soak) pick(down chan struct{}) step {
	replica, node := s.replicas[s.random.IntN(replicas)], s.random.IntN(nodes)
	anyProcess := s.nodes[node]
	if s.random.IntN(3) == 0 {
		anyProcess = replica
	}
	k := anyProcess.links[0]
	wipe := s.random.IntN(2) == 0
	switch s.random.IntN(9) {
	case 0:
		return s.ofReplica(down, replica, func() func() {
			replica.end(syscall.SIGKILL)
			if wipe {
				replica.loseDisk(s.t)
			}
			return func() { replica.start(s.t) }
		})
	case 1:
		return s.ofReplica(down, replica, func() func() {
			replica.signal(syscall.SIGSTOP)
			return func() { replica.signal(syscall.SIGCONT) }
		})
	case 2:
		return once(anyOf(s.nodes[node]), func() func() {
			s.nodes[node].end(syscall.SIGKILL)
			return func() { s.nodes[node].start(s.t) }
		})
	case 3:
		return once(anyOf(s.nodes[node]), func() func() {
			s.nodes[node].end(syscall.SIGTERM)
			return func() { s.nodes[node].start(s.t) }
		})
	case 4:
		return once(anyOf(s.nodes[node]), func() func() {
			s.nodes[node].signal(syscall.SIGSTOP)
			return func() { s.nodes[node].signal(syscall.SIGCONT) }
		})
	case 5:
		return func() func() { k.silent.Store(true); return k.heal }
	case 6:
		return func() func() { k.oneWay.Store(true); return k.heal }
	case 7:
		delay := time.Duration(5+s.random.IntN(60)) * time.Millisecond
		return func() func() { k.delay.Store(int64(delay)); k.reset(); return k.heal }
	}
	return func() func() { s.backends[node].drain(true); return func() { s.backends[node].drain(false) } }
}

var busy sync.Map

func anyOf(p *process) *process { return p }

// once begins a fault of a process unless another one has it.
func once(p *process, begin step) step {
	return func() func() {
		if _, taken := busy.LoadOrStore(p, true); taken {
			return func() {}
		}
		end := begin()
		return func() {
			end()
			busy.Delete(p)
		}
	}
}

// lostFor is how long a replica that is back still counts as lost: it has to
// catch up.
const lostFor = 4 * time.Second

func (s *soak) ofReplica(down chan struct{}, p *process, begin step) step {
	return func() func() {
		select {
		case down <- struct{}{}:
		default:
			return func() {}
		}
		end := once(p, begin)()
		return func() {
			end()
			time.Sleep(lostFor)
			<-down
		}
	}
}

func (s *soak) heal() {
	for _, p := range append(append([]*process{}, s.replicas...), s.nodes...) {
		for _, k := range p.links {
			k.heal()
		}
	}
	for _, b := range s.backends {
		b.drain(false)
	}
}

// call sends requests through one node until the soak ends.
func (s *soak) call(i int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: routeTimeout + 4*time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		s.one(client, i, n%2 == 0)
	}
}

func (s *soak) one(client *http.Client, i int, safe bool) bool {
	kind, method := "pay", http.MethodPost
	if safe {
		kind, method = "read", http.MethodGet
	}
	id := fmt.Sprintf("%s-%d-%d", kind, i, s.ids.Add(1))
	req, err := http.NewRequest(method, "http://"+s.callers[i]+"/"+kind+"/"+id, nil)
	if err != nil {
		s.fail("%v", err)
		return false
	}
	req.Host = "shop.example"
	start := time.Now()
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
	}
	took := time.Since(start)
	if took > routeTimeout+answerSlack && s.nodes[i].calm(took+calmAfter) {
		s.fail("%s: final answer after %v, the time limit is %v", id, took, routeTimeout)
	}
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		if string(body) != strings.Repeat(id+"\n", bodyLines) {
			s.fail("%s: got another answer, or half of one: %.60q, %d bytes", id, body, len(body))
		}
		s.served.Add(1)
		return true
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(fault.Header) != "":
		s.mu.Lock()
		s.refused[id] = true
		s.mu.Unlock()
	}
	return false
}

func (s *soak) allServe() bool {
	client := &http.Client{Timeout: routeTimeout + 4*time.Second}
	for i := range s.callers {
		if !s.one(client, i, true) || !s.one(client, i, false) {
			return false
		}
	}
	return true
}

// operate submits changes and reads back, and never sees an older one.
func (s *soak) operate() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		s.submit(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		s.mu.Lock()
		accepted := s.accepted
		s.mu.Unlock()
		if shown, err := s.operator.Show(ctx, "soak"); err == nil && shown.Revision < accepted {
			s.fail("revision %d was read after %d was accepted", shown.Revision, accepted)
		}
		cancel()
	}
}

const estateText = `{"institution": "soak", "terms": {"retryPercent": 20}, "services": {"shop": {"slots": 20, "queue": %d}}, "routes": {
	"read": {"host": "shop.example", "pathPrefix": "/read/", "kind": "safe", "service": "shop", "timeout": "1500ms", "maxAttempts": 2},
	"pay": {"host": "shop.example", "pathPrefix": "/pay/", "kind": "unsafe", "service": "shop", "timeout": "1500ms", "maxAttempts": 2}}}`

// submit has one change accepted on top of the newest; false means not now.
func (s *soak) submit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	shown, err := s.operator.Show(ctx, "soak")
	if err != nil {
		return false
	}
	text := fmt.Sprintf(estateText, 100+s.ids.Add(1)%100)
	record, err := s.operator.Submit(ctx, []byte(text), shown.Revision, operator.NewChangeID())
	var outcome *operator.OutcomeError
	if err != nil {
		if errors.As(err, &outcome) && outcome.Code == operator.ExitRefused {
			s.fail("a valid change was refused: %v", err)
		}
		return false
	}
	s.mu.Lock()
	s.accepted = max(s.accepted, record.Revision)
	s.mu.Unlock()
	return true
}

// check looks at what the backend servers saw, once everything has come to rest.
func (s *soak) check() {
	time.Sleep(routeTimeout)
	s.seen.mu.Lock()
	defer s.seen.mu.Unlock()
	for id, count := range s.seen.count {
		if strings.HasPrefix(id, "pay") && count > 1 {
			s.failures = append(s.failures, fmt.Sprintf("%s ran %d times", id, count))
		}
		if s.refused[id] {
			s.failures = append(s.failures, fmt.Sprintf("%s was said not to have run, and ran", id))
		}
	}
	for _, id := range s.seen.afterDrain {
		s.failures = append(s.failures, fmt.Sprintf("%s reached a server whose drain was acknowledged", id))
	}
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	if shown, err := s.operator.Show(ctx, "soak"); err != nil || shown.Revision < s.accepted {
		s.failures = append(s.failures, fmt.Sprintf("revision %d was accepted; read at the end: %v, %v", s.accepted, shown, err))
	}
}

// keepLogs keeps the logs of a failed run.
func (s *soak) keepLogs(n uint64) {
	if !s.t.Failed() {
		return
	}
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", n))
	if err != nil {
		s.t.Log(err)
		return
	}
	for _, p := range append(append([]*process{}, s.replicas...), s.nodes...) {
		p.mu.Lock()
		err := os.WriteFile(filepath.Join(folder, p.name+".log"), p.log.Bytes(), 0o600)
		p.mu.Unlock()
		if err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("again: go test ./internal/soak -run Soak -seed %d -for %v; logs in %s", n, *duration, folder)
}
