package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that start in a data centre after the operator evacuated it:
// waiting requests move or are refused as not run, running ones finish.
func TestEvacuatedGateStartsNothing(t *testing.T) {
	for _, sibling := range []bool{true, false} {
		g := New("a", Config{Slots: 1, Queue: 8, Siblings: true, ReportsPerSecond: 1000, BytesPerSecond: 1 << 20}, 0)
		if sibling {
			setSibling(g, 0, "b", Load{Slots: 1, Service: time.Minute})
		}
		g.Arrive(0, request(1))
		g.Arrive(0, request(2))
		waiting, want := g.SetEvacuated(ms, true), Refused
		if sibling {
			want = Moved
		}
		assert.DeepEqual(t, kinds(waiting), []EventKind{want})
		assert.DeepEqual(t, kinds(g.Arrive(2*ms, request(3))), []EventKind{want})
		if !sibling {
			assert.Equal(t, waiting[0].Reason, Evacuated)
		}
		assert.Equal(t, len(kinds(g.Finish(3*ms, 1, Completed))), 0)
		assert.Assert(t, g.Load(3*ms).Draining)
	}
}

// Guards against filling a data centre immediately after its evacuation ends: its
// servers have had no load to keep them warm, and their own reports of being cold may
// not have arrived yet.
func TestServerIsColdAfterAnEvacuation(t *testing.T) {
	g := coldGate(0)
	g.SetEvacuated(0, true)
	g.SetEvacuated(time.Second, false)
	assert.Equal(t, g.Load(time.Second).ColdStarts, coldLimit)
	g.ObserveCold(1100*ms, 0)
	assert.Equal(t, g.Load(1100*ms).ColdStarts, 0)
}

// Guards against sending an upload whose body arrives after its gate was evacuated: the
// request has not been sent to the server yet and must be refused.
func TestBodyThatComesAfterAnEvacuationIsNotSent(t *testing.T) {
	g := New("a", Config{Slots: 2, Queue: 8}, 0)
	assert.Equal(t, len(startsOf(g.Arrive(0, request(1)))), 1)
	g.SetEvacuated(ms, true)
	events := g.ReconsiderAfterBody(2*ms, 1)
	assert.DeepEqual(t, kinds(events), []EventKind{Refused})
	assert.Equal(t, events[0].Reason, Evacuated)
	assert.Equal(t, g.InFlight(), 0)
}
