package proxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/estate"
	"cactuspath/core/gate"
	"cactuspath/core/usage"
	"cactuspath/internal/hop"
)

func accountRecord(name string, revision uint64, keys ...string) *apiv1.AccountRecord {
	spec := &apiv1.AccountSpec{}
	for _, key := range keys {
		digest := estate.KeyDigest(key)
		spec.KeyDigests = append(spec.KeyDigests, digest[:])
	}
	return &apiv1.AccountRecord{Name: name, Institution: "i", ChangedAt: revision, Spec: spec}
}

// withAccounts configures the handler with the accounts, a route /keyed/ that needs a key
// and a route /public/ that does not.
func withAccounts(h *Handler, accounts ...*apiv1.AccountRecord) {
	r := func(prefix string, public bool) *apiv1.RouteRecord {
		return &apiv1.RouteRecord{Name: prefix, Institution: "i", ChangedAt: 1, Spec: &apiv1.RouteSpec{PathPrefix: prefix, Kind: apiv1.RouteKind_ROUTE_KIND_UNSAFE, TimeoutMs: 5000, MaxAttempts: 3,
			Public: public, Shares: []*apiv1.RouteShare{{Service: "pay", Weight: 1}}}}
	}
	h.Configure([]*apiv1.ServiceRecord{{Name: "pay", Spec: &apiv1.ServiceSpec{Hosts: []string{"pay.example"}, Slots: 4, TimeoutMs: 5000, MaxAttempts: 3}}},
		[]*apiv1.RouteRecord{r("/keyed/", false), r("/public/", true)}, accounts)
}

// recordedRequests is a fake node's record of the headers that reached it.
type recordedRequests struct {
	mu      sync.Mutex
	headers []http.Header
}

func (r *recordedRequests) answer(w http.ResponseWriter, req *http.Request, hopRequest hop.Request) {
	r.mu.Lock()
	r.headers = append(r.headers, req.Header.Clone())
	r.mu.Unlock()
	respondWith("ok")(w, req, hopRequest)
}

func (r *recordedRequests) last() http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[len(r.headers)-1]
}

func serveRequest(h *Handler, path string, header http.Header) *httptest.ResponseRecorder {
	req := httptest.NewRequest("POST", "http://any.example"+path, strings.NewReader("x"))
	for name, values := range header {
		req.Header[name] = values
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// Guards against requests that run without a valid key, against backend servers that see a
// key or a name that the caller chose, and against refusing what the keys allow.
func TestKeysDecideWhoRuns(t *testing.T) {
	record := &recordedRequests{}
	node := newFakeNode(t, record.answer)
	h := newTestHandler(gate.RevokeUnknown, node.Listener.Addr().String())
	withAccounts(h, accountRecord("club", 1, "k1", "k2"), accountRecord("guild", 1, "k3"))
	cases := []struct {
		desc, path string
		header     http.Header
		status     int
		account    string
	}{
		{"a key", "/keyed/", bearer("k1"), 200, "club"},
		{"another key of the account", "/keyed/", bearer("k2"), 200, "club"},
		{"a key of another account", "/keyed/", bearer("k3"), 200, "guild"},
		{"scheme in other letter case", "/keyed/", http.Header{"Authorization": {"bEARER k1"}}, 200, "club"},
		{"no key", "/keyed/", nil, 401, ""},
		{"an unknown key", "/keyed/", bearer("k4"), 401, ""},
		{"a key as prefix", "/keyed/", bearer("k11"), 401, ""},
		{"two keys", "/keyed/", http.Header{"Authorization": {"Bearer k1", "Bearer k3"}}, 401, ""},
		{"another scheme", "/keyed/", http.Header{"Authorization": {"Basic k1"}}, 401, ""},
		{"an empty key", "/keyed/", http.Header{"Authorization": {"Bearer "}}, 401, ""},
		{"public without a key", "/public/", nil, 200, ""},
		{"public with a key", "/public/", bearer("k1"), 200, "club"},
		{"public with an unknown key", "/public/", bearer("k4"), 200, ""},
		{"a name that the caller chose", "/keyed/", http.Header{"Authorization": {"Bearer k1"}, hop.AccountHeader: {"guild", "root"}}, 200, "club"},
		{"a name on a public route", "/public/", http.Header{hop.AccountHeader: {"guild"}}, 200, ""},
		{"a service by name", "/", http.Header{hop.ServiceHeader: {"pay"}}, 401, ""},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			before := node.hits.Load()
			w := serveRequest(h, c.path, c.header)
			assert.Equal(t, w.Code, c.status)
			if c.status != 200 {
				assert.Equal(t, node.hits.Load(), before, "the request was sent on")
				f := faultOf(t, w.Result(), w.Body.String())
				assert.Equal(t, f.Fault, fault.UnknownKey)
				assert.Equal(t, f.Ran, "no")
				for _, key := range []string{"k1", "k4"} {
					assert.Assert(t, !strings.Contains(w.Body.String(), key), "the response holds the key")
				}
				return
			}
			got := record.last()
			assert.Equal(t, len(got["Authorization"]), 0, "the backend server gets the key")
			assert.Equal(t, strings.Join(got[hop.AccountHeader], ","), c.account)
		})
	}
}

