package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
	"cactuspath/internal/link"
)

// startLinked starts an endpoint on the link whose backend server responds with the body, and
// returns the address of its node.
func startLinked(t *testing.T, l *link.Link, body []byte) (*Endpoint, string) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}))
	t.Cleanup(backend.Close)
	e := New(Options{Host: "a", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, Counters: NewCounters(),
		SendReport: func(string, gate.Report) {}, Link: l}, gate.Config{Slots: 4, Queue: 4})
	t.Cleanup(e.Close)
	e.SetBackend(backend.Listener.Addr().String())
	node := httptest.NewServer(http.HandlerFunc(e.ServeHop))
	t.Cleanup(node.Close)
	return e, node.Listener.Addr().String()
}

// request sends a request as another node does, and returns the response with its body unread.
func request(t *testing.T, address string, attempt uint32) *http.Response {
	pool := hop.NewPool(address, nil)
	t.Cleanup(pool.Close)
	id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: attempt}
	resp, err := pool.Do(context.Background(), &hop.Outgoing{Method: "GET", URI: "/", Host: "pay", Deadline: time.Now().Add(10 * time.Second),
		Extra: []hop.Field{{Name: hop.Header, Value: hop.Request{ID: id, Incarnation: 1, Timeout: 10 * time.Second}.Encode()}}})
	assert.NilError(t, err)
	return resp
}

// Guards against a large response to another node that is not paced, or not whole. Its slot
// must be free once the backend server has sent it, however long the link takes.
func TestLargeResponseToAnotherNodeIsPaced(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 6000)
	l := link.New(400e3)
	e, address := startLinked(t, l, body)
	begin := time.Now()
	resp := request(t, address, 1)
	eventually(t, "the slot is free while the response is sent", func() bool { return e.InFlight() == 0 })
	eventually(t, "the transfer has begun", func() bool { return l.Active() == 1 })
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body))
	assert.Assert(t, time.Since(begin) > 120*time.Millisecond, "took %v, the link needs 167 ms", time.Since(begin))
	assert.Equal(t, l.Transfers.Value(), int64(1))
	eventually(t, "the transfer has ended", func() bool { return l.Active() == 0 })

	// Without the mechanism, large responses are sent one after the other as before.
	l.SetDisabled(true)
	end := e.transfers.begin(context.Background())
	waiting := make(chan *http.Response, 1)
	go func() { waiting <- request(t, address, 2) }()
	select {
	case <-waiting:
		t.Fatal("a second large response is sent")
	case <-time.After(50 * time.Millisecond):
	}
	end()
	got, err = io.ReadAll((<-waiting).Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body))
	assert.Equal(t, l.Transfers.Value(), int64(1))
}

// Guards against a download that keeps its slot while the link paces it, and whose wait for the
// link is taken for the server's service time: gates then move requests away from the server.
func TestPacedDownloadIsNoSlowServer(t *testing.T) {
	for _, c := range []struct {
		desc     string
		bytes    int
		freeSlot bool
	}{{"up to the read-ahead", 1_000_000, true}, {"beyond it", 1_300_000, false}} {
		t.Run(c.desc, func(t *testing.T) {
			l := link.New(500e3)
			e, address := startLinked(t, l, make([]byte, c.bytes))
			usual := e.Load().Service
			resp := request(t, address, 1)
			begin := time.Now()
			eventually(t, "the slot is free", func() bool { return e.InFlight() == 0 })
			took := time.Since(begin)
			if c.freeSlot {
				assert.Assert(t, took < 250*time.Millisecond, "the slot is held for %v", took)
			} else {
				assert.Assert(t, took > 250*time.Millisecond, "the response does not wait for its receiver")
			}
			assert.Assert(t, e.Load().Service < usual+50*time.Millisecond, "the service time is %v", e.Load().Service)
			assert.NilError(t, resp.Body.Close())
			eventually(t, "nothing is held", func() bool { return l.Active() == 0 && e.options.Counters.ReadAhead.Value() == 0 })
		})
	}
}

// Guards against attempts that are given up as lost although they ran: the caller's node waits
// for the head of a response until the request's time limit only, and the first chunk of the
// body may have to wait longer.
func TestHeadOfALargeResponseDoesNotWaitForTheLink(t *testing.T) {
	// A chunk of 512 bytes takes the link 2.8 s. Another transfer has just sent one.
	l := link.New(200)
	_, address := startLinked(t, l, make([]byte, 36_000))
	busy := l.NewWriter(context.Background(), httptest.NewRecorder(), link.Response{Length: 33_000})
	defer busy.End()
	_, err := busy.Write(make([]byte, 512))
	assert.NilError(t, err)
	begin := time.Now()
	resp := request(t, address, 1)
	took := time.Since(begin)
	_ = resp.Body.Close()
	assert.Assert(t, took < 2*time.Second, "the head came after %v", took)
	eventually(t, "the transfer has ended", func() bool { return l.Active() == 1 })
}

// Guards against a large response that is cut short while the rest of its request is not read.
// Once the exchange with the backend server has ended, the read of the body is interrupted, and
// net/http cancels the request's context although the caller's node still waits.
func TestPacedEarlyResponseReachesNodeThatStillSends(t *testing.T) {
	body := make([]byte, 200_000)
	e, address := startLinked(t, link.New(4e6), body)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	id := gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: 1}
	_, _ = fmt.Fprintf(c, "POST /upload HTTP/1.1\r\nHost: pay\r\n%s: %s\r\nContent-Length: 200000\r\n\r\n0123456789", hop.Header, hop.Request{ID: id, Incarnation: 1, Timeout: 5 * time.Second}.Encode())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, body))
	eventually(t, "the slots are free again", func() bool { return e.InFlight() == 0 })
}
