package consensus

import (
	"fmt"
	"sort"

	"github.com/anishathalye/porcupine"
)

// register is the replicated state machine of the tests: a revision that a change
// increments only if it names the current revision as its base. The outcome of
// every change is stored, so that a resubmitted change has the same outcome.
type register struct {
	revision uint64
	outcomes map[string]bool
}

func (s *register) apply(data []byte) (id string, accepted bool) {
	var base uint64
	_, _ = fmt.Sscanf(string(data), "%s %d", &id, &base)
	if outcome, seen := s.outcomes[id]; seen {
		return id, outcome
	}
	accepted = base == s.revision
	if accepted {
		s.revision++
	}
	s.outcomes[id] = accepted
	return id, accepted
}

func (s *register) snapshot() []byte {
	text := fmt.Sprintf("%d", s.revision)
	ids := make([]string, 0, len(s.outcomes))
	for id := range s.outcomes {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		text += fmt.Sprintf(" %s=%t", id, s.outcomes[id])
	}
	return []byte(text)
}

// operation is one submit or read of a client, as recorded for the linearizability check.
type operation struct {
	client   int
	submit   bool
	id       string
	base     uint64
	started  int64
	finished int64
	// result is the revision read or, for a submit, 1 if it was accepted.
	result  uint64
	unknown bool
}

// registerModel is the sequential specification for the linearizability check.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, op := state.(uint64), input.(*operation)
		if !op.submit {
			return op.unknown || op.result == revision, revision
		}
		if op.unknown {
			if op.base == revision {
				return true, revision + 1
			}
			return true, revision
		}
		accepted := op.base == revision
		if accepted != (op.result == 1) {
			return false, revision
		}
		if accepted {
			return true, revision + 1
		}
		return true, revision
	},
}

func (x *explorer) checkLinearizable() {
	var history []porcupine.Operation
	for _, op := range x.operations {
		if op.finished == 0 {
			if !op.submit {
				continue
			}
			op.unknown = true
			op.finished = 1 << 40
		}
		history = append(history, porcupine.Operation{ClientId: op.client, Input: op, Call: op.started, Output: nil, Return: op.finished})
	}
	if !porcupine.CheckOperations(registerModel, history) {
		x.t.Fatalf("seed %d: the history is not linearizable", x.seed)
	}
}
