package replica

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func claim(host string, incarnation uint64, state apiv1.EndpointState) *apiv1.Entry {
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

// A node that waits for its relay asks twenty times a second. It must hear of each
// other node once, and of a change to it, not of all of them each time.
func TestWaitingNodeHearsOfEachChangeOnce(t *testing.T) {
	p := newPresence()
	p.put(claim("a", 1, serving))
	p.put(claim("b", 1, serving))
	list, heard := p.since(nil)
	assert.DeepEqual(t, hosts(list), []string{"a", "b"})
	list, heard = p.since(heard)
	assert.DeepEqual(t, hosts(list), []string{})
	p.put(claim("a", 1, serving))
	p.put(claim("b", 2, serving))
	p.put(claim("c", 1, serving))
	list, heard = p.since(heard)
	assert.DeepEqual(t, hosts(list), []string{"b", "c"})
	p.put(claim("b", 3, departed))
	list, _ = p.since(heard)
	assert.DeepEqual(t, hosts(list), []string{"b"})
	list, _ = p.since(nil)
	assert.DeepEqual(t, hosts(list), []string{"a", "c"})
}

// The replica starts again and counts from the beginning. A cursor of its process
// before must not hide what it is told anew.
func TestCursorOfAnEarlierProcessHidesNothing(t *testing.T) {
	before := newPresence()
	for i := range 50 {
		before.put(claim(fmt.Sprint(i), 1, serving))
	}
	_, heard := before.since(nil)
	after := newPresence()
	after.put(claim("a", 1, serving))
	list, _ := after.since(heard)
	assert.DeepEqual(t, hosts(list), []string{"a"})
}
