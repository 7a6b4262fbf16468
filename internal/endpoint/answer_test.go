package endpoint

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
)

// describingServer is a backend server whose answers have the header fields and the status that
// the test sets for the path.
type describingServer struct {
	*httptest.Server
	answers atomic.Pointer[map[string]answer]
}

type answer struct {
	status int
	fields map[string]string
}

func newDescribingServer(t *testing.T) *describingServer {
	s := &describingServer{}
	s.answers.Store(&map[string]answer{})
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := (*s.answers.Load())[r.URL.Path]
		for name, value := range a.fields {
			w.Header().Set(name, value)
		}
		w.WriteHeader(max(a.status, http.StatusOK))
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *describingServer) set(path string, a answer) { s.answers.Store(&map[string]answer{path: a}) }

// describedEndpoint returns an endpoint in front of the server. Unless queried, it sends the
// server nothing by itself.
func describedEndpoint(t *testing.T, s *describingServer, leavingChanged func()) *Endpoint {
	e := New(Options{Host: "h", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: NewCounters(), LeavingChanged: leavingChanged, Dialect: &hop.Dialect{NotRun: "X-Not-Run", ExpectInstance: "X-Expect"}}, gate.Config{Slots: 1000, Queue: 1000})
	t.Cleanup(e.Close)
	e.SetBackend(s.Listener.Addr().String())
	return e
}

// call sends one request through the endpoint.
func (e *Endpoint) call(t *testing.T, sequence uint64) hop.Reply {
	t.Helper()
	out := &hop.Outgoing{Method: http.MethodGet, URI: "/work", Host: "pay.example", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)}
	resp, reply := e.Attempt(t.Context(), hop.Request{ID: gate.AttemptID{Request: [2]uint64{1, sequence}, Attempt: 1}, Incarnation: 1, Timeout: time.Minute}, out, nil)
	if resp != nil {
		assert.NilError(t, resp.Body.Close())
	}
	return reply
}

// TestLimitIsReadFromEveryAnswer guards against overlooking a limit that a server names only
// when it fails or rejects a request, or in health answers, and against taking the limit of
// another server for its own.
func TestLimitIsReadFromEveryAnswer(t *testing.T) {
	limit := map[string]string{hop.LimitHeader: "2.5"}
	for name, test := range map[string]struct {
		answer answer
		health bool
		want   gate.Limit
	}{
		"success":          {answer{http.StatusOK, limit}, false, gate.Limit{PerSecond: 2.5, InForce: true}},
		"error":            {answer{http.StatusInternalServerError, limit}, false, gate.Limit{PerSecond: 2.5, InForce: true}},
		"rejection":        {answer{http.StatusServiceUnavailable, map[string]string{hop.LimitHeader: "2.5", "X-Not-Run": "1"}}, false, gate.Limit{PerSecond: 2.5, InForce: true}},
		"health":           {answer{http.StatusOK, limit}, true, gate.Limit{PerSecond: 2.5, InForce: true}},
		"bad health":       {answer{http.StatusServiceUnavailable, limit}, true, gate.Limit{PerSecond: 2.5, InForce: true}},
		"another instance": {answer{http.StatusMisdirectedRequest, limit}, false, gate.Limit{}},
		"none":             {answer{http.StatusOK, nil}, false, gate.Limit{}},
		"negative":         {answer{http.StatusOK, map[string]string{hop.LimitHeader: "-1"}}, false, gate.Limit{}},
		"not a number":     {answer{http.StatusOK, map[string]string{hop.LimitHeader: "NaN"}}, false, gate.Limit{}},
		"infinite":         {answer{http.StatusOK, map[string]string{hop.LimitHeader: "+Inf"}}, false, gate.Limit{}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newDescribingServer(t)
			e := describedEndpoint(t, s, nil)
			if test.health {
				s.set("/health", test.answer)
				e.queryLoad(e.healthPool.Load(), "/health")
			} else {
				s.set("/work", test.answer)
				e.call(t, 1)
			}
			assert.Equal(t, e.NamedLimit(), test.want)
		})
	}
}

// TestMalformedLimitChangesNothing guards against dropping a limit for an answer that is
// garbled.
func TestMalformedLimitChangesNothing(t *testing.T) {
	s := newDescribingServer(t)
	e := describedEndpoint(t, s, nil)
	s.set("/work", answer{http.StatusOK, map[string]string{hop.LimitHeader: "7"}})
	e.call(t, 1)
	s.set("/work", answer{http.StatusOK, map[string]string{hop.LimitHeader: "7 or so"}})
	e.call(t, 2)
	assert.Equal(t, e.NamedLimit(), gate.Limit{PerSecond: 7, InForce: true})
	assert.Equal(t, e.options.Counters.LimitMalformed.Value(), int64(1))
}

// TestLateAnswerOfReplacedServerIsIgnored guards against holding a new server to the limit of
// the one before it, or draining it, because of an answer that was on its way.
func TestLateAnswerOfReplacedServerIsIgnored(t *testing.T) {
	s := newDescribingServer(t)
	e := describedEndpoint(t, s, nil)
	before := e.backend.Load()
	e.ReplaceServer("next", s.Listener.Addr().String())
	e.observeAnswer(before, http.Header{http.CanonicalHeaderKey(hop.LimitHeader): {"1"}, http.CanonicalHeaderKey(hop.LeavingHeader): {hop.LeavingValue}}, false)
	assert.Equal(t, e.NamedLimit(), gate.Limit{})
	assert.Assert(t, !e.Leaving())
}

// TestServerThatSaysItLeavesGetsNothingMore guards against sending requests to a server that
// announces its shutdown in its answers only: heartbeats that still call it ready do not end the
// drain.
func TestServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	leaving := answer{http.StatusOK, map[string]string{hop.LeavingHeader: hop.LeavingValue}}
	for name, health := range map[string]bool{"answer": false, "health answer": true} {
		t.Run(name, func(t *testing.T) {
			s := newDescribingServer(t)
			var changes atomic.Int64
			e := describedEndpoint(t, s, func() { changes.Add(1) })
			say := func(a answer, sequence uint64) {
				if health {
					s.set("/health", a)
					e.queryLoad(e.healthPool.Load(), "/health")
					return
				}
				s.set("/work", a)
				e.call(t, sequence)
			}
			say(leaving, 1)
			assert.Equal(t, changes.Load(), int64(1))
			reply := e.call(t, 2)
			assert.Equal(t, reply.Verdict, hop.Refused)
			assert.Equal(t, reply.Reason, gate.Draining)
			e.SetDraining(false)
			assert.Equal(t, e.call(t, 3).Verdict, hop.Refused)
			if health {
				say(answer{}, 0)
				assert.Equal(t, changes.Load(), int64(2))
				e.SetDraining(false) // as LeavingChanged does
				assert.Equal(t, e.call(t, 4).Verdict, hop.Ran)
				return
			}
			e.ServerRestarted(s.Listener.Addr().String())
			e.SetDraining(false)
			assert.Equal(t, e.call(t, 4).Verdict, hop.Ran)
		})
	}
}
