package proxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/core/mechanism"
	"cactuspath/core/quarantine"
	"cactuspath/core/retry"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/hop"
)

const (
	// needTimeout is the timeout of the route under test, and needStated the longer time that
	// its callers allow first.
	needTimeout = 1200
	needStated  = 2500
)

func reject(w http.ResponseWriter, _ *http.Request, req hop.Request) {
	writeReply(w, req, hop.Reply{Verdict: hop.Rejected})
}

func refuse(reply hop.Reply) func(http.ResponseWriter, *http.Request, hop.Request) {
	return func(w http.ResponseWriter, _ *http.Request, req hop.Request) { writeReply(w, req, reply) }
}

// newNeedHandler returns a handler with a route, whose retries go by need, to the nodes.
func newNeedHandler(nodes ...*fakeNode) *Handler {
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.Listener.Addr().String())
	}
	h := newTestHandler(gate.RevokeUnknown, addresses...)
	h.options.Dialect = &hop.Dialect{RequestID: "Request-Id"}
	h.options.RetryByNeed = true
	h.SetDisabled(0)
	h.Configure([]*apiv1.ServiceRecord{{Name: "pay", Spec: &apiv1.ServiceSpec{Slots: 4, TimeoutMs: 5000, MaxAttempts: 2, RetryPerMille: 100}}},
		[]*apiv1.RouteRecord{{Name: "charge", Institution: "i", ChangedAt: 1, Spec: &apiv1.RouteSpec{PathPrefix: "/", Kind: apiv1.RouteKind_ROUTE_KIND_UNSAFE, TimeoutMs: needTimeout, MaxAttempts: 2,
			Shares: []*apiv1.RouteShare{{Service: "pay", Weight: 1}}}}}, nil)
	return h
}

// sendStating sends a request whose caller allows the given number of milliseconds.
func sendStating(h *Handler, id string, ms int) *httptest.ResponseRecorder {
	header := http.Header{"Request-Id": {id}}
	if ms > 0 {
		header.Set(h.options.Dialect.TimeoutField(), strconv.Itoa(ms))
	}
	return serveRequest(h, "/charge", header)
}

func retriesOf(h *Handler, need retry.Need) string {
	if v := h.options.Counters.RetriesByNeed.Get(need.String()); v != nil {
		return v.String()
	}
	return "0"
}

// sendContent sends a request with the given content to the handler. A streamed body is one of
// unknown length.
func sendContent(h *Handler, id, path, body string, streamed bool) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "http://any.example"+path, strings.NewReader(body))
	req.Header.Set("Request-Id", id)
	req.Header.Set(h.options.Dialect.TimeoutField(), strconv.Itoa(needStated))
	if streamed {
		req.ContentLength = -1
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

// Load: a caller sends a request again after servers rejected it, with another ID and a time
// limit like those of others. Guards against later tries that rank as first ones, against first
// tries that rank as later ones, and against an order where the setting or the mechanism is off.
func TestNeedOfCallersThatComeBack(t *testing.T) {
	const path, body = "/charge", "x"
	for _, c := range []struct {
		desc            string
		path, body      string
		streamed        bool
		setUp           func(h *Handler)
		first, cameBack string
	}{
		{"same content", path, body, false, func(*Handler) {}, "1", "1"},
		{"other path", "/charge/2", body, false, func(*Handler) {}, "2", "0"},
		{"other query", path + "?a=b", body, false, func(*Handler) {}, "2", "0"},
		{"other body", path, "y", false, func(*Handler) {}, "2", "0"},
		{"streamed body", path, body, true, func(*Handler) {}, "2", "0"},
		{"setting off", path, body, false, func(h *Handler) { h.options.RetryByNeed = false }, "0", "0"},
		{"mechanism off", path, body, false, func(h *Handler) { h.SetDisabled(mechanism.RetryNeed) }, "0", "0"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			h := newNeedHandler(newFakeNode(t, reject), newFakeNode(t, reject))
			c.setUp(h)
			assert.Equal(t, sendContent(h, "1", path, body, c.streamed).Code, http.StatusServiceUnavailable)
			assert.Equal(t, sendContent(h, "2", c.path, c.body, c.streamed).Code, http.StatusServiceUnavailable)
			assert.Equal(t, retriesOf(h, retry.First), c.first)
			assert.Equal(t, retriesOf(h, retry.CameBack), c.cameBack)
			assert.Equal(t, h.options.Counters.Retries.Value(), int64(2))
		})
	}
}

