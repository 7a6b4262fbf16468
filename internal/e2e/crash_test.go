package e2e

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// contact is how long all nodes may take to hear that a request ended three servers,
	// and mostLater how often it may reach servers after that: the users' terms.
	contact   = 3 * time.Second
	mostLater = 3
	// crashes is under how many servers a request may end before it is one to keep away.
	crashes = 3
	// downFor is how long a server that crashed takes to be back.
	downFor = 400 * time.Millisecond
	// crashAfter is how long a fatal request runs.
	crashAfter = 15 * time.Millisecond
	// harmlessWork is how long any other one runs.
	harmlessWork = 10 * time.Millisecond
)

// fatal is a request that crashes any server which begins to run it.
type fatal struct {
	method, path string
	body         string
	chunked      bool
}

// crashSite is a site whose servers crash under fatal requests. Safe for concurrent use.
type crashSite struct {
	*cluster
	servers []*crashServer

	mu     sync.Mutex
	fatals []*fatalRecord
}

// fatalRecord is what became of a fatal request.
type fatalRecord struct {
	fatal
	// ends are when it ended a server, arrivals when it came to one.
	ends     []time.Time
	arrivals []arrival
}

type arrival struct {
	at   time.Time
	node *nodeProc
	// calmFor is for how long the node beside the server had been left alone.
	calmFor time.Duration
}

// later counts the arrivals beside nodes in touch that came after all could know.
func (r *fatalRecord) later() (count int) {
	if len(r.ends) < crashes {
		return 0
	}
	for _, a := range r.arrivals {
		if a.at.Sub(r.ends[crashes-1]) > contact && a.calmFor > contact {
			count++
		}
	}
	return count
}

// crashServer is a backend server that comes back, as another instance, after a crash.
type crashServer struct {
	site  *crashSite
	node  *nodeProc
	at    string
	mu    sync.Mutex
	l     net.Listener
	conns map[net.Conn]bool
	life  int
	ended bool
	// leftAlone is since when nothing befell the node beside it.
	leftAlone time.Time
}

// calmFor is for how long nothing has befallen the node.
func (b *crashServer) calmFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.leftAlone)
}

// disturbed notes that something befalls the node until a time.
func (b *crashServer) disturbed(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leftAlone = until
}

const crashEstate = `{"institution": "trial", "terms": {"retryPercent": 20}, "services": {"pay": {"slots": 8, "queue": 20}}, "routes": {
	"read": {"host": "pay.example", "pathPrefix": "/read/", "kind": "safe", "service": "pay", "timeout": "2s", "maxAttempts": 2},
	"write": {"host": "pay.example", "pathPrefix": "/write/", "kind": "unsafe", "service": "pay", "timeout": "2s", "maxAttempts": 2}}}`

func newCrashSite(t *testing.T, servers int) *crashSite {
	t.Helper()
	s := &crashSite{cluster: newCluster(t, 1).start()}
	s.watch = true
	for i := range servers {
		n := s.addNodeIn([]string{"dc-a", "dc-b"}[i%2], "")
		b := &crashServer{site: s, node: n, conns: map[net.Conn]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		b.at = l.Addr().String()
		b.begin(l)
		s.servers = append(s.servers, b)
		stop := make(chan struct{})
		t.Cleanup(func() { close(stop); b.end() })
		go b.announce(stop)
	}
	s.submit(crashEstate)
	for _, n := range s.nodes {
		eventually(t, n.host+" serves", func() bool { return s.send(n, fatal{method: http.MethodGet, path: "/read/ping"}) == http.StatusOK })
	}
	return s
}

// begin has the server listen, as a new start.
func (b *crashServer) begin(l net.Listener) {
	b.mu.Lock()
	b.l, b.ended = l, false
	b.life++
	b.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
}

// end takes the server away: its port refuses connections, those it had break off.
func (b *crashServer) end() (first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.ended = true
	_ = b.l.Close()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(b.conns)
	return true
}

func (b *crashServer) crash() {
	if !b.end() {
		return
	}
	time.Sleep(downFor)
	// The port may be taken for a moment by an outgoing connection.
	for range 100 {
		if l, err := net.Listen("tcp", b.at); err == nil {
			b.begin(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *crashServer) announce(stop <-chan struct{}) {
	for {
		b.mu.Lock()
		life, ended := b.life, b.ended
		b.mu.Unlock()
		if !ended {
			body := fmt.Sprintf(`{"service":"pay","address":%q,"instance":"%s-%d","sequence":%d}`, b.at, b.node.host, life, time.Now().UnixNano())
			if req, err := http.NewRequest(http.MethodPut, "http://"+b.node.admin+"/v1/server", strings.NewReader(body)); err == nil {
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (b *crashServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if r := b.site.arrived(b, req, body); r != nil {
			time.Sleep(crashAfter)
			b.site.ended(r)
			go b.crash()
			return
		}
		time.Sleep(harmlessWork)
		if _, err := io.WriteString(c, shortAnswer); err != nil {
			return
		}
	}
}

// arrived tells which fatal request came to a server, if it is one, and counts it.
func (s *crashSite) arrived(b *crashServer, req *http.Request, body []byte) *fatalRecord {
	calm := b.calmFor()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.fatals {
		if req.Method == r.method && req.URL.Path == r.path && string(body) == r.body {
			r.arrivals = append(r.arrivals, arrival{time.Now(), b.node, calm})
			return r
		}
	}
	return nil
}

func (s *crashSite) ended(r *fatalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ends = append(r.ends, time.Now())
}

// begin has requests be fatal from now on, and no others.
func (s *crashSite) begin(list ...fatal) []*fatalRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fatals = nil
	for _, f := range list {
		s.fatals = append(s.fatals, &fatalRecord{fatal: f})
	}
	return s.fatals
}

// send sends a request through a node and returns its status, 0 without one.
func (s *crashSite) send(n *nodeProc, f fatal) int {
	var body io.Reader
	if f.body != "" {
		body = bytes.NewReader([]byte(f.body))
		if f.chunked {
			// A reader whose length net/http cannot tell.
			body = io.MultiReader(body)
		}
	}
	resp, _, err := n.request(f.method, "pay", f.path, body)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// seen is how often a fatal request came after all could know, and whether it is past
// the time in which it may.
func (s *crashSite) seen(r *fatalRecord) (later int, over bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.later(), len(r.ends) >= crashes && time.Since(r.ends[crashes-1]) > contact+2*time.Second
}

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