// An estate without accounts leaves Authorization to the backend servers, but never lets a
// caller choose the name of an account.
func TestWithoutAccountsAuthorizationIsForwarded(t *testing.T) {
	record := &recordedRequests{}
	h := newTestHandler(gate.RevokeUnknown, newFakeNode(t, record.answer).Listener.Addr().String())
	withAccounts(h)
	w := serveRequest(h, "/keyed/", http.Header{"Authorization": {"Basic x"}, hop.AccountHeader: {"root"}})
	assert.Equal(t, w.Code, 200)
	assert.Equal(t, record.last().Get("Authorization"), "Basic x")
	assert.Equal(t, len(record.last()[hop.AccountHeader]), 0)
}

// Guards against a key that goes on working after it was taken away: for new requests on
// any connection, and for the next attempt of a request that is under way.
func TestRevokedKeyEndsRequests(t *testing.T) {
	var h *Handler
	first := true
	node := newFakeNode(t, func(w http.ResponseWriter, r *http.Request, req hop.Request) {
		if first {
			first = false
			withAccounts(h, accountRecord("club", 2, "k2"))
			writeReply(w, req, hop.Reply{Verdict: hop.Refused, Reason: gate.Draining})
			return
		}
		respondWith("ran")(w, r, req)
	})
	second := newFakeNode(t, respondWith("ran"))
	h = newTestHandler(gate.RevokeUnknown, node.Listener.Addr().String(), second.Listener.Addr().String())
	withAccounts(h, accountRecord("club", 1, "k1", "k2"))
	for first {
		w := serveRequest(h, "/keyed/", bearer("k1"))
		if !first {
			assert.Equal(t, w.Code, 401, "%s", w.Body)
		}
	}
	assert.Equal(t, serveRequest(h, "/keyed/", bearer("k1")).Code, 401)
	assert.Equal(t, serveRequest(h, "/keyed/", bearer("k2")).Code, 200)
}

// fakeUsage admits a number of requests and counts what it gets back.
type fakeUsage struct{ left, refunds int }

func (u *fakeUsage) Admit(string) usage.Decision {
	if u.left == 0 {
		return usage.Decision{Keeper: "k", RetryAfter: 200 * time.Millisecond, Reason: usage.ReasonClosed}
	}
	u.left--
	return usage.Decision{Admitted: true, Keeper: "k"}
}

func (u *fakeUsage) Refund(string, string) { u.refunds++ }

// Guards against running requests beyond the cap, and against charging an account for
// requests that were refused for another reason.
func TestCapRefusesAndRefunds(t *testing.T) {
	u := &fakeUsage{left: 2}
	h := newTestHandler(gate.RevokeUnknown, newFakeNode(t, respondWith("ok")).Listener.Addr().String())
	h.options.Usage = u
	withAccounts(h, accountRecord("club", 1, "k1"))
	assert.Equal(t, serveRequest(h, "/public/", bearer("k1")).Code, 200)
	assert.Equal(t, u.left, 2, "a request on a public route was charged")
	for range 2 {
		assert.Equal(t, serveRequest(h, "/keyed/", bearer("k1")).Code, 200)
	}
	w := serveRequest(h, "/keyed/", bearer("k1"))
	assert.Equal(t, w.Code, 429)
	f := faultOf(t, w.Result(), w.Body.String())
	assert.Equal(t, f.Fault, fault.CapReached)
	assert.Equal(t, f.Ran, "no")
	assert.Assert(t, f.RetryAfterMs >= 200 && f.RetryAfterMs <= 400, "%d", f.RetryAfterMs)
	assert.DeepEqual(t, h.AccountRequests(), map[string]AccountRequests{"i/club": {Admitted: 2, Refused: 1}})
	assert.Equal(t, u.refunds, 0)

	h.Update(nil)
	u.left = 1
	assert.Equal(t, serveRequest(h, "/keyed/", bearer("k1")).Code, 503)
	assert.Equal(t, u.refunds, 1)
}

