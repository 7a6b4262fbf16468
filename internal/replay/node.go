package replay

import (
	"time"

	"cactuspath/core/gate"
	"cactuspath/core/measure"
	"cactuspath/core/retry"
)

// node is an endpoint: a backend server and the gate in front of it.
type node struct {
	sim         *simulation
	index       int
	host        string
	gate        *gate.Gate
	server      *server
	incarnation uint64
	requests    map[gate.Handle]*attempt
	lastHandle  gate.Handle
	draining    bool
	// timerAt is when the gate's next timer fires, or 0 if none is set.
	timerAt time.Duration

	reportDelay  time.Duration
	reportIdle   bool
	reportFrozen bool
	loadHistory  []loadSample
	sequence     uint64
	loseAnswers  float64
}

type loadSample struct {
	at   time.Duration
	load gate.Load
}

// startGate replaces the node's gate by a new one, as the start of a node process does.
func (n *node) startGate() {
	n.incarnation++
	n.gate = gate.New(n.host, n.config(), n.sim.Now())
	var siblings []gate.Sibling
	for i := range n.sim.trace.Header.Service.Servers {
		siblings = append(siblings, gate.Sibling{Host: hostName(i), Distance: n.sim.distance()})
	}
	n.gate.SetSiblings(siblings)
	if n.draining {
		n.gate.SetDraining(n.sim.Now(), true)
	}
	n.timerAt = 0
	n.scheduleTimer()
}

func (n *node) config() gate.Config {
	h := n.sim.trace.Header.Service
	c := gate.Config{Slots: h.Slots, Queue: h.Queue, SlowStart: h.SlowStart.Duration(), Siblings: n.sim.variant.Siblings,
		ReportsPerSecond: measure.GateShare(uint32(h.ReportsPerSecond), h.Servers), BytesPerSecond: measure.GateShare(uint32(h.BytesPerSecond), h.Servers)}
	if n.sim.variant.NoMeasureBudget {
		c.ReportsPerSecond, c.BytesPerSecond = 1<<20, 1<<30
	}
	return c
}

// inTransit returns the number of requests that callers have sent to the node and that its
// gate does not hold.
func (n *node) inTransit() int {
	total := 0
	for _, c := range n.sim.callers {
		total += c.pool.Get(n.host).Outstanding
	}
	return max(0, total-len(n.requests))
}

// receive passes an arriving attempt to the gate.
func (n *node) receive(a *attempt) {
	if a.incarnation != n.incarnation {
		incarnation := n.incarnation
		n.respond(a, func() { n.sim.onRestarted(a, incarnation) })
		return
	}
	n.lastHandle++
	n.requests[n.lastHandle] = a
	n.handleEvents(n.gate.Arrive(n.sim.Now(), gate.Request{Handle: n.lastHandle, ID: a.id, Caller: callerName(a.call.caller), Deadline: a.call.deadline,
		Movable: a.call.retry.Movable() && len(a.call.tried) == 0}))
	n.scheduleTimer()
}

func callerName(c *caller) string { return string(rune('A' + c.index)) }

// scheduleTimer schedules the gate's next timer, at which the gate ends requests that have
// waited too long in its queue.
func (n *node) scheduleTimer() {
	at, ok := n.gate.NextTimer()
	if !ok {
		return
	}
	if n.timerAt != 0 && n.timerAt <= at && n.timerAt > n.sim.Now() {
		return
	}
	g := n.gate
	n.timerAt = at
	n.sim.At(at, func() {
		if n.gate == g && n.timerAt == at {
			n.timerAt = 0
			n.handleEvents(g.Tick(n.sim.Now()))
			n.scheduleTimer()
		}
	})
}

// handleEvents carries out the decisions of the gate.
func (n *node) handleEvents(events []gate.Event) {
	for _, e := range events {
		a := n.requests[e.Handle]
		switch e.Kind {
		case gate.Started:
			n.execute(e.Handle, a)
		case gate.Refused:
			delete(n.requests, e.Handle)
			n.handleRefusal(a, e)
		case gate.Send:
			n.sendReport(e)
		case gate.Moved:
			delete(n.requests, e.Handle)
			n.sim.result.moves++
			n.respond(a, func() { n.sim.onMoved(a, e.To) })
		}
	}
}

