// Package predicted picks the candidate with the earliest expected completion of a
// call, based on its last report, the requests that this caller has sent since, and the
// distance. Without a recent report it uses this caller's own outstanding requests, so
// that callers which have reports of only a few candidates do not all send their
// requests to these (herding).
package predicted

import (
	"math/rand/v2"
	"time"

	"cactuspath/core/balancer"
)

type policy struct{ random *rand.Rand }

// New returns the policy with its own random source.
func New(random *rand.Rand) balancer.Policy { return policy{random} }

// Name implements balancer.Policy.
func (policy) Name() string { return "predicted" }

// defaultServiceTime is the assumed service time, in nanoseconds, of a candidate
// without a recent report.
const defaultServiceTime = float64(5 * time.Millisecond)

// Pick returns the candidate with the earliest expected completion of a request sent
// now, network delay in both directions included.
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
	roundTrip := 2 * float64(c.Distance)
	r, ok := c.Report(now)
	if !ok {
		return noise*defaultServiceTime*(1+float64(c.Outstanding)/slots) + roundTrip
	}
	ahead := max(r.Load.Running+r.Load.Waiting+c.SentSince(), c.Outstanding)
	return noise*float64(r.Load.Service)*(1+float64(ahead)/slots) + roundTrip
}
