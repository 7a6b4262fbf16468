package emulator

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/balancer/nodes"
	"cactuspath/core/balancer/random"
	"cactuspath/core/balancer/twochoices"
	"cactuspath/core/mechanism"
)

// Variant is one way to decide that a scenario is run with.
type Variant struct {
	Name string
	// Build makes a caller's policy.
	Build func(*rand.Rand) balancer.Policy
	// Siblings lets the gates act together.
	Siblings bool
	// Omniscient picks by the servers' true state.
	Omniscient bool
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
}

// Chosen is the variant that the nodes run.
const Chosen = "cactus"

// Without is what the nodes run with some mechanisms switched off.
func Without(off mechanism.Set) Variant {
	name := Chosen
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
		{Name: "omniscient", Build: random.New, Siblings: true, Omniscient: true},
	}
}

// Find returns the variant with the name.
func Find(name string) (Variant, error) {
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
	}
	return Variant{}, errors.Newf("no policy is named %q; `cactusctl emulate --list` names them", name)
}
