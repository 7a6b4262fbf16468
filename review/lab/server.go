//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in backend server as the platform's pages describe one.
type server struct {
	lab                                 *lab
	service, zone, address, node, id    string
	slots                               int
	born                                int64
	sequence                            atomic.Int64
	draining, leaving, silentHeartbeats atomic.Bool
	// breakOff decides whether an answer is broken off within its body.
	breakOff func() bool
	// faulty is the share of requests with a fault of a random kind.
	faulty float64
	// streams is set if answers are sent as they are made, and not at the end of the work.
	streams bool

	http            *http.Server
	cancel          context.CancelFunc
	running, queued atomic.Int64
	slot            chan struct{}

	mu   sync.Mutex
	runs map[string]*serverRun
}

// serverRun is one request that this server began to run.
type serverRun struct {
	begin, end time.Time
	times      int
	received   int
	outcome    string
}

const queueLength = 12

// run starts the server with a new id.
func (s *server) run() error {
	s.id = fmt.Sprintf("i-%08x", time.Now().UnixNano()&0xffffffff)
	return s.runAs(s.id)
}

// runAs starts the server with the given id.
func (s *server) runAs(id string) error {
	s.id, s.born = id, time.Now().UnixMilli()
	s.sequence.Store(0)
	s.slot = make(chan struct{}, s.slots)
	s.mu.Lock()
	if s.runs == nil {
		s.runs = map[string]*serverRun{}
	}
	s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(l) }()
	go s.heartbeats(ctx)
	return nil
}

// kill ends the server as a crash does.
func (s *server) kill() {
	s.cancel()
	_ = s.http.Close()
}

func (s *server) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.silentHeartbeats.Load() {
			s.beat()
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeatBody returns the next heartbeat.
func (s *server) heartbeatBody() []byte {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "cold_left_s": 0,
		"seq": s.sequence.Add(1), "born": s.born})
	return body
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	status := s.tell(http.MethodPut, s.heartbeatBody())
	return status >= 200 && status < 300
}