// Load: many callers send the same content, and servers have rejected it twice. Guards against
// first tries that all rank as having come back, and against those of requests that were served.
func TestPopularContentCountsOnceForEachGiveUp(t *testing.T) {
	answer := respondWith("ok")
	change := func(w http.ResponseWriter, r *http.Request, req hop.Request) { answer(w, r, req) }
	h := newNeedHandler(newFakeNode(t, change), newFakeNode(t, change))
	came := func() bool {
		c := &call{h: h, content: contentOfCharge}
		return c.cameBack()
	}
	for i := range 5 {
		assert.Equal(t, sendContent(h, strconv.Itoa(i), "/charge", "x", false).Code, http.StatusOK)
	}
	assert.Assert(t, !came())
	answer = reject
	// The second and third are recognized as the one given up before them, so that one record
	// is left.
	for i := range 3 {
		assert.Equal(t, sendContent(h, strconv.Itoa(i), "/charge", "x", false).Code, http.StatusServiceUnavailable)
	}
	assert.Assert(t, came())
	assert.Assert(t, !came())
}

// contentOfCharge is the content of the request to /charge with the body x.
var contentOfCharge = quarantine.ContentOf(quarantine.Target{Method: http.MethodPost, Host: "any.example", URI: "/charge"}, quarantine.SumOf([]byte("x")))

// Load: requests end in various ways, and the same contents come again. Guards against ranking
// requests as given up that may have run, or that their callers are not to send again, and
// against missing those that gates refused.
func TestOnlyRequestsThatDidNotRunCountAsGivenUp(t *testing.T) {
	refused := func(reason gate.Reason) func(http.ResponseWriter, *http.Request, hop.Request) {
		return refuse(hop.Reply{Verdict: hop.Refused, Reason: reason})
	}
	lose := func(http.ResponseWriter, *http.Request, hop.Request) { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		desc   string
		answer func(http.ResponseWriter, *http.Request, hop.Request)
		want   bool
	}{
		{"rejected", reject, true},
		{"queue full", refused(gate.QueueFull), true},
		{"too late", refused(gate.TooLate), true},
		{"overloaded", refused(gate.Overloaded), true},
		{"limited", refused(gate.Limited), true},
		{"draining", refused(gate.Draining), true},
		{"quarantined", refused(gate.Quarantined), false},
		{"unknown outcome", lose, false},
		{"served", respondWith("ok"), false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			h := newNeedHandler(newFakeNode(t, c.answer), newFakeNode(t, c.answer))
			resp := sendContent(h, "1", "/charge", "x", false)
			again := &call{h: h, content: contentOfCharge}
			assert.Equal(t, again.cameBack(), c.want, "fault %q", resp.Header().Get(fault.Header))
		})
	}
}

// Load: a service without endpoints. Guards against missing the requests that were given up
// without an attempt.
func TestRequestsWithoutEndpointCountAsGivenUp(t *testing.T) {
	h := newNeedHandler()
	assert.Equal(t, sendContent(h, "1", "/charge", "x", false).Header().Get(fault.Header), string(fault.NoEndpoint))
	again := &call{h: h, content: contentOfCharge}
	assert.Assert(t, again.cameBack())
}

