package e2e

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The caller sees a service that refuses for seconds, again and again. One request
// crashes each server that begins to run it; its caller sends it again, under a new id
// and through another node, as soon as it has failed. Each call by itself keeps to its
// attempts, and nothing remembers what ran on the servers that ended: all of them end,
// and when the first are back they end again. The logs show one content on each server
// that ended, under an id that no other server has seen. Others must be served
// meanwhile: the same path with another body, and what is asked for often and only
// happened to run there. Cause: what a server ran was forgotten with the exchange that
// broke off, and no node knew what had run beside another one; the logs' keys of
// contents proved it.
func TestRequestThatEndsServersIsKeptAway(t *testing.T) {
	s := newCrashSite(t, 6)
	long := strings.Repeat("long ", 20_000)
	for _, f := range []struct {
		desc string
		fatal
	}{
		{"repeatable, without a body", fatal{method: http.MethodGet, path: "/read/fatal"}},
		{"not repeatable, with a body", fatal{method: http.MethodPost, path: "/write/fatal", body: "kill"}},
		{"its body comes without a length", fatal{method: http.MethodPost, path: "/write/chunks", body: "kill", chunked: true}},
		{"its body is too long to be held", fatal{method: http.MethodPost, path: "/write/long", body: long}},
	} {
		t.Run(f.desc, func(t *testing.T) { s.keptAway(t, f.fatal) })
	}
}

