// Package nearby restricts another policy to the candidates in the caller's own data
// centre, as long as they have capacity. Traffic between data centres costs money and
// adds delay, and the gate of the picked endpoint still moves a request away if a
// sibling elsewhere would finish it far sooner.
package nearby

import (
	"time"

	"cactuspath/core/balancer"
)

// maxOwnUtilization is the share of a near candidate's slots that this caller alone may
// use before other candidates are considered. The candidate's gate has more accurate
// information and passes on requests that would wait, so up to this share a near
// candidate is tried first.
const maxOwnUtilization = 0.8

type policy struct {
	inner balancer.Policy
	near  []*balancer.Candidate
}

// New returns the policy as a wrapper of another one.
func New(inner balancer.Policy) balancer.Policy { return &policy{inner: inner} }

// Name implements balancer.Policy.
func (p *policy) Name() string { return "nearby-" + p.inner.Name() }

// hasCapacity reports whether a near candidate may be picked without considering
// candidates in other data centres. The caller's own outstanding requests say little
// where many callers share few near endpoints: all callers together would fill them,
// each within its own share, and saturate the link in front of them with bodies that
// are then sent again elsewhere. A candidate whose gate recently had no capacity is
// therefore excluded as well.
func hasCapacity(now time.Duration, c *balancer.Candidate) bool {
	return float64(c.Outstanding) < maxOwnUtilization*float64(max(1, c.Slots)) && !c.RecentlyFull(now)
}

// Pick applies the inner policy to the near candidates that have capacity, or to all
// candidates if none has.
func (p *policy) Pick(now time.Duration, candidates []*balancer.Candidate) *balancer.Candidate {
	p.near = p.near[:0]
	for _, c := range candidates {
		if c.Near && hasCapacity(now, c) {
			p.near = append(p.near, c)
		}
	}
	if len(p.near) == 0 {
		return p.inner.Pick(now, candidates)
	}
	return p.inner.Pick(now, p.near)
}
