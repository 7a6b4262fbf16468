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

// mode is what a backend server is to do with a request. The request's path says
// so, so that a seed's run does not hang on which server gets which request.
type mode string

const (
	// whole: read the body, then answer.
	whole mode = "whole"
	// early: answer before the body, middle: after its half; then read on.
	early  mode = "early"
	middle mode = "middle"
	// rejected: reject the first attempt before the body, rejectedMiddle after half of
	// it, and read on; rejectedLate: once it is whole. Later attempts are run.
	rejected       mode = "rejected"
	rejectedMiddle mode = "rejected-middle"
	rejectedLate   mode = "rejected-late"
	// alwaysRejected rejects every attempt before the body.
	alwaysRejected mode = "always-rejected"
	// reset: break off the connection of the first attempt after half of the body.
	reset mode = "reset"
)

var modes = []mode{whole, whole, whole, early, early, middle, rejected, rejectedMiddle, rejectedLate, alwaysRejected, reset}

// request is one that a caller sends.
type request struct {
	kind, id string
	number   int
	mode     mode
	length   int
}

// Kinds of requests; "read" and "put" may run more than once.
const (
	kindRead, kindPay, kindPut, kindPost = "read", "pay", "put", "post"
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

func (r *request) repeatable() bool { return r.kind == kindRead || r.kind == kindPut }

// A body is made of blocks that each say whose they are and where they belong, so
// that bytes out of place tell where they come from.
const (
	blockText  = "%-17.17s%06d\n"
	blockBytes = 24
)

// bytes is a part of the request's body.
func (r *request) bytes(from, to int) []byte {
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

// bodyCheck reads a request's body and checks each byte.
type bodyCheck struct {
	source io.Reader
	asked  *request
	at     int
	// whole: the end was seen, at the right place.
	whole bool
}

// strangeBytes is how many bytes of a body with an error in it are shown.
const strangeBytes = 2 * blockBytes

// read reads until the body's end or its first bytes up to most were read.
func (b *bodyCheck) read(most int) error {
	buffer := make([]byte, 8<<10)
	if b.asked.length == 0 {
		most = 1
	}
	for !b.whole && b.at < most {
		n, err := b.source.Read(buffer[:min(len(buffer), most-b.at)])
		own := b.asked.bytes(b.at, min(b.at+n, b.asked.length))
		if !bytes.Equal(buffer[:n], own) {
			wrong := 0
			for wrong < len(own) && own[wrong] == buffer[wrong] {
				wrong++
			}
			return fmt.Errorf("byte %d of %d is not the request's own: got %q, its own are %q", b.at+wrong, b.asked.length,
				buffer[wrong:min(n, wrong+strangeBytes)], own[wrong:min(len(own), wrong+strangeBytes)])
		}
		b.at += n
		switch {
		case errors.Is(err, io.EOF) && b.at < b.asked.length:
			return fmt.Errorf("%d of %d bytes look like a whole body", b.at, b.asked.length)
		case errors.Is(err, io.EOF):
			b.whole = true
		case err != nil:
			return err
		}
	}
	return nil
}

func endOfConnection(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// runs is what callers sent and what the backend servers saw of it.
type runs struct {
	mu   sync.Mutex
	sent map[string]*sent
	// afterDrain are requests that reached a server which had been told that its
	// drain holds.
	afterDrain []string
	wrong      []string
}

// sent is a request and what became of it.
type sent struct {
	asked *request
	// attempts counts its arrivals at servers, ran the nodes beside those that ran it.
	attempts int
	ran      []int
	// notRun is what the caller was told, or may tell by itself, if that means that
	// the request did not run.
	notRun string
}

func newRuns() *runs { return &runs{sent: map[string]*sent{}} }

func (r *runs) complain(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, at()+fmt.Sprintf(format, args...))
}

// at is the time as the logs of the processes write it.
func at() string { return time.Now().Format("15:04:05.000000 ") }

// send notes a request before its first byte goes out.
func (r *runs) send(asked *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[asked.id] = &sent{asked: asked}
}

// arrived notes an attempt; the request is nil if nobody sent it like this.
func (r *runs) arrived(id, line string, late bool) (*request, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.sent[id]
	if s == nil || line != s.asked.method()+" "+s.asked.path() {
		return nil, 0
	}
	if late {
		r.afterDrain = append(r.afterDrain, id)
	}
	s.attempts++
	return s.asked, s.attempts
}

func (r *runs) ran(id string, node int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id].ran = append(r.sent[id].ran, node)
}

// ranAt gives the nodes beside the servers that ran a request.
func (r *runs) ranAt(id string) (nodes []int, attempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sent[id].ran), r.sent[id].attempts
}

// saidNotRun notes why a caller may take its request for not run.
func (r *runs) saidNotRun(id, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id].notRun = why
}