// The priority of an account precedes that of the route.
func TestAccountPriorityPrecedesThatOfTheRoute(t *testing.T) {
	priority := uint32(0)
	target := Target{Route: newRoute(&apiv1.RouteRecord{Spec: &apiv1.RouteSpec{Priority: 5}})}
	assert.Equal(t, target.rank(nil).Priority, 5)
	assert.Equal(t, target.rank(&Account{Spec: &apiv1.AccountSpec{}}).Priority, 5)
	assert.Equal(t, target.rank(&Account{Spec: &apiv1.AccountSpec{Priority: &priority}}).Priority, 0)
}

// Guards against a node that is cut off and accepts keys for good that were taken away in the
// meantime. Public routes need no key and go on.
func TestKeysThatCannotBeCheckedAreRefused(t *testing.T) {
	h := newTestHandler(gate.RevokeUnknown, newFakeNode(t, respondWith("ok")).Listener.Addr().String())
	trusted := true
	h.options.KeysTrusted = func() bool { return trusted }
	withAccounts(h, accountRecord("club", 1, "k1"))
	assert.Equal(t, serveRequest(h, "/keyed/", bearer("k1")).Code, 200)
	trusted = false
	w := serveRequest(h, "/keyed/", bearer("k1"))
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, faultOf(t, w.Result(), w.Body.String()).Ran, "no")
	assert.Equal(t, serveRequest(h, "/keyed/", bearer("k2")).Code, 401)
	assert.Equal(t, serveRequest(h, "/public/", nil).Code, 200)
	assert.Equal(t, serveRequest(h, "/public/", bearer("k1")).Code, 200)
}

// FuzzBearerKey checks that a key is one token without spaces that the field ends with.
func FuzzBearerKey(f *testing.F) {
	for _, seed := range []string{"", "Bearer", "Bearer x", "bearer  x ", "Bearer x y", "Basic x", " Bearer x", "Bearer\tx", "Bearer x\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, ok := bearerKey(http.Header{"Authorization": {value}})
		if !ok {
			return
		}
		if key == "" || strings.ContainsAny(key, " \t") || !strings.EqualFold(value[:6], "bearer") || !strings.HasSuffix(strings.TrimRight(value, " "), key) {
			t.Fatalf("key %q of %q", key, value)
		}
	})
}

// BenchmarkAuthenticate measures what the check of a key adds to a request.
//
//	go test ./internal/proxy -run '^$' -bench Authenticate
func BenchmarkAuthenticate(b *testing.B) {
	h := newTestHandler(gate.RevokeUnknown)
	withAccounts(h, accountRecord("club", 1, "a-key-of-twenty-byte"))
	r := httptest.NewRequest("GET", "http://any.example/keyed/", nil)
	r.Header = bearer("a-key-of-twenty-byte")
	target, _ := h.table.Load().Find(r)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := h.table.Load().authenticate(r, target); !ok {
			b.Fatal("refused")
		}
	}
}

// Guards against a request that runs with any key, which its backend server is told, once the last
// client account was removed.
func TestWithoutTheLastAccountNoKeyIsValid(t *testing.T) {
	record := &recordedRequests{}
	node := newFakeNode(t, record.answer)
	h := newTestHandler(gate.RevokeUnknown, node.Listener.Addr().String())
	withAccounts(h, accountRecord("", 1))
	for _, header := range []http.Header{nil, bearer("k1"), {"Authorization": {"Basic x"}}} {
		w := serveRequest(h, "/keyed/", header)
		assert.Equal(t, w.Code, 401)
		assert.Equal(t, faultOf(t, w.Result(), w.Body.String()).Fault, fault.UnknownKey)
	}
	assert.Equal(t, node.hits.Load(), int64(0))
	assert.Equal(t, serveRequest(h, "/public/", bearer("k1")).Code, 200)
	assert.Equal(t, len(record.last()["Authorization"]), 0, "the backend server gets the key")
}
