package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	"cactuspath/core/measure"
	"cactuspath/core/retry"
)

// node is a host: a backend server with its gate, and the callers beside it.
type node struct {
	s       *simulation
	host    string
	center  int
	service *Service
	gate    *gate.Gate
	server  *server
	// random draws what this backend server does, the same for every policy.
	random   *rand.Rand
	requests map[gate.Handle]*attempt
	life     lifetime
	next     gate.Handle
	armed    time.Duration
	observed time.Duration
	// pools and budgets are by service, for what this host's callers send.
	pools   []*balancer.Pool
	budgets []*retry.Budget
	refill  []time.Duration
}

func (n *node) setSiblings() {
	var siblings []gate.Sibling
	for _, other := range n.s.nodes {
		if other != n && other.service == n.service {
			siblings = append(siblings, gate.Sibling{Host: other.host, Distance: n.s.distance(n, other), DataCenter: centerName(other.center), Near: other.center == n.center})
		}
	}
	n.gate.SetSiblings(siblings)
}

func centerName(i int) string { return "center-" + strconv.Itoa(i) }

func (n *node) config() gate.Config {
	share := measure.GateShare(uint32(n.service.ReportsPerSecond), n.service.Endpoints)
	return gate.Config{Slots: n.service.Slots, Queue: n.service.Queue, Siblings: n.s.variant.Siblings, ReportsPerSecond: share, BytesPerSecond: share * gate.ReportBytes, ColdStarts: int(n.service.Cold.PerSecond), Off: n.s.variant.Off}
}

// loadInterval is how often a node asks its backend server for its load when no
// answer has told it.
const loadInterval = 100 * time.Millisecond

// freshFigure is how old a figure may be when a request comes.
const freshFigure = 20 * time.Millisecond

func (n *node) watchLoad() {
	if n.s.now()-n.observed >= loadInterval {
		n.observe()
	}
	n.s.clock.After(loadInterval, n.watchLoad)
}

func (n *node) observe() {
	n.observed = n.s.now()
	n.carryOut(n.gate.Observe(n.s.now(), n.server.told()))
}

// noise draws the speed of each interval.
func (n *node) noise() {
	noise := n.service.Noise
	if noise.Every <= 0 {
		return
	}
	factor := 1.0
	if n.random.Float64() < noise.Share {
		factor = noise.Factor
	}
	n.server.change(func() { n.server.noise = factor })
	n.s.clock.After(noise.Every.Duration(), n.noise)
}

// receive is the arrival of an attempt at its gate.
func (n *node) receive(a *attempt) {
	if a.settled {
		return
	}
	c := a.call
	if n.s.now()-n.observed >= freshFigure {
		n.observe()
	}
	n.next++
	a.handle = n.next
	n.requests[a.handle] = a
	now := n.s.now()
	r := gate.Request{Handle: a.handle, ID: a.id, Caller: c.origin.host, Deadline: c.deadline, Movable: c.rules.Movable() && len(c.tried) == 0,
		From: centerName(c.origin.center), Bulky: c.class.Bulky, Repeatable: c.class.Idempotent, Class: c.class.Name, Priority: c.class.Priority}
	if c.class.Aim > 0 {
		r.Aim = c.class.Aim.Duration()
		r.AimAt = max(1, c.deadline-c.class.Timeout.Duration()+r.Aim)
	}
	n.carryOut(n.gate.Arrive(now, r))
}

// arm lets the gate end what waits for too long.
func (n *node) arm() {
	at, ok := n.gate.NextTimer()
	now := n.s.now()
	if !ok || n.armed > now && n.armed <= at {
		return
	}
	n.armed = max(at, now+time.Millisecond)
	armed := n.armed
	n.s.clock.At(armed, func() {
		if n.armed == armed {
			n.armed = 0
			n.carryOut(n.gate.Tick(n.s.now()))
		}
	})
}

