package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"cactuspath/core/balancer"
	"cactuspath/core/gate"
	corelink "cactuspath/core/link"
	"cactuspath/core/measure"
	"cactuspath/core/retry"
)

// node is a host: a backend server, its gate, and the callers on the same host.
type node struct {
	sim     *simulation
	host    string
	center  int
	service *Service
	gate    *gate.Gate
	server  *server
	// link is nil if the scenario has no links.
	link *link
	// random generates the service times, noise and rejections of this backend server. Its
	// seed does not depend on the variant.
	random     *rand.Rand
	requests   map[gate.Handle]*attempt
	state      serverState
	lastHandle gate.Handle
	timerAt    time.Duration
	observedAt time.Duration
	// pools contains the endpoint pools and budgets the retry budgets for calls from this
	// host, and refilledAt the times at which the budgets were last refilled. All are
	// indexed by the called service.
	pools      []*balancer.Pool
	budgets    []*retry.Budget
	refilledAt []time.Duration
	// returns tells the clients' requests that come back to this host.
	returns retry.Returns
}

// needOfClient returns the need of a try of a client.
func (n *node) needOfClient(r *clientRequest) retry.Need {
	if n.returns.CameBack(n.sim.now(), r.content) {
		return retry.CameBack
	}
	return retry.First
}

func (n *node) setSiblings() {
	var siblings []gate.Sibling
	for _, other := range n.sim.nodes {
		if other != n && other.service == n.service {
			siblings = append(siblings, gate.Sibling{Host: other.host, Distance: n.sim.distance(n, other), DataCenter: centerName(other.center), Near: other.center == n.center})
		}
	}
	n.gate.SetSiblings(siblings)
}

func centerName(i int) string { return "center-" + strconv.Itoa(i) }

func (n *node) config() gate.Config {
	share := measure.GateShare(uint32(n.service.ReportsPerSecond), n.service.Endpoints)
	return gate.Config{Slots: n.service.Slots, Queue: n.service.Queue, Siblings: n.sim.variant.Siblings, ReportsPerSecond: share, BytesPerSecond: share * gate.ReportBytes, ColdStarts: int(n.service.ColdStart.PerSecond), Disabled: n.sim.variant.Off,
		LinkBytesPerSecond: n.sim.scenario.LinkMbps * corelink.BytesPerMegabit}
}

// loadPollInterval is the interval at which a node asks its backend server for its
// slowdown. It doesn't ask if a response has reported the slowdown within the interval.
const loadPollInterval = 100 * time.Millisecond

// maxLoadAge is the maximum age of the last reported slowdown when a request arrives. If
// it is older, the node reads the slowdown first.
const maxLoadAge = 20 * time.Millisecond

func (n *node) pollLoad() {
	if n.sim.now()-n.observedAt >= loadPollInterval {
		n.observeLoad()
	}
	n.sim.clock.After(loadPollInterval, n.pollLoad)
}

func (n *node) observeLoad() {
	n.observedAt = n.sim.now()
	n.handleEvents(n.gate.ObserveSlowdown(n.sim.now(), n.server.slowdown()))
}

// drawNoise draws the noise of the next interval, and schedules the draw after it.
func (n *node) drawNoise() {
	noise := n.service.Noise
	if noise.Every <= 0 {
		return
	}
	factor := 1.0
	if n.random.Float64() < noise.Share {
		factor = noise.Factor
	}
	n.server.update(func() { n.server.noise = factor })
	n.sim.clock.After(noise.Every.Duration(), n.drawNoise)
}

// receive passes an arriving attempt to the gate.
func (n *node) receive(a *attempt) {
	if a.settled {
		return
	}
	c := a.call
	if n.sim.now()-n.observedAt >= maxLoadAge {
		n.observeLoad()
	}
	n.lastHandle++
	a.handle = n.lastHandle
	n.requests[a.handle] = a
	now := n.sim.now()
	r := gate.Request{Handle: a.handle, ID: a.id, Caller: c.origin.host, Deadline: c.deadline, Movable: c.retryState.Movable() && len(c.tried) == 0,
		From: centerName(c.origin.center), LargeBody: c.class.Bulky, Repeatable: c.class.Idempotent, Class: c.class.Name, Priority: c.class.Priority}
	if c.class.Aim > 0 {
		r.Aim = c.class.Aim.Duration()
		r.AimAt = max(1, c.deadline-c.class.Timeout.Duration()+r.Aim)
	}
	n.observeLink()
	n.handleEvents(n.gate.Arrive(now, r))
}

// scheduleTimer schedules the gate's next timer, at which the gate ends requests that have
// waited too long in its queue.
func (n *node) scheduleTimer() {
	at, ok := n.gate.NextTimer()
	now := n.sim.now()
	if !ok || n.timerAt > now && n.timerAt <= at {
		return
	}
	n.timerAt = max(at, now+time.Millisecond)
	timerAt := n.timerAt
	n.sim.clock.At(timerAt, func() {
		if n.timerAt == timerAt {
			n.timerAt = 0
			n.observeLink()
			n.handleEvents(n.gate.Tick(n.sim.now()))
		}
	})
}

