package directory

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func viewEntry(host string, sequence uint64) *apiv1.Entry {
	return &apiv1.Entry{Host: host, Service: "s", PeerAddress: "10.0.0.1:1", Incarnation: 1, Sequence: sequence, State: apiv1.EndpointState_ENDPOINT_STATE_SERVING}
}

// Guards against work that grows with the square of the fleet: while relays are set up, each
// node changes its relay several times, and every node hears of every such change.
func TestChangeOfRelayChangesNothingForRequests(t *testing.T) {
	v := NewView()
	assert.Assert(t, v.ApplyProvisional([]*apiv1.Entry{viewEntry("a", 1), viewEntry("b", 1)}))
	moved := viewEntry("a", 2)
	moved.Relay, moved.ChangedUnixMs = "b", 77
	before := v.ByService()["s"]
	assert.Assert(t, !v.ApplyProvisional([]*apiv1.Entry{moved}))
	assert.Assert(t, &before[0] == &v.ByService()["s"][0], "the list was built anew")
	assert.Assert(t, !v.ApplyProvisional([]*apiv1.Entry{viewEntry("a", 1)}), "an older entry")

	draining := viewEntry("a", 3)
	draining.State = apiv1.EndpointState_ENDPOINT_STATE_DRAINING
	assert.Assert(t, v.ApplyProvisional([]*apiv1.Entry{draining}))
	assert.Equal(t, before[0].State, apiv1.EndpointState_ENDPOINT_STATE_SERVING, "a list that was given out has changed")
	assert.Equal(t, v.ByService()["s"][0].State, apiv1.EndpointState_ENDPOINT_STATE_DRAINING)
}

// The lists must hold exactly the live entries, ordered by host, whatever comes and goes.
func TestListsFollowTheEntries(t *testing.T) {
	v := NewView()
	cursor := &apiv1.Cursor{Epoch: 1}
	for round := range 200 {
		var entries []*apiv1.Entry
		for i := range 5 {
			e := viewEntry(fmt.Sprint("h", (round*7+i*3)%23), uint64(round+1))
			e.Service = fmt.Sprint("s", (round+i)%3)
			if (round+i)%4 == 0 {
				e.State = apiv1.EndpointState_ENDPOINT_STATE_FAILED
			}
			entries = append(entries, e)
		}
		v.Apply(0, []string{"s0", "s1", "s2"}, entries, cursor, round%10 == 9)
		want := 0
		for _, e := range v.entries {
			if !IsTombstone(e) {
				want++
			}
		}
		got := 0
		for service, list := range v.ByService() {
			got += len(list)
			assert.Assert(t, len(list) > 0)
			for i, e := range list {
				assert.Assert(t, sameForRequests(e, v.entries[e.Host]))
				assert.Equal(t, e.Service, service)
				assert.Assert(t, !IsTombstone(e) && (i == 0 || list[i-1].Host < e.Host))
			}
		}
		assert.Equal(t, got, want)
	}
}

// Guards against a service that seems to have no endpoints: a relay that has just started
// answers before it knows all nodes.
func TestEntryUnknownToRelayIsRetained(t *testing.T) {
	services := []string{"s"}
	v := NewView()
	v.ApplyProvisional([]*apiv1.Entry{viewEntry("a", 1), viewEntry("b", 1)})
	v.Apply(0, services, []*apiv1.Entry{viewEntry("a", 1)}, &apiv1.Cursor{Epoch: 1}, true)
	assert.Equal(t, len(v.ByService()["s"]), 2)
	v.Reset()
	v.Apply(retention/2, services, nil, &apiv1.Cursor{Epoch: 2}, true)
	assert.Equal(t, len(v.ByService()["s"]), 2, "another relay that has just started")
	v.Apply(retention, services, nil, &apiv1.Cursor{Epoch: 2}, false)
	assert.Equal(t, len(v.ByService()["s"]), 1, "no relay has known the host for the whole retention")
	v.Apply(retention, services, []*apiv1.Entry{viewEntry("a", 1)}, &apiv1.Cursor{Epoch: 2}, false)
	v.Apply(4*retention, services, nil, &apiv1.Cursor{Epoch: 2}, false)
	assert.Equal(t, len(v.ByService()["s"]), 1, "the relay knows the host")
}

// Guards against a service that has no endpoints for a moment: a request was sent to a relay
// before the node needed the service, and is answered after a control replica has sent the
// service's entries.
func TestAnswerWithoutServiceRetainsItsEntries(t *testing.T) {
	v := NewView()
	v.ApplyProvisional([]*apiv1.Entry{viewEntry("a", 1)})
	v.Apply(0, nil, nil, &apiv1.Cursor{Epoch: 1}, true)
	assert.Equal(t, len(v.ByService()["s"]), 1)
	assert.Assert(t, !v.Covers([]string{"s"}), "the service is requested again")
	v.Apply(0, []string{"s"}, []*apiv1.Entry{viewEntry("a", 1)}, &apiv1.Cursor{Epoch: 1}, true)
	v.Apply(2*retention, []string{"s"}, nil, &apiv1.Cursor{Epoch: 1}, false)
	assert.Equal(t, len(v.ByService()["s"]), 1)
}

// Guards against requests to a host that has failed or left: a view retains its entry unless
// the relay's complete answer contains the tombstone.
func TestCompleteAnswerContainsRecentTombstones(t *testing.T) {
	r := NewRelay(&apiv1.RelayInfo{Host: "relay", DataCenter: "x"}, 1, 0)
	gone := viewEntry("a", 1)
	v := NewView()
	v.ApplyProvisional([]*apiv1.Entry{gone, viewEntry("b", 1)})
	departed := viewEntry("a", 2)
	departed.State = apiv1.EndpointState_ENDPOINT_STATE_DEPARTED
	r.merge(0, departed)
	r.merge(0, viewEntry("b", 1))
	entries, cursor, complete := r.Entries(recentTombstone-1, nil, []string{"s"}, true)
	assert.Equal(t, len(entries), 2)
	v.Apply(0, []string{"s"}, entries, cursor, complete)
	assert.Equal(t, len(v.ByService()["s"]), 1)
	entries, _, _ = r.Entries(recentTombstone, nil, []string{"s"}, true)
	assert.Equal(t, len(entries), 1, "an old tombstone")
}
