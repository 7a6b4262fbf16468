package gate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cactuspath/core/link"
	"cactuspath/core/mechanism"
)

// A simulation in virtual time of one service: ten gates in three data centres, each with
// a server and a link of 11 Mbit/s, and callers that pick an endpoint of their own data
// centre. Links send large responses in the order in which they become ready.

const simLinkBytes = 11e6 / 8

// simLoad is one kind of request.
type simLoad struct {
	class           string
	perSecond       func(at time.Duration) float64
	work            time.Duration
	bytes, maxBytes int64
	aim, limit      time.Duration
}

func during(from, to time.Duration, usual, burst float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return burst
		}
		return usual
	}
}

// simOptions configure a simulation; the zero values mean the deployment described above.
type simOptions struct {
	seed uint64
	// disabled, bandwidth configure the gates; the links always have simLinkBytes.
	disabled  mechanism.Set
	bandwidth float64
	loads     []simLoad
	length    time.Duration
	// slowShare is the share of servers that are seven times slower, changing every
	// half second.
	slowShare float64
	// reports is the number of load reports that a gate may send per second.
	reports int
	// loseReports is the time from which no load report arrives any more.
	loseReports time.Duration
	// nearShare is the share of callers in the data centre with three endpoints.
	nearShare float64
	// restartAt replaces the gates of that data centre by new ones.
	restartAt time.Duration
	// otherTransfers is a backlog of other services on the three links.
	otherTransfers time.Duration
	// comeBack: callers of refused requests try once more after the Retry-After, and
	// freshLimit: they then allow the full time limit again.
	comeBack, freshLimit bool
}

// simResult counts the requests of one class.
type simResult struct {
	sent, inAim, late, timedOut, refused, moved, crossed int
	// cameBack counts the requests that were sent again, backServed those of them that
	// were then served before their deadline.
	cameBack, backServed int
	retryAfter           []time.Duration
	// lastMove is when a gate last moved a request.
	lastMove time.Duration
	// refusedAfter is the longest time from the arrival to a refusal.
	refusedAfter time.Duration
	waits        []time.Duration
}

// share is a number of requests as a share of those that were sent.
func (r *simResult) share(n int) float64 { return float64(n) / float64(r.sent) }

// worstWait is the wait for a slot that one request in a hundred exceeded.
func (r *simResult) worstWait() time.Duration {
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

type simRequest struct {
	load   *simLoad
	from   string
	sentAt time.Duration
	bytes  int64
	work   time.Duration
	moves  int
	// attempt is the number of attempts so far; callAt is when the caller's current try
	// began.
	attempt uint32
	id      uint64
	callAt  time.Duration
	arrived time.Duration
	back    bool
	// deadline is when the caller gives up.
	deadline time.Duration
}

type simGate struct {
	gate     *Gate
	host, dc string
	slow     bool
	linkFree time.Duration
	waiting  map[Handle]*simRequest
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type simulation struct {
	options simOptions
	random  *rand.Rand
	now     time.Duration
	events  simHeap
	seq     int
	gates   []*simGate
	byHost  map[string]*simGate
	handles Handle
	results map[string]*simResult
	// log holds every event of every gate, for comparisons.
	log []string
	// peakLink is the largest backlog of each link.
	peakLink map[string]time.Duration
	// movedTo counts the moved downloads by the sibling that they went to.
	movedTo map[string]int
}

var simCenters = []struct {
	dc    string
	gates int
}{{"a", 3}, {"b", 4}, {"c", 3}}

func simDistance(a, b string) time.Duration {
	if a == b {
		return 200 * time.Microsecond
	}
	return 8 * ms
}

func newSimulation(o simOptions) *simulation {
	s := &simulation{options: o, random: rand.New(rand.NewPCG(o.seed, 1)), byHost: map[string]*simGate{}, results: map[string]*simResult{}, peakLink: map[string]time.Duration{}, movedTo: map[string]int{}}
	for _, c := range simCenters {
		for i := range c.gates {
			g := &simGate{host: fmt.Sprint(c.dc, i), dc: c.dc, waiting: map[Handle]*simRequest{}}
			s.gates = append(s.gates, g)
			s.byHost[g.host] = g
		}
	}
	for _, g := range s.gates {
		s.startGate(g)
	}
	for i := range o.loads {
		s.results[o.loads[i].class] = &simResult{}
		s.schedule(0, func() { s.generate(&o.loads[i]) })
	}
	s.schedule(0, s.changeSpeeds)
	if o.restartAt > 0 {
		s.schedule(o.restartAt, func() {
			for _, g := range s.gates[:3] {
				s.startGate(g)
			}
		})
	}
	return s
}

func (s *simulation) startGate(g *simGate) {
	o := s.options
	g.gate = New(g.host, Config{Slots: 9, Queue: 40, Siblings: true, ReportsPerSecond: o.reports, BytesPerSecond: o.reports * ReportBytes, Disabled: o.disabled, LinkBytesPerSecond: o.bandwidth}, s.now)
	var siblings []Sibling
	for _, other := range s.gates {
		siblings = append(siblings, Sibling{Host: other.host, DataCenter: other.dc, Near: other.dc == g.dc, Distance: simDistance(g.dc, other.dc)})
	}
	g.gate.SetSiblings(siblings)
	if s.now == 0 {
		s.schedule(0, func() { s.tick(g) })
	}
}

func (s *simulation) schedule(after time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + after, s.seq, do})
}

