// Package balancer chooses an endpoint for a call. Each policy is a package that
// implements the Policy interface; Pool maintains the state of the candidates that
// policies choose by.
//
// The first choice only has to be fair, because the gates of a service correct it with
// more recent information (see package gate). Picks do not allocate.
//
// The types do no I/O and are not safe for concurrent use.
package balancer

import (
	"slices"
	"time"

	"cactuspath/core/gate"
)

// Candidate is the state of an endpoint as known to a caller's node.
type Candidate struct {
	Host        string
	PeerAddress string
	Incarnation uint64
	Slots       int
	// Distance is the one-way network delay from the caller's node to the endpoint.
	Distance time.Duration
	// Near is set if the endpoint is in the caller's own data centre.
	Near     bool
	Draining bool
	// Evacuated is set if the operator has evacuated the endpoint's data centre; no
	// request is sent there.
	Evacuated bool
	// Outstanding is the number of requests that this node has sent to the endpoint and
	// that have not ended.
	Outstanding int

	report     gate.Report
	reportedAt time.Duration
	reported   bool
	// sentSince is the number of requests that this node has sent to the endpoint since
	// it received the report.
	sentSince int
	// avoidUntil is the time until which the endpoint gets no new requests because it
	// could not be reached.
	avoidUntil time.Duration
	failures   int
	// recentlyFullUntil is the time until which the candidate counts as full after its
	// gate had no capacity for a request.
	recentlyFullUntil time.Duration
}

// Policy picks one of the candidates, of which there is at least one. A policy may keep
// state and belongs to one pool.
type Policy interface {
	Name() string
	Pick(now time.Duration, candidates []*Candidate) *Candidate
}

const (
	// maxReportAge is the age up to which a report influences picks.
	maxReportAge = 200 * time.Millisecond
	// initialBackoff and maxBackoff limit the exponential backoff: how long an endpoint
	// that could not be reached gets no new requests. The backoff doubles with each
	// consecutive failure. After it, the endpoint gets requests again, but retries
	// prefer other endpoints until one request has reached it.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// recentlyFullDuration is how long a candidate counts as full after its gate passed
	// a request on or refused it. Whether a gate has capacity changes within a tenth of
	// a second, and trying a full one costs one message inside the data centre. With a
	// longer duration, a caller sends most of its requests to other data centres.
	recentlyFullDuration = 100 * time.Millisecond
)

// Pool holds the candidates of one service.
type Pool struct {
	policy Policy
	all    []*Candidate
	byHost map[string]*Candidate
	// eligible is a buffer reused by picks.
	eligible []*Candidate
}

// SetPolicy replaces the policy and keeps the candidates and their state.
func (p *Pool) SetPolicy(policy Policy) { p.policy = policy }

// NewPool returns a pool without candidates.
func NewPool(policy Policy) *Pool {
	return &Pool{policy: policy, byHost: map[string]*Candidate{}}
}

// Update replaces the candidates; those that remain keep their state. The list may be reused
// afterwards.
func (p *Pool) Update(list []Candidate) {
	byHost, all := p.byHost, p.all[:0]
	if !p.hasHosts(list) {
		byHost, all = make(map[string]*Candidate, len(list)), make([]*Candidate, 0, len(list))
		p.eligible = make([]*Candidate, 0, len(list))
	}
	for i := range list {
		c := &list[i]
		known := p.byHost[c.Host]
		if known == nil || known.Incarnation < c.Incarnation {
			fresh := *c
			known = &fresh
		}
		known.PeerAddress, known.Slots, known.Draining, known.Evacuated, known.Near = c.PeerAddress, c.Slots, c.Draining, c.Evacuated, c.Near
		if known.Distance == 0 {
			known.Distance = c.Distance
		}
		byHost[c.Host] = known
		all = append(all, known)
	}
	p.all, p.byHost = all, byHost
}

// hasHosts reports whether the candidates are on exactly the hosts of the list, each of which
// is in it once. Most changes concern the state of a candidate only.
func (p *Pool) hasHosts(list []Candidate) bool {
	if len(list) != len(p.all) {
		return false
	}
	for i := range list {
		if p.byHost[list[i].Host] == nil {
			return false
		}
	}
	return true
}

// Each calls visit for every candidate.
func (p *Pool) Each(visit func(*Candidate)) {
	for _, c := range p.all {
		visit(c)
	}
}

// Len returns the number of candidates.
func (p *Pool) Len() int { return len(p.all) }

