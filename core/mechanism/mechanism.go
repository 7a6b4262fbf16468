// Package mechanism names the parts of the decision code that can be switched off one
// by one: in a process by its settings, when one of them does harm, and in the
// emulator, to find out what each is worth.
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
	// Moves has gates pass requests on to siblings that would finish them sooner. A
	// gate whose server is leaving or cannot be reached passes them on all the same.
	Moves Set = 1 << iota
	// Holds has a gate keep a request back while its server is slow and a sibling is not.
	Holds
	// Hints has a gate name a sibling for a request that got stuck, so that its caller's
	// node sends it a second time.
	Hints
	// Crowd has a gate leave the last slots empty where a crowd slows the server.
	Crowd
	// Ranks orders waiting requests by priority and aim.
	Ranks
	// Aims puts waiting requests that miss their aim behind the others.
	Aims
	// KeptSlots keeps slots for short requests.
	KeptSlots
	// Everywhere tells callers' nodes that no sibling has room either.
	Everywhere
	// Outlier moves requests away from a server that fails where its siblings do not.
	Outlier
	// Lasting tells a slowness that stays from one that is over in a moment.
	Lasting
	// Cold believes a server that announces how long it stays slow after its start.
	Cold
	// Told goes by what servers say of their speed; without it completions tell.
	Told
	// FairShares serves waiting callers in turn.
	FairShares
	// Near prefers endpoints in the caller's data centre.
	Near
	// Silence keeps requests away from hosts that give no sign of life.
	Silence
	// AskFirst holds larger bodies back until a gate wants them.
	AskFirst
	// Pace learns whether requests keep the pace of their start; without it their work
	// is taken to follow the speed of their server.
	Pace
	// Shedding refuses a share of requests while the process is short of processor time.
	Shedding
)

var names = map[Set]string{
	Moves: "moves", Holds: "holds", Hints: "hints", Crowd: "crowd", Ranks: "ranks", Aims: "aims", KeptSlots: "kept-slots", Everywhere: "everywhere",
	Outlier: "outlier", Lasting: "lasting", Cold: "cold", Told: "told", FairShares: "fair-shares", Near: "near", Silence: "silence", AskFirst: "ask-first", Pace: "pace", Shedding: "shedding",
}

// Has tells whether the set holds a mechanism.
func (s Set) Has(m Set) bool { return s&m != 0 }

// Names lists what the set holds, in alphabetical order.
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

// All is the set of every mechanism.
func All() Set {
	all := Set(0)
	for m := range names {
		all |= m
	}
	return all
}

// ErrUnknown is the kind of Parse's errors.
var ErrUnknown = errors.New("no such mechanism")

// Parse reads a set from names.
func Parse(list []string) (Set, error) {
	var s Set
	for _, name := range list {
		m := find(name)
		if m == 0 {
			return 0, fmt.Errorf("%w: %q; the names are %s", ErrUnknown, name, strings.Join(All().Names(), ", "))
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
