// Package endpoint runs the gate beside one backend server: it holds the
// requests that wait, forwards those that may run, and exchanges load reports
// with the gates of the same service.
package endpoint

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cactuspath/core/gate"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
	"cactuspath/internal/overload"
	"cactuspath/internal/quarantine"
)

const (
	// dialFailures in a row mean that the backend server is down.
	dialFailures = 3
	// probeInterval is how often a backend server that is down is tried.
	probeInterval = 200 * time.Millisecond
)

// Options set up an Endpoint.
type Options struct {
	Host string
	// Incarnation is this node's, read anew for each attempt.
	Incarnation func() uint64
	// Send posts a report to the gate of a sibling host.
	Send func(host string, report gate.Report)
	// Revision is the newest configuration this node knows; Heard takes note of
	// one that a caller's node mentioned.
	Revision func() uint64
	Heard    func(revision uint64)
	Counters *Counters
	// Dialect names the header fields of the backend server.
	Dialect *hop.Dialect
	// Quarantine knows which requests are kept away from servers; nil to keep none away.
	Quarantine *quarantine.Keeper
	// Overload refuses requests of other nodes while this process is short of processor
	// time; nil to refuse none.
	Overload *overload.Monitor
}

// Endpoint is one backend server's gate with its driver. Safe for concurrent
// use.
type Endpoint struct {
	options Options
	start   time.Time

	mu      sync.Mutex
	gate    *gate.Gate
	waiting map[gate.Handle]chan gate.Event
	// hints are told of a sibling that would end a running request sooner.
	hints  map[gate.Handle]func(to string)
	next   gate.Handle
	timer  *time.Timer
	armed  time.Duration
	closed bool

	witness *witness

	stopWatch context.CancelFunc
	// life is that of the backend server's present start.
	life    context.Context
	endLife context.CancelFunc

	backend atomic.Pointer[hop.Pool]
	// questions has a connection of its own for what this node asks the backend
	// server: a new connection may wait for a slot there.
	questions atomic.Pointer[hop.Pool]
	instance  atomic.Pointer[string]
	health    atomic.Pointer[string]
	// observed is when the backend server last told its load.
	observed atomic.Int64
	// coldObserved is when the backend server last told for how long it stays cold.
	coldObserved atomic.Int64
	// asking is closed when the question under way has ended; nil without one. It is
	// guarded by mu.
	asking chan struct{}
	// mute: the backend server did not tell its load in time when it was last asked.
	mute atomic.Bool
	// lastHeard is when it last said anything.
	lastHeard atomic.Int64
	failures  atomic.Int32
	// evacuated: the operator has emptied this data centre.
	evacuated atomic.Bool
	down      atomic.Bool
}

// New returns an endpoint whose gate is closed until a backend server is set.
func New(options Options, config gate.Config) *Endpoint {
	if options.Dialect == nil {
		options.Dialect = &hop.Dialect{}
	}
	e := &Endpoint{options: options, start: time.Now(), waiting: map[gate.Handle]chan gate.Event{}, hints: map[gate.Handle]func(string){}, witness: newWitness()}
	e.gate = gate.New(options.Host, config, 0)
	var ctx context.Context
	ctx, e.stopWatch = context.WithCancel(context.Background())
	e.life, e.endLife = context.WithCancel(context.Background())
	go e.watchLoad(ctx)
	return e
}

func (e *Endpoint) now() time.Duration { return time.Since(e.start) }

// with runs a step of the gate and carries out what it decided.
func (e *Endpoint) with(step func(now time.Duration) []gate.Event) {
	e.mu.Lock()
	events := step(e.now())
	var posts []gate.Event
	var hinted []func()
	for _, event := range events {
		switch event.Kind {
		case gate.Send:
			posts = append(posts, event)
			continue
		case gate.Hint:
			if hint := e.hints[event.Handle]; hint != nil {
				to := event.To
				hinted = append(hinted, func() { hint(to) })
			}
			continue
		}
		e.options.Counters.count(event)
		if ch := e.waiting[event.Handle]; ch != nil {
			delete(e.waiting, event.Handle)
			ch <- event
		}
	}
	e.arm()
	e.mu.Unlock()
	for _, hint := range hinted {
		hint()
	}
	for _, p := range posts {
		p.Report.Incarnation = e.options.Incarnation()
		e.options.Send(p.To, p.Report)
	}
}

