// Package roundrobin picks the candidates in turn.
package roundrobin

import (
	"math/rand/v2"
	"time"

	"cactuspath/core/balancer"
)

type policy struct{ next int }

// New returns the policy. The first candidate that it picks is random, so that many
// callers do not all begin with the same endpoint.
func New(random *rand.Rand) balancer.Policy { return &policy{next: random.IntN(1 << 16)} }

// Name implements balancer.Policy.
func (*policy) Name() string { return "round-robin" }

// Pick returns the next candidate in turn.
func (p *policy) Pick(_ time.Duration, candidates []*balancer.Candidate) *balancer.Candidate {
	p.next++
	return candidates[p.next%len(candidates)]
}
