package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func newEntry(host string, incarnation uint64, state apiv1.EndpointState) *apiv1.Entry {
	return &apiv1.Entry{Host: host, Incarnation: incarnation, State: state}
}

func hosts(list []*apiv1.Entry) []string {
	names := []string{}
	for _, e := range list {
		names = append(names, e.Host)
	}
	return names
}

const serving, departed = apiv1.EndpointState_ENDPOINT_STATE_SERVING, apiv1.EndpointState_ENDPOINT_STATE_DEPARTED

// Guards against sending all entries on each poll to a node that waits for its relay, which polls
// twenty times per second. Each entry must be sent once, and again after a change.
func TestWaitingNodeReceivesEachChangeOnce(t *testing.T) {
	p := newPresence()
	p.put(newEntry("a", 1, serving))
	p.put(newEntry("b", 1, serving))
	list, cursor := p.changedSince(nil)
	assert.DeepEqual(t, hosts(list), []string{"a", "b"})
	list, cursor = p.changedSince(cursor)
	assert.DeepEqual(t, hosts(list), []string{})
	p.put(newEntry("a", 1, serving))
	p.put(newEntry("b", 2, serving))
	p.put(newEntry("c", 1, serving))
	list, cursor = p.changedSince(cursor)
	assert.DeepEqual(t, hosts(list), []string{"b", "c"})
	p.put(newEntry("b", 3, departed))
	list, _ = p.changedSince(cursor)
	assert.DeepEqual(t, hosts(list), []string{"b"})
	list, _ = p.changedSince(nil)
	assert.DeepEqual(t, hosts(list), []string{"a", "c"})
}

// Guards against entries that a restarted replica does not send. Its versions begin at zero again,
// so a cursor that a node received from the earlier process is higher than the versions of new
// entries.
func TestCursorOfEarlierProcessHidesNothing(t *testing.T) {
	before := newPresence()
	for i := range 50 {
		before.put(newEntry(fmt.Sprint(i), 1, serving))
	}
	_, cursor := before.changedSince(nil)
	after := newPresence()
	after.put(newEntry("a", 1, serving))
	list, _ := after.changedSince(cursor)
	assert.DeepEqual(t, hosts(list), []string{"a"})
}
