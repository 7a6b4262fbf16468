// Package nearby narrows another policy's choice to the candidates of the
// caller's own data centre, as long as they have room. Bytes between data
// centres cost money and delay, and the gate that is picked still moves a
// request away when a sibling elsewhere would finish it far sooner.
package nearby

import (
	"time"

	"cactuspath/core/balancer"
)

// roomShare is up to which share of its slots a near candidate may be taken by
// this caller alone before others are looked at. Its gate knows better who has room
// and passes on what would wait; up to here the first way is the near one.
const roomShare = 0.8

type policy struct {
	inner balancer.Policy
	near  []*balancer.Candidate
}

// New returns the policy around another one.
func New(inner balancer.Policy) balancer.Policy { return &policy{inner: inner} }

// Name names the policy.
func (p *policy) Name() string { return "nearby-" + p.inner.Name() }

// roomy tells whether a near candidate is taken without a look at others. What
// this caller has there says little where many callers share few near endpoints:
// all would fill them, each within its own share, and the link in front of them
// with bodies that are then sent again elsewhere. So a gate that had no room a
// short while ago counts as well.
func roomy(now time.Duration, c *balancer.Candidate) bool {
	return float64(c.Outstanding) < roomShare*float64(max(1, c.Slots)) && !c.Crowded(now)
}

// Pick lets the inner policy choose among the near candidates that have room,
// or among all when none has.
func (p *policy) Pick(now time.Duration, candidates []*balancer.Candidate) *balancer.Candidate {
	p.near = p.near[:0]
	for _, c := range candidates {
		if c.Near && roomy(now, c) {
			p.near = append(p.near, c)
		}
	}
	if len(p.near) == 0 {
		return p.inner.Pick(now, candidates)
	}
	return p.inner.Pick(now, p.near)
}
