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

// mortal is a backend server that can end with what it runs, or break off its
// connections without ending. It answers nothing but requests for /quick.
type mortal struct {
	t       *testing.T
	address string

	// got counts the requests that came.
	got atomic.Int64

	mu    sync.Mutex
	l     net.Listener
	conns []net.Conn
}

func startMortal(t *testing.T) *mortal {
	m := &mortal{t: t}
	m.begin("127.0.0.1:0")
	t.Cleanup(m.end)
	return m
}

func (m *mortal) begin(address string) {
	var l net.Listener
	eventually(m.t, "the port is free", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", address)
		return err == nil
	})
	m.mu.Lock()
	m.l, m.address = l, l.Addr().String()
	m.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if m.hold(l, c) {
				go m.serve(c)
			}
		}
	}()
}

// hold keeps a connection that was accepted before the server ended.
func (m *mortal) hold(l net.Listener, c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.l != l {
		_ = c.Close()
		return false
	}
	m.conns = append(m.conns, c)
	return true
}

func (m *mortal) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		m.got.Add(1)
		if req.URL.Path == "/quick" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// breakOff resets all connections.
func (m *mortal) breakOff() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	m.conns = nil
}

func (m *mortal) end() {
	m.mu.Lock()
	if m.l != nil {
		_ = m.l.Close()
	}
	m.l = nil
	m.mu.Unlock()
	m.breakOff()
}

// mortalSite is an endpoint beside a mortal server.
type mortalSite struct {
	*mortal
	endpoint *Endpoint
	keeper   *quarantine.Keeper
	counters *quarantine.Counters
	attempts uint32
	callers  sync.WaitGroup
}

func newMortalSite(t *testing.T) *mortalSite {
	s := &mortalSite{mortal: startMortal(t), counters: &quarantine.Counters{}}
	s.keeper = quarantine.New(quarantine.Options{Host: "h", Send: func(string, []byte) {}, Counters: s.counters})
	s.endpoint = New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, Heard: func(uint64) {}, Send: func(string, gate.Report) {},
		Counters: NewCounters(), Quarantine: s.keeper}, gate.Config{Slots: 4, Queue: 4})
	s.endpoint.SetOtherServer("first", s.address)
	t.Cleanup(func() { s.end(); s.callers.Wait(); s.endpoint.Close() })
	return s
}

// contentAt is the content of a request for the path.
func contentAt(path string) content.Content {
	return content.ContentOf(content.Target{Method: http.MethodGet, Host: "pay.example", URI: path}, content.SumOf(nil))
}

func (s *mortalSite) attempt(path string) hop.Reply {
	s.attempts++
	id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: s.attempts}
	out := &hop.Outgoing{Method: http.MethodGet, URI: path, Host: "pay.example", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)}
	resp, reply := s.endpoint.Attempt(s.t.Context(), hop.Request{ID: id, Incarnation: 1, Timeout: time.Minute, Content: contentAt(path)}, out, nil)
	if resp != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return reply
}

// run has a request run that is not answered.
func (s *mortalSite) run(path string) {
	s.t.Helper()
	before := s.got.Load()
	s.callers.Go(func() { s.attempt(path) })
	eventually(s.t, "the server has the request", func() bool { return s.got.Load() > before })
}

func (s *mortalSite) ends() int { return int(s.counters.Ends.Value()) }

// settled is longer than it takes to find out that a server has ended.
const settled = 4 * refusals * endPause

// A request ends its server three times, in one way or another. The gate must see each
// of these ends, once, and keep the request away; it must not take for an end what is
// none, or harmless requests would be kept away.
func TestGateSeesItsServerEnd(t *testing.T) {
	for _, c := range []struct {
		desc string
		end  func(s *mortalSite)
		want int
	}{
		{"its connections break off and its port refuses", func(s *mortalSite) { s.end() }, 1},
		{"the same, and it starts again", func(s *mortalSite) {
			s.end()
			eventually(s.t, "the end is seen", func() bool { return s.ends() == 1 })
			s.begin(s.address)
			s.endpoint.SetOtherServer("second", s.address)
		}, 1},
		{"it is back before anybody looked", func(s *mortalSite) {
			s.breakOff()
			time.Sleep(settled)
			s.endpoint.SetOtherServer("second", s.address)
		}, 1},
		{"it vanished without a word and starts again", func(s *mortalSite) { s.endpoint.SetOtherServer("second", s.address) }, 1},
		{"it starts again as the same instance", func(s *mortalSite) { s.endpoint.SetRestarted(s.address) }, 1},
		{"its connections break off, and it is there", func(s *mortalSite) { s.breakOff() }, 0},
		{"it leaves as planned", func(s *mortalSite) { s.endpoint.SetDraining(true); s.end() }, 0},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := newMortalSite(t)
			s.run("/fatal")
			c.end(s)
			eventually(t, "all ends are seen", func() bool { return s.ends() >= c.want })
			time.Sleep(settled)
			assert.Equal(t, s.ends(), c.want)
		})
	}
}

// A server starts again while a request is left over from its earlier start. It ends once
// more, under another request: the first one was on one of the two.
func TestRunOfAnEarlierStartCountsOnce(t *testing.T) {
	s := newMortalSite(t)
	s.run("/left")
	s.endpoint.SetOtherServer("second", s.address)
	assert.Equal(t, s.ends(), 1)
	s.breakOff()
	s.run("/other")
	s.end()
	eventually(t, "the second end is seen", func() bool { return s.ends() == 2 })
	s.begin(s.address)
	s.run("/other")
	s.end()
	eventually(t, "the third end is seen", func() bool { return s.ends() == 3 })
	assert.Equal(t, s.keeper.Barred(contentAt("/left")), time.Duration(0))
	assert.Equal(t, s.keeper.Barred(contentAt("/other")), time.Duration(0))
}

// A server ends three times under one request, beside one that is answered in between.
// The first is refused from then on, at once and as not run; the other one is served.
func TestGateKeepsAwayWhatEndsItsServer(t *testing.T) {
	s := newMortalSite(t)
	for i := range 3 {
		assert.Equal(t, s.attempt("/quick").Verdict, hop.Ran)
		s.run("/fatal")
		s.end()
		eventually(t, "the end is seen", func() bool { return s.ends() == i+1 })
		s.begin(s.address)
	}
	reply := s.attempt("/fatal")
	assert.Equal(t, reply.Verdict, hop.Refused)
	assert.Equal(t, reply.Reason, gate.Quarantined)
	assert.Assert(t, reply.Everywhere && reply.RetryAfter > 0)
	assert.Equal(t, s.attempt("/quick").Verdict, hop.Ran)
}