func (s *simulation) run() *simulation {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

// ended reports whether the load has ended and enough time has passed for the rest.
func (s *simulation) ended() bool { return s.now > s.options.length+4*time.Second }

func (s *simulation) changeSpeeds() {
	if s.ended() {
		return
	}
	for _, g := range s.gates {
		g.slow = s.random.Float64() < s.options.slowShare
	}
	s.schedule(500*ms, s.changeSpeeds)
}

func (g *simGate) slowdown() float64 {
	if g.slow {
		return 7
	}
	return 1
}

func (s *simulation) backlog(g *simGate) time.Duration {
	backlog := max(0, g.linkFree-s.now)
	if g.dc == "a" {
		backlog += s.options.otherTransfers
	}
	return backlog
}

// tick stands for the driver's timer and its load queries.
func (s *simulation) tick(g *simGate) {
	if s.ended() {
		return
	}
	g.gate.ObserveLink(s.now, s.backlog(g))
	s.apply(g, g.gate.ObserveSlowdown(s.now, g.slowdown()))
	s.apply(g, g.gate.Tick(s.now))
	s.schedule(20*ms, func() { s.tick(g) })
}

func (s *simulation) generate(l *simLoad) {
	if s.now >= s.options.length {
		return
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/l.perSecond(s.now)*float64(time.Second)), func() { s.generate(l) })
	r := &simRequest{load: l, sentAt: s.now, callAt: s.now, deadline: s.now + l.limit, from: "a", id: uint64(s.seq)}
	if s.random.Float64() >= s.options.nearShare {
		r.from = "b"
		if s.random.Float64() >= 0.57 {
			r.from = "c"
		}
	}
	// Sizes are exponentially distributed up to the maximum, work varies by a third.
	r.bytes = min(l.maxBytes, max(l.bytes/4, int64(s.random.ExpFloat64()*float64(l.bytes))))
	r.work = time.Duration(float64(l.work) * min(2, max(0.4, 1+s.random.NormFloat64()/3)))
	s.results[l.class].sent++
	s.send(r, s.pick(r))
}

// pick returns any endpoint in the caller's data centre.
func (s *simulation) pick(r *simRequest) *simGate {
	var near []*simGate
	for _, g := range s.gates {
		if g.dc == r.from {
			near = append(near, g)
		}
	}
	return near[s.random.IntN(len(near))]
}

func (s *simulation) send(r *simRequest, g *simGate) {
	s.schedule(simDistance(r.from, g.dc), func() {
		s.handles++
		h := s.handles
		r.attempt++
		r.arrived = s.now
		g.waiting[h] = r
		g.gate.ObserveLink(s.now, s.backlog(g))
		l := r.load
		s.apply(g, g.gate.Arrive(s.now, Request{Handle: h, ID: AttemptID{Request: [2]uint64{1, r.id}, Attempt: r.attempt}, Caller: "c", Class: l.class, From: r.from,
			Movable: r.moves < 2, Aim: l.aim, AimAt: r.callAt + l.aim, Deadline: r.deadline}))
	})
}

