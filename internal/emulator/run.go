package emulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/core/retry"
	"cactuspath/internal/virtual"
)

// simulation runs one scenario with one variant.
type simulation struct {
	clock    virtual.Clock
	scenario *Scenario
	variant  Variant
	seed     uint64
	nodes    []*node
	byHost   map[string]*node
	result   *collector
	requests uint64
	// load is by how much traffic has grown.
	load float64
}

func (s *simulation) now() time.Duration { return s.clock.Now() }

// Run plays the scenario with a variant.
func Run(scenario *Scenario, variant Variant, seed uint64) *Result {
	s := &simulation{scenario: scenario, variant: variant, seed: seed, byHost: map[string]*node{}, load: 1, result: newCollector(variant.Name, scenario)}
	s.build()
	for i := range scenario.Classes {
		if c := &scenario.Classes[i]; c.PerSecond > 0 {
			s.generate(c, s.source(uint64(1000+i)))
		}
	}
	for i, e := range scenario.Events {
		random := s.source(uint64(2000 + i))
		s.clock.At(e.At.Duration(), func() { s.strike(e, random) })
	}
	longest := time.Duration(0)
	for _, c := range scenario.Classes {
		longest = max(longest, c.Timeout.Duration())
	}
	end := scenario.Duration.Duration() + longest
	s.clock.RunUntil(func() bool { return s.now() > end })
	return s.result.finish()
}

// source is a stream of random draws of its own for each purpose, so that two
// policies meet the same noise and the same arrivals.
func (s *simulation) source(purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, purpose)) }

func (s *simulation) build() {
	for i := range s.scenario.Services {
		service := &s.scenario.Services[i]
		for j := range service.Endpoints {
			index := len(s.nodes)
			n := &node{s: s, host: service.Name + "-" + strconv.Itoa(j), center: (i + j) % s.scenario.DataCenters, service: service,
				random: s.source(uint64(index)), requests: map[gate.Handle]*attempt{}}
			n.server = newServer(&s.clock, service)
			n.gate = gate.New(n.host, n.config(), 0)
			s.nodes = append(s.nodes, n)
			s.byHost[n.host] = n
		}
	}
	for i, n := range s.nodes {
		n.setSiblings()
		n.noise()
		n.watchLoad()
		s.buildPools(n, s.source(uint64(500+i)))
	}
}

func (s *simulation) buildPools(n *node, random *rand.Rand) {
	for i := range s.scenario.Services {
		var list []balancer.Candidate
		for _, other := range s.nodes {
			if other.service == &s.scenario.Services[i] {
				list = append(list, balancer.Candidate{Host: other.host, Incarnation: 1, Slots: other.service.Slots, Distance: s.distance(n, other), Near: n.center == other.center})
			}
		}
		pool := balancer.NewPool(s.variant.Build(random))
		pool.Update(list)
		budget := retry.NewBudget(0)
		budget.SetShare(s.scenario.Retry.Ratio, s.scenario.Retry.Slack, len(s.nodes), s.scenario.Retry.Window.Duration())
		n.pools, n.budgets, n.refill = append(n.pools, pool), append(n.budgets, budget), append(n.refill, 0)
	}
}

// sameHost is the delay between two processes of one host.
const sameHost = 50 * time.Microsecond

func (s *simulation) distance(a, b *node) time.Duration {
	switch {
	case a == b:
		return sameHost
	case a.center == b.center:
		return s.scenario.Near.Duration()
	}
	return s.scenario.Far.Duration()
}

// between runs an event once a message from one node has come to another.
func (s *simulation) between(from, to *node, run func()) {
	s.clock.After(s.distance(from, to), run)
}

// generate lets callers send requests of a class, Poisson arrivals.
func (s *simulation) generate(c *Class, random *rand.Rand) {
	wait := random.ExpFloat64() / (c.PerSecond * s.load) * float64(time.Second)
	s.clock.After(time.Duration(wait), func() {
		if s.now() >= s.scenario.Duration.Duration() {
			return
		}
		s.ask(c, random)
		s.generate(c, random)
	})
}

