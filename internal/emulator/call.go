package emulator

import (
	"slices"
	"time"

	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/core/retry"
)

// callOutcome is the final outcome of a call as its caller sees it: answered, failed, or
// not run.
type callOutcome int

const (
	callAnswered callOutcome = iota
	callFailed
	callNotRun
)

// call is one request to a service, from a host's first attempt to the final outcome,
// with retries, moves and hedged attempts. It follows the steps of internal/proxy.
type call struct {
	sim        *simulation
	class      *Class
	origin     *node
	id         [2]uint64
	deadline   time.Duration
	retryState retry.Request
	attempts   uint32
	tried      []string
	active     []*attempt
	hedged     bool
	retryAfter time.Duration
	executions int
	finished   bool
	done       func(callOutcome)
}

// attempt is one attempt of a call at one endpoint.
type attempt struct {
	call    *call
	id      gate.AttemptID
	to      *balancer.Candidate
	node    *node
	handle  gate.Handle
	job     *job
	settled bool
	// movedTo is the host of the sibling to which the gate moved the request.
	movedTo string
}

// startCall starts a call from the host origin and calls done with its final outcome. The
// call ends at the deadline or after the timeout of its class, whichever is earlier.
func (sim *simulation) startCall(origin *node, class *Class, deadline time.Duration, need retry.Need, done func(callOutcome)) *call {
	sim.requests++
	service := sim.scenario.serviceIndex(class.Service)
	origin.refillBudget(service)
	origin.budgets[service].RecordCall()
	c := &call{sim: sim, class: class, origin: origin, id: [2]uint64{1, sim.requests}, deadline: min(deadline, sim.now()+class.Timeout.Duration()), done: done,
		retryState: retry.Request{Idempotent: class.Idempotent, Need: need, MaxAttempts: max(1, class.MaxAttempts)}}
	sim.clock.At(c.deadline, c.timeOut)
	c.sendAttempt(c.pick())
	return c
}

func (c *call) serviceIndex() int { return c.sim.scenario.serviceIndex(c.class.Service) }

func (c *call) pool() *balancer.Pool { return c.origin.pools[c.serviceIndex()] }

func (c *call) budget() *retry.Budget {
	c.origin.refillBudget(c.serviceIndex())
	return c.origin.budgets[c.serviceIndex()]
}

func (n *node) refillBudget(service int) {
	now := n.sim.now()
	n.budgets[service].Refill(now - n.refilledAt[service])
	n.refilledAt[service] = now
}

func (c *call) pick() *balancer.Candidate {
	if c.sim.variant.Omniscient {
		return c.sim.bestServer(c)
	}
	return c.pool().Pick(c.sim.now(), c.tried)
}

// sendAttempt sends an attempt to a candidate that the pool has already counted as picked.
// If the candidate is nil, no endpoint is available.
func (c *call) sendAttempt(to *balancer.Candidate) {
	if to == nil {
		c.giveUp(c.retryState.GiveUp())
		return
	}
	c.attempts++
	c.sim.result.attempts++
	a := &attempt{call: c, id: gate.AttemptID{Request: c.id, Attempt: c.attempts}, to: to, node: c.sim.byHost[to.Host]}
	c.active = append(c.active, a)
	c.sim.deliver(c.origin, a.node, func() { a.node.receive(a) })
}

// settle ends an attempt. It returns true if the attempt had not ended before and its call
// has no final outcome yet.
func (a *attempt) settle() bool {
	if a.settled {
		return false
	}
	a.settled = true
	c := a.call
	c.pool().Done(c.sim.now(), a.to, true)
	c.active = slices.DeleteFunc(c.active, func(other *attempt) bool { return other == a })
	return !c.finished
}

func (a *attempt) onAnswer(ok bool) {
	if !a.settle() {
		return
	}
	end := callAnswered
	if !ok {
		end = callFailed
	}
	a.call.finish(end)
}

// onNotRun handles a gate's response that the attempt was not run.
func (a *attempt) onNotRun(e gate.Event) {
	c := a.call
	if e.RetryAfter > 0 {
		c.retryAfter = e.RetryAfter
	}
	if e.Kind == gate.Moved {
		c.sim.result.moves++
		c.pool().SetRecentlyFull(c.sim.now(), a.to)
		a.movedTo = e.To
		a.onEnded(retry.Moved)
		return
	}
	ended := retry.NotRun
	switch e.Reason {
	case gate.Draining:
		c.pool().SetDraining(a.to)
		ended = retry.Draining
	case gate.QueueFull, gate.TooLate:
		c.pool().SetRecentlyFull(c.sim.now(), a.to)
	}
	if e.SiblingsFull && ended == retry.NotRun {
		ended = retry.NotRunAnywhere
	}
	a.onEnded(ended)
}

// onEnded handles an attempt that ended without an answer.
func (a *attempt) onEnded(ended retry.Result) {
	if !a.settle() {
		return
	}
	c := a.call
	if ended == retry.Moved {
		c.applyRetryRules(ended, a)
		return
	}
	c.tried = append(c.tried, a.to.Host)
	if len(c.active) > 0 {
		// The call was hedged. Its other attempt is still running and determines the
		// outcome.
		return
	}
	c.applyRetryRules(ended, a)
}

func (c *call) applyRetryRules(ended retry.Result, a *attempt) {
	switch action := c.retryState.Next(ended, c.budget(), c.pool().HasOther(c.tried)); action {
	case retry.RetryNamed:
		to := c.pool().Get(a.movedTo)
		c.pool().Start(to)
		c.sendAttempt(to)
	case retry.RetryOther:
		c.sim.result.retries++
		c.sendAttempt(c.pick())
	default:
		if len(c.active) == 0 {
			c.giveUp(action)
		}
	}
}

// hedge sends a hedged attempt to the sibling that the gate named, because this sibling is
// expected to finish before the attempt that is already running. A call is hedged at most
// once, if its retry rules and the retry budget permit it.
func (c *call) hedge(a *attempt, host string) {
	if c.finished || c.hedged || a.settled || c.retryState.MaxAttempts < 2 {
		return
	}
	to := c.pool().Get(host)
	if to == nil || !c.retryState.Hedge(c.budget()) {
		return
	}
	c.hedged = true
	c.sim.result.hedges++
	c.pool().Start(to)
	c.sendAttempt(to)
}

func (c *call) giveUp(action retry.Action) {
	if action == retry.GiveUpUnknown {
		c.finish(callFailed)
		return
	}
	c.finish(callNotRun)
}

func (c *call) timeOut() {
	if !c.finished {
		c.finish(callFailed)
	}
}

// finish reports the final outcome to the caller and cancels the attempts still running.
func (c *call) finish(end callOutcome) {
	if c.finished {
		return
	}
	c.finished = true
	for _, a := range slices.Clone(c.active) {
		a.settle()
		c.sim.deliver(c.origin, a.node, func() { a.node.cancelAttempt(a) })
	}
	if end == callNotRun && c.executions > 0 && !c.class.Idempotent {
		c.sim.result.falseNotRun++
	}
	if c.executions > 1 && !c.class.Idempotent {
		c.sim.result.runTwice++
	}
	c.done(end)
}
