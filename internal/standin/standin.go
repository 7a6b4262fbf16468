// Package standin implements a stand-in backend server for trials, tests and benchmarks.
// It announces itself to a node. The query parameters of a request determine its response.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/internal/hop"
)

// Server is a stand-in backend server. It is safe for concurrent use.
type Server struct {
	Service string
	// Node is the admin address of the node on the same host. The server does not announce
	// itself if it is empty.
	Node string
	// Slots is the number of concurrent requests that the server announces. If it is 0, the
	// number in the estate (the configuration of the services) applies.
	Slots int

	listener net.Listener
	http     *http.Server
	delay    atomic.Int64
	draining atomic.Bool
	leaving  atomic.Bool
	// limit is the named limit, as the text of its header field; nil or empty for none.
	limit   atomic.Pointer[string]
	running chan struct{}
}

const (
	// announceInterval is the interval at which the announcement is renewed.
	announceInterval = 3 * time.Second
	announceTimeout  = 2 * time.Second
	// maxConcurrentRequests limits the number of requests that run concurrently.
	maxConcurrentRequests = 1024
)

// Listen opens the listener at a TCP address. It must be called before Run.
func (s *Server) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for requests; use another address")
	}
	s.listener = l
	s.running = make(chan struct{}, maxConcurrentRequests)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	return nil
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetDelay sets the default processing time of a request.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// SetLimit sets the limit that all answers name, in requests per second as a decimal number;
// empty for none.
func (s *Server) SetLimit(perSecond string) { s.limit.Store(&perSecond) }

// SetLeaving sets whether all answers say that the server is shutting down.
func (s *Server) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Run serves requests until ctx is done. It announces the server to the node at the start
// and then periodically.
func (s *Server) Run(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.http.Serve(s.listener) }()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	_ = s.Announce(ctx)
	for {
		select {
		case <-ctx.Done():
			return s.http.Close()
		case err := <-serveErr:
			return err
		case <-ticker.C:
			_ = s.Announce(ctx)
		}
	}
}

// Announce sends one announcement to the node: the service, address and slots of the
// server, and whether it is draining. It returns an error if the node does not accept it.
func (s *Server) Announce(ctx context.Context) error {
	if s.Node == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
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
		return errors.Wrap(err, "announce to the node; check that it is running and that its admin address is correct")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Newf("the node rejected the announcement: %s", bytes.TrimSpace(text))
	}
	return nil
}

// Drain marks the server as draining and announces this to the node.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	return s.Announce(ctx)
}

// serve handles one request. Its query parameters control the response: sleep=DURATION,
// status=CODE, bytes=N (size of the body), reset=N (close the connection after N bytes of a
// longer body). limit=N and leaving=BOOL control all responses from then on, as SetLimit and
// SetLeaving do; an empty limit withdraws it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.running <- struct{}{}
	defer func() { <-s.running }()
	q := r.URL.Query()
	s.describe(w.Header(), q)
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.wait(r.Context(), q.Get("sleep"))
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
		_, _ = io.CopyN(w, patternReader{}, int64(n))
		return
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s %s %s%s\n", s.Service, r.Method, r.URL.RequestURI(), accountSuffix(r))
}

// accountSuffix names the client account that the server was told, if any.
func accountSuffix(r *http.Request) string {
	account := r.Header.Get(hop.AccountHeader)
	if account == "" {
		return ""
	}
	return " for account " + account
}

// describe applies the parameters that concern all responses, and writes the fields with which
// the server describes itself.
func (s *Server) describe(h http.Header, q url.Values) {
	if q.Has("limit") {
		s.SetLimit(q.Get("limit"))
	}
	if leaving, err := strconv.ParseBool(q.Get("leaving")); err == nil {
		s.SetLeaving(leaving)
	}
	if limit := s.limit.Load(); limit != nil && *limit != "" {
		h.Set(hop.LimitHeader, *limit)
	}
	if s.leaving.Load() {
		h.Set(hop.LeavingHeader, hop.LeavingValue)
	}
}

// wait waits for the duration in query or, if there is none, for the default delay.
func (s *Server) wait(ctx context.Context, query string) {
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

// reset sends n bytes of a body with a larger Content-Length and aborts the connection.
func (s *Server) reset(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Length", strconv.Itoa(n+1000))
	w.WriteHeader(http.StatusOK)
	_, _ = io.CopyN(w, patternReader{}, int64(n))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// patternReader is an endless reader of repeated letters.
type patternReader struct{}

func (patternReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a' + byte(i%26)
	}
	return len(p), nil
}

// Kill closes the server and its connections immediately, without informing the node.
func (s *Server) Kill() { _ = s.http.Close() }
