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

// These constants describe a site whose backend servers crash under certain requests.

const (
	// propagationTime is the time within which all nodes must learn that a request has crashed
	// three servers. maxLateArrivals is the number of times that the request may still reach
	// servers after that time. Both are requirements of the users.
	propagationTime = 3 * time.Second
	maxLateArrivals = 3
	// crashThreshold is the number of crashed servers after which nodes must quarantine a
	// request, that is, no longer send it to any server.
	crashThreshold = 3
	// restartDelay is how long a crashed server takes to restart.
	restartDelay = 400 * time.Millisecond
	// crashDelay is how long a fatal request runs before it crashes the server.
	crashDelay = 15 * time.Millisecond
	// processingTime is the duration of all other requests.
	processingTime = 10 * time.Millisecond
)

// fatalRequest is a request that crashes every server that executes it.
type fatalRequest struct {
	method, path string
	body         string
	chunked      bool
}

// crashSite is a site whose servers crash under fatal requests. It is safe for concurrent use.
type crashSite struct {
	*cluster
	servers []*crashServer

	mu      sync.Mutex
	records []*fatalRecord
}

// fatalRecord records the arrivals of a fatal request at servers and the crashes it has caused.
type fatalRecord struct {
	fatalRequest
	// crashTimes contains the times at which the request crashed a server, and arrivals its
	// arrivals at servers.
	crashTimes []time.Time
	arrivals   []arrival
}

type arrival struct {
	at   time.Time
	node *nodeProcess
	// undisturbedFor is the time between the end of the last fault of the server's node and the
	// arrival. It is negative during a fault.
	undisturbedFor time.Duration
}

// lateArrivals counts the arrivals at undisturbed nodes later than propagationTime after the request
// has crashed crashThreshold servers.
func (r *fatalRecord) lateArrivals() (count int) {
	if len(r.crashTimes) < crashThreshold {
		return 0
	}
	for _, a := range r.arrivals {
		if a.at.Sub(r.crashTimes[crashThreshold-1]) > propagationTime && a.undisturbedFor > propagationTime {
			count++
		}
	}
	return count
}

// crashServer is a backend server that restarts as a new instance after a crash.
type crashServer struct {
	site       *crashSite
	node       *nodeProcess
	address    string
	mu         sync.Mutex
	listener   net.Listener
	conns      map[net.Conn]bool
	generation int
	stopped    bool
	// undisturbedSince is the end of the last fault of the server's node. It is in the future
	// during a fault.
	undisturbedSince time.Time
}

// undisturbedFor returns how long the node has been undisturbed, or a negative duration during a
// fault.
func (b *crashServer) undisturbedFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Since(b.undisturbedSince)
}

// setUndisturbedSince sets the end of a fault of the node.
func (b *crashServer) setUndisturbedSince(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.undisturbedSince = since
}

const crashEstate = `{"institution": "trial", "terms": {"retryPercent": 20}, "services": {"pay": {"slots": 8, "queue": 20}}, "routes": {
	"read": {"host": "pay.example", "pathPrefix": "/read/", "kind": "safe", "service": "pay", "timeout": "2s", "maxAttempts": 2},
	"write": {"host": "pay.example", "pathPrefix": "/write/", "kind": "unsafe", "service": "pay", "timeout": "2s", "maxAttempts": 2}}}`

func newCrashSite(t *testing.T, servers int) *crashSite {
	t.Helper()
	s := &crashSite{cluster: newCluster(t, 1).start()}
	s.watchControl = true
	for i := range servers {
		n := s.addNodeIn([]string{"dc-a", "dc-b"}[i%2], "")
		b := &crashServer{site: s, node: n, conns: map[net.Conn]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		b.address = l.Addr().String()
		b.start(l)
		s.servers = append(s.servers, b)
		stop := make(chan struct{})
		t.Cleanup(func() { close(stop); b.stop() })
		go b.announce(stop)
	}
	s.submit(crashEstate)
	for _, n := range s.nodes {
		eventually(t, n.host+" serves", func() bool {
			return s.send(n, fatalRequest{method: http.MethodGet, path: "/read/ping"}) == http.StatusOK
		})
	}
	return s
}

// start serves connections of the listener as a new instance.
func (b *crashServer) start(l net.Listener) {
	b.mu.Lock()
	b.listener, b.stopped = l, false
	b.generation++
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

// stop closes the listener and resets all connections. It returns false if the server is already
// stopped.
func (b *crashServer) stop() (first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.stopped = true
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(b.conns)
	return true
}

func (b *crashServer) crash() {
	if !b.stop() {
		return
	}
	time.Sleep(restartDelay)
	// The port may temporarily be in use by an outgoing connection.
	for range 100 {
		if l, err := net.Listen("tcp", b.address); err == nil {
			b.start(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *crashServer) announce(stop <-chan struct{}) {
	for {
		b.mu.Lock()
		life, ended := b.generation, b.stopped
		b.mu.Unlock()
		if !ended {
			b.node.announceServer(fmt.Sprintf(`{"service":"pay","address":%q,"instance":"%s-%d","sequence":%d}`, b.address, b.node.host, life, time.Now().UnixNano()))
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
		if r := b.site.recordArrival(b, req, body); r != nil {
			time.Sleep(crashDelay)
			b.site.recordCrash(r)
			go b.crash()
			return
		}
		time.Sleep(processingTime)
		if _, err := io.WriteString(c, shortResponse); err != nil {
			return
		}
	}
}

// recordArrival records the arrival of a request and returns its record, or nil if the request is
// not fatal.
func (s *crashSite) recordArrival(b *crashServer, req *http.Request, body []byte) *fatalRecord {
	undisturbedFor := b.undisturbedFor()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if req.Method == r.method && req.URL.Path == r.path && string(body) == r.body {
			r.arrivals = append(r.arrivals, arrival{time.Now(), b.node, undisturbedFor})
			return r
		}
	}
	return nil
}

func (s *crashSite) recordCrash(r *fatalRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.crashTimes = append(r.crashTimes, time.Now())
}

// setFatal replaces the set of fatal requests.
func (s *crashSite) setFatal(list ...fatalRequest) []*fatalRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = nil
	for _, f := range list {
		s.records = append(s.records, &fatalRecord{fatalRequest: f})
	}
	return s.records
}

// send sends a request through a node and returns the status of the response, or 0 if there is
// none.
func (s *crashSite) send(n *nodeProcess, f fatalRequest) int {
	var body io.Reader
	if f.body != "" {
		body = bytes.NewReader([]byte(f.body))
		if f.chunked {
			// Hide the length of the body from net/http.
			body = io.MultiReader(body)
		}
	}
	resp, _, err := n.request(f.method, "pay", f.path, body)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// progress returns the number of late arrivals of a fatal request. done reports whether the request
// has been sent long enough after propagationTime for the check.
func (s *crashSite) progress(r *fatalRecord) (late int, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.lateArrivals(), len(r.crashTimes) >= crashThreshold && time.Since(r.crashTimes[crashThreshold-1]) > propagationTime+2*time.Second
}
