package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
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
