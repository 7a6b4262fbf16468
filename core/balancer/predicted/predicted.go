// Package predicted picks the candidate expected to finish a call soonest, by
// its last report, this caller's sends since, and the distance. Without a
// fresh report it falls back to this caller's own count, so that a rule which
// knows little does not herd on what it happens to know.
package predicted

import (
	"math/rand/v2"
	"time"

	"cactuspath/core/balancer"
)

type policy struct{ random *rand.Rand }

// New returns the policy with its own source of randomness.
func New(random *rand.Rand) balancer.Policy { return policy{random} }

// Name names the policy.
func (policy) Name() string { return "predicted" }

// unknownService stands in for the service time of a candidate that never
// reported.
const unknownService = float64(5 * time.Millisecond)

// Pick returns the candidate with the lowest expected finish.
func (p policy) Pick(now time.Duration, candidates []*balancer.Candidate) *balancer.Candidate {
	best := candidates[0]
	bestScore := p.score(now, best)
	for _, c := range candidates[1:] {
		if s := p.score(now, c); s < bestScore {
			best, bestScore = c, s
		}
	}
	return best
}

func (p policy) score(now time.Duration, c *balancer.Candidate) float64 {
	slots := float64(max(1, c.Slots))
	noise := 1 + 0.05*p.random.Float64()
	travel := 2 * float64(c.Distance)
	r, ok := c.Report(now)
	if !ok {
		return noise*unknownService*(1+float64(c.Outstanding)/slots) + travel
	}
	ahead := max(r.Load.Running+r.Load.Waiting+c.SentSince(), c.Outstanding)
	return noise*float64(r.Load.Service)*(1+float64(ahead)/slots) + travel
}