// carryOut does what the gate decided.
func (n *node) carryOut(events []gate.Event) {
	for _, e := range events {
		a := n.requests[e.Handle]
		switch e.Kind {
		case gate.Started:
			n.execute(a)
		case gate.Send:
			n.post(e)
		case gate.Hint:
			if a != nil {
				n.s.between(n, a.call.origin, func() { a.call.hint(a, e.To) })
			}
		case gate.Refused, gate.Moved:
			delete(n.requests, e.Handle)
			n.s.between(n, a.call.origin, func() { a.notRun(e) })
		}
	}
	n.arm()
}

func (n *node) post(e gate.Event) {
	report := e.Report
	report.Incarnation = 1
	to := n.s.byHost[e.To]
	n.s.between(n, to, func() { to.gate.Learn(n.s.now(), report) })
}

// execute runs an attempt at the backend server.
func (n *node) execute(a *attempt) {
	c := a.call
	if n.life.down {
		n.leave(a, gate.NeverReached)
		n.s.between(n, c.origin, func() { a.ended(retry.Unreached) })
		return
	}
	if n.random.Float64() < n.server.rejects {
		n.leave(a, gate.NeverReached)
		n.s.between(n, c.origin, func() { a.ended(retry.Rejected) })
		return
	}
	c.runs++
	a.job = n.job(c)
	a.job.done = func(ok bool) {
		outcome := gate.Completed
		if !ok {
			outcome = gate.Failed
		}
		n.leave(a, outcome)
		n.observe()
		n.s.between(n, c.origin, func() { a.answered(ok) })
	}
	n.server.start(a.job)
	n.s.clock.At(c.deadline, func() { n.server.end(a.job, false) })
	if n.overrun() {
		n.s.result.crashes++
		n.crash(n.service.Cold.Down.Duration())
	}
}

// job draws the work of a request.
func (n *node) job(c *call) *job {
	class := c.class
	mean := float64(class.Work.Duration()) * math.Exp(-class.Spread*class.Spread/2)
	work := time.Duration(mean * math.Exp(class.Spread*n.random.NormFloat64()))
	if len(class.Calls) == 0 || n.random.Float64() >= class.CallShare {
		return &job{parts: []time.Duration{work}}
	}
	if class.Together {
		return &job{parts: []time.Duration{work / 2, work - work/2}, between: func(ended func(bool)) { n.callAll(class.Calls, c.deadline, ended) }}
	}
	return &job{parts: []time.Duration{work / 2, work - work/2}, between: func(ended func(bool)) { n.callInTurn(class.Calls, c.deadline, ended) }}
}

func (n *node) callAll(classes []string, deadline time.Duration, ended func(bool)) {
	left, good := len(classes), true
	for _, name := range classes {
		n.s.begin(n, n.s.scenario.class(name), deadline, func(end outcome) {
			good = good && end == answered
			if left--; left == 0 {
				ended(good)
			}
		})
	}
}

func (n *node) callInTurn(classes []string, deadline time.Duration, ended func(bool)) {
	if len(classes) == 0 {
		ended(true)
		return
	}
	n.s.begin(n, n.s.scenario.class(classes[0]), deadline, func(end outcome) {
		if end != answered {
			ended(false)
			return
		}
		n.callInTurn(classes[1:], deadline, ended)
	})
}

// leave takes an attempt that ran out of the gate.
func (n *node) leave(a *attempt, how gate.Outcome) {
	delete(n.requests, a.handle)
	n.carryOut(n.gate.Finish(n.s.now(), a.handle, how))
}

// abandon ends an attempt whose caller has gone or has another answer.
func (n *node) abandon(a *attempt) {
	if n.requests[a.handle] != a {
		return
	}
	if a.job != nil {
		n.server.leave(a.job)
		n.leave(a, gate.Abandoned)
		return
	}
	n.carryOut(n.gate.Cancel(n.s.now(), a.handle))
}
