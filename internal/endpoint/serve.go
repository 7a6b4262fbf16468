package endpoint

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	coreoverload "cactuspath/core/overload"
	"cactuspath/internal/hangup"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
	"cactuspath/internal/overload"
)

// maxBuffered is the largest body, in bytes, that is held in memory so that it can be
// sent again; a longer one is streamed.
const maxBuffered int64 = 64 << 10

// ServeHop serves a request that another node sent here.
func (e *Endpoint) ServeHop(w http.ResponseWriter, r *http.Request) {
	req, err := hop.ParseRequest(r.Header.Get(hop.Header))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	held := e.observeTransit(r.Context(), req, r.Header.Get(hop.SentHeader))
	if held >= req.Timeout {
		// The gate refuses a request without time left.
		req.Timeout, held = 0, 0
	}
	if hangup.Gone(r.Context()) {
		// The request waited unread until its sender gave up. Skip the work to keep
		// processor time for other requests.
		e.options.Counters.SenderGone.Add(1)
		logs.Decision(false, "Sender disconnected before its request was read", "request", r.Header.Get(e.options.Dialect.RequestID), "host", e.options.Host)
		panic(http.ErrAbortHandler)
	}
	bufferLimit := maxBuffered
	if hop.ExpectsContinue(r.Header) {
		// The sender waits for 100 Continue before it sends the body. It is sent when the
		// body is first read, which happens only if the gate lets the request run.
		bufferLimit = 0
	}
	interim := &interimResponses{w: w}
	if bufferLimit == 0 {
		r.Body = &continueBody{ReadCloser: r.Body, interim: interim}
	}
	// The gate decides by the time that the sender gave: its estimates are on the safe side,
	// and it would refuse requests that can still be served. The backend server is told what
	// is left, and gets nothing after that.
	out, err := outgoing(w, r, e.options.Dialect, req.Timeout-held, bufferLimit)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Attempt = req.ID
	if out.Stream != nil {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	resp, reply := e.admitAndAttempt(r.Context(), req, out, interim.hint)
	if resp != nil && bufferLimit == 0 && out.Stream != nil && out.Stream.InUse() {
		// The backend server responds while or before it reads the body. The goroutine that
		// forwards the body may not have sent 100 Continue yet, which cannot be sent after
		// the response header.
		interim.sendContinue()
	}
	interim.end()
	if out.Stream != nil && !out.Stream.Ended() {
		// The rest of the body stays unread. Without this field the sender would send
		// its next request after the body on this connection.
		w.Header().Set("Connection", "close")
		defer linger(w)
	}
	if resp == nil {
		writeRefusal(w, reply)
		return
	}
	if err := e.relay(r.Context(), w, resp, out, reply); err != nil {
		klog.V(2).InfoS("Answer cut short", "host", e.options.Host, "err", err)
		panic(http.ErrAbortHandler)
	}
}

// observeTransit returns how long a request was held up on its way here, which includes the
// time that it lay unread while this process had no processor time. Sent is the value of
// hop.SentHeader; nodes of earlier releases do not send it. The sender looked at its own caller
// when it sent the request, so one that was not held up needs no further look.
func (e *Endpoint) observeTransit(ctx context.Context, req hop.Request, sent string) time.Duration {
	sentAt, err := strconv.ParseInt(sent, 10, 64)
	if err != nil {
		return 0
	}
	e.mu.Lock()
	held, known := e.transit.Observe(req.ID.Request[0], time.Duration(sentAt)*time.Microsecond, e.now())
	e.mu.Unlock()
	if !known {
		return 0
	}
	hangup.ConfirmOpen(ctx, time.Now().Add(-held))
	e.options.Counters.Transit.Observe(held)
	return held
}

// admitAndAttempt calls Attempt for a request of another node, or refuses the request
// if this process is short of processor time.
func (e *Endpoint) admitAndAttempt(ctx context.Context, req hop.Request, out *hop.Outgoing, onHint func(to string)) (*http.Response, hop.Reply) {
	if e.options.Overload.Admit(coreoverload.FromNode, coreoverload.Rank{Priority: req.Priority, Aim: req.Aim}) {
		return e.Attempt(ctx, req, out, onHint)
	}
	reply := e.newReply(req)
	reply.Verdict, reply.Reason, reply.RetryAfter = hop.Refused, gate.Overloaded, overload.RetryAfter()
	logs.Decision(true, "Request from another node refused: process overloaded", "request", out.ID, "attempt", hop.FormatID(req.ID), "delay", e.options.Overload.Delay(), "retryAfter", reply.RetryAfter)
	return nil, reply
}

// lingerTimeout bounds how long the rest of an unread body is read and discarded after
// the response. The sender closes the connection once it has the response, which takes
// a round trip; half a second covers one between distant regions with a lost packet.
const lingerTimeout = 500 * time.Millisecond

// linger makes net/http read on for a while after the response before it closes the
// connection. Closing with unread bytes resets the connection, and the part of the response
// still in transit is lost. It also replaces the deadline in the past that is set to
// interrupt the goroutine that forwards the body.
func linger(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTimeout))
}

