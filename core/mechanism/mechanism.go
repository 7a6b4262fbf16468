// Package mechanism names the parts of the decision logic (mechanisms) that can be disabled
// individually. An operator disables one in the settings of a process if it causes harm;
// the emulator disables them to determine the benefit of each.
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
	// Hints lets a gate name a sibling for a request that is stuck on a slow server, so
	// that the caller's node sends a hedged request (a second copy) to the sibling.
	Hints
	// Contention lets a gate run fewer requests at a time than its server has slots if
	// high concurrency slows the server down.
	Contention
	// Ranks orders waiting requests by priority and aim.
	Ranks
	// Aims lets waiting requests that can still meet their aim go before those that
	// cannot.
	Aims
	// KeptSlots reserves some slots of a server for short requests.
	KeptSlots
	// SiblingsFull lets a gate that refuses a request tell the caller's node that no
	// sibling has capacity either, so that the node does not try them.
	SiblingsFull
	// Outlier moves requests away from a server that fails while its siblings do not.
	Outlier
	// PersistentSlowdown distinguishes a persistent slowdown of a server from a momentary
	// one.
	PersistentSlowdown
	// Cold uses a server's announcement of how long it stays slow after its start.
	Cold
	// ReportedSlowdown uses the speed that servers announce. Without it, the speed is
	// estimated from the durations of completed requests.
	ReportedSlowdown
	// FairShares lets the waiting requests of different callers run in turn, so that one
	// caller cannot occupy a server.
	FairShares
	// Near prefers endpoints in the caller's data centre.
	Near
	// Silence keeps requests away from hosts from which nothing is received any more.
	Silence
	// AskFirst sends larger request bodies only once the gate has asked for them.
	AskFirst
	// SpeedModel learns whether a running request keeps the speed that its server had when
	// the request started. Without it, requests are assumed to follow the current speed of
	// their server.
	SpeedModel
	// Shedding refuses a share of requests while the process is short of processor
	// time.
	Shedding
	// Link paces large responses on the link of a host, and lets gates take the link into
	// account for them.
	Link
	// Profile gives a gate that has just started what the gates of its service had learned.
	Profile
	// Leases gives nodes tokens of usage caps ahead of demand.
	Leases
	// RetryNeed lets retries go first to the requests that have no other chance.
	RetryNeed
)

var names = map[Set]string{
	Moves: "moves", Holds: "holds", Hints: "hints", Contention: "crowd", Ranks: "ranks", Aims: "aims", KeptSlots: "kept-slots", SiblingsFull: "everywhere",
	Outlier: "outlier", PersistentSlowdown: "lasting", Cold: "cold", ReportedSlowdown: "told", FairShares: "fair-shares", Near: "near", Silence: "silence", AskFirst: "ask-first", SpeedModel: "pace", Shedding: "shedding",
	Link: "link", Profile: "profile", Leases: "leases", RetryNeed: "retry-need",
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

// All returns the set that contains every mechanism.
func All() Set {
	all := Set(0)
	for m := range names {
		all |= m
	}
	return all
}

// ErrUnknown is wrapped by the error that Parse returns for an unknown name.
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
