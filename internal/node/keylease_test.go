package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A node must stop trusting its keys a lease after the last word of a control replica, also if
// that came through a relay and was old then.
func TestKeysAreNotTrustedForGood(t *testing.T) {
	n := newTestNode(t, "")
	n.options.KeyLease = time.Minute
	n.start = time.Now().Add(-time.Hour)
	assert.Assert(t, !n.keysTrusted(), "nothing was heard for an hour")
	n.controlHeard(50 * time.Second)
	assert.Assert(t, n.keysTrusted())
	n.controlHeard(2 * time.Minute)
	assert.Assert(t, n.keysTrusted(), "older news took the place of newer")
	n.start = n.start.Add(-30 * time.Second)
	assert.Assert(t, !n.keysTrusted())
	n.options.KeyLease = 0
	assert.Assert(t, n.keysTrusted())
}
