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

// Policy returns the nodes' policy without the disabled mechanisms.
func Policy(random *rand.Rand, off mechanism.Set) balancer.Policy {
	policy := leastoutstanding.New(random)
	if off.Has(mechanism.Near) {
		return policy
	}
	return nearby.New(policy)
}
