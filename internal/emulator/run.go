package emulator

import (
	"math/rand/v2"
	"strconv"
	"time"

	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/core/profile"
	"cactuspath/core/retry"
	"cactuspath/internal/virtual"
)

// simulation is the run of one scenario with one variant.
type simulation struct {
	clock    virtual.Clock
	scenario *Scenario
	variant  Variant
	seed     uint64
	nodes    []*node
	byHost   map[string]*node
	result   *collector
	requests uint64
	// clientRequests counts the requests of clients, each with its retry as one.
	clientRequests uint64
	// trafficFactor multiplies the rate of every class.
	trafficFactor float64
	// classFactors multiply the rates of single classes; a missing one is 1.
	classFactors map[string]float64
}

func (sim *simulation) now() time.Duration { return sim.clock.Now() }

// Run simulates the scenario with a variant and returns the results. Runs with the same
// arguments give the same results.
func Run(scenario *Scenario, variant Variant, seed uint64) *Result {
	sim := &simulation{scenario: scenario, variant: variant, seed: seed, byHost: map[string]*node{}, trafficFactor: 1, classFactors: map[string]float64{}, result: newCollector(variant.Name, scenario)}
	sim.build()
	for i := range scenario.Classes {
		if c := &scenario.Classes[i]; c.PerSecond > 0 {
			sim.generateArrivals(c, sim.randomStream(uint64(1000+i)))
		}
	}
	for i, e := range scenario.Events {
		random := sim.randomStream(uint64(2000 + i))
		sim.clock.At(e.At.Duration(), func() { sim.startEvent(e, random) })
	}
	longestTimeout := time.Duration(0)
	for _, c := range scenario.Classes {
		longestTimeout = max(longestTimeout, c.Timeout.Duration())
	}
	end := scenario.Duration.Duration() + longestTimeout
	sim.clock.RunUntil(func() bool { return sim.now() > end })
	result := sim.result.finish()
	result.Learned = sim.profiles()
	return result
}

// profiles returns the profiles of the services that control replicas would have now.
func (sim *simulation) profiles() map[string]gate.Learned {
	store := profile.NewStore()
	for _, n := range sim.nodes {
		store.Observe(n.host, n.service.Name, n.gate.Learned())
	}
	learned := map[string]gate.Learned{}
	for _, service := range sim.scenario.Services {
		learned[service.Name] = store.Profile(service.Name)
	}
	return learned
}

// randomStream returns a random stream that depends only on the seed and the purpose. The
// noise and the arrivals are therefore the same for all variants.
func (sim *simulation) randomStream(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(sim.seed, purpose))
}

func (sim *simulation) build() {
	for i := range sim.scenario.Services {
		service := &sim.scenario.Services[i]
		for j := range service.Endpoints {
			index := len(sim.nodes)
			n := &node{sim: sim, host: service.Name + "-" + strconv.Itoa(j), center: (i + j) % sim.scenario.DataCenters, service: service,
				random: sim.randomStream(uint64(index)), requests: map[gate.Handle]*attempt{}}
			n.server, n.link = newServer(&sim.clock, service), newLink(sim)
			n.gate = gate.New(n.host, n.config(), 0)
			if learned, known := sim.variant.Profiles[service.Name]; known {
				n.gate.Seed(0, learned)
			}
			sim.nodes = append(sim.nodes, n)
			sim.byHost[n.host] = n
		}
	}
	for i, n := range sim.nodes {
		n.setSiblings()
		n.drawNoise()
		n.pollLoad()
		sim.buildPools(n, sim.randomStream(uint64(500+i)))
		sim.buildBudgets(n, sim.randomStream(uint64(3000+i)))
	}
}

