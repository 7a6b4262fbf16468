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

// simulation replays one trace with one variant.
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

// call is one request from its arrival to its final answer.
type call struct {
	arrival  Arrival
	caller   *caller
	id       [2]uint64
	deadline time.Duration
	retry    retry.Request
	attempts uint32
	tried    []string
	runs     int
	finals   int
}

// attempt is one try of a call at one endpoint.
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

// settleTime is how long after the last arrival a call may still end; one that
// has not by then is lost.
const settleTime = time.Minute

// Run replays the trace with a variant.
func Run(trace *Trace, variant Variant, seed uint64) *Result {
	s := &simulation{trace: trace, variant: variant, random: rand.New(rand.NewPCG(seed, 99)), result: newCollector(variant.Name, trace)}
	s.build()
	for _, a := range trace.Arrivals {
		s.At(a.At.Duration(), func() { s.arrive(a) })
	}
	for _, e := range trace.Servers {
		s.At(e.At.Duration(), func() { s.change(e) })
	}
	last := trace.Header.Duration.Duration() + settleTime
	s.RunUntil(func() bool { return s.Now() > last || s.result.calls == len(trace.Arrivals) })
	return s.result.finish()
}

func (s *simulation) build() {
	h := s.trace.Header
	for i := range h.Service.Servers {
		n := &node{s: s, index: i, host: hostName(i), server: newServer(&s.Clock), requests: map[gate.Handle]*attempt{}}
		s.nodes = append(s.nodes, n)
		n.boot()
	}
	for i := range h.Callers {
		source := rand.New(rand.NewPCG(s.random.Uint64(), uint64(i)))
		perMille := h.Service.RetryPerMille
		if s.variant.NoRetryBudget {
			perMille = 1_000_000
		}
		c := &caller{index: i, pool: balancer.NewPool(s.variant.Build(source)), budget: retry.NewBudget(perMille)}
		s.callers = append(s.callers, c)
	}
	s.updatePools()
}

func (s *simulation) distance() time.Duration { return s.trace.Header.Distance.Duration() }

// updatePools tells every caller who is there, as the directory would.
func (s *simulation) updatePools() {
	var list []balancer.Candidate
	for _, n := range s.nodes {
		list = append(list, balancer.Candidate{Host: n.host, Incarnation: n.incarnation, Slots: s.trace.Header.Service.Slots,
			Distance: s.distance(), Draining: n.draining})
	}
	for _, c := range s.callers {
		c.pool.Update(list)
	}
}

func (s *simulation) arrive(a Arrival) {
	s.request++
	c := s.callers[a.Caller]
	c.budget.Call()
	k := &call{arrival: a, caller: c, id: [2]uint64{uint64(a.Caller), s.request}, deadline: s.Now() + a.Deadline.Duration(),
		retry: retry.Request{Idempotent: a.Idempotent, MaxAttempts: max(1, s.trace.Header.Service.MaxAttempts)}}
	s.result.arrived(s.Now())
	s.try(k, nil)
}

// try sends a call to the named candidate, or to one that the policy picks.
func (s *simulation) try(k *call, named *balancer.Candidate) {
	to := named
	if to == nil {
		to = s.pick(k)
	} else {
		k.caller.pool.Start(to)
	}
	if to == nil {
		s.follow(k, k.retry.GiveUp(), nil)
		return
	}
	k.attempts++
	s.result.attempts++
	n := s.node(to.Host)
	a := &attempt{call: k, id: gate.AttemptID{Request: k.id, Attempt: k.attempts}, to: to, node: n, sent: s.Now(), incarnation: to.Incarnation}
	s.After(s.distance(), func() { n.receive(a) })
}

func (s *simulation) node(host string) *node {
	for _, n := range s.nodes {
		if n.host == host {
			return n
		}
	}
	return nil
}

func (s *simulation) pick(k *call) *balancer.Candidate {
	if !s.variant.Omniscient {
		return k.caller.pool.Pick(s.Now(), k.tried)
	}
	best := s.bestServer(k)
	if best == nil {
		return nil
	}
	to := k.caller.pool.Get(best.host)
	k.caller.pool.Start(to)
	return to
}

