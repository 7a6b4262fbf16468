package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/balancer"
	"cactuspath/core/balancer/nodes"
	"cactuspath/core/mechanism"
	"cactuspath/core/retry"
	"cactuspath/internal/hop"
)

// service is this node's state for one service that it calls.
type service struct {
	name string
	// subscribed is set once a request was made for the service.
	subscribed atomic.Bool

	mu     sync.Mutex
	spec   *apiv1.ServiceSpec
	pool   *balancer.Pool
	budget *retry.Budget
	// sharedBudget is the retry budget shared by all nodes; zero if the retry ratio from
	// the configuration applies. lastRefill is when elapsed time was last credited to the
	// budget.
	sharedBudget SharedRetryBudget
	nodeCount    int
	lastRefill   time.Time
}

// selectedEndpoint is a copy of a candidate, made when it was selected. The pool's own
// entry changes with the directory while attempts run; reading its address without the
// service's lock would be a data race and could return half of one address and half of
// another.
type selectedEndpoint struct {
	balancer.Candidate
	entry *balancer.Candidate
}

// snapshotCandidate copies a candidate of the pool; the caller holds the lock. It returns
// nil if c is nil.
func snapshotCandidate(c *balancer.Candidate) *selectedEndpoint {
	if c == nil {
		return nil
	}
	return &selectedEndpoint{Candidate: *c, entry: c}
}

// SharedRetryBudget configures a retry budget that is shared by all nodes. It is not used if
// Window is 0.
type SharedRetryBudget struct {
	Ratio, Slack float64
	Window       time.Duration
}

func newService(name string, disabledSet mechanism.Set, retryByNeed bool) *service {
	budget := retry.NewBudget(0)
	budget.SetRandom(rand.Float64)
	budget.SetByNeed(retryByNeed)
	return &service{name: name, spec: &apiv1.ServiceSpec{}, pool: balancer.NewPool(newPolicy(disabledSet)), budget: budget}
}

// newPolicy returns the balancing policy of nodes, with a random source of its own.
func newPolicy(disabledSet mechanism.Set) balancer.Policy {
	return nodes.Policy(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), disabledSet)
}

// setDisabled replaces the set of disabled mechanisms. RetryByNeed tells whether the order of
// retries by need is asked for and enabled.
func (s *service) setDisabled(disabledSet mechanism.Set, retryByNeed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetByNeed(retryByNeed)
	s.pool.SetPolicy(newPolicy(disabledSet))
}

func (s *service) configure(spec *apiv1.ServiceSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	if s.sharedBudget.Window == 0 {
		s.budget.Set(int(spec.GetRetryPerMille()))
	}
}

// setBudgetShare sets the service's retry budget to this node's part of the shared budget,
// one of nodeCount parts.
func (s *service) setBudgetShare(sharedBudget SharedRetryBudget, nodeCount int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sharedBudget.Window == 0 || s.sharedBudget == sharedBudget && s.nodeCount == nodeCount {
		return
	}
	s.sharedBudget, s.nodeCount = sharedBudget, nodeCount
	s.budget.SetShare(sharedBudget.Ratio, sharedBudget.Slack, nodeCount, sharedBudget.Window)
}

// refill credits the time elapsed since the last refill to the budget; the caller holds
// the lock.
func (s *service) refill() {
	now := time.Now()
	if s.lastRefill.IsZero() {
		s.lastRefill = now
	}
	if elapsed := now.Sub(s.lastRefill); elapsed >= refillInterval {
		s.budget.Refill(elapsed)
		s.lastRefill = now
	}
}

// refillInterval is the minimum time between refills; the credits of shorter intervals would
// be rounded to zero.
const refillInterval = 100 * time.Millisecond

// pickHedge returns the endpoint for a hedged attempt, charges the attempt to the retry
// budget and counts it as outstanding at the endpoint. The endpoint is the one on the named
// host, or, for hop.AnyHost, any except the one on stuckHost. pickHedge returns nil if there
// is no such endpoint or the budget is exhausted.
func (s *service) pickHedge(now time.Duration, rules *retry.Request, host, stuckHost string) *selectedEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidate := s.pool.Get(host)
	if host != hop.AnyHost && (candidate == nil || candidate.Draining || candidate.Evacuated) || !s.pool.HasOther([]string{stuckHost}) {
		return nil
	}
	s.refill()
	if !rules.Hedge(s.budget) {
		return nil
	}
	if host == hop.AnyHost {
		return snapshotCandidate(s.pool.Pick(now, []string{stuckHost}))
	}
	s.pool.Start(candidate)
	return snapshotCandidate(candidate)
}

// visitPeers calls visit with the peer address of each endpoint.
func (s *service) visitPeers(visit func(peerAddress string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Each(func(c *balancer.Candidate) { visit(c.PeerAddress) })
}

func (s *service) update(candidates []balancer.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Update(candidates)
}

// beginCall counts a call in the retry budget and returns its service spec and retry rules.
func (s *service) beginCall(method string) (spec *apiv1.ServiceSpec, rules retry.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill()
	s.budget.RecordCall()
	rules = retry.Request{Idempotent: slices.Contains(s.spec.IdempotentMethods, method), MaxAttempts: int(max(1, s.spec.MaxAttempts))}
	return s.spec, rules
}

// pick returns the endpoint for an attempt, given the hosts that were tried before, and counts
// the attempt as outstanding there. It returns nil if there is no endpoint.
func (s *service) pick(now time.Duration, tried []string) *selectedEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshotCandidate(s.pool.Pick(now, tried))
}

// pickNamed returns the endpoint on the host and counts a request as outstanding there. It
// returns nil if the endpoint is unknown or evacuated.
func (s *service) pickNamed(host string) *selectedEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pool.Get(host)
	if c == nil || c.Evacuated {
		return nil
	}
	s.pool.Start(c)
	return snapshotCandidate(c)
}

// done ends an attempt that was counted as outstanding at an endpoint. reached tells whether
// the endpoint was reached.
func (s *service) done(now time.Duration, to *selectedEndpoint, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Done(now, to.entry, reached)
}

func (s *service) nextAction(rules *retry.Request, ended retry.Result, tried []string) retry.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill()
	return rules.Next(ended, s.budget, s.pool.HasOther(tried))
}

// retriesRefusedByNeed returns how often the budget was left to requests of higher need.
func (s *service) retriesRefusedByNeed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.RefusedByNeed
}

// hasRoom reports whether the gate of any endpoint is not known to be full.
func (s *service) hasRoom(now time.Duration) (room bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Each(func(c *balancer.Candidate) { room = room || !c.Draining && !c.Evacuated && !c.RecentlyFull(now) })
	return room
}

func (s *service) avoid(until time.Duration, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Avoid(until, host)
}

func (s *service) setRecentlyFull(now time.Duration, to *selectedEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetRecentlyFull(now, to.entry)
}

func (s *service) setDraining(to *selectedEndpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetDraining(to.entry)
}

func (s *service) setIncarnation(to *selectedEndpoint, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetIncarnation(to.entry, incarnation)
}

// allEvacuated reports whether there are endpoints and all of them are evacuated.
func (s *service) allEvacuated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Evacuated()
}

func (s *service) endpointCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Len()
}
