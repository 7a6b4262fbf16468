package rollout

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func spec(slots uint32) *apiv1.ServiceSpec {
	return &apiv1.ServiceSpec{Slots: slots, Hosts: []string{"h"}}
}

// Guards against a node that reverts to an older configuration. The node receives deltas
// from relays that are behind or ahead of it, in any order, repeated or delayed. Neither
// its revision nor the ChangedAt of any service record may decrease.
func TestNodeNeverMovesBackToOlderRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewRecords()
		var history []*Records
		for rev := uint64(1); rev <= 12; rev++ {
			specs := map[string]*apiv1.ServiceSpec{}
			for i := range rapid.IntRange(0, 4).Draw(t, "services") {
				specs[fmt.Sprint(i)] = spec(uint32(rapid.IntRange(1, 3).Draw(t, "slots")))
			}
			source.Replace("a", Contents{Services: specs}, rev)
			snapshot := NewRecords()
			snapshot.Restore(source.Snapshot())
			history = append(history, snapshot)
		}
		node := NewRecords()
		needed := []string{"0", "1"}
		newest := map[string]uint64{}
		var sent []*apiv1.EstateDelta
		for range 40 {
			relay := history[rapid.IntRange(0, len(history)-1).Draw(t, "relay")]
			before := node.Revision()
			delta := relay.DeltaFor(before, needed, nil, "host")
			sent = append(sent, delta)
			if rapid.Bool().Draw(t, "late") {
				delta = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
			}
			node.Apply(delta)
			if node.Revision() < before {
				t.Fatalf("node reverted from revision %d to %d", before, node.Revision())
			}
			for _, s := range node.services {
				if s.ChangedAt < newest[s.Name] {
					t.Fatalf("service %s reverted from revision %d to %d", s.Name, newest[s.Name], s.ChangedAt)
				}
				newest[s.Name] = s.ChangedAt
			}
		}
	})
}

// A node that missed any number of changes must have the same records after a single
// delta as a node that applied every change.
func TestOneDeltaReplacesAllMissedDeltas(t *testing.T) {
	source, follower, late := NewRecords(), NewRecords(), NewRecords()
	for rev := uint64(1); rev <= 500; rev++ {
		source.Replace("a", Contents{Services: map[string]*apiv1.ServiceSpec{"x": spec(uint32(rev%7 + 1)), fmt.Sprint("s", rev%5): spec(1)}}, rev)
		follower.Apply(source.Delta(follower.Revision()))
	}
	late.Apply(source.Delta(0))
	assert.DeepEqual(t, late.Snapshot().String(), source.Snapshot().String())
	assert.DeepEqual(t, follower.Snapshot().String(), source.Snapshot().String())
}

// A node needs a service that it did not need before and that last changed before the
// node's revision. The delta must contain the full record although its ChangedAt is not
// above that revision.
func TestNewlyNeededServiceIsSentInFull(t *testing.T) {
	source, node := NewRecords(), NewRecords()
	source.Replace("a", Contents{Services: map[string]*apiv1.ServiceSpec{"x": spec(5), "y": spec(6)}}, 1)
	node.Apply(source.DeltaFor(0, []string{"x"}, nil, ""))
	assert.Assert(t, node.Service("y").Partial)
	node.Apply(source.DeltaFor(1, []string{"x", "y"}, []string{"y"}, ""))
	assert.Assert(t, !node.Service("y").Partial)
	assert.Equal(t, node.Service("y").Spec.Slots, uint32(6))
}

// A node gets the full record of a newly needed service. Then it gets the delayed response
// to an earlier request, with a partial record of the same service and revision. The
// partial record must not replace the full one.
func TestLatePartialRecordDoesNotReplaceFullRecord(t *testing.T) {
	source, node := NewRecords(), NewRecords()
	source.Replace("a", Contents{Services: map[string]*apiv1.ServiceSpec{"x": spec(5), "y": spec(6)}}, 1)
	late := source.DeltaFor(0, []string{"x"}, nil, "")
	node.Apply(source.DeltaFor(0, []string{"x", "y"}, nil, ""))
	node.Apply(late)
	assert.Assert(t, !node.Service("y").Partial)
}
