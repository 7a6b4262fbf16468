package proxy

import (
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/balancer"
	"cactuspath/internal/hop"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// TestDisconnectedCallerIsNotServed guards against spending processor time on requests
// whose callers disconnected before they were read.
func TestDisconnectedCallerIsNotServed(t *testing.T) {
	n := newFakeNode(t, answers("ok"))
	h := New(Options{Host: "front", Local: noLocal{}, Counters: NewCounters(), Heard: func(uint64) {}, Revision: func() uint64 { return 1 },
		Dialect: &hop.Dialect{}, Need: func(context.Context, string) error { return nil }})
	h.Configure([]*apiv1.ServiceRecord{{Name: "pay", Spec: &apiv1.ServiceSpec{Hosts: []string{"pay.example"}, Slots: 4, TimeoutMs: 5000, MaxAttempts: 3}}}, nil)
	h.Update(map[string][]balancer.Candidate{"pay": {{Host: "a", PeerAddress: n.Listener.Addr().String(), Incarnation: 1, Slots: 4}}})
	ctx, cancel := context.WithCancel(t.Context())
	send := func() {
		r := httptest.NewRequestWithContext(ctx, "GET", "http://pay.example/", nil)
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	send()
	assert.Equal(t, n.hits.Load(), int64(1))
	cancel()
	before := h.request.Load()
	send()
	assert.Equal(t, h.options.Counters.Canceled.Value(), int64(1))
	assert.Equal(t, h.request.Load(), before, "an attempt was prepared")
}
