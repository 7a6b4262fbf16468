//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for the platform's server beside a node. Each connection carries one request
// at a time.
type server struct {
	l        *lab
	m        *machine
	id       string
	slots    int
	born     int64
	listener net.Listener
	// work answers a request. It returns false if the connection ends with the answer.
	work func(s *server, c net.Conn, r *http.Request, body []byte) bool

	seq      atomic.Int64
	running  atomic.Int64
	draining atomic.Bool
	silent   atomic.Bool

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that the server has begun to run.
type arrival struct {
	at time.Time
	id string
}

// startServer starts the server beside the node of a machine and its heartbeats.
func (l *lab) startServer(m *machine, slots int, work func(*server, net.Conn, *http.Request, []byte) bool) (*server, error) {
	s := &server{l: l, m: m, id: "i-" + m.name, slots: slots, born: time.Now().UnixMilli(), work: work}
	var err error
	if s.listener, err = net.Listen("tcp", m.app); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go func() {
		for !s.silent.Load() {
			_, _ = s.beat()
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return s, nil
}

// beat sends one heartbeat and reports whether it was acknowledged, and when.
func (s *server) beat() (ok bool, at time.Time) {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	return s.send(s.beatBody(state))
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			status := "200 OK"
			if s.draining.Load() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s%s: %s\r\nContent-Length: 0\r\n\r\n", status, s.common(), names.InstanceID, s.id)
			continue
		}
		if want := r.Header.Get(names.ExpectInstance); want != "" && want != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", s.common(), names.NotExecuted, names.RequestID, r.Header.Get(names.RequestID))
			return
		}
		if s.running.Add(1) > int64(s.slots) {
			s.running.Add(-1)
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", s.common(), names.NotExecuted, names.RequestID, r.Header.Get(names.RequestID))
			continue
		}
		id := r.Header.Get(names.RequestID)
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{time.Now(), id})
		s.mu.Unlock()
		s.l.log("%s runs %s %s %s, time left %s ms", s.id, id, r.Method, r.URL.Path, r.Header.Get(names.DeadlineMs))
		body, err := io.ReadAll(r.Body)
		keep := err == nil && s.work(s, c, r, body)
		s.running.Add(-1)
		if !keep {
			return
		}
	}
}

// common returns the fields of all answers.
func (s *server) common() string {
	text := names.Load + ": " + strconv.FormatInt(max(0, s.running.Load()), 10) + ",0," + strconv.Itoa(s.slots) + ",100\r\n"
	if s.draining.Load() {
		text += names.Leaving + ": 1\r\n"
	}
	return text
}

// head returns the head of a success without the fields of its framing.
func (s *server) head(r *http.Request) string {
	id := r.Header.Get(names.RequestID)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: %s\r\n%s: stamp.%s.%s\r\n", s.common(), names.RequestID, id, names.Stamp, s.id, id)
}

// answerShort answers at once.
func answerShort(s *server, c net.Conn, r *http.Request, _ []byte) bool {
	_, err := io.WriteString(c, s.head(r)+"Content-Length: 5\r\n\r\ndone\n")
	return err == nil
}
