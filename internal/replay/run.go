package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/core/retry"
	"cactuspath/internal/virtual"
)

// simulation is the replay of one trace with one variant.
type simulation struct {
	virtual.Clock
	trace   *Trace
	variant Variant
	random  *rand.Rand
	nodes   []*node
	callers []*caller
	result  *collector
	request uint64
}

type caller struct {
	index  int
	pool   *balancer.Pool
	budget *retry.Budget
}

// call is one request from its arrival to its final outcome, with all of its attempts.
type call struct {
	arrival     Arrival
	caller      *caller
	id          [2]uint64
	deadline    time.Duration
	retry       retry.Request
	attempts    uint32
	tried       []string
	executions  int
	completions int
}

// attempt is one attempt of a call at one endpoint.
type attempt struct {
	call        *call
	id          gate.AttemptID
	to          *balancer.Candidate
	node        *node
	sent        time.Duration
	incarnation uint64
	job         *job
	settled     bool
}

// completionGrace is how long after the end of the trace a call may still complete. A
// call that has not completed by then counts as lost.
const completionGrace = time.Minute

// Run simulates the trace with a variant and returns the results. Runs with the same
// arguments give the same results.
func Run(trace *Trace, variant Variant, seed uint64) *Result {
	sim := &simulation{trace: trace, variant: variant, random: rand.New(rand.NewPCG(seed, 99)), result: newCollector(variant.Name, trace)}
	sim.build()
	for _, a := range trace.Arrivals {
		sim.At(a.At.Duration(), func() { sim.arrive(a) })
	}
	for _, e := range trace.ServerChanges {
		sim.At(e.At.Duration(), func() { sim.applyChange(e) })
	}
	last := trace.Header.Duration.Duration() + completionGrace
	sim.RunUntil(func() bool { return sim.Now() > last || sim.result.calls == len(trace.Arrivals) })
	for _, n := range sim.nodes {
		sim.result.OverLimit = max(sim.result.OverLimit, n.server.overLimit())
	}
	return sim.result.finish()
}

func (sim *simulation) build() {
	h := sim.trace.Header
	for i := range h.Service.Servers {
		n := &node{sim: sim, index: i, host: hostName(i), server: newServer(&sim.Clock), requests: map[gate.Handle]*attempt{}}
		sim.nodes = append(sim.nodes, n)
		n.startGate()
	}
	for i := range h.Callers {
		source := rand.New(rand.NewPCG(sim.random.Uint64(), uint64(i)))
		perMille := h.Service.RetryPerMille
		if sim.variant.NoRetryBudget {
			perMille = 1_000_000
		}
		c := &caller{index: i, pool: balancer.NewPool(sim.variant.Build(source)), budget: retry.NewBudget(perMille)}
		sim.callers = append(sim.callers, c)
	}
	sim.updatePools()
}

func (sim *simulation) distance() time.Duration { return sim.trace.Header.Distance.Duration() }

// updatePools gives every caller the current list of endpoints, as the directory does.
func (sim *simulation) updatePools() {
	var list []balancer.Candidate
	for _, n := range sim.nodes {
		list = append(list, balancer.Candidate{Host: n.host, Incarnation: n.incarnation, Slots: sim.trace.Header.Service.Slots,
			Distance: sim.distance(), Draining: n.draining})
	}
	for _, c := range sim.callers {
		c.pool.Update(list)
	}
}

func (sim *simulation) arrive(a Arrival) {
	sim.request++
	c := sim.callers[a.Caller]
	c.budget.RecordCall()
	k := &call{arrival: a, caller: c, id: [2]uint64{uint64(a.Caller), sim.request}, deadline: sim.Now() + a.Deadline.Duration(),
		retry: retry.Request{Idempotent: a.Idempotent, MaxAttempts: max(1, sim.trace.Header.Service.MaxAttempts)}}
	sim.result.arrived(sim.Now())
	sim.sendAttempt(k, nil)
}

// sendAttempt sends an attempt to the target or, if it is nil, to a candidate that the
// policy picks.
func (sim *simulation) sendAttempt(k *call, target *balancer.Candidate) {
	to := target
	if to == nil {
		to = sim.pick(k)
	} else {
		k.caller.pool.Start(to)
	}
	if to == nil {
		sim.perform(k, k.retry.GiveUp(), nil)
		return
	}
	k.attempts++
	sim.result.attempts++
	n := sim.node(to.Host)
	a := &attempt{call: k, id: gate.AttemptID{Request: k.id, Attempt: k.attempts}, to: to, node: n, sent: sim.Now(), incarnation: to.Incarnation}
	sim.After(sim.distance(), func() { n.receive(a) })
}

func (sim *simulation) node(host string) *node {
	for _, n := range sim.nodes {
		if n.host == host {
			return n
		}
	}
	return nil
}

func (sim *simulation) pick(k *call) *balancer.Candidate {
	if !sim.variant.Omniscient {
		return k.caller.pool.Pick(sim.Now(), k.tried)
	}
	best := sim.bestServer(k)
	if best == nil {
		return nil
	}
	to := k.caller.pool.Get(best.host)
	k.caller.pool.Start(to)
	return to
}

