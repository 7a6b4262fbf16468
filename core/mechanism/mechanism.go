// Package mechanism names the parts of the decision logic that can be disabled
// individually: in a process by its settings, if one of them causes harm, and in the
// emulator, to determine the benefit of each.
package mechanism

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Set is a set of mechanisms. The zero Set is empty.
type Set uint32

// Mechanisms.
const (
	// Moves lets gates pass requests on to siblings that would finish them sooner. A
	// gate whose server is draining or unreachable passes them on even if Moves is
	// disabled.
	Moves Set = 1 << iota
	// Holds lets a gate hold a request back while its server is slow and a sibling is
	// not.
	Holds
	// Hints lets a gate name a sibling for a stuck request, so that its caller's node
	// sends the request a second time.
	Hints
	// Contention lets a gate leave the last slots unused if high concurrency slows the
	// server down.
	Contention
	// Ranks orders waiting requests by priority and aim.
	Ranks
	// Aims moves waiting requests that miss their aim behind the others.
	Aims
	// KeptSlots reserves slots for short requests.
	KeptSlots
	// SiblingsFull tells callers' nodes that no sibling has capacity either.
	SiblingsFull
	// Outlier moves requests away from a server that fails while its siblings do not.
	Outlier
	// PersistentSlowdown distinguishes a persistent slowdown from a momentary one.
	PersistentSlowdown
	// Cold trusts a server's announcement of how long it stays slow after its start.
	Cold
	// ReportedSlowdown uses the speed that servers announce; without it the speed is
	// estimated from completions.
	ReportedSlowdown
	// FairShares serves waiting callers in turn.
	FairShares
	// Near prefers endpoints in the caller's data centre.
	Near
	// Silence keeps requests away from hosts that send no sign of life.
	Silence
	// AskFirst holds larger bodies back until a gate requests them.
	AskFirst
	// SpeedModel learns whether requests keep the speed of their start; without it
	// their progress is assumed to follow the speed of their server.
	SpeedModel
	// Shedding refuses a share of requests while the process is short of processor
	// time.
	Shedding
)

var names = map[Set]string{
	Moves: "moves", Holds: "holds", Hints: "hints", Contention: "crowd", Ranks: "ranks", Aims: "aims", KeptSlots: "kept-slots", SiblingsFull: "everywhere",
	Outlier: "outlier", PersistentSlowdown: "lasting", Cold: "cold", ReportedSlowdown: "told", FairShares: "fair-shares", Near: "near", Silence: "silence", AskFirst: "ask-first", SpeedModel: "pace", Shedding: "shedding",
}

// Has reports whether the set contains a mechanism.
func (s Set) Has(m Set) bool { return s&m != 0 }

// Names returns the names of the mechanisms in the set, in alphabetical order.
func (s Set) Names() []string {
	list := []string{}
	for m, name := range names {
		if s.Has(m) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// All returns the set of all mechanisms.
func All() Set {
	all := Set(0)
	for m := range names {
		all |= m
	}
	return all
}

// ErrUnknown is wrapped by the errors of Parse.
var ErrUnknown = errors.New("no such mechanism")

// Parse returns the set of the mechanisms with the given names.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		m := find(name)
		if m == 0 {
			return 0, fmt.Errorf("%w: %q; valid names are %s", ErrUnknown, name, strings.Join(All().Names(), ", "))
		}
		s |= m
	}
	return s, nil
}

func find(name string) Set {
	for m, n := range names {
		if n == name {
			return m
		}
	}
	return 0
}
