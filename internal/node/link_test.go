package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

// Guards against a node without a bandwidth in its settings that shows metrics of its link or
// paces responses, and against a mechanism that cannot be switched off while the node runs.
func TestLinkIsPacedOnlyWithABandwidth(t *testing.T) {
	n := newTestNode(t, "")
	assert.Assert(t, n.link == nil)
	assert.Assert(t, n.Vars()["link_transfers"] == nil)
	n.Disable(mechanism.Link)

	options := n.options
	options.LinkBytesPerSecond = 1e6
	n = New(options)
	for _, name := range []string{"link_transfers", "link_transfers_active", "link_backlog_ms", "link_waited"} {
		assert.Assert(t, n.Vars()[name] != nil, "no metric %s", name)
		assert.Assert(t, n.Vars()[name].String() != "")
	}
	assert.Assert(t, n.link.Enabled())
	n.Disable(mechanism.Link)
	assert.Assert(t, !n.link.Enabled())
	n.Disable(0)
	assert.Assert(t, n.link.Enabled())
}
