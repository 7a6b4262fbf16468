package endpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	content "cactuspath/core/quarantine"
	"cactuspath/internal/hop"
	"cactuspath/internal/quarantine"
)

// crashingServer is a backend server that can crash with requests in progress, or reset its
// connections without a crash. It responds only to requests for /quick.
type crashingServer struct {
	t       *testing.T
	address string

	// received counts the requests that arrived.
	received atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

func startCrashingServer(t *testing.T) *crashingServer {
	s := &crashingServer{t: t}
	s.listen("127.0.0.1:0")
	t.Cleanup(s.crash)
	return s
}

func (s *crashingServer) listen(address string) {
	var listener net.Listener
	eventually(s.t, "the port is free", func() (ok bool) {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	})
	s.mu.Lock()
	s.listener, s.address = listener, listener.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if s.track(listener, c) {
				go s.serve(c)
			}
		}
	}()
}

// track records a connection, unless the server has crashed since it was accepted.
func (s *crashingServer) track(listener net.Listener, c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener {
		_ = c.Close()
		return false
	}
	s.conns = append(s.conns, c)
	return true
}

func (s *crashingServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.received.Add(1)
		if req.URL.Path == "/quick" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// resetConns resets all connections.
func (s *crashingServer) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.conns = nil
}

func (s *crashingServer) crash() {
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.listener = nil
	s.mu.Unlock()
	s.resetConns()
}

// crashFixture is an endpoint with a crashingServer.
type crashFixture struct {
	*crashingServer
	endpoint   *Endpoint
	quarantine *quarantine.Tracker
	counters   *quarantine.Counters
	attempts   uint32
	callers    sync.WaitGroup
}

func newCrashFixture(t *testing.T) *crashFixture {
	s := &crashFixture{crashingServer: startCrashingServer(t), counters: &quarantine.Counters{}}
	s.quarantine = quarantine.New(quarantine.Options{Host: "h", Send: func(string, []byte) {}, Counters: s.counters})
	s.endpoint = New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters(), Quarantine: s.quarantine}, gate.Config{Slots: 4, Queue: 4})
	s.endpoint.ReplaceServer("first", s.address)
	t.Cleanup(func() { s.crash(); s.callers.Wait(); s.endpoint.Close() })
	return s
}

// contentOf returns the content of a request for the path.
func contentOf(path string) content.Content {
	return content.ContentOf(content.Target{Method: http.MethodGet, Host: "pay.example", URI: path}, content.SumOf(nil))
}

func (s *crashFixture) attempt(path string) hop.Reply {
	s.attempts++
	id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: s.attempts}
	out := &hop.Outgoing{Method: http.MethodGet, URI: path, Host: "pay.example", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)}
	resp, reply := s.endpoint.Attempt(s.t.Context(), hop.Request{ID: id, Incarnation: 1, Timeout: time.Minute, Content: contentOf(path)}, out, nil)
	if resp != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return reply
}

// startAttempt starts a request that gets no response, and waits until it runs.
func (s *crashFixture) startAttempt(path string) {
	s.t.Helper()
	before := s.received.Load()
	s.callers.Go(func() { s.attempt(path) })
	eventually(s.t, "the server has received the request", func() bool { return s.received.Load() > before })
}

func (s *crashFixture) exits() int { return int(s.counters.Ends.Value()) }

// exitDetectionTime is longer than the gate takes to detect a crash.
const exitDetectionTime = 4 * exitRefusals * exitCheckInterval

// A request is quarantined if servers crash three times while they run it. The gate must
// therefore detect each crash exactly once, however it happens; a false detection would
// quarantine harmless requests.
func TestGateSeesItsServerEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		crash func(s *crashFixture)
		want  int
	}{
		{"connections break off and the port refuses", func(s *crashFixture) { s.crash() }, 1},
		{"connections break off, the port refuses, and the server restarts", func(s *crashFixture) {
			s.crash()
			eventually(s.t, "the exit is detected", func() bool { return s.exits() == 1 })
			s.listen(s.address)
			s.endpoint.ReplaceServer("second", s.address)
		}, 1},
		{"the server is back before the first check", func(s *crashFixture) {
			s.resetConns()
			time.Sleep(exitDetectionTime)
			s.endpoint.ReplaceServer("second", s.address)
		}, 1},
		{"the server vanishes silently and restarts", func(s *crashFixture) { s.endpoint.ReplaceServer("second", s.address) }, 1},
		{"the server restarts as the same instance", func(s *crashFixture) { s.endpoint.ServerRestarted(s.address) }, 1},
		{"connections break off while the server is up", func(s *crashFixture) { s.resetConns() }, 0},
		{"the server exits after a drain", func(s *crashFixture) { s.endpoint.SetDraining(true); s.crash() }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newCrashFixture(t)
			s.startAttempt("/fatal")
			c.crash(s)
			eventually(t, "all exits are detected", func() bool { return s.exits() >= c.want })
			time.Sleep(exitDetectionTime)
			assert.Equal(t, s.exits(), c.want)
		})
	}
}

// A server crashes and restarts while the gate still tracks a request sent to the previous
// process. The new process then crashes while it runs another request. The first request must
// count for only one of the two crashes.
func TestRunOfPreviousProcessCountsOnce(t *testing.T) {
	s := newCrashFixture(t)
	s.startAttempt("/left")
	s.endpoint.ReplaceServer("second", s.address)
	assert.Equal(t, s.exits(), 1)
	s.resetConns()
	s.startAttempt("/other")
	s.crash()
	eventually(t, "the second exit is detected", func() bool { return s.exits() == 2 })
	s.listen(s.address)
	s.startAttempt("/other")
	s.crash()
	eventually(t, "the third exit is detected", func() bool { return s.exits() == 3 })
	assert.Equal(t, s.quarantine.QuarantinedFor(contentOf("/left")), time.Duration(0))
	assert.Equal(t, s.quarantine.QuarantinedFor(contentOf("/other")), time.Duration(0))
}

// A server crashes three times while it runs one request, and completes another request in
// between. From then on the first request must be refused at once, as not run, and the other
// must still be served.
func TestGateQuarantinesRequestThatCrashesItsServer(t *testing.T) {
	s := newCrashFixture(t)
	for i := range 3 {
		assert.Equal(t, s.attempt("/quick").Verdict, hop.Ran)
		s.startAttempt("/fatal")
		s.crash()
		eventually(t, "the exit is detected", func() bool { return s.exits() == i+1 })
		s.listen(s.address)
	}
	reply := s.attempt("/fatal")
	assert.Equal(t, reply.Verdict, hop.Refused)
	assert.Equal(t, reply.Reason, gate.Quarantined)
	assert.Assert(t, reply.SiblingsFull && reply.RetryAfter > 0)
	assert.Equal(t, s.attempt("/quick").Verdict, hop.Ran)
}
