// Package balancer chooses an endpoint for a call. Each policy is a package of
// its own behind the Policy interface; Pool keeps what the policies choose by.
//
// The first choice only has to be fair: the gates of a service correct it with
// fresher knowledge (package gate). Nothing here allocates per pick.
//
// Types are pure and not safe for concurrent use.
package balancer

import (
	"slices"
	"time"

	"cactuspath/core/gate"
)

// Candidate is one endpoint as a caller's node sees it.
type Candidate struct {
	Host        string
	PeerAddress string
	Incarnation uint64
	Slots       int
	// Distance is the one-way delay to it.
	Distance time.Duration
	// Near: it is in the caller's own data centre.
	Near     bool
	Draining bool
	// Evacuated: the operator has emptied its data centre; no request is sent there.
	Evacuated bool
	// Outstanding counts this node's requests there without an answer.
	Outstanding int

	report   gate.Report
	taken    time.Duration
	reported bool
	// sentSince counts this node's requests sent after the report was taken.
	sentSince int
	// avoidUntil: no new work before, since it could not be reached.
	avoidUntil time.Duration
	failures   int
	// crowdedUntil: its gate had no room for a request a short while ago.
	crowdedUntil time.Duration
}

// Policy picks among candidates, of which there is at least one. A policy may
// keep state; it belongs to one pool.
type Policy interface {
	Name() string
	Pick(now time.Duration, candidates []*Candidate) *Candidate
}

const (
	// reportLife is how long a report bears on picks.
	reportLife = 200 * time.Millisecond
	// firstAvoidance and longestAvoidance bound how long an endpoint that could
	// not be reached gets no work; it doubles with each failure in a row. After
	// it one request tries again.
	firstAvoidance   = 100 * time.Millisecond
	longestAvoidance = 5 * time.Second
	// crowdMemory is how long a candidate counts as crowded after its gate passed a
	// request on or refused it. Room comes and goes within a tenth of a second, and
	// asking costs a message inside the data centre; a caller that keeps away for longer
	// sends most of its requests to other data centres.
	crowdMemory = 100 * time.Millisecond
)

// Pool holds the candidates of one service.
type Pool struct {
	policy Policy
	all    []*Candidate
	byHost map[string]*Candidate
	// eligible is scratch space for picks.
	eligible []*Candidate
}

// SetPolicy replaces the policy; candidates and what is known of them stay.
func (p *Pool) SetPolicy(policy Policy) { p.policy = policy }

// NewPool returns a pool without candidates.
func NewPool(policy Policy) *Pool {
	return &Pool{policy: policy, byHost: map[string]*Candidate{}}
}

// Update replaces the candidates; those that stay keep what is known of them.
func (p *Pool) Update(list []Candidate) {
	byHost := make(map[string]*Candidate, len(list))
	all := make([]*Candidate, 0, len(list))
	for _, c := range list {
		held := p.byHost[c.Host]
		if held == nil || held.Incarnation < c.Incarnation {
			fresh := c
			held = &fresh
		}
		held.PeerAddress, held.Slots, held.Draining, held.Evacuated, held.Near = c.PeerAddress, c.Slots, c.Draining, c.Evacuated, c.Near
		if held.Distance == 0 {
			held.Distance = c.Distance
		}
		byHost[c.Host] = held
		all = append(all, held)
	}
	p.all, p.byHost = all, byHost
	p.eligible = make([]*Candidate, 0, len(all))
}

// Len counts the candidates.
func (p *Pool) Len() int { return len(p.all) }

// Evacuated tells whether there are candidates, and all of them are evacuated.
func (p *Pool) Evacuated() bool {
	for _, c := range p.all {
		if !c.Evacuated {
			return false
		}
	}
	return len(p.all) > 0
}

// Get returns a candidate by host, or nil.
func (p *Pool) Get(host string) *Candidate { return p.byHost[host] }