// Guards against ranking requests of callers without a valid key, or of accounts that have
// reached their cap, as given up, however often they are sent.
func TestRequestsOfAccountsThatMayNotRunAreNotGivenUp(t *testing.T) {
	for _, kind := range []fault.Kind{fault.UnknownKey, fault.CapReached, fault.OutcomeUnknown, fault.Interrupted, fault.Quarantined, fault.Malformed, fault.TooLarge, fault.NoSuchService} {
		h := newNeedHandler()
		c := &call{h: h, content: contentOfCharge}
		c.recordGivenUp(kind)
		assert.Assert(t, !c.cameBack(), "%s", kind)
		c.recordGivenUp(fault.NotRun)
		assert.Assert(t, c.cameBack(), "%s", kind)
	}
}

// Load: a caller comes back to a node that has restarted meanwhile. Guards against a node that
// has just started and takes requests for later tries of which it knows nothing.
func TestNodeThatHasJustStartedTakesAllForFirstTries(t *testing.T) {
	node := newFakeNode(t, reject)
	sendContent(newNeedHandler(node, node), "1", "/charge", "x", false)
	h := newNeedHandler(node, newFakeNode(t, reject))
	sendContent(h, "2", "/charge", "x", false)
	assert.Equal(t, retriesOf(h, retry.First), "1")
	assert.Equal(t, retriesOf(h, retry.CameBack), "0")
}

// Load: callers of two services, routes and hosts. Guards against taking the request of one for
// that of another because their bodies are the same.
func TestSameBodyToAnotherHostIsAFirstTry(t *testing.T) {
	h := newNeedHandler(newFakeNode(t, reject), newFakeNode(t, reject))
	sendContent(h, "1", "/charge", "x", false)
	req := httptest.NewRequest(http.MethodPost, "http://other.example/charge", strings.NewReader("x"))
	h.ServeHTTP(httptest.NewRecorder(), req)
	assert.Equal(t, retriesOf(h, retry.First), "2")
	assert.Equal(t, retriesOf(h, retry.CameBack), "0")
}

// localEndpoint is a node whose backend server runs next to it.
type localEndpoint struct{ endpoint *endpoint.Endpoint }

func (l localEndpoint) Endpoint(service string) *endpoint.Endpoint {
	if service != "local" {
		return nil
	}
	return l.endpoint
}

// Load: a backend server calls another service for a request that it runs. Guards against
// calls that wait for the budget behind requests whose callers come back, and against callers
// that get the same by an ID with a dot.
func TestNeedOfCallsOfBackendServers(t *testing.T) {
	h := newNeedHandler(newFakeNode(t, reject), newFakeNode(t, reject))
	h.options.CallerService = func() string { return "local" }
	calls := make(chan string)
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		for id := range calls {
			sendContent(h, id, "/charge/"+id, "x", false)
		}
	}))
	defer backend.Close()
	local := endpoint.New(endpoint.Options{Host: "front", Incarnation: func() uint64 { return 1 }, Revision: func() uint64 { return 1 }, ObserveRevision: func(uint64) {}, SendReport: func(string, gate.Report) {},
		Counters: endpoint.NewCounters()}, gate.Config{Slots: 2, Queue: 4})
	defer local.Close()
	local.SetBackend(strings.TrimPrefix(backend.URL, "http://"))
	h.options.Local = localEndpoint{local}
	ended := make(chan hop.Reply)
	go func() {
		out := &hop.Outgoing{ID: "parent", Method: http.MethodPost, URI: "/", Host: "local", Header: http.Header{}, Deadline: time.Now().Add(time.Minute)}
		resp, reply := local.Attempt(t.Context(), hop.Request{ID: gate.AttemptID{Request: [2]uint64{1, 2}, Attempt: 1}, Incarnation: 1, Timeout: time.Minute}, out, nil)
		if resp != nil {
			_ = resp.Body.Close()
		}
		ended <- reply
	}()
	// First tries come first: those after the calls might be held back.
	for _, id := range []string{"parent", "parental.1", "other.1", "", "parent.1", "parent.1.2", "parent.1"} {
		calls <- id
	}
	close(calls)
	assert.Equal(t, (<-ended).Verdict, hop.Ran)
	assert.Equal(t, retriesOf(h, retry.Call), "3", "also one with the content of an earlier call")
	assert.Equal(t, retriesOf(h, retry.First), "4")
	assert.Equal(t, retriesOf(h, retry.CameBack), "0")
	sendContent(h, "parent.3", "/charge/parent.3", "x", false)
	assert.Equal(t, retriesOf(h, retry.Call), "3", "the parent has ended")
}

