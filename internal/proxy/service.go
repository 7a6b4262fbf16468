package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/balancer"
	"cactuspath/core/balancer/nodes"
	"cactuspath/core/mechanism"
	"cactuspath/core/retry"
	"cactuspath/internal/hop"
)

// service is what this node keeps for one service it calls.
type service struct {
	name string

	mu     sync.Mutex
	spec   *apiv1.ServiceSpec
	pool   *balancer.Pool
	budget *retry.Budget
	// shared bounds the second attempts of all nodes; zero where the estate's terms
	// hold. refilled is when the budget last got back what time earns.
	shared   Shared
	nodes    int
	refilled time.Time
}

// picked is a candidate as it was when it was chosen. The pool's own entry, held,
// changes with the directory while attempts run; read without the service's lock,
// its address could be half of one and half of another.
type picked struct {
	balancer.Candidate
	held *balancer.Candidate
}

// pick copies what the pool chose; the caller holds the lock. It is nil if c is.
func pick(c *balancer.Candidate) *picked {
	if c == nil {
		return nil
	}
	return &picked{Candidate: *c, held: c}
}

// Shared is a budget of second attempts that all nodes have together.
type Shared struct {
	Ratio, Slack float64
	Window       time.Duration
}

func newService(name string, off mechanism.Set) *service {
	return &service{name: name, spec: &apiv1.ServiceSpec{}, pool: balancer.NewPool(newPolicy(off)), budget: retry.NewBudget(0)}
}

// newPolicy is the nodes' policy with a source of randomness of its own.
func newPolicy(off mechanism.Set) balancer.Policy {
	return nodes.Policy(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), off)
}

// disable changes which mechanisms are switched off.
func (s *service) disable(off mechanism.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetPolicy(newPolicy(off))
}

func (s *service) configure(spec *apiv1.ServiceSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spec = spec
	if s.shared.Window == 0 {
		s.budget.Set(int(spec.GetRetryPerMille()))
	}
}

// share sets the node's part of the shared budget.
func (s *service) share(shared Shared, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shared.Window == 0 || s.shared == shared && s.nodes == nodes {
		return
	}
	s.shared, s.nodes = shared, nodes
	s.budget.SetShare(shared.Ratio, shared.Slack, nodes, shared.Window)
}

// refill gives the budget what time earned since it was last looked at; the
// caller holds the lock.
func (s *service) refill() {
	if s.shared.Window == 0 {
		return
	}
	now := time.Now()
	if s.refilled.IsZero() {
		s.refilled = now
	}
	if elapsed := now.Sub(s.refilled); elapsed >= refillEvery {
		s.budget.Refill(elapsed)
		s.refilled = now
	}
}

// refillEvery keeps what is earned from being rounded away.
const refillEvery = 100 * time.Millisecond

// hedge takes a second attempt beside the first out of the budget and returns
// its endpoint, counted as picked: the host named, or any but the stuck one. It
// is nil if there is none or the budget is spent.
func (s *service) hedge(now time.Duration, rules *retry.Request, host, stuck string) *picked {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := s.pool.Get(host)
	if host != hop.AnyHost && (named == nil || named.Draining || named.Evacuated) || !s.pool.Others([]string{stuck}) {
		return nil
	}
	s.refill()
	if !rules.Hedge(s.budget) {
		return nil
	}
	if host == hop.AnyHost {
		return pick(s.pool.Pick(now, []string{stuck}))
	}
	s.pool.Start(named)
	return pick(named)
}

func (s *service) update(candidates []balancer.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Update(candidates)
}

// begin counts a call and returns the rules for it.
func (s *service) begin(method string) (spec *apiv1.ServiceSpec, rules retry.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill()
	s.budget.Call()
	rules = retry.Request{Idempotent: slices.Contains(s.spec.IdempotentMethods, method), MaxAttempts: int(max(1, s.spec.MaxAttempts))}
	return s.spec, rules
}

func (s *service) pick(now time.Duration, tried []string) *picked {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pick(s.pool.Pick(now, tried))
}

// named returns the candidate with the host, counted as picked, or nil.
func (s *service) named(host string) *picked {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pool.Get(host)
	if c == nil || c.Evacuated {
		return nil
	}
	s.pool.Start(c)
	return pick(c)
}

func (s *service) done(now time.Duration, to *picked, reached bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Done(now, to.held, reached)
}

func (s *service) next(rules *retry.Request, ended retry.Ended, tried []string) retry.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill()
	return rules.Next(ended, s.budget, s.pool.Others(tried))
}

func (s *service) avoid(until time.Duration, host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Avoid(until, host)
}

func (s *service) crowded(now time.Duration, to *picked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetCrowded(now, to.held)
}

func (s *service) setDraining(to *picked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetDraining(to.held)
}

func (s *service) setIncarnation(to *picked, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetIncarnation(to.held, incarnation)
}

// evacuated tells whether there are endpoints, and all of them are evacuated.
func (s *service) evacuated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Evacuated()
}

func (s *service) endpoints() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Len()
}
