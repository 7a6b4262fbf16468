package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

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

// Guards against a response for every change while a fleet starts. A node that waits for entries
// must get those that change within a batch together, without waiting for the end of the hold, and
// nothing while nothing changes.
func TestEntriesAreSentInBatches(t *testing.T) {
	p := newPresence()
	for i := range 1000 {
		p.put(newEntry(fmt.Sprint("host-", i), 1, serving))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	begin := time.Now()
	p.awaitChange(ctx, nil)
	list, cursor := p.changedSince(nil)
	assert.Equal(t, len(list), 1000)
	assert.Assert(t, time.Since(begin) < maxEntryBatch/2, "the first response waited")

	begin = time.Now()
	go func() {
		for i := range 20 {
			time.Sleep(5 * time.Millisecond)
			p.put(newEntry(fmt.Sprint("host-", i), 2, serving))
		}
	}()
	p.awaitChange(ctx, cursor)
	list, cursor = p.changedSince(cursor)
	assert.Equal(t, len(list), 20, "the changes came in several responses")
	assert.Assert(t, time.Since(begin) >= maxEntryBatch)

	quiet, stop := context.WithTimeout(ctx, 2*maxEntryBatch)
	defer stop()
	begin = time.Now()
	p.awaitChange(quiet, cursor)
	assert.Assert(t, time.Since(begin) >= 2*maxEntryBatch)
	go func() {
		time.Sleep(2 * maxEntryBatch)
		p.put(newEntry("host-1", 3, serving))
	}()
	begin = time.Now()
	p.awaitChange(ctx, cursor)
	assert.Assert(t, time.Since(begin) >= 2*maxEntryBatch && time.Since(begin) < 4*time.Second, "a change after a quiet time was not sent at once")
}
