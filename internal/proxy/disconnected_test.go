package proxy

import (
	"context"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
)

// TestDisconnectedCallerIsNotServed guards against spending processor time on requests
// whose callers disconnected before they were read.
func TestDisconnectedCallerIsNotServed(t *testing.T) {
	n := newFakeNode(t, respondWith("ok"))
	h := newTestHandler(gate.RevokeUnknown, n.Listener.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	send := func() {
		r := httptest.NewRequestWithContext(ctx, "GET", "http://pay.example/", nil)
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	send()
	assert.Equal(t, n.hits.Load(), int64(1))
	cancel()
	before := h.requestSequence.Load()
	send()
	assert.Equal(t, h.options.Counters.Canceled.Value(), int64(1))
	assert.Equal(t, h.requestSequence.Load(), before, "an attempt was prepared")
}
