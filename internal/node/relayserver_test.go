package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Guards against a relay whose planned stop waits for the responses that it holds until it has
// updates for other relays and nodes: a late stop would end with these responses cut off.
func TestStoppingRelayHoldsNoResponses(t *testing.T) {
	n := newTestNode(t, "")
	n.relay.start()
	first, err := n.relay.exchange(t.Context(), &apiv1.ExchangeRequest{FromHost: "other"})
	assert.NilError(t, err)
	held := make(chan error)
	began := time.Now()
	go func() {
		_, err := n.relay.exchange(t.Context(), &apiv1.ExchangeRequest{FromHost: "other", Cursor: first.Cursor, HoldMs: uint32(maxSyncHold.Milliseconds())})
		held <- err
	}()
	select {
	case <-held:
		t.Fatal("the response was not held")
	case <-time.After(50 * time.Millisecond):
	}
	n.relay.releaseHeld()
	assert.NilError(t, <-held)
	assert.Assert(t, time.Since(began) < maxSyncHold/2, "held for %v", time.Since(began))
}
