package replay

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/balancer/predicted"
	"cactuspath/core/balancer/random"
	"cactuspath/core/balancer/roundrobin"
	"cactuspath/core/balancer/twochoices"
	"cactuspath/core/gate"
	"cactuspath/core/measure"
	"cactuspath/core/retry"
)

// Variant is one way to decide that a trace is replayed with.
type Variant struct {
	Name string
	// Build makes a caller's policy.
	Build func(*rand.Rand) balancer.Policy
	// Siblings lets the gates act together.
	Siblings bool
	// Reports lets answers tell the callers of load, outside any budget.
	Reports bool
	// Omniscient picks by the servers' true state.
	Omniscient bool
	// NoRetryBudget lifts the limit on retries.
	NoRetryBudget bool
	// NoMeasureBudget lifts the limit on measuring.
	NoMeasureBudget bool
}

// Chosen is the variant that the nodes run.
const Chosen = "cactus"

// Variants lists every variant by name.
func Variants() []Variant {
	return []Variant{
		{Name: "random", Build: random.New},
		{Name: "round-robin", Build: roundrobin.New},
		{Name: "least-outstanding", Build: leastoutstanding.New},
		{Name: "two-choices", Build: twochoices.New},
		{Name: "predicted", Build: predicted.New, Reports: true},
		{Name: "unbudgeted-retries", Build: leastoutstanding.New, NoRetryBudget: true},
		{Name: "omniscient", Build: random.New, Omniscient: true},
		{Name: Chosen, Build: leastoutstanding.New, Siblings: true},
		{Name: "cactus-predicted", Build: predicted.New, Siblings: true, Reports: true},
		{Name: "cactus-random", Build: random.New, Siblings: true},
		{Name: "cactus-no-retry-budget", Build: leastoutstanding.New, Siblings: true, NoRetryBudget: true},
		{Name: "cactus-no-measure-budget", Build: leastoutstanding.New, Siblings: true, NoMeasureBudget: true},
	}
}

// Find returns the variant with the name.
func Find(name string) (Variant, error) {
	for _, v := range Variants() {
		if v.Name == name {
			return v, nil
		}
	}
	return Variant{}, errors.Newf("no policy is named %q; `cactusctl replay --list` names them", name)
}

// simulation replays one trace with one variant.
type simulation struct {
	clock
	trace   *Trace
	variant Variant
	random  *rand.Rand
	nodes   []*node
	callers []*caller
	result  *collector
	request uint64
}

// node is an endpoint: a gate and the backend server beside it.
type node struct {
	s           *simulation
	index       int
	host        string
	gate        *gate.Gate
	server      *server
	incarnation uint64
	requests    map[gate.Handle]*attempt
	next        gate.Handle
	draining    bool
	armed       time.Duration

	reportDelay  time.Duration
	reportIdle   bool
	reportFrozen bool
	history      []stampedLoad
	sequence     uint64
	loseAnswers  float64
}

type stampedLoad struct {
	at   time.Duration
	load gate.Load
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
		s.at(a.At.Duration(), func() { s.arrive(a) })
	}
	for _, e := range trace.Servers {
		s.at(e.At.Duration(), func() { s.change(e) })
	}
	last := trace.Header.Duration.Duration() + settleTime
	s.drain(func() bool { return s.now > last || s.result.calls == len(trace.Arrivals) })
	return s.result.finish()
}

