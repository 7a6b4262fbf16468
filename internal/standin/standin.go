// Package standin is a backend server for trials, tests and measurements. It
// announces itself to its node and answers requests as it is told to.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is one stand-in. Safe for concurrent use.
type Server struct {
	Service string
	// Node is the admin address of the node beside it; empty means that it
	// announces itself nowhere.
	Node string
	// Slots overrides the estate's number if not 0.
	Slots int

	listener net.Listener
	http     *http.Server
	delay    atomic.Int64
	draining atomic.Bool
	slots    chan struct{}
}

const (
	renewEvery   = 3 * time.Second
	announceWait = 2 * time.Second
	// maxSlots bounds the requests that run at once.
	maxSlots = 1024
)

// Listen opens the stand-in on an address.
func (s *Server) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "open the stand-in; use another address")
	}
	s.listener = l
	s.slots = make(chan struct{}, maxSlots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	return nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetDelay sets how long a request takes.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// Run serves and announces until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	_ = s.Announce(ctx)
	for {
		select {
		case <-ctx.Done():
			return s.http.Close()
		case err := <-failed:
			return err
		case <-ticker.C:
			_ = s.Announce(ctx)
		}
	}
}

// Announce tells the node of this server once.
func (s *Server) Announce(ctx context.Context) error {
	if s.Node == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceWait)
	defer cancel()
	body, err := json.Marshal(map[string]any{"service": s.Service, "address": s.Address(), "slots": s.Slots, "draining": s.draining.Load()})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.Node+"/v1/server", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce to the node; check that it runs and its admin address")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Newf("the node refused the announcement: %s", bytes.TrimSpace(text))
	}
	return nil
}

// Drain announces that this server is leaving.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	return s.Announce(ctx)
}

// serve answers one request. Query parameters steer it: sleep=DURATION,
// status=CODE, bytes=N (answer size), reset=N (break the connection after N
// bytes of a longer answer).
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	q := r.URL.Query()
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.pause(r.Context(), q.Get("sleep"))
	if n, err := strconv.Atoi(q.Get("reset")); err == nil {
		s.reset(w, n)
		return
	}
	status := http.StatusOK
	if code, err := strconv.Atoi(q.Get("status")); err == nil {
		status = code
	}
	w.Header().Set("Standin-Received", strconv.FormatInt(received, 10))
	if n, err := strconv.Atoi(q.Get("bytes")); err == nil {
		w.WriteHeader(status)
		_, _ = io.CopyN(w, pattern{}, int64(n))
		return
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s %s %s\n", s.Service, r.Method, r.URL.RequestURI())
}

func (s *Server) pause(ctx context.Context, query string) {
	d := time.Duration(s.delay.Load())
	if q, err := time.ParseDuration(query); err == nil {
		d = q
	}
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// reset promises a long answer and breaks the connection after n bytes of it.
func (s *Server) reset(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Length", strconv.Itoa(n+1000))
	w.WriteHeader(http.StatusOK)
	_, _ = io.CopyN(w, pattern{}, int64(n))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// pattern is an endless source of bytes.
type pattern struct{}

func (pattern) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a' + byte(i%26)
	}
	return len(p), nil
}

// Kill ends the stand-in at once, connections included, without a word to its
// node.
func (s *Server) Kill() { _ = s.http.Close() }
