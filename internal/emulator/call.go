package emulator

import (
	"slices"
	"time"

	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/core/retry"
)

// outcome is how a call ended for its caller.
type outcome int

const (
	answered outcome = iota
	failed
	notRun
)

// call is one request on its way to its final answer, as internal/proxy does it.
type call struct {
	s          *simulation
	class      *Class
	origin     *node
	id         [2]uint64
	deadline   time.Duration
	rules      retry.Request
	attempts   uint32
	tried      []string
	live       []*attempt
	hedged     bool
	retryAfter time.Duration
	runs       int
	over       bool
	end        func(outcome)
}

// attempt is one try of a call at one endpoint.
type attempt struct {
	call    *call
	id      gate.AttemptID
	to      *balancer.Candidate
	node    *node
	handle  gate.Handle
	job     *job
	settled bool
	// movedTo is the sibling that the gate named.
	movedTo string
}

// begin starts a call from a host.
func (s *simulation) begin(origin *node, class *Class, deadline time.Duration, end func(outcome)) *call {
	s.requests++
	service := s.scenario.service(class.Service)
	origin.refillBudget(service)
	origin.budgets[service].Call()
	c := &call{s: s, class: class, origin: origin, id: [2]uint64{1, s.requests}, deadline: min(deadline, s.now()+class.Timeout.Duration()), end: end,
		rules: retry.Request{Idempotent: class.Idempotent, MaxAttempts: max(1, class.MaxAttempts)}}
	s.clock.At(c.deadline, c.timeOut)
	c.try(c.pick())
	return c
}

func (c *call) service() int { return c.s.scenario.service(c.class.Service) }

func (c *call) pool() *balancer.Pool { return c.origin.pools[c.service()] }

func (c *call) budget() *retry.Budget {
	c.origin.refillBudget(c.service())
	return c.origin.budgets[c.service()]
}

func (n *node) refillBudget(service int) {
	now := n.s.now()
	n.budgets[service].Refill(now - n.refill[service])
	n.refill[service] = now
}

func (c *call) pick() *balancer.Candidate {
	if c.s.variant.Omniscient {
		return c.s.best(c)
	}
	return c.pool().Pick(c.s.now(), c.tried)
}

// try sends an attempt to a candidate that is counted as picked.
func (c *call) try(to *balancer.Candidate) {
	if to == nil {
		c.giveUp(c.rules.GiveUp())
		return
	}
	c.attempts++
	c.s.result.attempts++
	a := &attempt{call: c, id: gate.AttemptID{Request: c.id, Attempt: c.attempts}, to: to, node: c.s.byHost[to.Host]}
	c.live = append(c.live, a)
	c.s.between(c.origin, a.node, func() { a.node.receive(a) })
}

// settle ends an attempt once; it tells whether it was the first to do so.
func (a *attempt) settle() bool {
	if a.settled {
		return false
	}
	a.settled = true
	c := a.call
	c.pool().Done(c.s.now(), a.to, true)
	c.live = slices.DeleteFunc(c.live, func(other *attempt) bool { return other == a })
	return !c.over
}

func (a *attempt) answered(ok bool) {
	if !a.settle() {
		return
	}
	end := answered
	if !ok {
		end = failed
	}
	a.call.finish(end)
}

// notRun is a gate's word that it did not start the attempt.
func (a *attempt) notRun(e gate.Event) {
	c := a.call
	if e.RetryAfter > 0 {
		c.retryAfter = e.RetryAfter
	}
	if e.Kind == gate.Moved {
		c.s.result.moves++
		c.pool().SetCrowded(c.s.now(), a.to)
		a.movedTo = e.To
		a.ended(retry.Moved)
		return
	}
	how := retry.NotRun
	switch e.Reason {
	case gate.Draining:
		c.pool().SetDraining(a.to)
		how = retry.Leaving
	case gate.QueueFull, gate.TooLate:
		c.pool().SetCrowded(c.s.now(), a.to)
	}
	if e.Everywhere && how == retry.NotRun {
		how = retry.NotRunAnywhere
	}
	a.ended(how)
}

// ended takes in an attempt without an answer.
func (a *attempt) ended(how retry.Ended) {
	if !a.settle() {
		return
	}
	c := a.call
	if how == retry.Moved {
		c.follow(how, a)
		return
	}
	c.tried = append(c.tried, a.to.Host)
	if len(c.live) > 0 {
		// The other attempt still runs and decides.
		return
	}
	c.follow(how, a)
}

func (c *call) follow(how retry.Ended, a *attempt) {
	switch action := c.rules.Next(how, c.budget(), c.pool().Others(c.tried)); action {
	case retry.TryNamed:
		to := c.pool().Get(a.movedTo)
		c.pool().Start(to)
		c.try(to)
	case retry.TryOther:
		c.s.result.retries++
		c.try(c.pick())
	default:
		if len(c.live) == 0 {
			c.giveUp(action)
		}
	}
}

// hint makes a second attempt beside a stuck one.
func (c *call) hint(a *attempt, host string) {
	if c.over || c.hedged || a.settled || c.rules.MaxAttempts < 2 {
		return
	}
	to := c.pool().Get(host)
	if to == nil || !c.rules.Hedge(c.budget()) {
		return
	}
	c.hedged = true
	c.s.result.hedges++
	c.pool().Start(to)
	c.try(to)
}

func (c *call) giveUp(action retry.Action) {
	if action == retry.GiveUpUnknown {
		c.finish(failed)
		return
	}
	c.finish(notRun)
}

func (c *call) timeOut() {
	if !c.over {
		c.finish(failed)
	}
}

// finish gives the caller its final answer and ends what still runs.
func (c *call) finish(end outcome) {
	if c.over {
		return
	}
	c.over = true
	for _, a := range slices.Clone(c.live) {
		a.settle()
		c.s.between(c.origin, a.node, func() { a.node.abandon(a) })
	}
	if end == notRun && c.runs > 0 && !c.class.Idempotent {
		c.s.result.falseNotRun++
	}
	if c.runs > 1 && !c.class.Idempotent {
		c.s.result.runTwice++
	}
	c.end(end)
}
