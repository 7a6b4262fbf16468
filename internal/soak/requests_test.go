package soak

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// mode defines how a backend server handles a request. It is part of the request's path, so that
// the outcome of a seed does not depend on which server receives which request.
type mode string

const (
	// modeWhole responds after reading the body.
	modeWhole mode = "whole"
	// modeEarly responds before reading the body and modeMiddle after reading half of it. Both then
	// read the rest.
	modeEarly  mode = "early"
	modeMiddle mode = "middle"
	// modeRejected rejects the first attempt before reading the body and modeRejectedMiddle after
	// reading half of it; both then read the rest. modeRejectedLate rejects it after reading all of
	// the body. Later attempts are executed.
	modeRejected       mode = "rejected"
	modeRejectedMiddle mode = "rejected-middle"
	modeRejectedLate   mode = "rejected-late"
	// modeAlwaysRejected rejects every attempt before reading the body.
	modeAlwaysRejected mode = "always-rejected"
	// modeBrief and modeSlow respond after reading the body and working for some time.
	modeBrief mode = "brief"
	modeSlow  mode = "slow"
	// modeReset resets the connection of the first attempt after reading half of the body.
	modeReset mode = "reset"
)

var modes = []mode{modeWhole, modeWhole, modeWhole, modeEarly, modeEarly, modeMiddle, modeRejected, modeRejectedMiddle, modeRejectedLate, modeAlwaysRejected, modeReset}

// request describes a request sent by a caller.
type request struct {
	kind, id string
	number   int
	mode     mode
	length   int
}

// Kinds of requests. Only kindRead and kindPut may be executed more than once. The route of kindSlow
// has a longer timeout than the others.
const (
	kindRead, kindPay, kindPut, kindPost, kindSlow = "read", "pay", "put", "post", "slow"
)

func newRequest(kind string, node int, number uint64, m mode, length int) *request {
	return &request{kind: kind, id: fmt.Sprintf("%s-%d-%d", kind, node+1, number), number: int(number), mode: m, length: length}
}

func (r *request) method() string {
	switch r.kind {
	case kindRead:
		return http.MethodGet
	case kindPut:
		return http.MethodPut
	}
	return http.MethodPost
}

func (r *request) path() string {
	return fmt.Sprintf("/%s/%s/%s/%d", r.kind, r.mode, r.id, r.length)
}

// timeout returns the timeout of the request's route.
func (r *request) timeout() time.Duration {
	if r.kind == kindSlow {
		return slowRouteTimeout
	}
	return routeTimeout
}

func (r *request) repeatable() bool { return r.kind == kindRead || r.kind == kindPut }

// A body consists of blocks that contain the request ID and the block's offset, so that the origin
// of misplaced bytes can be identified.
const (
	blockText  = "%-17.17s%06d\n"
	blockBytes = 24
)

// body returns the bytes in the range [from, to) of the request body.
func (r *request) body(from, to int) []byte {
	if from >= to {
		return nil
	}
	first := from - from%blockBytes
	b := make([]byte, 0, to-first+blockBytes)
	for at := first; at < to; at += blockBytes {
		b = fmt.Appendf(b, blockText, r.id, at)
	}
	return b[from-first : to-first]
}

// bodyCheck reads the body of a request at a backend server and compares every byte with the byte
// that the caller sends.
type bodyCheck struct {
	source  io.Reader
	request *request
	offset  int
	// complete reports whether the body ended at the expected offset.
	complete bool
}

// maxMismatchBytes limits how much of a wrong body is included in an error message.
const maxMismatchBytes = 2 * blockBytes

// read reads until the end of the body or until limit bytes have been read in total.
func (b *bodyCheck) read(limit int) error {
	buffer := make([]byte, 8<<10)
	if b.request.length == 0 {
		limit = 1
	}
	for !b.complete && b.offset < limit {
		n, err := b.source.Read(buffer[:min(len(buffer), limit-b.offset)])
		want := b.request.body(b.offset, min(b.offset+n, b.request.length))
		if !bytes.Equal(buffer[:n], want) {
			mismatch := 0
			for mismatch < len(want) && want[mismatch] == buffer[mismatch] {
				mismatch++
			}
			return fmt.Errorf("wrong body at byte %d of %d: got %q, want %q", b.offset+mismatch, b.request.length,
				buffer[mismatch:min(n, mismatch+maxMismatchBytes)], want[mismatch:min(len(want), mismatch+maxMismatchBytes)])
		}
		b.offset += n
		switch {
		case errors.Is(err, io.EOF) && b.offset < b.request.length:
			return fmt.Errorf("body ended after %d of %d bytes", b.offset, b.request.length)
		case errors.Is(err, io.EOF):
			b.complete = true
		case err != nil:
			return err
		}
	}
	return nil
}

func endOfConnection(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// requestLog records which requests callers sent and how backend servers handled them.
type requestLog struct {
	mu      sync.Mutex
	records map[string]*requestRecord
	// afterDrain contains the IDs of requests that reached a server after its drain was
	// acknowledged.
	afterDrain []string
	violations []string
}

// requestRecord is the history of a request.
type requestRecord struct {
	request *request
	// attempts is the number of times that the request reached a server. executedAt contains the
	// indexes of the nodes whose servers executed it.
	attempts   int
	executedAt []int
	// notRunReason is the reason why the caller may conclude that the request was not executed,
	// or empty if it may not.
	notRunReason string
}

func newRequestLog() *requestLog { return &requestLog{records: map[string]*requestRecord{}} }

func (r *requestLog) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, timestamp()+fmt.Sprintf(format, args...))
}

// timestamp returns the current time in the format of the process logs.
func timestamp() string { return time.Now().Format("15:04:05.000000 ") }

// recordSent records a request. It must be called before the first byte is sent.
func (r *requestLog) recordSent(sent *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[sent.id] = &requestRecord{request: sent}
}

// recordArrival records the arrival of an attempt at a backend server. It returns the request and the
// number of the attempt, or nil if no caller has sent a request with this ID and request line.
func (r *requestLog) recordArrival(id, line string, drained bool) (*request, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.records[id]
	if s == nil || line != s.request.method()+" "+s.request.path() {
		return nil, 0
	}
	if drained {
		r.afterDrain = append(r.afterDrain, id)
	}
	s.attempts++
	return s.request, s.attempts
}

func (r *requestLog) recordRun(id string, node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[id].executedAt = append(r.records[id].executedAt, node)
}

// executions returns the indexes of the nodes whose servers executed the request, and the number of
// attempts.
func (r *requestLog) executions(id string) (nodes []int, attempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.records[id].executedAt), r.records[id].attempts
}

// recordNotRun records why the caller may conclude that the request was not executed.
func (r *requestLog) recordNotRun(id, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[id].notRunReason = reason
}