func (sim *simulation) buildPools(n *node, random *rand.Rand) {
	for i := range sim.scenario.Services {
		var list []balancer.Candidate
		for _, other := range sim.nodes {
			if other.service == &sim.scenario.Services[i] {
				list = append(list, balancer.Candidate{Host: other.host, Incarnation: 1, Slots: other.service.Slots, Distance: sim.distance(n, other), Near: n.center == other.center})
			}
		}
		pool := balancer.NewPool(sim.variant.Build(random))
		pool.Update(list)
		n.pools = append(n.pools, pool)
	}
}

func (sim *simulation) buildBudgets(n *node, random *rand.Rand) {
	for range sim.scenario.Services {
		budget := retry.NewBudget(0)
		budget.SetShare(sim.scenario.RetryBudget.Ratio, sim.scenario.RetryBudget.Slack, len(sim.nodes), sim.scenario.RetryBudget.Window.Duration())
		if sim.variant.RetryFractions {
			budget.SetRandom(random.Float64)
		}
		budget.SetByNeed(sim.variant.RetryByNeed)
		n.budgets, n.refilledAt = append(n.budgets, budget), append(n.refilledAt, 0)
	}
}

// sameHostDelay is the one-way delay between two processes on the same host.
const sameHostDelay = 50 * time.Microsecond

func (sim *simulation) distance(a, b *node) time.Duration {
	switch {
	case a == b:
		return sameHostDelay
	case a.center == b.center:
		return sim.scenario.Near.Duration()
	}
	return sim.scenario.Far.Duration()
}

// deliver calls run after the network delay from one node to another.
func (sim *simulation) deliver(from, to *node, run func()) {
	sim.clock.After(sim.distance(from, to), run)
}

// generateArrivals generates the Poisson arrivals of a class.
func (sim *simulation) generateArrivals(c *Class, random *rand.Rand) {
	wait := random.ExpFloat64() / (c.PerSecond * sim.trafficFactor * sim.classFactor(c.Name)) * float64(time.Second)
	sim.clock.After(time.Duration(wait), func() {
		if sim.now() >= sim.scenario.Duration.Duration() {
			return
		}
		sim.issueRequest(c, random)
		sim.generateArrivals(c, random)
	})
}

// issueRequest sends a new client request from a random host. The client retries it once
// if it was not run, or if it failed and is idempotent.
func (sim *simulation) issueRequest(c *Class, random *rand.Rand) {
	sim.clientRequests++
	r := &clientRequest{sim: sim, class: c, content: sim.clientRequests, firstSent: sim.now(), deadline: sim.now() + c.Timeout.Duration()}
	sim.result.recordRequest(r)
	r.send(sim.drawOrigin(random), 1)
}

// drawOrigin draws the host at which a client's request arrives.
func (sim *simulation) drawOrigin(random *rand.Rand) *node {
	if len(sim.scenario.Callers) == 0 {
		return sim.nodes[random.IntN(len(sim.nodes))]
	}
	center, left := 0, random.Float64()
	for center < len(sim.scenario.Callers)-1 && left >= sim.scenario.Callers[center] {
		left -= sim.scenario.Callers[center]
		center++
	}
	var hosts []*node
	for _, n := range sim.nodes {
		if n.center == center {
			hosts = append(hosts, n)
		}
	}
	return hosts[random.IntN(len(hosts))]
}

func (sim *simulation) classFactor(name string) float64 {
	if factor, ok := sim.classFactors[name]; ok {
		return factor
	}
	return 1
}

// clientRequest is a request as the client sees it. It is sent as one call or, with the
// client's retry, as two.
type clientRequest struct {
	sim   *simulation
	class *Class
	// content identifies the request; both tries have the same.
	content   uint64
	firstSent time.Duration
	deadline  time.Duration
	refused   bool
}

const (
	// retryWaitDivisor limits the wait before a client's retry to one third of the time
	// left until the deadline.
	retryWaitDivisor = 3
	// defaultRetryWait is the wait before a client's retry if the response did not specify
	// one.
	defaultRetryWait = 50 * time.Millisecond
)

