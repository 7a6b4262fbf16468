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

// Guards against a request that crashes one server after another, so that its service is
// repeatedly unavailable for seconds. As soon as the request has failed, its caller resends it with
// a new ID through another node. Retry limits cannot prevent the crashes, because they apply to a
// single ID. Without a quarantine that all nodes share, a node forgets the request when its
// connection to the crashed server ends, and no node knows what has run at another node, so that
// all servers crash, and crash again after their restart. Logs then show the same content key at
// each crashed server, with IDs that no other server has seen. Other requests must be served
// meanwhile: the same path with another body, and frequent requests that happened to run on a
// server when it crashed.
func TestRequestThatEndsServersIsKeptAway(t *testing.T) {
	s := newCrashSite(t, 6)
	long := strings.Repeat("long ", 20_000)
	for _, f := range []struct {
		desc string
		fatalRequest
	}{
		{"repeatable, without a body", fatalRequest{method: http.MethodGet, path: "/read/fatal"}},
		{"not repeatable, with a body", fatalRequest{method: http.MethodPost, path: "/write/fatal", body: "kill"}},
		{"with a body of unknown length", fatalRequest{method: http.MethodPost, path: "/write/chunks", body: "kill", chunked: true}},
		{"with a body too long to buffer", fatalRequest{method: http.MethodPost, path: "/write/long", body: long}},
	} {
		t.Run(f.desc, func(t *testing.T) { s.checkQuarantined(t, f.fatalRequest) })
	}
}

// checkQuarantined resends a fatal request, concurrently with other requests, until it must be
// quarantined at all nodes. It checks that the fatal request seldom reaches servers after that and
// that other requests are served.
func (s *crashSite) checkQuarantined(t *testing.T, f fatalRequest) {
	r := s.setFatal(f)[0]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	defer callers.Wait()
	defer close(stop)
	callers.Go(func() { s.sendPopular(stop) })
	deadline := time.Now().Add(waitTimeout)
	for i := 0; ; i++ {
		s.send(s.nodes[i%len(s.nodes)], f)
		late, done := s.progress(r)
		assert.Assert(t, late <= maxLateArrivals, "the request reached servers %d times after the propagation time", late)
		if done {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "the request did not crash three servers")
		time.Sleep(50 * time.Millisecond)
	}
	for _, other := range s.harmlessRequests(f) {
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

// popularPath is the path of a frequent request.
const popularPath = "/read/popular"

// sendPopular sends requests through all nodes until stop is closed.
func (s *crashSite) sendPopular(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		s.send(s.nodes[i%len(s.nodes)], fatalRequest{method: http.MethodGet, path: popularPath})
	}
}

// harmlessRequests returns requests that must not be quarantined: one that differs from f only in
// its body or path, and a frequent one.
func (s *crashSite) harmlessRequests(f fatalRequest) []fatalRequest {
	other := f
	other.body = f.body + "!"
	if f.method == http.MethodGet {
		other.path += "/other"
		other.body = ""
	}
	return []fatalRequest{other, {method: http.MethodGet, path: popularPath}}
}

// Guards against the loss of a quarantine when all nodes, and in one case the control replica as
// well, are killed at the same time. The request has crashed three servers and is quarantined at
// all nodes. If the quarantine were held only in the memory of the nodes, the resent request would
// crash servers again after the restart. It is therefore also sent to the control replicas, which
// store it.
func TestRequestIsKeptAwayAfterAllNodesEnded(t *testing.T) {
	for _, c := range []struct {
		desc    string
		control bool
	}{
		{"only the nodes", false},
		{"the nodes and control", true},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := newCrashSite(t, 6)
			f := fatalRequest{method: http.MethodGet, path: "/read/fatal"}
			r := s.setFatal(f)[0]
			eventually(t, "the request is quarantined at all nodes", func() bool {
				for _, n := range s.nodes {
					s.send(n, f)
				}
				return s.countQuarantiningNodes(t) == len(s.nodes)
			})
			time.Sleep(propagationTime)
			var procs []*process
			for _, n := range s.nodes {
				procs = append(procs, n.process)
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
				eventually(t, n.host+" serves again", func() bool {
					return s.send(n, fatalRequest{method: http.MethodGet, path: popularPath}) == http.StatusOK
				})
			}
			time.Sleep(propagationTime)
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
			assert.Assert(t, len(r.arrivals)-before <= maxLateArrivals, "the request reached servers %d times after the restart", len(r.arrivals)-before)
		})
	}
}

