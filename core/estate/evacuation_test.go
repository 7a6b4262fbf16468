package estate

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/rollout"
)

func evacuationChange(id, dataCenter string, evacuated bool) *apiv1.Change {
	return &apiv1.Change{Id: id, Operator: "op", Kind: &apiv1.Change_DataCenter{DataCenter: &apiv1.DataCenterChange{DataCenter: dataCenter, Evacuated: evacuated}}}
}

func submitRevision(id string, revision, base uint64) *apiv1.Change {
	text := fmt.Sprintf(`{"institution": "a", "revision": %d, "services": {"x": {"slots": 1}}}`, revision)
	return &apiv1.Change{Id: id, Kind: &apiv1.Change_Submit{Submit: &apiv1.SubmitChange{Institution: "a", BaseRevision: base, TextGzip: Gzip([]byte(text))}}}
}

// Guards against refusing a text because an evacuation has taken its revision number:
// operators number their texts without knowing the revisions that evacuations take.
func TestEvacuationDoesNotConsumeTextRevision(t *testing.T) {
	s := NewState()
	assert.Equal(t, s.Apply(1, submitRevision("one", 5, 0)).Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
	for i, on := range []bool{true, false, true} {
		assert.Equal(t, s.Apply(uint64(2+i), evacuationChange(fmt.Sprint("e", i), "dc", on)).Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
	}
	assert.Equal(t, s.Document("a").Revision, uint64(5))
	next := s.Apply(9, submitRevision("two", 6, 5))
	assert.Equal(t, next.Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
	assert.Equal(t, next.Revision, uint64(6))
	assert.Equal(t, s.Document("a").Revision, uint64(6))
	assert.Equal(t, s.Apply(10, submitRevision("three", 6, 6)).Outcome, apiv1.Outcome_OUTCOME_REFUSED)
}

// Guards against an evacuation that is lost or reappears. After any sequence of
// evacuations, resent changes, submissions, drains, snapshots and deltas to nodes that
// are behind, each replica and each node that has caught up must have the last
// evacuation state of every data centre, and revisions must never decrease.
func TestEvacuationsInAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, node := NewState(), rollout.NewRecords()
		want := map[string]bool{}
		textRevision := uint64(0)
		var sent []*apiv1.Change
		for i := range 60 {
			index := uint64(i + 1)
			dc := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre")
			before := s.Revision()
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				change := evacuationChange(fmt.Sprint("e", i), dc, rapid.Bool().Draw(t, "evacuated"))
				assert.Equal(t, s.Apply(index, change).Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
				want[dc] = change.GetDataCenter().Evacuated
				sent = append(sent, change)
			case 2:
				if len(sent) > 0 {
					// A resent change gets its first outcome and changes nothing.
					resent := rapid.SampledFrom(sent).Draw(t, "resent")
					assert.Equal(t, s.Apply(index, resent).Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
				}
			case 3:
				next := textRevision + uint64(rapid.IntRange(1, 3).Draw(t, "step"))
				assert.Equal(t, s.Apply(index, submitRevision(fmt.Sprint("t", i), next, textRevision)).Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
				textRevision = next
			case 4:
				s.Apply(index, &apiv1.Change{Id: fmt.Sprint("h", i), Kind: &apiv1.Change_Host{Host: &apiv1.HostChange{Host: "h", Draining: i%2 == 0}}})
			case 5:
				restored := NewState()
				restored.Restore(s.Snapshot())
				s = restored
			default:
				node.Apply(s.Records().DeltaFor(node.Revision(), nil, nil, "h"))
			}
			assert.Assert(t, s.Revision() >= before)
			for name, evacuated := range want {
				assert.Equal(t, s.Records().Evacuated(name), evacuated, name)
			}
			if textRevision > 0 {
				assert.Equal(t, s.Document("a").Revision, textRevision)
			}
		}
		node.Apply(s.Records().DeltaFor(node.Revision(), nil, nil, "h"))
		for name, evacuated := range want {
			assert.Equal(t, node.Evacuated(name), evacuated, name)
		}
	})
}
