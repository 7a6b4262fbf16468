// Package balancer chooses an endpoint for a call. Each policy is a package of
// its own behind the Policy interface; Pool keeps what the policies choose by.
//
// The first choice only has to be fair: the gates of a service correct it with
// fresher knowledge (package gate). Nothing here allocates per pick.
//
// Types are pure and not safe for concurrent use.
package balancer

import (
	"time"

	"cactuspath/core/gate"
	"cactuspath/core/measure"
)

// Candidate is one endpoint as a caller's node sees it.
type Candidate struct {
	Host        string
	PeerAddress string
	Incarnation uint64
	Slots       int
	// Distance is the one-way delay to it.
	Distance time.Duration
	Draining bool
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
	// carried counts how often the report was carried to another gate.
	carried int
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
	// carryLife is how old a report may be to be carried on.
	carryLife = 100 * time.Millisecond
	// firstAvoidance and longestAvoidance bound how long an endpoint that could
	// not be reached gets no work; it doubles with each failure in a row. After
	// it one request tries again.
	firstAvoidance   = 100 * time.Millisecond
	longestAvoidance = 5 * time.Second
)

// Pool holds the candidates of one service.
type Pool struct {
	policy Policy
	all    []*Candidate
	byHost map[string]*Candidate
	// eligible is scratch space for picks.
	eligible []*Candidate
}

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
		if held == nil || held.Incarnation != c.Incarnation {
			fresh := c
			held = &fresh
		}
		held.PeerAddress, held.Slots, held.Draining = c.PeerAddress, c.Slots, c.Draining
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

// Get returns a candidate by host, or nil.
func (p *Pool) Get(host string) *Candidate { return p.byHost[host] }

// Pick chooses a candidate that is not in tried. When none is fit it falls
// back to any that was not tried, since a wrong belief about all endpoints
// must not turn into an outage; nil means that all were tried.
func (p *Pool) Pick(now time.Duration, tried []string) *Candidate {
	c := p.pickAmong(now, tried, fit)
	if c == nil {
		c = p.pickAmong(now, tried, present)
	}
	if c != nil {
		p.Start(c)
	}
	return c
}

// Start counts a request sent to a candidate.
func (p *Pool) Start(c *Candidate) {
	c.Outstanding++
	c.sentSince++
}

func fit(now time.Duration, c *Candidate) bool {
	return !c.Draining && now >= c.avoidUntil && !(c.reported && now-c.taken < reportLife && (c.report.Load.Draining || c.report.Load.Failing))
}

func present(time.Duration, *Candidate) bool { return true }

func (p *Pool) pickAmong(now time.Duration, tried []string, test func(time.Duration, *Candidate) bool) *Candidate {
	p.eligible = p.eligible[:0]
	for _, c := range p.all {
		if test(now, c) && !contains(tried, c.Host) {
			p.eligible = append(p.eligible, c)
		}
	}
	if len(p.eligible) == 0 {
		return nil
	}
	return p.policy.Pick(now, p.eligible)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
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

// Learn takes in a report about a candidate.
func (p *Pool) Learn(now time.Duration, r gate.Report) {
	c := p.byHost[r.Host]
	if c == nil || c.reported && !r.Newer(c.report) {
		return
	}
	c.report, c.taken, c.reported = r, now-r.Age, true
	c.sentSince, c.carried = 0, 0
}

// Report returns the newest report about a candidate, if it is fresh.
func (c *Candidate) Report(now time.Duration) (r gate.Report, ok bool) {
	if !c.reported || now-c.taken > reportLife {
		return gate.Report{}, false
	}
	r = c.report
	r.Age = now - c.taken
	return r, true
}

// SentSince counts this node's requests sent there after the report.
func (c *Candidate) SentSince() int { return c.sentSince }

// Carry appends up to limit of the freshest reports about other endpoints than
// the one a request goes to. Requests carry them to that endpoint's gate, so
// that the gates of a service know each other without messages of their own.
// One report is carried measure.CarryUses times at most, which the measuring
// budget counts on.
func (p *Pool) Carry(now time.Duration, to *Candidate, limit int, out []gate.Report) []gate.Report {
	for range limit {
		best := p.freshest(now, to, out)
		if best == nil {
			return out
		}
		r, _ := best.Report(now)
		best.carried++
		out = append(out, r)
	}
	return out
}

func (p *Pool) freshest(now time.Duration, except *Candidate, taken []gate.Report) *Candidate {
	var best *Candidate
	for _, c := range p.all {
		if c == except || c.carried >= measure.CarryUses || !c.reported || now-c.taken > carryLife || contained(taken, c.Host) {
			continue
		}
		if best == nil || c.taken > best.taken {
			best = c
		}
	}
	return best
}

func contained(list []gate.Report, host string) bool {
	for i := range list {
		if list[i].Host == host {
			return true
		}
	}
	return false
}
