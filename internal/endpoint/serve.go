package endpoint

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
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
	out, err := outgoing(r, e.options.Dialect, req.Timeout, held)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var streamed *streamedBody
	if out.Stream != nil {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		streamed = &streamedBody{Reader: r.Body}
		out.Stream = streamed
		if held == 0 && out.Length > 0 && out.Length <= maxBuffered {
			out.Stream = &askedBody{Reader: streamed, control: control, until: time.Now().Add(req.Timeout)}
		}
	}
	out.Request, out.Attempt = out.ID, hop.FormatID(req.ID)
	interim := &interimAnswers{w: w}
	resp, reply := e.Attempt(r.Context(), req, out, interim.hint)
	interim.end()
	if streamed != nil && !streamed.ended.Load() {
		// net/http would look for another request behind the rest of the body while the
		// goroutine that forwards the body still reads from the same connection.
		w.Header().Set("Connection", "close")
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

// streamedBody notes whether a body was read to its end.
type streamedBody struct {
	io.Reader
	ended atomic.Bool
}

// Read reads the body.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// askedBody is a body of moderate length that its sender holds back until it is
// read.
type askedBody struct {
	io.Reader
	control *http.ResponseController
	until   time.Time
}

// fetch reads the whole body. Until it is there the backend server has seen nothing
// of the request: a sender that breaks off leaves it not run, and not in doubt.
func (b *askedBody) fetch(length int64) ([]byte, error) {
	_ = b.control.SetReadDeadline(b.until)
	body := make([]byte, length)
	if _, err := io.ReadFull(b, body); err != nil {
		return nil, err
	}
	return body, b.control.SetReadDeadline(time.Time{})
}

// interimAnswers sends hints ahead of the answer. Hints come from other
// goroutines; once the answer begins there must be none, since the two would mix.
type interimAnswers struct {
	mu    sync.Mutex
	w     http.ResponseWriter
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
func Outgoing(r *http.Request, dialect *hop.Dialect, timeout time.Duration) (*hop.Outgoing, error) {
	return outgoing(r, dialect, timeout, maxBuffered)
}

// outgoing reads bodies of up to held bytes into memory.
func outgoing(r *http.Request, dialect *hop.Dialect, timeout time.Duration, held int64) (*hop.Outgoing, error) {
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
		out.Stream = r.Body
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
