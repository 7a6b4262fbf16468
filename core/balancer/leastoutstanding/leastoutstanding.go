// Package leastoutstanding picks the candidate with the fewest outstanding requests of
// this caller. It needs no reports and reacts to a stalled endpoint as soon as its
// responses stop. It cannot cause herding, since it counts only the caller's own
// requests.
package leastoutstanding

import (
	"math/rand/v2"
	"time"

	"cactuspath/core/balancer"
)

type policy struct{ random *rand.Rand }

// New returns the policy with its own random source.
func New(random *rand.Rand) balancer.Policy { return policy{random} }

// Name implements balancer.Policy.
func (policy) Name() string { return "least-outstanding" }

// Pick returns a candidate with the fewest outstanding requests per slot. Ties are
// broken at random, since all callers without outstanding requests would otherwise pick
// the first.
func (p policy) Pick(_ time.Duration, candidates []*balancer.Candidate) *balancer.Candidate {
	best := candidates[0]
	ties := 1
	for _, c := range candidates[1:] {
		// a.Outstanding/a.Slots < b.Outstanding/b.Slots without division.
		left, right := c.Outstanding*max(1, best.Slots), best.Outstanding*max(1, c.Slots)
		switch {
		case left < right:
			best, ties = c, 1
		case left == right:
			ties++
			if p.random.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best
}