// tell sends a call about this server to its node.
func (s *server) tell(method string, body []byte) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, "http://"+s.node+names.InstancesPath+s.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.lab.log("heartbeat of %s: %d", s.id, resp.StatusCode)
	}
	return resp.StatusCode
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(names.Load, fmt.Sprintf("%d,%d,%d,100", s.running.Load(), s.queued.Load(), s.slots))
	if s.leaving.Load() {
		h.Set(names.Leaving, "1")
	}
	if r.URL.Path == "/health" {
		h.Set(names.Instance, s.id)
		if s.draining.Load() || s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(names.RequestID)
	h.Set(names.RequestID, id)
	if expected := r.Header.Get(names.ExpectInstance); expected != "" && expected != s.id {
		h.Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.Atoi(r.Header.Get(names.DeadlineMs)); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if s.queued.Add(1) > queueLength {
		s.queued.Add(-1)
		h.Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slot <- struct{}{}
	s.queued.Add(-1)
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-s.slot
	}()
	if rand.Float64() < s.faulty/2 {
		// Rejected before the body is in.
		h.Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.began(id, len(body))
	outcome := "200"
	defer func() { s.ended(id, outcome) }()
	workMs, _ := strconv.Atoi(r.URL.Query().Get("work"))
	if s.streams {
		outcome = s.stream(w, r, id, time.Duration(workMs)*time.Millisecond)
		return
	}
	select {
	case <-time.After(min(time.Duration(workMs)*time.Millisecond, time.Until(deadline))):
	case <-r.Context().Done():
		outcome = "dropped"
		return
	}
	if !time.Now().Before(deadline) {
		outcome = "504"
		h.Set(names.Stamp, s.stamp(id, nil))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	answer := answerTo(s.id, id, r.URL.Query().Get("bytes"), len(body))
	h.Set(names.Stamp, s.stamp(id, answer))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	if rand.Float64() < s.faulty {
		outcome = "faulty"
		s.misbehave(w, id, answer)
		return
	}
	if s.breakOff != nil && s.breakOff() {
		outcome = "broken off"
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// misbehave spoils an answer, as pages say of faulty servers.
func (s *server) misbehave(w http.ResponseWriter, id string, answer []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", names.RequestID, id, names.Stamp, s.stamp(id, answer))
	whole := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answer), answer)
	extra := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nextra", names.RequestID, id, names.Stamp, s.stamp(id, []byte("extra")))
	switch rand.IntN(6) {
	case 0: // no length, ends with its connection
		_, _ = buffered.WriteString(head + "\r\n" + string(answer))
		_ = buffered.Flush()
	case 1: // the same, but reset on the way
		_, _ = buffered.WriteString(head + "\r\n" + string(answer[:len(answer)/2]))
		_ = buffered.Flush()
		_ = conn.(*net.TCPConn).SetLinger(0)
	case 2: // a second answer at once
		_, _ = buffered.WriteString(whole + extra)
		_ = buffered.Flush()
		time.Sleep(300 * time.Millisecond)
	case 3: // a second answer late, on a connection that goes on
		_, _ = buffered.WriteString(whole)
		_ = buffered.Flush()
		s.goOn(conn, buffered, extra)
	case 4: // the answer is lost
	case 5: // bytes that are no answer
		_, _ = buffered.WriteString("nonsense\r\n\r\n")
		_ = buffered.Flush()
	}
}

// goOn serves one more request on a connection, with an extra answer before the right one.
func (s *server) goOn(conn net.Conn, buffered *bufio.ReadWriter, extra string) {
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	r, err := http.ReadRequest(buffered.Reader)
	if err != nil {
		return
	}
	id := r.Header.Get(names.RequestID)
	_, _ = buffered.WriteString(extra)
	_ = buffered.Flush()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + names.Instance + ": " + s.id + "\r\n\r\n")
	} else {
		s.began(id, len(body))
		answer := answerTo(s.id, id, r.URL.Query().Get("bytes"), len(body))
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", names.RequestID, id, names.Stamp, s.stamp(id, answer), len(answer), answer)
		s.ended(id, "200 after an extra answer")
	}
	_ = buffered.Flush()
	time.Sleep(100 * time.Millisecond)
}

// stream sends an answer of known length while it is made.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, work time.Duration) (outcome string) {
	const parts = 8
	answer := answerTo(s.id, id, r.URL.Query().Get("bytes"), 0)
	w.Header().Set(names.Stamp, s.stamp(id, answer))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	for part := range parts {
		if _, err := w.Write(answer[part*len(answer)/parts : (part+1)*len(answer)/parts]); err != nil {
			return "dropped"
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(work / parts):
		case <-r.Context().Done():
			return "dropped"
		}
	}
	return "200"
}

// answerTo returns the body of an answer.
func answerTo(server, id, bytesWanted string, received int) []byte {
	n, _ := strconv.Atoi(bytesWanted)
	line := fmt.Sprintf("%s %s %d\n", server, id, received)
	return bytes.Repeat([]byte(line), max(1, n/len(line)))
}

// stamp returns the signature of an answer.
func (s *server) stamp(id string, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return fmt.Sprintf("%s.%s.%x", s.id, id, h.Sum64())
}

func (s *server) began(id string, received int) {
	s.lab.log("server %s runs %s", s.id, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[id]
	if r == nil {
		r = &serverRun{begin: time.Now()}
		s.runs[id] = r
	}
	r.times++
	r.received = received
}

func (s *server) ended(id, outcome string) {
	s.lab.log("server %s ends %s: %s", s.id, id, outcome)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id].end, s.runs[id].outcome = time.Now(), outcome
}

// ranAt returns the server that ran a request, and its run, or nil.
func (l *lab) ranAt(id string) (*server, *serverRun) {
	for _, n := range l.nodes {
		n.server.mu.Lock()
		r := n.server.runs[id]
		n.server.mu.Unlock()
		if r != nil {
			return n.server, r
		}
	}
	return nil, nil
}