func (s *simulation) apply(g *simGate, events []Event) {
	for _, e := range events {
		if e.Kind == Send {
			s.deliverReport(g, e)
			continue
		}
		s.log = append(s.log, fmt.Sprint(s.now, g.host, e.Handle, e.Kind, e.Reason, e.RetryAfter, e.SiblingsFull, e.To))
		r := g.waiting[e.Handle]
		switch e.Kind {
		case Started:
			s.serve(g, e.Handle, r)
			continue
		case Moved:
			s.move(g, r, e.To)
		case Refused:
			s.refuse(g, r, e.RetryAfter)
		}
		delete(g.waiting, e.Handle)
	}
}

func (s *simulation) refuse(g *simGate, r *simRequest, retryAfter time.Duration) {
	res := s.results[r.load.class]
	res.retryAfter = append(res.retryAfter, retryAfter)
	res.refusedAfter = max(res.refusedAfter, s.now-r.arrived)
	wait := simDistance(g.dc, r.from) + retryAfter
	if !s.options.comeBack || r.back || s.now+wait > r.deadline {
		res.refused++
		return
	}
	r.back, r.moves = true, 0
	res.cameBack++
	s.schedule(wait, func() {
		r.callAt = s.now
		if s.options.freshLimit {
			r.deadline = s.now + r.load.limit
		}
		s.send(r, s.pick(r))
	})
}

func (s *simulation) move(g *simGate, r *simRequest, to string) {
	res, target := s.results[r.load.class], s.byHost[to]
	res.moved++
	res.lastMove = s.now
	if target.dc != g.dc {
		res.crossed++
	}
	s.movedTo[to]++
	r.moves++
	s.schedule(simDistance(g.dc, r.from), func() { s.send(r, target) })
}

func (s *simulation) deliverReport(g *simGate, e Event) {
	s.log = append(s.log, fmt.Sprintf("%v %s to %s: %+v", s.now, g.host, e.To, e.Report))
	if s.options.loseReports > 0 && s.now >= s.options.loseReports {
		return
	}
	s.schedule(simDistance(g.dc, s.byHost[e.To].dc), func() { s.byHost[e.To].gate.ApplyReport(s.now, e.Report) })
}

// serve runs a request on the server, which frees its slot when the response is complete,
// and then sends the response on the link.
func (s *simulation) serve(g *simGate, h Handle, r *simRequest) {
	served := g.gate
	res := s.results[r.load.class]
	res.waits = append(res.waits, s.now-r.arrived)
	s.schedule(time.Duration(float64(r.work)*g.slowdown()), func() {
		delete(g.waiting, h)
		served.ObserveResponse(s.now, h, r.bytes)
		g.gate.ObserveLink(s.now, s.backlog(g))
		s.apply(g, served.Finish(s.now, h, Completed))
		done := s.now
		if r.bytes >= link.LargeBytes {
			// Short responses leave large ones 0.8 of the link.
			g.linkFree = max(g.linkFree, s.now) + time.Duration(float64(r.bytes)/(0.8*simLinkBytes)*float64(time.Second))
			done = g.linkFree
			s.peakLink[g.host] = max(s.peakLink[g.host], g.linkFree-s.now)
		}
		s.record(res, r, done+simDistance(g.dc, r.from))
	})
}

func (s *simulation) record(res *simResult, r *simRequest, at time.Duration) {
	if r.back && at <= r.deadline {
		res.backServed++
	}
	switch took := at - r.sentAt; {
	case took <= r.load.aim:
		res.inAim++
	case at <= r.deadline:
		res.late++
	default:
		res.timedOut++
	}
}

// decisions returns the logged events without the load reports.
func (s *simulation) decisions() []string {
	return slices.DeleteFunc(slices.Clone(s.log), func(line string) bool { return strings.Contains(line, " to ") })
}