// continueBody is a request body whose sender waits for 100 Continue. The first read sends
// 100 Continue.
type continueBody struct {
	io.ReadCloser
	interim *interimResponses
}

// Read reads the body.
func (b *continueBody) Read(p []byte) (int, error) {
	b.interim.sendContinue()
	return b.ReadCloser.Read(p)
}

// interimResponses sends the interim responses: hints, which come from other
// goroutines, and 100 Continue, which comes from the goroutine that forwards the body.
// Concurrent writes would interleave on the connection, with each other or with the
// final response. They are therefore sent one at a time, and none once the final
// response begins.
type interimResponses struct {
	mu           sync.Mutex
	w            http.ResponseWriter
	continueSent bool
	ended        bool
}

func (a *interimResponses) hint(to string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.w.Header().Set(hop.HintHeader, to)
	a.w.WriteHeader(http.StatusProcessing)
	a.w.Header().Del(hop.HintHeader)
}

// sendContinue sends 100 Continue, once.
func (a *interimResponses) sendContinue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.continueSent {
		return
	}
	a.continueSent = true
	a.w.WriteHeader(http.StatusContinue)
}

func (a *interimResponses) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}

func writeRefusal(w http.ResponseWriter, reply hop.Reply) {
	w.Header().Set(hop.Header, reply.Encode())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Outgoing builds the request to a backend server from an incoming one. A short body is
// read into memory first.
func Outgoing(w http.ResponseWriter, r *http.Request, dialect *hop.Dialect, timeout time.Duration) (*hop.Outgoing, error) {
	return outgoing(w, r, dialect, timeout, maxBuffered)
}

// outgoing reads bodies of up to bufferLimit bytes into memory.
func outgoing(w http.ResponseWriter, r *http.Request, dialect *hop.Dialect, timeout time.Duration, bufferLimit int64) (*hop.Outgoing, error) {
	out := &hop.Outgoing{Method: r.Method, URI: requestURI(r), Host: r.Host, Header: r.Header, Length: r.ContentLength, Deadline: time.Now().Add(timeout)}
	if dialect.RequestID != "" {
		out.IDField, out.ID = dialect.RequestID, r.Header.Get(dialect.RequestID)
	}
	hop.CleanRequest(r.Header)
	switch {
	case r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= bufferLimit:
		body, err := readBody(r)
		if err != nil {
			return nil, err
		}
		out.Buffered = body
	default:
		out.Stream = hop.NewBody(r.Body, http.NewResponseController(w).SetReadDeadline)
	}
	return out, nil
}

// requestURI returns the path and query as received. Re-encoding the parsed URL would
// change paths with unusual escapes.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func readBody(r *http.Request) ([]byte, error) {
	body := make([]byte, r.ContentLength)
	for n := 0; n < len(body); {
		m, err := r.Body.Read(body[n:])
		n += m
		if err != nil && n < len(body) {
			return nil, err
		}
	}
	return body, nil
}

// RefuseUnadmitted refuses a request that does not get to a gate: the backend server no longer runs
// beside this node, or there is no memory for the request.
func RefuseUnadmitted(w http.ResponseWriter, r *http.Request, reason gate.Reason, incarnation, revision uint64) {
	req, err := hop.ParseRequest(r.Header.Get(hop.Header))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := hop.Reply{ID: req.ID, Verdict: hop.Refused, Reason: reason, Incarnation: incarnation, Revision: revision}
	if reason == gate.Overloaded {
		reply.RetryAfter = overload.RetryAfter()
	}
	writeRefusal(w, reply)
}