func (r *clientRequest) send(from *node, retriesLeft int) {
	var c *call
	c = r.sim.startCall(from, r.class, r.deadline, from.needOfClient(r), func(end callOutcome) {
		if end == callNotRun {
			from.returns.GivenUp(r.sim.now(), r.content)
		}
		wait := defaultRetryWait
		if c != nil && c.retryAfter > 0 {
			wait = c.retryAfter
		}
		left := r.deadline - r.sim.now()
		retryable := end == callNotRun || end == callFailed && r.class.Idempotent
		if end == callAnswered || !retryable || retriesLeft == 0 || left <= 0 {
			r.sim.result.recordOutcome(r, end)
			return
		}
		r.refused = r.refused || end == callNotRun
		r.sim.clock.After(min(wait, left/retryWaitDivisor), func() { r.send(from, retriesLeft-1) })
	})
}

// startEvent starts an event and schedules its end.
func (sim *simulation) startEvent(e Event, random *rand.Rand) {
	if e.Kind == eventBurst && e.Class != "" {
		sim.classFactors[e.Class] = sim.classFactor(e.Class) * e.Factor
		sim.clock.After(e.For.Duration(), func() { sim.classFactors[e.Class] /= e.Factor })
		return
	}
	if e.Kind == eventBurst {
		sim.trafficFactor *= e.Factor
		sim.clock.After(e.For.Duration(), func() { sim.trafficFactor /= e.Factor })
		return
	}
	for _, n := range sim.drawNodes(e, random) {
		if e.Kind == eventRestart {
			n.crash(e.For.Duration())
			continue
		}
		n.applyEvent(e)
		sim.clock.After(e.For.Duration(), func() { n.endEvent(e) })
	}
}

// drawNodes draws the nodes that an event affects, at least one.
func (sim *simulation) drawNodes(e Event, random *rand.Rand) []*node {
	var list []*node
	for _, n := range sim.nodes {
		if e.Service == "" || n.service.Name == e.Service {
			list = append(list, n)
		}
	}
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:max(1, min(len(list), int(e.Share*float64(len(list))+0.5)))]
}

func (n *node) applyEvent(e Event) {
	switch e.Kind {
	case eventSlow:
		n.server.update(func() { n.server.slowness = e.Factor })
	case eventCold:
		n.server.update(func() { n.server.slowness = e.Factor })
		n.gate.SetCold(n.sim.now(), e.For.Duration())
	case eventReject:
		n.server.rejectShare = e.Factor
	case eventStop:
		n.handleEvents(n.gate.SetDraining(n.sim.now(), true))
	}
}

func (n *node) endEvent(e Event) {
	switch e.Kind {
	case eventSlow, eventCold:
		n.server.update(func() { n.server.slowness = 1 })
	case eventReject:
		n.server.rejectShare = 0
	case eventStop:
		n.handleEvents(n.gate.SetDraining(n.sim.now(), false))
		n.sim.clearDraining(n)
	}
}

// clearDraining removes the draining mark of a restarted host from the endpoint pools of
// all callers.
func (sim *simulation) clearDraining(returned *node) {
	for _, n := range sim.nodes {
		for i := range n.pools {
			if c := n.pools[i].Get(returned.host); c != nil {
				c.Draining = false
			}
		}
	}
}

// bestServer returns the endpoint that is expected to finish the call first. It uses the
// current slowdown of every server and the number of requests at its gate, which real
// callers do not know.
func (sim *simulation) bestServer(c *call) *balancer.Candidate {
	var best *node
	var soonest float64
	for _, n := range sim.nodes {
		if n.service.Name != c.class.Service {
			continue
		}
		occupancy := float64(len(n.requests)) / float64(n.service.Slots)
		finish := float64(c.class.Work) * n.server.slowdown() * max(1, occupancy+1)
		if best == nil || finish < soonest {
			best, soonest = n, finish
		}
	}
	to := c.pool().Get(best.host)
	c.pool().Start(to)
	return to
}