// Pick chooses a candidate that is not in tried. When none is fit it falls
// back to any that was not tried, since a wrong belief about all endpoints
// must not turn into an outage; nil means that there is none. A request that was tried
// already falls back to none that is leaving: of a full service the only one left was
// often a host that was gone, and the caller's final answer came 300 ms late.
func (p *Pool) Pick(now time.Duration, tried []string) *Candidate {
	var c *Candidate
	if len(tried) > 0 {
		c = p.pickAmong(now, tried, proven)
	}
	if c == nil {
		c = p.pickAmong(now, tried, fit)
	}
	if c == nil {
		fallback := present
		if len(tried) > 0 {
			fallback = staying
		}
		c = p.pickAmong(now, tried, fallback)
	}
	if c != nil {
		p.Start(c)
	}
	return c
}

// Others tells whether a candidate exists that stays and is not in tried.
func (p *Pool) Others(tried []string) bool {
	for _, c := range p.all {
		if !c.Draining && !c.Evacuated && !slices.Contains(tried, c.Host) {
			return true
		}
	}
	return false
}

// Start counts a request sent to a candidate.
func (p *Pool) Start(c *Candidate) {
	c.Outstanding++
	c.sentSince++
}

func fit(now time.Duration, c *Candidate) bool {
	return !c.Draining && now >= c.avoidUntil && !(c.reported && now-c.taken < reportLife && (c.report.Load.Draining || c.report.Load.Failing))
}

// proven leaves out endpoints that failed when they were last tried: a request
// that was refused once already is not the one to try them with.
func proven(now time.Duration, c *Candidate) bool { return fit(now, c) && c.failures == 0 }

func present(time.Duration, *Candidate) bool { return true }

func staying(_ time.Duration, c *Candidate) bool { return !c.Draining }

func (p *Pool) pickAmong(now time.Duration, tried []string, test func(time.Duration, *Candidate) bool) *Candidate {
	p.eligible = p.eligible[:0]
	for _, c := range p.all {
		if !c.Evacuated && test(now, c) && !slices.Contains(tried, c.Host) {
			p.eligible = append(p.eligible, c)
		}
	}
	if len(p.eligible) == 0 {
		return nil
	}
	return p.policy.Pick(now, p.eligible)
}

// Done counts an attempt's end. Reached tells whether the endpoint's node
// answered at all.
func (p *Pool) Done(now time.Duration, c *Candidate, reached bool) {
	c.Outstanding--
	if reached {
		c.failures = 0
		c.avoidUntil = 0
		return
	}
	c.failures++
	c.avoidUntil = now + min(firstAvoidance<<min(c.failures-1, 10), longestAvoidance)
}

// Avoid keeps new work away from a candidate for a while.
func (p *Pool) Avoid(until time.Duration, host string) {
	if c := p.byHost[host]; c != nil {
		c.avoidUntil = max(c.avoidUntil, until)
	}
}

// SetCrowded notes that a candidate's gate passed a request on, or refused it, for
// lack of room.
func (p *Pool) SetCrowded(now time.Duration, c *Candidate) { c.crowdedUntil = now + crowdMemory }

// Crowded tells whether that happened a short while ago.
func (c *Candidate) Crowded(now time.Duration) bool { return now < c.crowdedUntil }

// SetDraining notes that a candidate's gate said it is leaving, ahead of the
// directory.
func (p *Pool) SetDraining(c *Candidate) { c.Draining = true }

// SetIncarnation notes a node's restart ahead of the directory.
func (p *Pool) SetIncarnation(c *Candidate, incarnation uint64) {
	if incarnation > c.Incarnation {
		c.Incarnation = incarnation
	}
}

// Learn takes in a report about a candidate.
func (p *Pool) Learn(now time.Duration, r gate.Report) {
	c := p.byHost[r.Host]
	if c == nil || c.reported && !r.Newer(c.report) {
		return
	}
	c.report, c.taken, c.reported = r, now-c.Distance, true
	c.sentSince = 0
}

// Report returns the newest report about a candidate, if it is fresh.
func (c *Candidate) Report(now time.Duration) (r gate.Report, ok bool) {
	if !c.reported || now-c.taken > reportLife {
		return gate.Report{}, false
	}
	return c.report, true
}

// SentSince counts this node's requests sent there after the report.
func (c *Candidate) SentSince() int { return c.sentSince }
