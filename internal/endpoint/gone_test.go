package endpoint

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hangup"
	"cactuspath/internal/hop"
)

// hopRequest returns a request as another node sends it.
func hopRequest(sequence uint64, extraFields string) string {
	req := hop.Request{ID: gate.AttemptID{Request: [2]uint64{1, sequence}, Attempt: 1}, Incarnation: 1, Timeout: 5 * time.Second}
	return "GET /work HTTP/1.1\r\nHost: pay.example\r\n" + hop.Header + ": " + req.Encode() + "\r\n" + extraFields + "\r\n"
}

// startGatedServer starts a backend server that counts its requests, and returns the endpoint
// in front of it.
func startGatedServer(t *testing.T) (*Endpoint, *atomic.Int64) {
	var requests atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters()}, gate.Config{Slots: 1000, Queue: 1000})
	t.Cleanup(e.Close)
	e.SetBackend(s.Listener.Addr().String())
	return e, &requests
}

// TestRequestWhoseSenderHasGoneIsNotForwarded guards against running a request that waited
// unread while this process had no processor time, and whose sender closed the connection in
// the meantime because its caller had left.
func TestRequestWhoseSenderHasGoneIsNotForwarded(t *testing.T) {
	e, requests := startGatedServer(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	const gone = 100
	for i := range gone {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		_, err = c.Write([]byte(hopRequest(uint64(i), "")))
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	var ended atomic.Int64
	peer := &http.Server{Handler: http.HandlerFunc(e.ServeHop), ConnContext: hangup.Watch, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			ended.Add(1)
		}
	}}
	go func() { _ = peer.Serve(l) }()
	t.Cleanup(func() { _ = peer.Close() })
	eventually(t, "all connections ended", func() bool { return ended.Load() == gone })
	assert.Equal(t, requests.Load(), int64(0))
}

// TestUploadWhoseSenderLeftInTheQueueIsNotForwarded guards against sending an upload to the
// server after its sender has disconnected while it waited for a slot. Nothing reads its
// connection meanwhile, since the body is requested only once the upload may run.
func TestUploadWhoseSenderLeftInTheQueueIsNotForwarded(t *testing.T) {
	var requests atomic.Int64
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		<-release
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(s.Close)
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters()}, gate.Config{Slots: 1, Queue: 1000})
	t.Cleanup(e.Close)
	e.SetBackend(s.Listener.Addr().String())
	peer := httptest.NewUnstartedServer(http.HandlerFunc(e.ServeHop))
	peer.Config.ConnContext = hangup.Watch
	peer.Start()
	t.Cleanup(peer.Close)
	send := func(sequence uint64, extraFields string) net.Conn {
		c, err := net.Dial("tcp", peer.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = c.Write([]byte(hopRequest(sequence, extraFields)))
		assert.NilError(t, err)
		return c
	}
	running := send(0, "")
	defer running.Close()
	eventually(t, "the first request runs", func() bool { return requests.Load() == 1 })
	const uploads = 20
	for i := range uploads {
		// Longer than what is held in memory: such a body is streamed to the server.
		c := send(uint64(i+1), fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", 2*maxBuffered))
		eventually(t, "the upload waits", func() bool { return e.Load().Waiting == i+1 })
		assert.NilError(t, c.Close())
	}
	close(release)
	eventually(t, "all uploads ended", func() bool { return e.InFlight() == 0 })
	assert.Equal(t, requests.Load(), int64(1))
	assert.Equal(t, e.options.Counters.SenderGone.Value(), int64(uploads))
}

// TestRequestThatLayUnreadKeepsItsDeadline guards against running a request for a caller whose
// deadline has passed while the request lay unread: the time left that it names was counted
// anew from when it was read.
func TestRequestThatLayUnreadKeepsItsDeadline(t *testing.T) {
	var requests, timeLeft atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		ms, _ := strconv.ParseInt(r.Header.Get(hop.TimeoutHeader), 10, 64)
		timeLeft.Store(ms)
	}))
	t.Cleanup(s.Close)
	e := describedEndpoint(t, &describingServer{Server: s}, nil)
	peer := httptest.NewServer(http.HandlerFunc(e.ServeHop))
	t.Cleanup(peer.Close)
	c, err := net.Dial("tcp", peer.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	reader := bufio.NewReader(c)
	exchange := func(sequence uint64, sent time.Duration) hop.Reply {
		_, err := c.Write([]byte(hopRequest(sequence, fmt.Sprintf("%s: %d\r\n", hop.SentHeader, sent.Microseconds()))))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		reply, err := hop.ParseReply(resp.Header.Get(hop.Header))
		assert.NilError(t, err)
		return reply
	}
	// The sender's clock shows an hour; the second request looks as if it had been sent ten
	// seconds before the first one.
	assert.Equal(t, exchange(1, time.Hour).Verdict, hop.Ran)
	late := exchange(2, time.Hour-10*time.Second)
	assert.Equal(t, late.Verdict, hop.Refused)
	assert.Equal(t, late.Reason, gate.TooLate)
	assert.Equal(t, exchange(3, time.Hour).Verdict, hop.Ran)
	assert.Equal(t, requests.Load(), int64(2))
	// Held up for three of its five seconds: the server is told of the other two.
	assert.Equal(t, exchange(4, time.Hour-3*time.Second).Verdict, hop.Ran)
	assert.Assert(t, timeLeft.Load() > 0 && timeLeft.Load() <= 2000, "the server was told %d ms", timeLeft.Load())
}
