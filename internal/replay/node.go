package replay

import (
	"time"

	"cactuspath/core/gate"
	"cactuspath/core/measure"
	"cactuspath/core/retry"
)

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

func (n *node) boot() {
	n.incarnation++
	n.gate = gate.New(n.host, n.config(), n.s.Now())
	var siblings []gate.Sibling
	for i := range n.s.trace.Header.Service.Servers {
		siblings = append(siblings, gate.Sibling{Host: hostName(i), Distance: n.s.distance()})
	}
	n.gate.SetSiblings(siblings)
	if n.draining {
		n.gate.SetDraining(n.s.Now(), true)
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

func (n *node) underway() int {
	total := 0
	for _, c := range n.s.callers {
		total += c.pool.Get(n.host).Outstanding
	}
	return max(0, total-len(n.requests))
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
	n.carryOut(n.gate.Arrive(n.s.Now(), gate.Request{Handle: n.next, ID: a.id, Caller: callerName(a.call.caller), Deadline: a.call.deadline,
		Movable: a.call.retry.Movable() && len(a.call.tried) == 0}))
	n.arm()
}

func callerName(c *caller) string { return string(rune('A' + c.index)) }

// arm lets the gate end what waits for too long.
func (n *node) arm() {
	at, ok := n.gate.NextTimer()
	if !ok {
		return
	}
	if n.armed != 0 && n.armed <= at && n.armed > n.s.Now() {
		return
	}
	g := n.gate
	n.armed = at
	n.s.At(at, func() {
		if n.gate == g && n.armed == at {
			n.armed = 0
			n.carryOut(g.Tick(n.s.Now()))
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

func (n *node) refused(a *attempt, e gate.Event) {
	how := retry.NotRun
	if e.Everywhere {
		how = retry.NotRunAnywhere
	}
	if e.Reason == gate.Draining {
		how = retry.Leaving
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
	n.s.result.report(n.s.Now())
	n.s.After(n.s.distance(), func() { to.gate.Learn(n.s.Now(), report) })
}

func (n *node) execute(h gate.Handle, a *attempt) {
	a.call.runs++
	incarnation := n.incarnation
	a.job = n.server.start(a.call.arrival.Demand.Duration(), func(outcome jobOutcome) {
		if n.incarnation != incarnation {
			return
		}
		delete(n.requests, h)
		n.carryOut(n.gate.Finish(n.s.Now(), h, gateOutcome(outcome)))
		n.arm()
		if n.s.random.Float64() < n.loseAnswers {
			n.s.After(n.s.distance(), func() { n.s.lost(a) })
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

// answer sends an answer back.
func (n *node) answer(a *attempt, deliver func()) {
	load := n.gate.Load(n.s.Now())
	n.sequence++
	report := n.falsify(gate.Report{Host: n.host, Sequence: n.sequence, Load: load})
	n.s.After(n.s.distance(), func() {
		if n.s.variant.Reports {
			a.call.caller.pool.Learn(n.s.Now(), report)
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
	n.history = append(n.history, stampedLoad{n.s.Now(), r.Load})
	for len(n.history) > 1 && n.history[1].at <= n.s.Now()-n.reportDelay {
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

func (n *node) forgetRevoked(events []gate.Event) {
	for _, e := range events {
		if e.Kind == gate.Refused && e.Reason == gate.Revoked {
			delete(n.requests, e.Handle)
		}
	}
}

// restart loses the gate and every connection; the backend server goes on.
func (n *node) restart() {
	lost := n.requests
	n.requests = map[gate.Handle]*attempt{}
	n.boot()
	for h := gate.Handle(1); h <= n.next; h++ {
		if a := lost[h]; a != nil {
			n.s.After(n.s.distance(), func() { n.s.lost(a) })
		}
	}
	n.s.After(directoryDelay, n.s.updatePools)
}

func hostName(i int) string { return "server-" + string(rune('a'+i/26)) + string(rune('a'+i%26)) }