func (n *node) handleRefusal(a *attempt, e gate.Event) {
	ended := retry.NotRun
	if e.SiblingsFull {
		ended = retry.NotRunAnywhere
	}
	if e.Reason == gate.Draining {
		ended = retry.Draining
	}
	n.respond(a, func() {
		if e.Reason == gate.Draining {
			a.call.caller.pool.SetDraining(a.to)
		}
		n.sim.onRefused(a, ended)
	})
}

// sendReport sends a load report to a sibling.
func (n *node) sendReport(e gate.Event) {
	report := n.falsifyReport(e.Report)
	to := n.sim.node(e.To)
	n.sim.result.report(n.sim.Now())
	n.sim.After(n.sim.distance(), func() { to.gate.ApplyReport(n.sim.Now(), report) })
}

func (n *node) execute(h gate.Handle, a *attempt) {
	a.call.executions++
	incarnation := n.incarnation
	a.job = n.server.start(a.call.arrival.Demand.Duration(), func(outcome jobOutcome) {
		if n.incarnation != incarnation {
			return
		}
		delete(n.requests, h)
		if outcome != jobKilled {
			n.observeAnswer()
		}
		n.handleEvents(n.gate.Finish(n.sim.Now(), h, gateOutcome(outcome)))
		n.scheduleTimer()
		if n.sim.random.Float64() < n.loseAnswers {
			n.sim.After(n.sim.distance(), func() { n.sim.onLost(a) })
			return
		}
		n.respond(a, func() { n.sim.onAnswer(a, outcome) })
	})
}

// observeAnswer passes the limit that the server names in an answer to the gate.
func (n *node) observeAnswer() {
	_, events := n.gate.ObserveAnswer(n.sim.Now(), gate.Answer{LimitNamed: n.server.limit >= 0, Limit: max(0, n.server.limit)})
	n.handleEvents(events)
}

func gateOutcome(o jobOutcome) gate.Outcome {
	if o == jobCompleted {
		return gate.Completed
	}
	return gate.Failed
}

// respond sends a response to the caller, with a load report attached.
func (n *node) respond(a *attempt, deliver func()) {
	load := n.gate.Load(n.sim.Now())
	n.sequence++
	report := n.falsifyReport(gate.Report{Host: n.host, Sequence: n.sequence, Load: load})
	n.sim.After(n.sim.distance(), func() {
		if n.sim.variant.Reports {
			a.call.caller.pool.Learn(n.sim.Now(), report)
		}
		deliver()
	})
}

// falsifyReport applies the faults that the trace sets for load reports: they contain an
// earlier load (ReportDelay), always the same load (ReportFrozen), or no requests although
// the server is busy (ReportIdle).
func (n *node) falsifyReport(r gate.Report) gate.Report {
	r.Incarnation = n.incarnation
	if n.reportFrozen && len(n.loadHistory) > 0 {
		r.Load = n.loadHistory[0].load
		return r
	}
	n.loadHistory = append(n.loadHistory, loadSample{n.sim.Now(), r.Load})
	for len(n.loadHistory) > 1 && n.loadHistory[1].at <= n.sim.Now()-n.reportDelay {
		n.loadHistory = n.loadHistory[1:]
	}
	if n.reportDelay > 0 {
		r.Load = n.loadHistory[0].load
	}
	if n.reportIdle {
		r.Load.Running, r.Load.Waiting = 0, 0
	}
	return r
}

func (n *node) removeRevoked(events []gate.Event) {
	for _, e := range events {
		if e.Kind == gate.Refused && e.Reason == gate.Revoked {
			delete(n.requests, e.Handle)
		}
	}
}

// restart simulates a restart of the node process: the state of the gate and all
// connections are lost, but the backend server continues to run.
func (n *node) restart() {
	lost := n.requests
	n.requests = map[gate.Handle]*attempt{}
	n.startGate()
	n.gate.AssumeEarlierStarts(n.sim.Now())
	for h := gate.Handle(1); h <= n.lastHandle; h++ {
		if a := lost[h]; a != nil {
			n.sim.After(n.sim.distance(), func() { n.sim.onLost(a) })
		}
	}
	n.sim.After(directoryDelay, n.sim.updatePools)
}

func hostName(i int) string { return "server-" + string(rune('a'+i/26)) + string(rune('a'+i%26)) }