// arm sets the timer for the gate's next tick.
func (e *Endpoint) arm() {
	at, ok := e.gate.NextTimer()
	now := e.now()
	if !ok || e.closed || e.armed > now && e.armed <= at {
		return
	}
	e.armed = max(at, now+time.Millisecond)
	if e.timer == nil {
		e.timer = time.AfterFunc(e.armed-now, e.tick)
		return
	}
	e.timer.Reset(e.armed - now)
}

func (e *Endpoint) tick() {
	e.with(func(now time.Duration) []gate.Event {
		e.armed = 0
		return e.gate.Tick(now)
	})
}

// Close stops the timer and the watch and drops idle connections.
func (e *Endpoint) Close() {
	e.stopWatch()
	e.mu.Lock()
	e.closed = true
	if e.timer != nil {
		e.timer.Stop()
	}
	e.mu.Unlock()
	for _, p := range []*hop.Pool{e.backend.Load(), e.questions.Load()} {
		if p != nil {
			p.Close()
		}
	}
}

// SetSuccessor tells that another endpoint served this host's backend server before.
func (e *Endpoint) SetSuccessor() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gate.ForgetBefore(e.now())
}

// Configure applies what the estate says of the service.
func (e *Endpoint) Configure(config gate.Config) {
	e.with(func(now time.Duration) []gate.Event { return e.gate.Configure(now, config) })
}

// SetSiblings names the service's other gates.
func (e *Endpoint) SetSiblings(list []gate.Sibling) {
	e.with(func(time.Duration) []gate.Event {
		e.gate.SetSiblings(list)
		return nil
	})
}

// Learn takes in a sibling's report.
func (e *Endpoint) Learn(report gate.Report) {
	e.with(func(now time.Duration) []gate.Event {
		e.gate.Learn(now, report)
		return nil
	})
}

// Revoke answers for an attempt whose answer was lost.
func (e *Endpoint) Revoke(id gate.AttemptID, sentAgo time.Duration) gate.RevokeAnswer {
	var answer gate.RevokeAnswer
	e.with(func(now time.Duration) (events []gate.Event) {
		answer, events = e.gate.Revoke(now, id, sentAgo)
		return events
	})
	return answer
}

// InFlight counts requests that run or wait here.
func (e *Endpoint) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.InFlight()
}

// Load is the gate's view of its backend server.
func (e *Endpoint) Load() gate.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.Load(e.now())
}

// Attempt admits a request and, if it may run, forwards it. The response is
// nil unless the reply's verdict is Ran; its body must be read or closed.
//
// OnHint may be nil. It is called from other goroutines, while the request runs,
// with the host of a sibling that would end it sooner.
func (e *Endpoint) Attempt(ctx context.Context, req hop.Request, out *hop.Outgoing, onHint func(to string)) (*http.Response, hop.Reply) {
	e.options.Heard(req.Revision)
	reply := e.replyTo(req)
	if req.Incarnation != reply.Incarnation {
		reply.Verdict = hop.Restarted
		return nil, reply
	}
	arrived := time.Now()
	if left := e.options.Quarantine.Barred(req.Content); left > 0 {
		return nil, e.keepAway(req.Content, out, reply, left)
	}
	e.refreshFigure(ctx)
	handle, event := e.admit(ctx, req, onHint)
	e.logAdmission(req, out, event, time.Since(arrived))
	if event.Kind != gate.Started {
		e.forgetHint(handle)
	}
	switch event.Kind {
	case gate.Started:
		return e.forward(ctx, handle, req, out, reply)
	case gate.Moved:
		reply.Verdict, reply.To = hop.Moved, event.To
	default:
		reply.Verdict, reply.Reason = hop.Refused, event.Reason
		reply.RetryAfter, reply.Everywhere = event.RetryAfter, event.Everywhere
	}
	return nil, reply
}

