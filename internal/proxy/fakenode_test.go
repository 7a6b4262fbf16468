package proxy

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/internal/endpoint"
	"cactuspath/internal/hop"
)

// Helpers that run a Handler with fake endpoint nodes behind it.

// Update replaces the endpoints of every service.
func (h *Handler) Update(endpoints map[string][]balancer.Candidate) {
	changed := maps.Clone(endpoints)
	if changed == nil {
		changed = map[string][]balancer.Candidate{}
	}
	h.mu.RLock()
	for name := range h.services {
		if _, ok := endpoints[name]; !ok {
			changed[name] = nil
		}
	}
	h.mu.RUnlock()
	h.UpdateServices(changed)
}

type noLocal struct{}

func (noLocal) Endpoint(string) *endpoint.Endpoint { return nil }

// fakeNode is an endpoint's node that responds to hop requests with a function of the test.
type fakeNode struct {
	*httptest.Server
	hits atomic.Int64
}

func newFakeNode(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, req hop.Request)) *fakeNode {
	t.Helper()
	n := newUnstartedFakeNode(t, answer)
	n.Start()
	return n
}

func newUnstartedFakeNode(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, req hop.Request)) *fakeNode {
	t.Helper()
	n := &fakeNode{}
	n.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.hits.Add(1)
		req, err := hop.ParseRequest(r.Header.Get(hop.Header))
		if err != nil {
			panic(err)
		}
		answer(w, r, req)
	}))
	t.Cleanup(n.Close)
	return n
}

func writeReply(w http.ResponseWriter, req hop.Request, r hop.Reply) {
	r.ID = req.ID
	w.Header().Set(hop.Header, r.Encode())
	if r.Verdict != hop.Ran {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func respondWith(text string) func(http.ResponseWriter, *http.Request, hop.Request) {
	return func(w http.ResponseWriter, _ *http.Request, req hop.Request) {
		writeReply(w, req, hop.Reply{})
		_, _ = w.Write([]byte(text))
	}
}

// startProxy serves a handler with the nodes as endpoints of the service "pay".
func startProxy(t *testing.T, revoke gate.RevokeAnswer, nodes ...*fakeNode) *httptest.Server {
	t.Helper()
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.Listener.Addr().String())
	}
	return startProxyFor(t, revoke, addresses...)
}

// startProxyFor is startProxy for nodes with the given peer addresses.
func startProxyFor(t *testing.T, revoke gate.RevokeAnswer, addresses ...string) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(newTestHandler(revoke, addresses...))
	t.Cleanup(s.Close)
	return s
}

// newTestHandler returns a handler with the addresses as endpoints of the service "pay".
func newTestHandler(revoke gate.RevokeAnswer, addresses ...string) *Handler {
	h := New(Options{Host: "front", Local: noLocal{}, Counters: NewCounters(), ObserveRevision: func(uint64) {}, Revision: func() uint64 { return 1 },
		Subscribe:       func(string) {},
		DiscoverService: func(context.Context, string) error { return nil },
		Revoke: func(context.Context, string, uint64, gate.AttemptID, time.Duration) gate.RevokeAnswer {
			return revoke
		}})
	h.Configure([]*apiv1.ServiceRecord{{Name: "pay", Spec: &apiv1.ServiceSpec{Hosts: []string{"pay.example"}, Slots: 4, TimeoutMs: 5000, MaxAttempts: 3,
		RetryPerMille: 100, IdempotentMethods: []string{"GET"}, MaxBodyBytes: 1 << 20}}}, nil, nil)
	var list []balancer.Candidate
	for i, address := range addresses {
		list = append(list, balancer.Candidate{Host: string(rune('a' + i)), PeerAddress: address, Incarnation: 1, Slots: 4})
	}
	h.Update(map[string][]balancer.Candidate{"pay": list})
	return h
}

func send(t *testing.T, s *httptest.Server, method, path, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, s.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "pay.example"
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(text)
}

func faultOf(t *testing.T, resp *http.Response, text string) Fault {
	t.Helper()
	var f Fault
	assert.NilError(t, json.Unmarshal([]byte(text), &f))
	assert.Equal(t, resp.Header.Get(fault.Header), string(f.Fault))
	return f
}
