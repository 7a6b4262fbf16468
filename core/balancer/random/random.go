// Package random picks a random candidate. It uses no information about the candidates
// and serves as a baseline.
package random

import (
	"math/rand/v2"
	"time"

	"cactuspath/core/balancer"
)

type policy struct{ random *rand.Rand }

// New returns the policy with its own random source.
func New(random *rand.Rand) balancer.Policy { return policy{random} }

// Name implements balancer.Policy.
func (policy) Name() string { return "random" }

// Pick returns a random candidate.
func (p policy) Pick(_ time.Duration, candidates []*balancer.Candidate) *balancer.Candidate {
	return candidates[p.random.IntN(len(candidates))]
}
