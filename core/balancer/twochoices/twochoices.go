// Package twochoices draws two candidates at random and picks the one with fewer
// outstanding requests of this caller.
package twochoices

import (
	"math/rand/v2"
	"time"

	"cactuspath/core/balancer"
)

type policy struct{ random *rand.Rand }

// New returns the policy with its own random source.
func New(random *rand.Rand) balancer.Policy { return policy{random} }

// Name implements balancer.Policy.
func (policy) Name() string { return "two-choices" }

// Pick returns the one of two random candidates with fewer outstanding requests.
func (p policy) Pick(_ time.Duration, candidates []*balancer.Candidate) *balancer.Candidate {
	a := candidates[p.random.IntN(len(candidates))]
	b := candidates[p.random.IntN(len(candidates))]
	if b.Outstanding < a.Outstanding {
		return b
	}
	return a
}
