package front

import (
	"sync"
	"sync/atomic"
	"time"

	"cactuspath/internal/logs"
)

// stallTimeout is how long a caller may keep a connection waiting before it can be closed for other
// callers. Without need, the longer timeouts of reads and writes apply.
const stallTimeout = time.Second

var start = time.Now()

// now returns the time since the start of the process, in nanoseconds; it is never 0.
func now() int64 { return int64(time.Since(start)) | 1 }

// stalls tells since when a connection has waited for its caller, in nanoseconds as returned by now.
type stalls struct {
	// idleSince is when the last request ended.
	idleSince atomic.Int64

	mu sync.Mutex
	// waits holds when each read of a request and each write of a response in progress began.
	waits    map[uint64]int64
	lastWait uint64
}

// wait calls a function that may wait for the caller.
func (s *stalls) wait(io func()) {
	s.mu.Lock()
	if s.waits == nil {
		s.waits = map[uint64]int64{}
	}
	s.lastWait++
	n := s.lastWait
	s.waits[n] = now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waits, n)
	}()
	io()
}

// stalledSince returns since when the caller has kept a request or a response waiting, or 0.
func (s *stalls) stalledSince() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := int64(0)
	for _, since := range s.waits {
		if first == 0 || since < first {
			first = since
		}
	}
	return first
}

// closeStalled closes the connection whose caller has kept a request or a response waiting for the
// longest time, if that is longer than stallTimeout. It reports whether there was one.
func (s *Server) closeStalled() bool {
	c := s.oldest(func(c *conn) int64 { return c.stalls.stalledSince() }, now()-int64(stallTimeout))
	if c == nil {
		return false
	}
	logs.Decision(true, "Caller's connection closed: it holds resources and keeps this node waiting", "caller", c.raw.RemoteAddr().String(), "stalled", time.Duration(now()-c.stalls.stalledSince()))
	c.reset()
	return true
}

// A connection that was closed returns what it holds once its requests have ended, which takes as long
// as goroutines need to be scheduled.
const (
	maxTakeRetries    = 5
	takeRetryInterval = 5 * time.Millisecond
)

// takeFromStalled calls take, and if it fails again after a stalled connection was closed. It reports
// whether it succeeded.
func (s *Server) takeFromStalled(take func() bool) bool {
	if take() {
		return true
	}
	if !s.closeStalled() {
		return false
	}
	for range maxTakeRetries {
		time.Sleep(takeRetryInterval)
		if take() {
			return true
		}
	}
	return false
}

// closeIdlest closes the connection without a request in progress that has been idle for the longest
// time, or a stalled one if there is none, so that another one can be opened.
func (s *Server) closeIdlest() bool {
	c := s.oldest(func(c *conn) int64 {
		if c.hasPending() {
			return 0
		}
		return c.stalls.idleSince.Load()
	}, now())
	if c == nil {
		return s.closeStalled()
	}
	logs.Decision(false, "Idle connection closed for another one", "caller", c.raw.RemoteAddr().String(), "idle", time.Duration(now()-c.stalls.idleSince.Load()))
	s.forget(c)
	_ = c.raw.Close()
	return true
}

// oldest returns the connection with the earliest time that is not 0 and not after latest.
func (s *Server) oldest(since func(*conn) int64, latest int64) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *conn
	for c := range s.conns {
		if at := since(c); at != 0 && at <= latest {
			found, latest = c, at
		}
	}
	return found
}

// reset ends a connection and its requests, and makes room for another one at once.
func (c *conn) reset() {
	c.server.forget(c)
	c.closeWithReset()
}
