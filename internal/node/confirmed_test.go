package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Guards against responses that confirm the configuration of now though they were under way for
// long, as behind others on a full link.
func TestConfirmationIsAsOldAsItsResponse(t *testing.T) {
	n := newTestNode(t, "")
	assert.Assert(t, n.sinceControlHeard() > time.Hour, "nothing was heard")
	n.configurationConfirmed(time.Now().Add(-3*time.Second), 800, 100*time.Millisecond)
	age := n.sinceControlHeard()
	assert.Assert(t, age >= 2300*time.Millisecond && age < 2800*time.Millisecond, "the confirmation is %v old", age)
	n.configurationConfirmed(time.Now(), 800, 0)
	assert.Assert(t, n.sinceControlHeard() >= 0)
}

// Guards against a relay's word that counts for a node without the relay's newest revision: a
// relay sends no configuration to nodes that watch control replicas.
func TestRelayWithANewerRevisionDoesNotConfirmTheConfiguration(t *testing.T) {
	n := newTestNode(t, "")
	n.member.currentRelay = n.relay.info()
	n.applyDelta(routeDelta(1, "/a/"), true, "test")
	n.member.applyResponse(nil, time.Now(), &apiv1.NodeSyncResponse{Revision: 2, ConfirmedAgeMs: 10})
	assert.Assert(t, n.sinceControlHeard() > time.Hour, "a configuration that is behind was confirmed")
	n.member.applyResponse(nil, time.Now(), &apiv1.NodeSyncResponse{Revision: 1, ConfirmedAgeMs: 10})
	assert.Assert(t, n.sinceControlHeard() < time.Second)
}