// bestServer returns the node that is expected to finish the call first. It uses every
// server's current speed, its queue and the requests in transit to it, which real callers
// do not know.
func (sim *simulation) bestServer(k *call) *node {
	var best *node
	var soonest float64
	for _, n := range sim.nodes {
		if n.draining || n.server.failFast || slices.Contains(k.tried, n.host) {
			continue
		}
		outstanding := float64(n.inTransit() + len(n.requests))
		slots := float64(sim.trace.Header.Service.Slots)
		speed := max(n.server.speed, 1e-6)
		expected := float64(k.arrival.Demand) / speed
		if outstanding >= slots {
			expected += (outstanding - slots + 1) / slots * 5000 / speed
		}
		if best == nil || expected < soonest {
			best, soonest = n, expected
		}
	}
	return best
}

// onAnswer handles the backend server's response to an attempt.
func (sim *simulation) onAnswer(a *attempt, outcome jobOutcome) {
	if a.settled {
		return
	}
	sim.settle(a, true)
	switch outcome {
	case jobCompleted:
		sim.complete(a.call, callAnswered)
	case jobFailed:
		sim.complete(a.call, callFailed)
	case jobKilled:
		// The backend server crashed while the request was running. The node reports
		// that the request may have been executed.
		sim.applyRetryRules(a, retry.Lost, nil)
	}
}

func (sim *simulation) settle(a *attempt, reached bool) {
	a.settled = true
	a.call.caller.pool.Done(sim.Now(), a.to, reached)
}

// onRefused handles a gate's response that it refused the attempt, which was not run.
func (sim *simulation) onRefused(a *attempt, ended retry.Result) {
	if a.settled {
		return
	}
	sim.settle(a, true)
	sim.applyRetryRules(a, ended, a.to)
}

// onMoved sends the call on to the sibling that the gate named.
func (sim *simulation) onMoved(a *attempt, host string) {
	if a.settled {
		return
	}
	sim.settle(a, true)
	sim.applyRetryRules(a, retry.Moved, a.call.caller.pool.Get(host))
}

// onRestarted handles the response of a node that has restarted since the caller learned
// its incarnation number. The gate has lost its state, so the caller sends a new attempt to
// the same node.
func (sim *simulation) onRestarted(a *attempt, incarnation uint64) {
	if a.settled {
		return
	}
	a.call.caller.pool.SetIncarnation(a.to, incarnation)
	sim.settle(a, true)
	sim.applyRetryRules(a, retry.Restarted, a.to)
}

// applyRetryRules decides after an attempt without an answer whether the call is retried
// or ends. target is the endpoint for a retry at a named one.
func (sim *simulation) applyRetryRules(a *attempt, ended retry.Result, target *balancer.Candidate) {
	k := a.call
	if ended != retry.Moved && ended != retry.Restarted {
		k.tried = append(k.tried, a.to.Host)
	}
	sim.perform(k, k.retry.Next(ended, k.caller.budget, k.caller.pool.HasOther(k.tried)), target)
}

func (sim *simulation) perform(k *call, action retry.Action, target *balancer.Candidate) {
	switch action {
	case retry.RetryNamed:
		sim.sendAttempt(k, target)
	case retry.RetryOther:
		sim.sendAttempt(k, nil)
	case retry.GiveUpUnknown:
		sim.complete(k, callUnknown)
	default:
		sim.complete(k, callNotRun)
	}
}

// onLost handles a lost connection to a node. The caller revokes the attempt at the node's
// gate, which responds whether the attempt has run.
func (sim *simulation) onLost(a *attempt) {
	if a.settled {
		return
	}
	sim.settle(a, false)
	n := a.node
	sim.After(sim.distance(), func() {
		answer := gate.RevokeUnknown
		if n.incarnation == a.incarnation {
			var events []gate.Event
			answer, events = n.gate.Revoke(sim.Now(), a.id, sim.Now()-a.sent)
			n.removeRevoked(events)
		}
		sim.After(sim.distance(), func() {
			ended := retry.Lost
			if answer == gate.RevokeNeverStarted {
				ended = retry.NotRun
			}
			sim.applyRetryRules(a, ended, nil)
		})
	})
}

// applyChange applies a change in a backend server's behaviour.
func (sim *simulation) applyChange(e ServerChange) {
	n := sim.nodes[e.Server]
	if e.Speed != nil {
		n.server.setSpeed(*e.Speed)
	}
	if e.FailFast != nil {
		n.server.failFast = *e.FailFast
	}
	if e.ReportDelay != nil {
		n.reportDelay = e.ReportDelay.Duration()
	}
	if e.ReportIdle != nil {
		n.reportIdle = *e.ReportIdle
	}
	if e.ReportFrozen != nil {
		n.reportFrozen = *e.ReportFrozen
	}
	if e.Limit != nil {
		n.server.setLimit(*e.Limit)
	}
	if e.LoseAnswers != nil {
		n.loseAnswers = *e.LoseAnswers
	}
	if e.Cold {
		n.gate.SetCold(sim.Now(), 0)
	}
	if e.Draining != nil {
		n.draining = *e.Draining
		n.handleEvents(n.gate.SetDraining(sim.Now(), n.draining))
		sim.After(directoryDelay, sim.updatePools)
	}
	if e.Kill {
		n.server.kill()
	}
	if e.RestartNode {
		n.restart()
	}
}

// directoryDelay is how long the directory takes to propagate a change to all callers.
const directoryDelay = 2 * time.Second
