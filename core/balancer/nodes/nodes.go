// Package nodes puts together the policy by which nodes pick, so that what runs and
// what is tried out in virtual time cannot drift apart.
package nodes

import (
	"math/rand/v2"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/balancer/nearby"
	"cactuspath/core/mechanism"
)

// Policy returns the nodes' policy without the mechanisms that are switched off.
func Policy(random *rand.Rand, off mechanism.Set) balancer.Policy {
	policy := leastoutstanding.New(random)
	if off.Has(mechanism.Near) {
		return policy
	}
	return nearby.New(policy)
}