// handleEvents carries out the decisions of the gate.
func (n *node) handleEvents(events []gate.Event) {
	for _, e := range events {
		a := n.requests[e.Handle]
		switch e.Kind {
		case gate.Started:
			n.execute(a)
		case gate.Send:
			n.sendReport(e)
		case gate.Hint:
			if a != nil {
				n.sim.deliver(n, a.call.origin, func() { a.call.hedge(a, e.To) })
			}
		case gate.Refused, gate.Moved:
			delete(n.requests, e.Handle)
			n.sim.deliver(n, a.call.origin, func() { a.onNotRun(e) })
		}
	}
	n.scheduleTimer()
}

// sendReport sends a load report to a sibling.
func (n *node) sendReport(e gate.Event) {
	report := e.Report
	report.Incarnation = 1
	to := n.sim.byHost[e.To]
	n.sim.deliver(n, to, func() { to.gate.ApplyReport(n.sim.now(), report) })
}

// execute passes an attempt to the backend server, which runs it unless it is down or
// rejects the request.
func (n *node) execute(a *attempt) {
	c := a.call
	if n.state.down {
		n.finishAttempt(a, gate.NeverReached)
		n.sim.deliver(n, c.origin, func() { a.onEnded(retry.Unreachable) })
		return
	}
	if n.random.Float64() < n.server.rejectShare {
		n.finishAttempt(a, gate.NeverReached)
		n.sim.deliver(n, c.origin, func() { a.onEnded(retry.Rejected) })
		return
	}
	c.executions++
	a.job = n.newJob(c)
	size := n.responseBytes(c.class)
	a.job.done = func(ok bool) {
		outcome := gate.Completed
		if !ok {
			outcome, size = gate.Failed, 0
		} else if size > 0 {
			n.gate.ObserveResponse(n.sim.now(), a.handle, int64(size))
		}
		n.finishAttempt(a, outcome)
		n.observeLoad()
		n.link.send(a, size, func() { n.sim.deliver(n, c.origin, func() { a.onAnswer(ok) }) })
	}
	n.server.start(a.job)
	n.sim.clock.At(c.deadline, func() { n.server.finish(a.job, false) })
	if n.recordStart() {
		n.sim.result.crashes++
		n.crash(n.service.ColdStart.Down.Duration())
	}
}

// newJob returns the job for a request, with randomly drawn work and, with the probability
// given by the class, calls to other services.
func (n *node) newJob(c *call) *job {
	class := c.class
	mean := float64(class.Work.Duration()) * math.Exp(-class.Spread*class.Spread/2)
	work := time.Duration(mean * math.Exp(class.Spread*n.random.NormFloat64()))
	if len(class.Calls) == 0 || n.random.Float64() >= class.CallShare {
		return &job{parts: []time.Duration{work}}
	}
	if class.Together {
		return &job{parts: []time.Duration{work / 2, work - work/2}, makeCalls: func(called func(bool)) { n.callConcurrently(class.Calls, c.deadline, called) }}
	}
	return &job{parts: []time.Duration{work / 2, work - work/2}, makeCalls: func(called func(bool)) { n.callSequentially(class.Calls, c.deadline, called) }}
}

// callConcurrently makes all calls at the same time. It calls called with the value true if
// all of them were answered.
func (n *node) callConcurrently(classes []string, deadline time.Duration, called func(bool)) {
	left, allAnswered := len(classes), true
	for _, name := range classes {
		n.sim.startCall(n, n.sim.scenario.class(name), deadline, retry.Call, func(end callOutcome) {
			allAnswered = allAnswered && end == callAnswered
			if left--; left == 0 {
				called(allAnswered)
			}
		})
	}
}

// callSequentially makes the calls one after the other and stops after the first that is
// not answered. It calls called with the value true if all of them were answered.
func (n *node) callSequentially(classes []string, deadline time.Duration, called func(bool)) {
	if len(classes) == 0 {
		called(true)
		return
	}
	n.sim.startCall(n, n.sim.scenario.class(classes[0]), deadline, retry.Call, func(end callOutcome) {
		if end != callAnswered {
			called(false)
			return
		}
		n.callSequentially(classes[1:], deadline, called)
	})
}

// finishAttempt reports the outcome of an attempt to the gate that had passed it to the
// backend server.
func (n *node) finishAttempt(a *attempt, outcome gate.Outcome) {
	delete(n.requests, a.handle)
	n.observeLink()
	n.handleEvents(n.gate.Finish(n.sim.now(), a.handle, outcome))
}

// cancelAttempt ends an attempt whose outcome its caller no longer needs, either at the
// backend server or in the gate's queue.
func (n *node) cancelAttempt(a *attempt) {
	if n.requests[a.handle] != a {
		return
	}
	if a.job != nil {
		n.server.remove(a.job)
		n.finishAttempt(a, gate.Abandoned)
		return
	}
	n.handleEvents(n.gate.Cancel(n.sim.now(), a.handle))
}
