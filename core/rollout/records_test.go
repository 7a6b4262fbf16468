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

// A node that was away hears from relays that are behind or ahead, in any
// order, twice or late. Its revision must never move back, nor may any one
// service go back to an older record.
func TestNodeNeverMovesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewRecords()
		var history []*Records
		for rev := uint64(1); rev <= 12; rev++ {
			specs := map[string]*apiv1.ServiceSpec{}
			for i := range rapid.IntRange(0, 4).Draw(t, "services") {
				specs[fmt.Sprint(i)] = spec(uint32(rapid.IntRange(1, 3).Draw(t, "slots")))
			}
			source.Replace("a", Contents{Services: specs}, rev)
			copied := NewRecords()
			copied.Restore(source.Snapshot())
			history = append(history, copied)
		}
		node := NewRecords()
		needed := []string{"0", "1"}
		stamps := map[string]uint64{}
		var late []*apiv1.EstateDelta
		for range 40 {
			relay := history[rapid.IntRange(0, len(history)-1).Draw(t, "relay")]
			before := node.Revision()
			delta := relay.DeltaFor(before, needed, nil, "host")
			late = append(late, delta)
			if rapid.Bool().Draw(t, "late") {
				delta = late[rapid.IntRange(0, len(late)-1).Draw(t, "which")]
			}
			node.Apply(delta)
			if node.Revision() < before {
				t.Fatalf("moved back from %d to %d", before, node.Revision())
			}
			for _, s := range node.services {
				if s.ChangedAt < stamps[s.Name] {
					t.Fatalf("service %s went back from %d to %d", s.Name, stamps[s.Name], s.ChangedAt)
				}
				stamps[s.Name] = s.ChangedAt
			}
		}
	})
}

// A node that missed any number of changes gets one delta that brings it to the
// newest, as if it had seen each.
func TestOneDeltaMakesUpForAllMissed(t *testing.T) {
	source, follower, late := NewRecords(), NewRecords(), NewRecords()
	for rev := uint64(1); rev <= 500; rev++ {
		source.Replace("a", Contents{Services: map[string]*apiv1.ServiceSpec{"x": spec(uint32(rev%7 + 1)), fmt.Sprint("s", rev%5): spec(1)}}, rev)
		follower.Apply(source.Delta(follower.Revision()))
	}
	late.Apply(source.Delta(0))
	assert.DeepEqual(t, late.Snapshot().String(), source.Snapshot().String())
	assert.DeepEqual(t, follower.Snapshot().String(), source.Snapshot().String())
}

// A node needs a service anew that changed before its revision: the record must
// come whole although its stamp is old.
func TestNewlyNeededServiceComesWhole(t *testing.T) {
	source, node := NewRecords(), NewRecords()
	source.Replace("a", Contents{Services: map[string]*apiv1.ServiceSpec{"x": spec(5), "y": spec(6)}}, 1)
	node.Apply(source.DeltaFor(0, []string{"x"}, nil, ""))
	assert.Assert(t, node.Service("y").Partial)
	node.Apply(source.DeltaFor(1, []string{"x", "y"}, []string{"y"}, ""))
	assert.Assert(t, !node.Service("y").Partial)
	assert.Equal(t, node.Service("y").Spec.Slots, uint32(6))
}

// A node asks for a service anew and gets its record whole; then an answer to an
// earlier request arrives late, of the same revision and with the routes alone.
// It must not take the record's rest away again.
func TestLatePartialRecordDoesNotReplaceAWholeOne(t *testing.T) {
	source, node := NewRecords(), NewRecords()
	source.Replace("a", Contents{Services: map[string]*apiv1.ServiceSpec{"x": spec(5), "y": spec(6)}}, 1)
	late := source.DeltaFor(0, []string{"x"}, nil, "")
	node.Apply(source.DeltaFor(0, []string{"x", "y"}, nil, ""))
	node.Apply(late)
	assert.Assert(t, !node.Service("y").Partial)
}