// bestServer knows every server's speed, queue and the requests on their way.
func (s *simulation) bestServer(k *call) *node {
	var best *node
	var soonest float64
	for _, n := range s.nodes {
		if n.draining || n.server.failFast || slices.Contains(k.tried, n.host) {
			continue
		}
		ahead := float64(n.underway() + len(n.requests))
		slots := float64(s.trace.Header.Service.Slots)
		speed := max(n.server.speed, 1e-6)
		f := float64(k.arrival.Demand) / speed
		if ahead >= slots {
			f += (ahead - slots + 1) / slots * 5000 / speed
		}
		if best == nil || f < soonest {
			best, soonest = n, f
		}
	}
	return best
}

// answered is the end of a call: the backend server's own answer.
func (s *simulation) answered(a *attempt, outcome jobOutcome) {
	if a.settled {
		return
	}
	s.settle(a, true)
	switch outcome {
	case jobCompleted:
		s.final(a.call, finalAnswered)
	case jobFailed:
		s.final(a.call, finalFailed)
	case jobKilled:
		// The node saw its backend server die with the request in it: it may
		// have run, and the node says so.
		s.next(a, retry.Lost, nil)
	}
}

func (s *simulation) settle(a *attempt, reached bool) {
	a.settled = true
	a.call.caller.pool.Done(s.Now(), a.to, reached)
}

func (s *simulation) ended(a *attempt, how retry.Ended) {
	if a.settled {
		return
	}
	s.settle(a, true)
	s.next(a, how, a.to)
}

// moved sends the call to the sibling that the gate named.
func (s *simulation) moved(a *attempt, host string) {
	if a.settled {
		return
	}
	s.settle(a, true)
	s.next(a, retry.Moved, a.call.caller.pool.Get(host))
}

// restarted is the answer of a node that lost its gate since the caller heard
// of it.
func (s *simulation) restarted(a *attempt, incarnation uint64) {
	if a.settled {
		return
	}
	a.call.caller.pool.SetIncarnation(a.to, incarnation)
	s.settle(a, true)
	s.next(a, retry.Restarted, a.to)
}

// next asks the retry rules what follows.
func (s *simulation) next(a *attempt, how retry.Ended, named *balancer.Candidate) {
	k := a.call
	if how != retry.Moved && how != retry.Restarted {
		k.tried = append(k.tried, a.to.Host)
	}
	s.follow(k, k.retry.Next(how, k.caller.budget, k.caller.pool.Others(k.tried)), named)
}

func (s *simulation) follow(k *call, action retry.Action, named *balancer.Candidate) {
	switch action {
	case retry.TryNamed:
		s.try(k, named)
	case retry.TryOther:
		s.try(k, nil)
	case retry.GiveUpUnknown:
		s.final(k, finalUnknown)
	default:
		s.final(k, finalNotRun)
	}
}

// lost is a broken connection: the caller asks the gate what became of it.
func (s *simulation) lost(a *attempt) {
	if a.settled {
		return
	}
	s.settle(a, false)
	n := a.node
	s.After(s.distance(), func() {
		answer := gate.RevokeUnknown
		if n.incarnation == a.incarnation {
			var events []gate.Event
			answer, events = n.gate.Revoke(s.Now(), a.id, s.Now()-a.sent)
			n.forgetRevoked(events)
		}
		s.After(s.distance(), func() {
			how := retry.Lost
			if answer == gate.RevokeNeverStarted {
				how = retry.NotRun
			}
			s.next(a, how, nil)
		})
	})
}

// change carries out a line about a server.
func (s *simulation) change(e Server) {
	n := s.nodes[e.Server]
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
	if e.LoseAnswers != nil {
		n.loseAnswers = *e.LoseAnswers
	}
	if e.Cold {
		n.gate.SetCold(s.Now(), 0)
	}
	if e.Draining != nil {
		n.draining = *e.Draining
		n.carryOut(n.gate.SetDraining(s.Now(), n.draining))
		s.After(directoryDelay, s.updatePools)
	}
	if e.Kill {
		n.server.kill()
	}
	if e.RestartNode {
		n.restart()
	}
}

// directoryDelay is how long the directory takes to tell everybody.
const directoryDelay = 2 * time.Second
