package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A site whose backend servers crash under some requests.

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
			b.node.putServer(fmt.Sprintf(`{"service":"pay","address":%q,"instance":"%s-%d","sequence":%d}`, b.at, b.node.host, life, time.Now().UnixNano()))
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