// keptAway has callers send a fatal request again and again beside others.
func (s *crashSite) keptAway(t *testing.T, f fatal) {
	r := s.begin(f)[0]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	callers.Go(func() { s.popular(stop) })
	deadline := time.Now().Add(patience)
	for i := 0; ; i++ {
		s.send(s.nodes[i%len(s.nodes)], f)
		later, over := s.seen(r)
		assert.Assert(t, later <= mostLater, "the request came to servers %d times after all could know", later)
		if over {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "never ended three servers")
		time.Sleep(50 * time.Millisecond)
	}
	for _, other := range s.harmless(f) {
		eventually(t, other.method+" "+other.path+" is served at each node", func() bool {
			for _, n := range s.nodes {
				if s.send(n, other) != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
}

// popularPath is asked for often.
const popularPath = "/read/popular"

// popular is asked for all the while, through all nodes.
func (s *crashSite) popular(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		s.send(s.nodes[i%len(s.nodes)], fatal{method: http.MethodGet, path: popularPath})
	}
}

// harmless are requests that nobody may keep away.
func (s *crashSite) harmless(f fatal) []fatal {
	other := f
	other.body = f.body + "!"
	if f.method == http.MethodGet {
		other.path += "/other"
		other.body = ""
	}
	return []fatal{other, {method: http.MethodGet, path: popularPath}}
}

// A request has ended three servers and is kept away everywhere. Then all nodes lose
// power at one moment, and the control replica with them or not; no node is left that
// remembers. The caller goes on sending the request, and it ended servers anew as soon as
// they were back. Cause: what the nodes knew was in their memory alone. Control replicas
// are told as well, and store it.
func TestRequestIsKeptAwayAfterAllNodesEnded(t *testing.T) {
	for _, c := range []struct {
		desc    string
		control bool
	}{
		{"the nodes alone", false},
		{"the nodes and control", true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := newCrashSite(t, 6)
			f := fatal{method: http.MethodGet, path: "/read/fatal"}
			r := s.begin(f)[0]
			eventually(t, "the request is kept away everywhere", func() bool {
				for _, n := range s.nodes {
					s.send(n, f)
				}
				return s.keptAwayAt(t) == len(s.nodes)
			})
			time.Sleep(contact)
			var procs []*proc
			for _, n := range s.nodes {
				procs = append(procs, n.proc)
			}
			if c.control {
				procs = append(procs, s.replicas[0])
			}
			for _, p := range procs {
				p.signal(syscall.SIGKILL)
			}
			for _, p := range procs {
				<-p.done
				p.start(t)
			}
			for _, n := range s.nodes {
				eventually(t, n.host+" serves again", func() bool { return s.send(n, fatal{method: http.MethodGet, path: popularPath}) == http.StatusOK })
			}
			time.Sleep(contact)
			s.mu.Lock()
			before := len(r.arrivals)
			s.mu.Unlock()
			for range 20 {
				for _, n := range s.nodes {
					s.send(n, f)
				}
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			assert.Assert(t, len(r.arrivals)-before <= mostLater, "the request came to servers %d times more", len(r.arrivals)-before)
		})
	}
}

// keptAwayAt counts the nodes that keep a request away.
func (s *crashSite) keptAwayAt(t *testing.T) int {
	t.Helper()
	count := 0
	for _, n := range s.nodes {
		if number(n.vars(t), "quarantine_contents") > 0 {
			count++
		}
	}
	return count
}

var crashSeed = flag.Uint64("crash.seed", 1, "what befalls the nodes while requests crash servers")

// Two fatal requests come at once, through whichever node, one with another query each
// time. Meanwhile nodes are killed and started, frozen and let go, and all control
// replicas stand still. Beside any node that was left alone, neither may come to servers
// more often than it may, once all could know; when all is over both are kept away, and
// others are served.
func TestRequestsAreKeptAwayWhileNodesComeAndGo(t *testing.T) {
	const lasts = 12 * time.Second
	s := newCrashSite(t, 8)
	random := rand.New(rand.NewPCG(*crashSeed, 0))
	list := []fatal{{method: http.MethodGet, path: "/read/fatal"}, {method: http.MethodPost, path: "/write/fatal", body: "kill"}}
	records := s.begin(list...)
	stop := make(chan struct{})
	var callers, faults sync.WaitGroup
	callers.Go(func() { s.popular(stop) })
	for i, f := range list {
		callers.Go(func() { s.insist(stop, i, f) })
	}
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(time.Duration(200+random.IntN(500)) * time.Millisecond) {
		b := s.servers[random.IntN(len(s.servers))]
		down := time.Duration(100+random.IntN(1500)) * time.Millisecond
		switch {
		case random.IntN(4) == 0:
			faults.Go(func() { s.withoutControl(down) })
		case b.calmFor() < 0:
		case random.IntN(2) == 0:
			b.disturbed(time.Now().Add(down + restartTime))
			faults.Go(func() {
				b.node.kill()
				time.Sleep(down)
				b.node.start(t)
			})
		default:
			b.disturbed(time.Now().Add(down))
			faults.Go(func() {
				b.node.signal(syscall.SIGSTOP)
				time.Sleep(down)
				b.node.signal(syscall.SIGCONT)
			})
		}
	}
	faults.Wait()
	time.Sleep(restartTime + contact)
	close(stop)
	callers.Wait()
	for _, r := range records {
		s.mu.Lock()
		later, ends := r.later(), len(r.ends)
		s.mu.Unlock()
		t.Logf("%s %s ended %d servers, %d times late", r.method, r.path, ends, later)
		assert.Assert(t, ends >= crashes, "it ended too few servers to tell")
		assert.Assert(t, later <= mostLater, "%s came to servers %d times after all could know", r.path, later)
	}
	for _, other := range append(s.harmless(list[0]), s.harmless(list[1])...) {
		for _, n := range s.nodes {
			eventually(t, other.path+" is served through "+n.host, func() bool { return s.send(n, other) == http.StatusOK })
		}
	}
	for _, n := range s.nodes {
		for _, f := range list {
			assert.Equal(t, s.send(n, f), http.StatusServiceUnavailable, "%s through %s", f.path, n.host)
		}
	}
}

// restartTime is more than a node takes to be up after its start.
const restartTime = time.Second

// insist sends a fatal request again and again, through two nodes at once.
func (s *crashSite) insist(stop <-chan struct{}, first int, f fatal) {
	for i := first; ; i += 2 {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		if f.method == http.MethodGet {
			f.path, _, _ = strings.Cut(f.path, "?")
			f.path += fmt.Sprint("?", i)
		}
		var both sync.WaitGroup
		for j := range 2 {
			both.Go(func() { s.send(s.nodes[(i+j)%len(s.nodes)], f) })
		}
		both.Wait()
	}
}

// withoutControl has all control replicas stand still for a while.
func (s *crashSite) withoutControl(d time.Duration) {
	for _, r := range s.replicas {
		r.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, r := range s.replicas {
		r.signal(syscall.SIGCONT)
	}
}
