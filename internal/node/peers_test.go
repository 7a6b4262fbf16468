package node

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against memory that grows with each address that another process names in a probe.
func TestPeerClientsAreLimited(t *testing.T) {
	p := newPeerClients(nil)
	for i := range 3 * maxPeerClients {
		p.at(fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256))
	}
	assert.Assert(t, len(p.clients) <= maxPeerClients, "%d clients are kept", len(p.clients))
}