// replyTo is a reply without a verdict.
func (e *Endpoint) replyTo(req hop.Request) hop.Reply {
	return hop.Reply{ID: req.ID, Incarnation: e.options.Incarnation(), Revision: e.options.Revision()}
}

// logAdmission tells what the gate decided and what it knew.
func (e *Endpoint) logAdmission(req hop.Request, out *hop.Outgoing, event gate.Event, waited time.Duration) {
	e.mu.Lock()
	load, speed := e.gate.Load(e.now()), e.gate.Speed(e.now())
	e.mu.Unlock()
	outcome, failure := "started", false
	switch event.Kind {
	case gate.Moved:
		outcome = "moved"
	case gate.Refused:
		outcome, failure = "refused", true
	default:
		e.options.Counters.Waited.Observe(waited)
	}
	logs.Decision(failure, "Gate decided", "request", out.ID, "attempt", hop.FormatID(req.ID), "host", e.options.Host,
		"content", req.Content.Exact, "alike", req.Content.Alike, "outcome", outcome, "reason", event.Reason.String(),
		"to", event.To, "waited", waited, "left", time.Until(out.Deadline), "running", load.Running, "waiting", load.Waiting, "slots", load.Slots,
		"service", load.Service, "slowdown", speed.Slowdown, "lasting", speed.Lasting, "crowd", speed.Crowd, "usual", speed.Usual, "loadAge", e.now()-time.Duration(e.observed.Load()), "retryAfter", event.RetryAfter, "everywhere", event.Everywhere, "revision", e.options.Revision())
}

func (e *Endpoint) forgetHint(handle gate.Handle) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.hints, handle)
}

// admit waits until the gate starts, moves or refuses the request.
func (e *Endpoint) admit(ctx context.Context, req hop.Request, onHint func(string)) (gate.Handle, gate.Event) {
	ch := make(chan gate.Event, 1)
	var handle gate.Handle
	e.with(func(now time.Duration) []gate.Event {
		e.next++
		handle = e.next
		e.waiting[handle] = ch
		if onHint != nil && req.Repeatable {
			e.hints[handle] = onHint
		}
		return e.gate.Arrive(now, gateRequest(now, handle, req))
	})
	return handle, e.verdict(ctx, handle, ch)
}

// verdict waits for what the gate decides on a request.
func (e *Endpoint) verdict(ctx context.Context, handle gate.Handle, ch <-chan gate.Event) gate.Event {
	select {
	case event := <-ch:
		return event
	default:
	}
	select {
	case event := <-ch:
		return event
	case <-ctx.Done():
		// The gate may have started it meanwhile; then it runs and is ended by
		// forward, which sees the same context.
		e.with(func(now time.Duration) []gate.Event { return e.gate.Cancel(now, handle) })
		return <-ch
	}
}

// reconsider has the gate decide anew on a started request whose body has come, by a
// fresh figure.
func (e *Endpoint) reconsider(ctx context.Context, handle gate.Handle) gate.Event {
	e.refreshFigure(ctx)
	ch := make(chan gate.Event, 1)
	e.with(func(now time.Duration) []gate.Event {
		e.waiting[handle] = ch
		return e.gate.Reconsider(now, handle)
	})
	return e.verdict(ctx, handle, ch)
}

func gateRequest(now time.Duration, handle gate.Handle, req hop.Request) gate.Request {
	r := gate.Request{Handle: handle, ID: req.ID, Caller: req.Caller, Deadline: now + req.Timeout, Movable: req.Movable, From: req.From, Bulky: req.Bulky,
		Class: req.Class, Priority: req.Priority, Repeatable: req.Repeatable}
	if req.Aim > 0 {
		r.Aim, r.AimAt = req.Aim, max(1, now+req.AimLeft)
	}
	return r
}

func (e *Endpoint) finish(handle gate.Handle, outcome gate.Outcome) {
	e.with(func(now time.Duration) []gate.Event {
		delete(e.hints, handle)
		return e.gate.Finish(now, handle, outcome)
	})
}