// ask is one caller with its request; it comes back once.
func (s *simulation) ask(c *Class, random *rand.Rand) {
	r := &asked{s: s, class: c, first: s.now(), deadline: s.now() + c.Timeout.Duration()}
	s.result.asked(r)
	r.send(s.nodes[random.IntN(len(s.nodes))], 1)
}

// asked is a caller's request with its attempts.
type asked struct {
	s        *simulation
	class    *Class
	first    time.Duration
	deadline time.Duration
	refused  bool
}

const (
	// retryAfterParts bounds how long a caller waits as told, to that part of the
	// time it has left.
	retryAfterParts = 3
	// hastyWait is what a caller waits that was told nothing.
	hastyWait = 50 * time.Millisecond
)

func (r *asked) send(from *node, retries int) {
	var c *call
	c = r.s.begin(from, r.class, r.deadline, func(end outcome) {
		wait := hastyWait
		if c != nil && c.retryAfter > 0 {
			wait = c.retryAfter
		}
		left := r.deadline - r.s.now()
		again := end == notRun || end == failed && r.class.Idempotent
		if end == answered || !again || retries == 0 || left <= 0 {
			r.s.result.ended(r, end)
			return
		}
		r.refused = r.refused || end == notRun
		r.s.clock.After(min(wait, left/retryAfterParts), func() { r.send(from, retries-1) })
	})
}

// strike begins an event and has it end.
func (s *simulation) strike(e Event, random *rand.Rand) {
	if e.Kind == burst {
		s.load *= e.Factor
		s.clock.After(e.For.Duration(), func() { s.load /= e.Factor })
		return
	}
	for _, n := range s.struck(e, random) {
		if e.Kind == restart {
			n.crash(e.For.Duration())
			continue
		}
		n.strike(e)
		s.clock.After(e.For.Duration(), func() { n.recover(e) })
	}
}

// struck draws the endpoints that an event strikes, one at least.
func (s *simulation) struck(e Event, random *rand.Rand) []*node {
	var list []*node
	for _, n := range s.nodes {
		if e.Service == "" || n.service.Name == e.Service {
			list = append(list, n)
		}
	}
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(1, min(len(list), int(e.Share*float64(len(list))+0.5)))]
}

func (n *node) strike(e Event) {
	switch e.Kind {
	case slow:
		n.server.change(func() { n.server.slowness = e.Factor })
	case cold:
		n.server.change(func() { n.server.slowness = e.Factor })
		n.gate.SetCold(n.s.now(), e.For.Duration())
	case reject:
		n.server.rejects = e.Factor
	case stop:
		n.carryOut(n.gate.SetDraining(n.s.now(), true))
	}
}

func (n *node) recover(e Event) {
	switch e.Kind {
	case slow, cold:
		n.server.change(func() { n.server.slowness = 1 })
	case reject:
		n.server.rejects = 0
	case stop:
		n.carryOut(n.gate.SetDraining(n.s.now(), false))
		n.s.readmit(n)
	}
}

// readmit tells all callers that a host is back.
func (s *simulation) readmit(back *node) {
	for _, n := range s.nodes {
		for i := range n.pools {
			if c := n.pools[i].Get(back.host); c != nil {
				c.Draining = false
			}
		}
	}
}

// best knows every server's speed and what waits at its gate.
func (s *simulation) best(c *call) *balancer.Candidate {
	var best *node
	var soonest float64
	for _, n := range s.nodes {
		if n.service.Name != c.class.Service {
			continue
		}
		ahead := float64(len(n.requests)) / float64(n.service.Slots)
		finish := float64(c.class.Work) * n.server.told() * max(1, ahead+1)
		if best == nil || finish < soonest {
			best, soonest = n, finish
		}
	}
	to := c.pool().Get(best.host)
	c.pool().Start(to)
	return to
}
