package emulator

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/balancer/nearby"
	"cactuspath/core/balancer/random"
	"cactuspath/core/balancer/twochoices"
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
}

// Chosen is the variant that the nodes run.
const Chosen = "cactus"

func chosen(random *rand.Rand) balancer.Policy { return nearby.New(leastoutstanding.New(random)) }

// Variants lists every variant.
func Variants() []Variant {
	return []Variant{
		{Name: "random", Build: random.New},
		{Name: "least-outstanding", Build: leastoutstanding.New},
		{Name: "two-choices", Build: twochoices.New},
		{Name: Chosen, Build: chosen, Siblings: true},
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
