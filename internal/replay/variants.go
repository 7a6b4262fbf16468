package replay

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/balancer/predicted"
	"cactuspath/core/balancer/random"
	"cactuspath/core/balancer/roundrobin"
	"cactuspath/core/balancer/twochoices"
)

// Variant is one way to decide that a trace is replayed with.
type Variant struct {
	Name string
	// Build makes a caller's policy.
	Build func(*rand.Rand) balancer.Policy
	// Siblings lets the gates act together.
	Siblings bool
	// Reports lets answers tell the callers of load, outside any budget.
	Reports bool
	// Omniscient picks by the servers' true state.
	Omniscient bool
	// NoRetryBudget lifts the limit on retries.
	NoRetryBudget bool
	// NoMeasureBudget lifts the limit on measuring.
	NoMeasureBudget bool
}

// Chosen is the variant that the nodes run.
const Chosen = "cactus"

// Variants lists every variant by name.
func Variants() []Variant {
	return []Variant{
		{Name: "random", Build: random.New},
		{Name: "round-robin", Build: roundrobin.New},
		{Name: "least-outstanding", Build: leastoutstanding.New},
		{Name: "two-choices", Build: twochoices.New},
		{Name: "predicted", Build: predicted.New, Reports: true},
		{Name: "unbudgeted-retries", Build: leastoutstanding.New, NoRetryBudget: true},
		{Name: "omniscient", Build: random.New, Omniscient: true},
		{Name: Chosen, Build: leastoutstanding.New, Siblings: true},
		{Name: "cactus-predicted", Build: predicted.New, Siblings: true, Reports: true},
		{Name: "cactus-random", Build: random.New, Siblings: true},
		{Name: "cactus-no-retry-budget", Build: leastoutstanding.New, Siblings: true, NoRetryBudget: true},
		{Name: "cactus-no-measure-budget", Build: leastoutstanding.New, Siblings: true, NoMeasureBudget: true},
	}
}

// Find returns the variant with the name.
func Find(name string) (Variant, error) {
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
	}
	return Variant{}, errors.Newf("no policy is named %q; `cactusctl replay --list` names them", name)
}
