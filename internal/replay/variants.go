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

// Variant is a configuration of the decision code that a trace can be replayed with.
type Variant struct {
	Name string
	// Build returns a new balancing policy, which one caller uses to pick endpoints.
	Build func(*rand.Rand) balancer.Policy
	// Siblings lets the gates of the service exchange load reports and move waiting requests
	// to each other.
	Siblings bool
	// Reports attaches load reports to responses. The budget for load reports does not apply
	// to them.
	Reports bool
	// Omniscient replaces the policy by a choice based on the current state of every
	// server, which real callers do not know. It serves as an upper bound.
	Omniscient bool
	// NoRetryBudget removes the limit on retries.
	NoRetryBudget bool
	// NoMeasureBudget removes the limit on load reports.
	NoMeasureBudget bool
}

// ProductionVariant is the name of the variant that the nodes run.
const ProductionVariant = "cactus"

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
		{Name: ProductionVariant, Build: leastoutstanding.New, Siblings: true},
		{Name: "cactus-predicted", Build: predicted.New, Siblings: true, Reports: true},
		{Name: "cactus-random", Build: random.New, Siblings: true},
		{Name: "cactus-no-retry-budget", Build: leastoutstanding.New, Siblings: true, NoRetryBudget: true},
		{Name: "cactus-no-measure-budget", Build: leastoutstanding.New, Siblings: true, NoMeasureBudget: true},
	}
}

// Find returns the variant with the given name.
func Find(name string) (Variant, error) {
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
	}
	return Variant{}, errors.Newf("no policy is named %q; `cactusctl replay --list` names them", name)
}