// Evacuated reports whether there are candidates and all of them are evacuated.
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

// Pick chooses a candidate that is not in tried, or returns nil if there is none. If no
// candidate is usable, it falls back to any untried one, since wrong information about
// all endpoints must not cause an outage. A retry does not fall back to a draining
// candidate: if the service is full, the only candidate left is often on a host that no
// longer runs, and the attempt delays the caller's final response by 300 ms.
func (p *Pool) Pick(now time.Duration, tried []string) *Candidate {
	var c *Candidate
	if len(tried) > 0 {
		c = p.pickAmong(now, tried, reliable)
	}
	if c == nil {
		c = p.pickAmong(now, tried, usable)
	}
	if c == nil {
		fallback := anyCandidate
		if len(tried) > 0 {
			fallback = notDraining
		}
		c = p.pickAmong(now, tried, fallback)
	}
	if c != nil {
		p.Start(c)
	}
	return c
}

// HasOther reports whether there is a candidate that is neither draining nor evacuated
// nor in tried.
func (p *Pool) HasOther(tried []string) bool {
	for _, c := range p.all {
		if !c.Draining && !c.Evacuated && !slices.Contains(tried, c.Host) {
			return true
		}
	}
	return false
}

// Start records that a request is sent to a candidate. Pick calls it for the candidate
// that it returns.
func (p *Pool) Start(c *Candidate) {
	c.Outstanding++
	c.sentSince++
}

func usable(now time.Duration, c *Candidate) bool {
	return !c.Draining && now >= c.avoidUntil && !(c.reported && now-c.reportedAt < maxReportAge && (c.report.Load.Draining || c.report.Load.Failing))
}

// reliable reports whether a candidate is usable and could be reached at the last
// attempt. A request that was already refused once must not be the one that tests an
// endpoint which could not be reached.
func reliable(now time.Duration, c *Candidate) bool { return usable(now, c) && c.failures == 0 }

func anyCandidate(time.Duration, *Candidate) bool { return true }

func notDraining(_ time.Duration, c *Candidate) bool { return !c.Draining }

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

// Done records the end of a request sent to a candidate. reached is set if the
// endpoint's node responded; if it did not, the candidate gets no new requests during a
// backoff.
func (p *Pool) Done(now time.Duration, c *Candidate, reached bool) {
	c.Outstanding--
	if reached {
		c.failures = 0
		c.avoidUntil = 0
		return
	}
	c.failures++
	c.avoidUntil = now + min(initialBackoff<<min(c.failures-1, 10), maxBackoff)
}

// Avoid sends no new requests to a candidate until the given time.
func (p *Pool) Avoid(until time.Duration, host string) {
	if c := p.byHost[host]; c != nil {
		c.avoidUntil = max(c.avoidUntil, until)
	}
}

// SetRecentlyFull records that a candidate's gate passed a request on or refused it for
// lack of capacity.
func (p *Pool) SetRecentlyFull(now time.Duration, c *Candidate) {
	c.recentlyFullUntil = now + recentlyFullDuration
}

// RecentlyFull reports whether SetRecentlyFull was called within recentlyFullDuration.
func (c *Candidate) RecentlyFull(now time.Duration) bool { return now < c.recentlyFullUntil }

// SetDraining records that a candidate is draining, as reported by its gate, without
// waiting for the directory to report it.
func (p *Pool) SetDraining(c *Candidate) { c.Draining = true }

// SetIncarnation records the higher incarnation of a restarted node without waiting for
// the directory to report it.
func (p *Pool) SetIncarnation(c *Candidate, incarnation uint64) {
	if incarnation > c.Incarnation {
		c.Incarnation = incarnation
	}
}

// Learn applies a load report to the candidate that it is about, unless a newer report
// is known.
func (p *Pool) Learn(now time.Duration, r gate.Report) {
	c := p.byHost[r.Host]
	if c == nil || c.reported && !r.Newer(c.report) {
		return
	}
	c.report, c.reportedAt, c.reported = r, now-c.Distance, true
	c.sentSince = 0
}

// Report returns the latest load report of a candidate; ok is false if there is none or
// it is older than maxReportAge.
func (c *Candidate) Report(now time.Duration) (r gate.Report, ok bool) {
	if !c.reported || now-c.reportedAt > maxReportAge {
		return gate.Report{}, false
	}
	return c.report, true
}

// SentSince returns the number of requests that this node has sent to the candidate
// since it received the candidate's latest load report.
func (c *Candidate) SentSince() int { return c.sentSince }
