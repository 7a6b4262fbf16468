// Package nodes builds the policy that nodes use, so that production code and
// simulations in virtual time use the same one.
package nodes

import (
	"math/rand/v2"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/balancer/nearby"
	"cactuspath/core/mechanism"
)

// Policy returns the policy that nodes use: the candidate with the fewest outstanding
// requests per slot, among near candidates if these have capacity. If off contains
// mechanism.Near, near candidates are not preferred.
func Policy(random *rand.Rand, off mechanism.Set) balancer.Policy {
	policy := leastoutstanding.New(random)
	if off.Has(mechanism.Near) {
		return policy
	}
	return nearby.New(policy)
}