// countQuarantiningNodes returns the number of nodes that have quarantined at least one request.
func (s *crashSite) countQuarantiningNodes(t *testing.T) int {
	t.Helper()
	count := 0
	for _, n := range s.nodes {
		if metric(n.metrics(t), "quarantine_contents") > 0 {
			count++
		}
	}
	return count
}

var crashSeed = flag.Uint64("crash.seed", 1, "seed of TestRequestsAreKeptAwayWhileNodesComeAndGo")

// Guards against fatal requests that reach servers too often while nodes are killed or frozen and
// all control replicas are paused. Two fatal requests are sent concurrently through varying nodes,
// one of them with a new query each time. The number of their arrivals at undisturbed nodes after
// propagationTime must be at most maxLateArrivals. At the end both requests must be quarantined at
// all nodes, and other requests must be served.
func TestRequestsAreKeptAwayWhileNodesComeAndGo(t *testing.T) {
	const duration = 12 * time.Second
	s := newCrashSite(t, 8)
	random := rand.New(rand.NewPCG(*crashSeed, 0))
	list := []fatalRequest{{method: http.MethodGet, path: "/read/fatal"}, {method: http.MethodPost, path: "/write/fatal", body: "kill"}}
	records := s.setFatal(list...)
	stop := make(chan struct{})
	var callers, faults sync.WaitGroup
	callers.Go(func() { s.sendPopular(stop) })
	for i, f := range list {
		callers.Go(func() { s.resendFatal(stop, i, f) })
	}
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(time.Duration(200+random.IntN(500)) * time.Millisecond) {
		b := s.servers[random.IntN(len(s.servers))]
		downtime := time.Duration(100+random.IntN(1500)) * time.Millisecond
		switch {
		case random.IntN(4) == 0:
			faults.Go(func() { s.pauseControl(downtime) })
		case b.undisturbedFor() < 0:
		case random.IntN(2) == 0:
			b.setUndisturbedSince(time.Now().Add(downtime + nodeStartTime))
			faults.Go(func() {
				b.node.kill()
				time.Sleep(downtime)
				b.node.start(t)
			})
		default:
			b.setUndisturbedSince(time.Now().Add(downtime))
			faults.Go(func() {
				b.node.signal(syscall.SIGSTOP)
				time.Sleep(downtime)
				b.node.signal(syscall.SIGCONT)
			})
		}
	}
	faults.Wait()
	time.Sleep(nodeStartTime + propagationTime)
	close(stop)
	callers.Wait()
	for _, r := range records {
		s.mu.Lock()
		later, ends := r.lateArrivals(), len(r.crashTimes)
		s.mu.Unlock()
		t.Logf("%s %s crashed %d servers, %d late arrivals", r.method, r.path, ends, later)
		assert.Assert(t, ends >= crashThreshold, "the request crashed too few servers for the test")
		assert.Assert(t, later <= maxLateArrivals, "%s reached servers %d times after the propagation time", r.path, later)
	}
	for _, other := range append(s.harmlessRequests(list[0]), s.harmlessRequests(list[1])...) {
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

// nodeStartTime exceeds the time that a node needs to start.
const nodeStartTime = time.Second

// resendFatal sends a fatal request repeatedly, each time through two nodes concurrently, until stop
// is closed. The nodes vary, and a GET request gets a new query each time.
func (s *crashSite) resendFatal(stop <-chan struct{}, first int, f fatalRequest) {
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
		var pair sync.WaitGroup
		for j := range 2 {
			pair.Go(func() { s.send(s.nodes[(i+j)%len(s.nodes)], f) })
		}
		pair.Wait()
	}
}

// pauseControl pauses all control replicas for d.
func (s *crashSite) pauseControl(d time.Duration) {
	for _, r := range s.replicas {
		r.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, r := range s.replicas {
		r.signal(syscall.SIGCONT)
	}
}
