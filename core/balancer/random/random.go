// Package random picks any candidate: the baseline that knows nothing.
package random

import (
	"math/rand/v2"
	"time"

	"cactuspath/core/balancer"
)

type policy struct{ random *rand.Rand }

// New returns the policy with its own source of randomness.
func New(random *rand.Rand) balancer.Policy { return policy{random} }

// Name names the policy.
func (policy) Name() string { return "random" }

// Pick returns any candidate.
func (p policy) Pick(_ time.Duration, candidates []*balancer.Candidate) *balancer.Candidate {
	return candidates[p.random.IntN(len(candidates))]
}