// Load: servers reject requests while their gates have free slots. Guards against callers that
// stay away longer than they need to, against callers that come back at the same moment, and
// against calling those back early for whom there is no room.
func TestRetryAfterOfRejectedRequests(t *testing.T) {
	const gateFigure = 700 * time.Millisecond
	full := refuse(hop.Reply{Verdict: hop.Refused, Reason: gate.QueueFull, RetryAfter: gateFigure})
	for _, c := range []struct {
		desc     string
		a, b     func(http.ResponseWriter, *http.Request, hop.Request)
		setUp    func(h *Handler)
		from, to time.Duration
	}{
		{"rejected twice", reject, reject, func(*Handler) {}, retry.MinRejectedRetryAfter, retry.MaxRejectedRetryAfter},
		{"setting off", reject, reject, func(h *Handler) { h.options.RetryByNeed = false }, defaultRetryAfter, defaultRetryAfter},
		{"mechanism off", reject, reject, func(h *Handler) { h.SetDisabled(mechanism.RetryNeed) }, defaultRetryAfter, defaultRetryAfter},
		{"refused for lack of room", full, full, func(*Handler) {}, gateFigure, gateFigure},
		{"refused for lack of room and rejected", full, reject, func(*Handler) {}, gateFigure, gateFigure},
	} {
		t.Run(c.desc, func(t *testing.T) {
			h := newNeedHandler(newFakeNode(t, c.a), newFakeNode(t, c.b))
			c.setUp(h)
			seen := map[string]bool{}
			for range 10 {
				resp := sendStating(h, "r", needStated)
				ms, err := strconv.Atoi(resp.Header().Get(RetryAfterHeader))
				assert.NilError(t, err)
				after := time.Duration(ms) * time.Millisecond
				assert.Assert(t, after >= c.from && after <= c.to, "%v", after)
				seen[resp.Header().Get(RetryAfterHeader)] = true
			}
			assert.Equal(t, len(seen) > 1, c.from < c.to, "%v", seen)
		})
	}
}

// Load: servers reject requests, and their gates have just refused others for lack of room.
// Guards against calling callers back early while no gate is known to have room.
func TestRejectedCallersAreNotCalledBackToFullGates(t *testing.T) {
	full := refuse(hop.Reply{Verdict: hop.Refused, Reason: gate.QueueFull, RetryAfter: time.Second})
	answer := full
	change := func(w http.ResponseWriter, r *http.Request, req hop.Request) { answer(w, r, req) }
	h := newNeedHandler(newFakeNode(t, change))
	sendStating(h, "r", needStated)
	answer = reject
	assert.Equal(t, sendStating(h, "r", needStated).Header().Get(RetryAfterHeader), strconv.FormatInt(defaultRetryAfter.Milliseconds(), 10))
}

// Guards against a caller that states more milliseconds than a duration holds, and whose
// request would be refused as late.
func TestHugeStatedLimitHasNotPassed(t *testing.T) {
	h := newNeedHandler(newFakeNode(t, respondWith("ok")))
	resp := serveRequest(h, "/charge", http.Header{http.CanonicalHeaderKey(h.options.Dialect.TimeoutField()): {"9300000000000"}})
	assert.Equal(t, resp.Code, http.StatusOK)
}
