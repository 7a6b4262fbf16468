package emulator

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/balancer/nodes"
	"cactuspath/core/balancer/random"
	"cactuspath/core/balancer/twochoices"
	"cactuspath/core/gate"
	"cactuspath/core/mechanism"
)

// Variant is a configuration of the decision code that a scenario can be run with.
type Variant struct {
	Name string
	// Build returns a new balancing policy, which one caller uses to pick endpoints.
	Build func(*rand.Rand) balancer.Policy
	// Siblings lets the gates of a service exchange load reports and move waiting requests
	// to each other.
	Siblings bool
	// Omniscient replaces the policy by a choice based on the current state of every
	// server, which real callers do not know. It serves as an upper bound.
	Omniscient bool
	// RetryByNeed makes retries go first to the requests that have no other chance.
	RetryByNeed bool
	// RetryFractions lets nodes use fractions of a retry by a draw, as the nodes do. Without
	// it, fractions are saved up until they make a whole retry.
	RetryFractions bool
	// Off is the set of disabled mechanisms.
	Off mechanism.Set
	// Profiles holds the profiles, by service, that gates are given at their start.
	Profiles map[string]gate.Learned
}

// ProductionVariant is the name of the variant that the nodes run.
const ProductionVariant = "cactus"

// ByNeedVariant is the name of the variant that the nodes run with the setting retryOrder at
// by-need.
const ByNeedVariant = "cactus-by-need"

// byNeed returns the variant in which retries go by need.
func byNeed() Variant {
	v := Without(0)
	v.Name, v.RetryByNeed, v.RetryFractions = ByNeedVariant, true, true
	return v
}

// Without returns the variant that the nodes run, with some mechanisms disabled.
func Without(off mechanism.Set) Variant {
	name := ProductionVariant
	for _, n := range off.Names() {
		name += " -" + n
	}
	build := func(random *rand.Rand) balancer.Policy { return nodes.Policy(random, off) }
	return Variant{Name: name, Build: build, Siblings: true, Off: off}
}

// Variants lists every variant.
func Variants() []Variant {
	return []Variant{
		{Name: "random", Build: random.New},
		{Name: "least-outstanding", Build: leastoutstanding.New},
		{Name: "two-choices", Build: twochoices.New},
		Without(0),
		byNeed(),
		{Name: "omniscient", Build: random.New, Siblings: true, Omniscient: true},
	}
}

// Find returns the variant with the given name.
func Find(name string) (Variant, error) {
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
	}
	return Variant{}, errors.Newf("no policy is named %q; `cactusctl emulate --list` names them", name)
}
