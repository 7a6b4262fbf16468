package endpoint

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	coreoverload "cactuspath/core/overload"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
	"cactuspath/internal/overload"
)

// maxBuffered is the largest body held in memory so that it can be sent again;
// a longer one is streamed.
const maxBuffered int64 = 64 << 10

// ServeHop serves a request that another node sent here.
func (e *Endpoint) ServeHop(w http.ResponseWriter, r *http.Request) {
	req, err := hop.ParseRequest(r.Header.Get(hop.Header))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	held := maxBuffered
	if hop.AsksFirst(r.Header) {
		// The body comes once it is read: only if the gate lets the request run.
		held = 0
	}
	interim := &interimAnswers{w: w}
	if held == 0 {
		r.Body = &askedBody{ReadCloser: r.Body, interim: interim}
	}
	out, err := outgoing(w, r, e.options.Dialect, req.Timeout, held)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Attempt = req.ID
	if out.Stream != nil {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
	resp, reply := e.admitAndAttempt(r.Context(), req, out, interim.hint)
	if resp != nil && held == 0 && out.Stream != nil && out.Stream.Lent() {
		// The backend server answers as it reads, or before: its body's sender may not
		// have come to ask for the body yet, and behind the answer's head nobody can.
		interim.askForBody()
	}
	interim.end()
	if out.Stream != nil && !out.Stream.Ended() {
		// The rest of the body stays unread. The sender, told nothing, would put its next
		// request behind it.
		w.Header().Set("Connection", "close")
		defer linger(w)
	}
	if resp == nil {
		refuse(w, reply)
		return
	}
	if err := hop.Relay(w, resp, hop.Field{Name: hop.Header, Value: reply.Encode()}); err != nil {
		klog.V(2).InfoS("Answer cut short", "host", e.options.Host, "err", err)
		panic(http.ErrAbortHandler)
	}
}

// admitAndAttempt calls Attempt for a request of another node, or refuses the request if
// this process is short of processor time.
func (e *Endpoint) admitAndAttempt(ctx context.Context, req hop.Request, out *hop.Outgoing, onHint func(to string)) (*http.Response, hop.Reply) {
	if e.options.Overload.Admit(coreoverload.FromNode, coreoverload.Rank{Priority: req.Priority, Aim: req.Aim}) {
		return e.Attempt(ctx, req, out, onHint)
	}
	reply := e.replyTo(req)
	reply.Verdict, reply.Reason, reply.RetryAfter = hop.Refused, gate.Overloaded, overload.RetryAfter()
	logs.Decision(true, "Request from another node refused: process overloaded", "request", out.ID, "attempt", hop.FormatID(req.ID), "delay", e.options.Overload.Delay(), "retryAfter", reply.RetryAfter)
	return nil, reply
}

// lingerTime is how long the rest of an unread body is read and dropped behind the
// answer. The sender closes the connection once it has the answer, which takes a round
// trip; half a second is one between far regions with a lost packet.
const lingerTime = 500 * time.Millisecond

// linger has net/http read on for a while behind the answer before it closes the
// connection. Closed with unread bytes a connection is reset, and what is still on its
// way of the answer is lost; and a body's sender that was woken has left a deadline in
// the past.
func linger(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
}

// askedBody is a body that its sender holds back until it is asked for. It is asked
// for when it is first read.
type askedBody struct {
	io.ReadCloser
	interim *interimAnswers
}

// Read reads the body.
func (b *askedBody) Read(p []byte) (int, error) {
	b.interim.askForBody()
	return b.ReadCloser.Read(p)
}

// interimAnswers sends what goes ahead of the answer: hints, which come from other
// goroutines, and the question for the body, which comes from the one that sends it
// on. Two at once would mix on the connection, and so would one with the answer: one
// goes out at a time, and none once the answer begins.
type interimAnswers struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	asked bool
	ended bool
}

func (a *interimAnswers) hint(to string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.w.Header().Set(hop.HintHeader, to)
	a.w.WriteHeader(http.StatusProcessing)
	a.w.Header().Del(hop.HintHeader)
}

// askForBody asks for the body, once.
func (a *interimAnswers) askForBody() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.asked {
		return
	}
	a.asked = true
	a.w.WriteHeader(http.StatusContinue)
}

func (a *interimAnswers) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}

func refuse(w http.ResponseWriter, reply hop.Reply) {
	w.Header().Set(hop.Header, reply.Encode())
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Outgoing builds the request to a backend server from one that arrived. A
// short body is read into memory first.
func Outgoing(w http.ResponseWriter, r *http.Request, dialect *hop.Dialect, timeout time.Duration) (*hop.Outgoing, error) {
	return outgoing(w, r, dialect, timeout, maxBuffered)
}

// outgoing reads bodies of up to held bytes into memory.
func outgoing(w http.ResponseWriter, r *http.Request, dialect *hop.Dialect, timeout time.Duration, held int64) (*hop.Outgoing, error) {
	out := &hop.Outgoing{Method: r.Method, URI: requestURI(r), Host: r.Host, Header: r.Header, Length: r.ContentLength, Deadline: time.Now().Add(timeout)}
	if dialect.RequestID != "" {
		out.IDField, out.ID = dialect.RequestID, r.Header.Get(dialect.RequestID)
	}
	hop.CleanRequest(r.Header)
	switch {
	case r.ContentLength == 0:
	case r.ContentLength > 0 && r.ContentLength <= held:
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

// requestURI is the path and query as they came. Rendered anew from the parsed
// form, a path with unusual escapes would reach the backend server changed.
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

// ServeGone answers a request for a backend server that is no longer beside
// this node.
func ServeGone(w http.ResponseWriter, r *http.Request, incarnation, revision uint64) {
	req, err := hop.ParseRequest(r.Header.Get(hop.Header))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	refuse(w, hop.Reply{ID: req.ID, Verdict: hop.Refused, Reason: gate.Draining, Incarnation: incarnation, Revision: revision})
}
