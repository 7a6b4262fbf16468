package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// silentServer is a backend server that can stop responding, like one whose host lost
// its power: connections stay open and nothing arrives.
type silentServer struct {
	address string
	silent  atomic.Bool
	// endless makes it respond to everything with a head that does not end.
	endless atomic.Bool
}

func startSilentServer(t *testing.T) *silentServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &silentServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *silentServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.endless.Load() {
			fields := bytes.Repeat([]byte("A: x\r\n"), 1000)
			_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				_, err = c.Write(fields)
			}
			return
		}
		if s.silent.Load() || req.URL.Path == "/slow" {
			continue
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Load: 0,0,4,100\r\nContent-Length: 0\r\n\r\n")
	}
}

func eventually(t *testing.T, what string, test func() bool) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if test() {
			return
		}
	}
	t.Fatal("not in time: ", what)
}

// The backend server stops responding while it runs two requests, one of them repeatable. The
// caller of the repeatable one must get a hint within a second to try another endpoint;
// neither request is canceled. New requests must be refused as not run until the server
// responds again.
func TestCallersOfSilentServerGetHint(t *testing.T) {
	s := startSilentServer(t)
	dialect := &hop.Dialect{Load: "X-Load", ParseLoad: func(string) (hop.ServerLoad, bool) { return hop.ServerLoad{Slots: 4, Slowdown: 1}, true }}
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters(), Dialect: dialect}, gate.Config{Slots: 4, Queue: 4})
	defer e.Close()
	e.SetHealthPath("/health")
	e.SetBackend(s.address)
	eventually(t, "the load is known", func() bool { return e.loadReportedAt.Load() > 0 })

	hints := make(chan string, 4)
	attempt := func(n uint64, repeatable bool) chan hop.Reply {
		got := make(chan hop.Reply, 1)
		req := hop.Request{ID: gate.AttemptID{Request: [2]uint64{1, n}, Attempt: 1}, Incarnation: 1, Timeout: 3 * time.Second, Repeatable: repeatable}
		go func() {
			_, reply := e.Attempt(context.Background(), req, &hop.Outgoing{Method: "GET", URI: "/slow", Host: "a", Header: http.Header{}, Deadline: time.Now().Add(3 * time.Second)},
				func(to string) { hints <- to })
			got <- reply
		}()
		return got
	}
	read, payment := attempt(1, true), attempt(2, false)
	time.Sleep(50 * time.Millisecond)
	s.silent.Store(true)
	start := time.Now()
	assert.Equal(t, <-hints, hop.AnyHost)
	assert.Assert(t, time.Since(start) < 1500*time.Millisecond)
	select {
	case <-payment:
		t.Fatal("a request that must not run twice was abandoned")
	case <-read:
		t.Fatal("a request was abandoned while the server may still respond")
	case <-hints:
		t.Fatal("the caller of a request that must not run twice got a hint")
	default:
	}
	refused := <-attempt(3, false)
	assert.Equal(t, refused.Verdict, hop.Refused)
	assert.Equal(t, refused.Reason, gate.Down)
	s.silent.Store(false)
	eventually(t, "the server is back", func() bool { return !e.down.Load() })
}

// Guards against a backend server that responds to requests and to load queries with heads that do not
// end: its host runs out of memory, its requests are lost only at their deadlines, and the server goes
// on to count as one that responds.
func TestServerThatSendsWithoutEndCountsAsFailing(t *testing.T) {
	const maxMemory = 32 << 20
	s := startSilentServer(t)
	dialect := &hop.Dialect{Load: "X-Load", ParseLoad: func(string) (hop.ServerLoad, bool) { return hop.ServerLoad{Slots: 4, Slowdown: 1}, true }}
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters(), Dialect: dialect}, gate.Config{Slots: 4, Queue: 4})
	defer e.Close()
	e.SetHealthPath("/health")
	e.SetBackend(s.address)
	eventually(t, "the load is known", func() bool { return e.loadReportedAt.Load() > 0 })
	attempt := func(n uint64) (hop.Reply, time.Duration) {
		begin := time.Now()
		req := hop.Request{ID: gate.AttemptID{Request: [2]uint64{1, n}, Attempt: 1}, Incarnation: 1, Timeout: 3 * time.Second}
		_, reply := e.Attempt(context.Background(), req, &hop.Outgoing{Method: "GET", URI: "/", Host: "a", Header: http.Header{}, Deadline: time.Now().Add(3 * time.Second)}, nil)
		return reply, time.Since(begin)
	}
	s.endless.Store(true)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	reply, took := attempt(1)
	assert.Equal(t, reply.Verdict, hop.ConnectionLost)
	assert.Assert(t, took < time.Second, "the loss was noticed after %v", took)
	eventually(t, "it counts as failing", func() bool {
		reply, _ := attempt(uint64(time.Now().UnixNano()))
		return reply.Verdict == hop.Refused && reply.Reason == gate.Down
	})
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.Sys-before.Sys < maxMemory, "the process has %d more bytes", after.Sys-before.Sys)
	s.endless.Store(false)
	eventually(t, "it is used again", func() bool { reply, _ := attempt(uint64(time.Now().UnixNano())); return reply.Verdict == hop.Ran })
}
