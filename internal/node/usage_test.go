package node

import (
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/usage"
)

// Guards against nodes that select different keepers of an account, since some know the
// entries of a service without routes and others do not: a host that is not a keeper by its
// own selection does not answer, and requests below the cap were refused as isolated.
func TestKeepersServeRoutedServices(t *testing.T) {
	entry := func(host string, state apiv1.EndpointState) *apiv1.Entry {
		return &apiv1.Entry{Host: host, DataCenter: "x", State: state}
	}
	serving, draining := apiv1.EndpointState_ENDPOINT_STATE_SERVING, apiv1.EndpointState_ENDPOINT_STATE_DRAINING
	known := map[string][]*apiv1.Entry{"live": {entry("b", serving), entry("a", serving), entry("c", draining)}}
	members := []usage.Member{{Host: "a", DataCenter: "x"}, {Host: "b", DataCenter: "x"}}
	assert.DeepEqual(t, usageMembers(known, []string{"live"}), members)
	known["ledger"] = []*apiv1.Entry{entry("d", serving)}
	assert.DeepEqual(t, usageMembers(known, []string{"live"}), members)
	// Without routes, all services are called by name.
	assert.DeepEqual(t, usageMembers(known, nil), append(members, usage.Member{Host: "d", DataCenter: "x"}))
}

// Guards against accounts without any keeper, whose requests would be refused, while no routed
// service has a node that serves.
func TestKeepersServeAnyServiceIfNoneIsRouted(t *testing.T) {
	known := map[string][]*apiv1.Entry{
		"live":   {{Host: "a", DataCenter: "x", State: apiv1.EndpointState_ENDPOINT_STATE_DRAINING}},
		"ledger": {{Host: "d", DataCenter: "x", State: apiv1.EndpointState_ENDPOINT_STATE_SERVING}},
	}
	assert.DeepEqual(t, usageMembers(known, []string{"live"}), []usage.Member{{Host: "d", DataCenter: "x"}})
}