func (s *simulation) build() {
	h := s.trace.Header
	for i := range h.Service.Servers {
		n := &node{s: s, index: i, host: hostName(i), server: newServer(&s.clock), requests: map[gate.Handle]*attempt{}}
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

func hostName(i int) string { return "server-" + string(rune('a'+i/26)) + string(rune('a'+i%26)) }

func (n *node) boot() {
	n.incarnation++
	n.gate = gate.New(n.host, n.config(), n.s.now)
	var siblings []gate.Sibling
	for i := range n.s.trace.Header.Service.Servers {
		siblings = append(siblings, gate.Sibling{Host: hostName(i), Distance: n.s.distance()})
	}
	n.gate.SetSiblings(siblings)
	if n.draining {
		n.gate.SetDraining(n.s.now, true)
	}
	n.armed = 0
	n.arm()
}

func (n *node) config() gate.Config {
	h := n.s.trace.Header.Service
	c := gate.Config{Slots: h.Slots, Queue: h.Queue, SlowStart: h.SlowStart.Duration(), Siblings: n.s.variant.Siblings,
		ReportsPerSecond: measure.GateShare(uint32(h.ReportsPerSecond), h.Servers), BytesPerSecond: measure.GateShare(uint32(h.BytesPerSecond), h.Servers)}
	if n.s.variant.NoMeasureBudget {
		c.ReportsPerSecond, c.BytesPerSecond = 1<<20, 1<<30
	}
	return c
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
	k := &call{arrival: a, caller: c, id: [2]uint64{uint64(a.Caller), s.request}, deadline: s.now + a.Deadline.Duration(),
		retry: retry.Request{Idempotent: a.Idempotent, MaxAttempts: max(1, s.trace.Header.Service.MaxAttempts)}}
	s.result.arrived(s.now)
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
	k.tried = append(k.tried, to.Host)
	k.attempts++
	s.result.attempts++
	n := s.node(to.Host)
	a := &attempt{call: k, id: gate.AttemptID{Request: k.id, Attempt: k.attempts}, to: to, node: n, sent: s.now, incarnation: to.Incarnation}
	s.after(s.distance(), func() { n.receive(a) })
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
		return k.caller.pool.Pick(s.now, k.tried)
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
		if n.draining || n.server.failFast || contains(k.tried, n.host) {
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

func (n *node) underway() int {
	total := 0
	for _, c := range n.s.callers {
		total += c.pool.Get(n.host).Outstanding
	}
	return max(0, total-len(n.requests))
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// receive is the arrival of an attempt at its gate.
func (n *node) receive(a *attempt) {
	if a.incarnation != n.incarnation {
		incarnation := n.incarnation
		n.answer(a, func() { n.s.restarted(a, incarnation) })
		return
	}
	n.next++
	n.requests[n.next] = a
	n.carryOut(n.gate.Arrive(n.s.now, gate.Request{Handle: n.next, ID: a.id, Caller: callerName(a.call.caller), Deadline: a.call.deadline,
		Movable: a.call.retry.Movable()}))
	n.arm()
}

func callerName(c *caller) string { return string(rune('A' + c.index)) }

// arm lets the gate end what waits for too long.
func (n *node) arm() {
	at, ok := n.gate.NextTimer()
	if !ok {
		return
	}
	if n.armed != 0 && n.armed <= at && n.armed > n.s.now {
		return
	}
	g := n.gate
	n.armed = at
	n.s.at(at, func() {
		if n.gate == g && n.armed == at {
			n.armed = 0
			n.carryOut(g.Tick(n.s.now))
			n.arm()
		}
	})
}

// carryOut does what the gate decided.
func (n *node) carryOut(events []gate.Event) {
	for _, e := range events {
		a := n.requests[e.Handle]
		switch e.Kind {
		case gate.Started:
			n.execute(e.Handle, a)
		case gate.Refused:
			delete(n.requests, e.Handle)
			n.refused(a, e)
		case gate.Send:
			n.post(e)
		case gate.Moved:
			delete(n.requests, e.Handle)
			n.s.result.moves++
			n.answer(a, func() { n.s.moved(a, e.To) })
		}
	}
}

func (n *node) execute(h gate.Handle, a *attempt) {
	a.call.runs++
	incarnation := n.incarnation
	a.job = n.server.start(a.call.arrival.Demand.Duration(), func(outcome jobOutcome) {
		if n.incarnation != incarnation {
			return
		}
		delete(n.requests, h)
		n.carryOut(n.gate.Finish(n.s.now, h, gateOutcome(outcome)))
		n.arm()
		if n.s.random.Float64() < n.loseAnswers {
			n.s.after(n.s.distance(), func() { n.s.lost(a) })
			return
		}
		n.answer(a, func() { n.s.answered(a, outcome) })
	})
}

func gateOutcome(o jobOutcome) gate.Outcome {
	if o == jobCompleted {
		return gate.Completed
	}
	return gate.Failed
}

func (n *node) refused(a *attempt, e gate.Event) {
	how := retry.NotRun
	if e.Everywhere {
		how = retry.NotRunAnywhere
	}
	n.answer(a, func() {
		if e.Reason == gate.Draining {
			a.call.caller.pool.SetDraining(a.to)
		}
		n.s.ended(a, how)
	})
}

// post sends a report to a sibling.
func (n *node) post(e gate.Event) {
	report := n.falsify(e.Report)
	to := n.s.node(e.To)
	n.s.result.report(n.s.now)
	n.s.after(n.s.distance(), func() { to.gate.Learn(n.s.now, report) })
}

// answer sends an answer back.
func (n *node) answer(a *attempt, deliver func()) {
	load := n.gate.Load(n.s.now)
	n.sequence++
	report := n.falsify(gate.Report{Host: n.host, Sequence: n.sequence, Load: load})
	n.s.after(n.s.distance(), func() {
		if n.s.variant.Reports {
			a.call.caller.pool.Learn(n.s.now, report)
		}
		deliver()
	})
}

// falsify changes a report as the trace says: late, frozen, or idle while the
// server is busy.
func (n *node) falsify(r gate.Report) gate.Report {
	r.Incarnation = n.incarnation
	if n.reportFrozen && len(n.history) > 0 {
		r.Load = n.history[0].load
		return r
	}
	n.history = append(n.history, stampedLoad{n.s.now, r.Load})
	for len(n.history) > 1 && n.history[1].at <= n.s.now-n.reportDelay {
		n.history = n.history[1:]
	}
	if n.reportDelay > 0 {
		r.Load = n.history[0].load
	}
	if n.reportIdle {
		r.Load.Running, r.Load.Waiting = 0, 0
	}
	return r
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
	a.call.caller.pool.Done(s.now, a.to, reached)
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
	s.follow(k, k.retry.Next(how, k.caller.budget, len(k.tried) < len(s.nodes)), named)
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
	s.after(s.distance(), func() {
		answer := gate.RevokeUnknown
		if n.incarnation == a.incarnation {
			var events []gate.Event
			answer, events = n.gate.Revoke(s.now, a.id, s.now-a.sent)
			n.forgetRevoked(events)
		}
		s.after(s.distance(), func() {
			how := retry.Lost
			if answer == gate.RevokeNeverStarted {
				how = retry.NotRun
			}
			s.next(a, how, nil)
		})
	})
}

func (n *node) forgetRevoked(events []gate.Event) {
	for _, e := range events {
		if e.Kind == gate.Refused && e.Reason == gate.Revoked {
			delete(n.requests, e.Handle)
		}
	}
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
		n.gate.SetCold(s.now)
	}
	if e.Draining != nil {
		n.draining = *e.Draining
		n.carryOut(n.gate.SetDraining(s.now, n.draining))
		s.after(directoryDelay, s.updatePools)
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

// restart loses the gate and every connection; the backend server goes on.
func (n *node) restart() {
	lost := n.requests
	n.requests = map[gate.Handle]*attempt{}
	n.boot()
	for h := gate.Handle(1); h <= n.next; h++ {
		if a := lost[h]; a != nil {
			n.s.after(n.s.distance(), func() { n.s.lost(a) })
		}
	}
	n.s.after(directoryDelay, n.s.updatePools)
}
