// Package endpoint runs the gate of one backend server, which decides when a request may run
// there. It queues requests, forwards those that may run, and exchanges load reports with the
// gates of the service's other backend servers.
package endpoint

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cactuspath/core/gate"
	"cactuspath/core/transit"
	"cactuspath/internal/hangup"
	"cactuspath/internal/hop"
	"cactuspath/internal/link"
	"cactuspath/internal/logs"
	"cactuspath/internal/overload"
	"cactuspath/internal/quarantine"
)

const (
	// maxDialFailures is the number of consecutive dial failures after which the
	// backend server is down.
	maxDialFailures = 3
	// probeInterval is how often a backend server that is down is polled.
	probeInterval = 200 * time.Millisecond
)

// Options configure an Endpoint.
type Options struct {
	Host string
	// Incarnation returns the incarnation of this node; it is called for each attempt.
	Incarnation func() uint64
	// SendReport sends a report to the gate of a sibling host.
	SendReport func(host string, report gate.Report)
	// Revision returns the newest configuration revision that this node knows;
	// ObserveRevision is called with the revision that a caller's node sent.
	Revision        func() uint64
	ObserveRevision func(revision uint64)
	// LeavingChanged is called when the backend server says in an answer that it is
	// shutting down, or no longer says so. It may be nil.
	LeavingChanged func()
	Counters       *Counters
	// Dialect defines the header fields of the backend server.
	Dialect *hop.Dialect
	// Quarantine decides which requests are refused because servers crashed while
	// running them; nil refuses none.
	Quarantine *quarantine.Tracker
	// Overload refuses requests of other nodes while this process is short of processor
	// time; nil refuses none.
	Overload *overload.Monitor
	// Link paces large responses to other nodes on this host's link; nil paces none.
	Link *link.Link
	// LinkBacklog returns how long the host's link needs for the rest of the large
	// responses that it is sending; nil if the link is not observed.
	LinkBacklog func() time.Duration
}

// Endpoint is the gate of one backend server, with the timers and connections that it needs.
// It is safe for concurrent use.
type Endpoint struct {
	options Options
	start   time.Time

	mu      sync.Mutex
	gate    *gate.Gate
	waiters map[gate.Handle]chan gate.Event
	// hints are the functions to call with the host of a sibling that would finish a running
	// request sooner.
	hints      map[gate.Handle]func(to string)
	lastHandle gate.Handle
	// transit estimates how long requests of other nodes were held up on their way here.
	transit *transit.Estimator
	timer   *time.Timer
	tickAt  time.Duration
	closed  bool

	tracker *runTracker
	// transfers limits the large responses that are sent to other nodes at the same time.
	transfers transfers

	stopWatch context.CancelFunc
	// serverCtx is canceled when the current process of the backend server is known to have
	// ended.
	serverCtx       context.Context
	cancelServerCtx context.CancelFunc

	backend atomic.Pointer[hop.Pool]
	// healthPool has a connection of its own for health queries to the backend server,
	// since a new connection may have to wait for a slot there.
	healthPool atomic.Pointer[hop.Pool]
	instance   atomic.Pointer[string]
	healthPath atomic.Pointer[string]
	// healthPathKnown is closed once the health path is set.
	healthPathKnown chan struct{}
	setHealthPath   sync.Once
	// loadReportedAt is when the backend server last reported its load.
	loadReportedAt atomic.Int64
	// coldReportedAt is when the backend server last reported how long it stays cold.
	coldReportedAt atomic.Int64
	// loadQuery is closed when the load query in progress ends; nil if there is none.
	// It is guarded by mu.
	loadQuery chan struct{}
	// loadOverdue is set if the backend server did not respond to the last load query in
	// time.
	loadOverdue atomic.Bool
	// firstQueryEnded is set once a load query has ended, with a response or without.
	firstQueryEnded atomic.Bool
	// lastResponse is when the backend server last sent any response.
	lastResponse atomic.Int64
	dialFailures atomic.Int32
	// leaving is set once the backend server has said in an answer that it is shutting
	// down; leavingInHealth once an answer to a health query has said so.
	leaving, leavingInHealth atomic.Bool
	// evacuated is set while this data centre is evacuated by the operator.
	evacuated atomic.Bool
	down      atomic.Bool
}

// New returns an endpoint whose gate is closed until a backend server is set.
func New(options Options, config gate.Config) *Endpoint {
	if options.Dialect == nil {
		options.Dialect = &hop.Dialect{}
	}
	e := &Endpoint{options: options, start: time.Now(), waiters: map[gate.Handle]chan gate.Event{}, hints: map[gate.Handle]func(string){}, tracker: newRunTracker(), transfers: newTransfers(), transit: transit.NewEstimator(), healthPathKnown: make(chan struct{})}
	e.gate = gate.New(options.Host, config, 0)
	var ctx context.Context
	ctx, e.stopWatch = context.WithCancel(context.Background())
	e.serverCtx, e.cancelServerCtx = context.WithCancel(context.Background())
	go e.watchLoad(ctx)
	return e
}

func (e *Endpoint) now() time.Duration { return time.Since(e.start) }

// runGate runs a step of the gate and executes the events that result from it.
func (e *Endpoint) runGate(step func(now time.Duration) []gate.Event) {
	e.mu.Lock()
	events := step(e.now())
	var sends []gate.Event
	var hintCalls []func()
	for _, event := range events {
		switch event.Kind {
		case gate.Send:
			sends = append(sends, event)
			continue
		case gate.Hint:
			if hint := e.hints[event.Handle]; hint != nil {
				to := event.To
				hintCalls = append(hintCalls, func() { hint(to) })
			}
			continue
		}
		e.options.Counters.count(event)
		if ch := e.waiters[event.Handle]; ch != nil {
			delete(e.waiters, event.Handle)
			ch <- event
		}
	}
	e.scheduleTick()
	e.mu.Unlock()
	for _, hint := range hintCalls {
		hint()
	}
	for _, send := range sends {
		send.Report.Incarnation = e.options.Incarnation()
		e.options.SendReport(send.To, send.Report)
	}
}

// scheduleTick sets the timer for the gate's next tick.
func (e *Endpoint) scheduleTick() {
	at, ok := e.gate.NextTimer()
	now := e.now()
	if !ok || e.closed || e.tickAt > now && e.tickAt <= at {
		return
	}
	e.tickAt = max(at, now+time.Millisecond)
	if e.timer == nil {
		e.timer = time.AfterFunc(e.tickAt-now, e.tick)
		return
	}
	e.timer.Reset(e.tickAt - now)
}

// observeLink passes the backlog of the host's link to the gate. The caller holds mu.
func (e *Endpoint) observeLink(now time.Duration) {
	if e.options.LinkBacklog != nil {
		e.gate.ObserveLink(now, e.options.LinkBacklog())
	}
}

func (e *Endpoint) tick() {
	e.runGate(func(now time.Duration) []gate.Event {
		e.tickAt = 0
		e.observeLink(now)
		return e.gate.Tick(now)
	})
}

// Close stops the timer and the load queries and closes idle connections.
func (e *Endpoint) Close() {
	e.stopWatch()
	e.mu.Lock()
	e.closed = true
	if e.timer != nil {
		e.timer.Stop()
	}
	e.mu.Unlock()
	for _, p := range []*hop.Pool{e.backend.Load(), e.healthPool.Load()} {
		if p != nil {
			p.Close()
		}
	}
}

// SetReplacesEarlierEndpoint records that another endpoint served this host's backend
// server before, so that the gate cannot tell whether attempts sent to that one ran.
func (e *Endpoint) SetReplacesEarlierEndpoint() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gate.StartHistoryAt(e.now())
}

// Configure applies the service's configuration.
func (e *Endpoint) Configure(config gate.Config) {
	e.runGate(func(now time.Duration) []gate.Event { return e.gate.Configure(now, config) })
}

// SetSiblings sets the other gates of the service.
func (e *Endpoint) SetSiblings(list []gate.Sibling) {
	e.runGate(func(time.Duration) []gate.Event {
		e.gate.SetSiblings(list)
		return nil
	})
}

// ReceiveReport applies a sibling's report.
func (e *Endpoint) ReceiveReport(report gate.Report) {
	e.runGate(func(now time.Duration) []gate.Event {
		e.gate.ApplyReport(now, report)
		return nil
	})
}

// Revoke revokes an attempt that was sent the given time ago and whose response was lost. It
// reports whether the attempt ran. An attempt that the gate has not started is never started
// afterwards.
func (e *Endpoint) Revoke(id gate.AttemptID, sentAgo time.Duration) gate.RevokeAnswer {
	var answer gate.RevokeAnswer
	e.runGate(func(now time.Duration) (events []gate.Event) {
		answer, events = e.gate.Revoke(now, id, sentAgo)
		return events
	})
	return answer
}

// InFlight returns the number of requests that run or wait here.
func (e *Endpoint) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.InFlight()
}

// Load returns the gate's current estimate of its backend server's load.
func (e *Endpoint) Load() gate.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gate.Load(e.now())
}

// Attempt submits a request to the gate and, if the gate lets it run, forwards it to the
// backend server. The response is nil unless the reply's verdict is Ran; its body must be
// read or closed.
//
// OnHint may be nil. It is called from other goroutines while the request runs, with the host
// of a sibling that would finish it sooner, or with hop.AnyHost if any other endpoint would.
func (e *Endpoint) Attempt(ctx context.Context, req hop.Request, out *hop.Outgoing, onHint func(to string)) (*http.Response, hop.Reply) {
	e.options.ObserveRevision(req.Revision)
	reply := e.newReply(req)
	if req.Incarnation != reply.Incarnation {
		reply.Verdict = hop.Restarted
		return nil, reply
	}
	arrived := time.Now()
	if left := e.options.Quarantine.QuarantinedFor(req.Content); left > 0 {
		return nil, e.refuseQuarantined(req.Content, out, reply, left)
	}
	e.refreshLoad(ctx)
	handle, event := e.admit(ctx, req, out.Method, onHint)
	e.logAdmission(req, out, event, time.Since(arrived))
	if event.Kind != gate.Started {
		e.removeHint(handle)
	}
	switch event.Kind {
	case gate.Started:
		return e.forward(ctx, handle, req, out, reply)
	case gate.Moved:
		reply.Verdict, reply.To = hop.Moved, event.To
	default:
		reply.Verdict, reply.Reason = hop.Refused, event.Reason
		reply.RetryAfter, reply.SiblingsFull = event.RetryAfter, event.SiblingsFull
	}
	return nil, reply
}

// newReply returns a reply without a verdict.
func (e *Endpoint) newReply(req hop.Request) hop.Reply {
	return hop.Reply{ID: req.ID, Incarnation: e.options.Incarnation(), Revision: e.options.Revision()}
}

// logAdmission logs the gate's decision and the state it was based on.
func (e *Endpoint) logAdmission(req hop.Request, out *hop.Outgoing, event gate.Event, waited time.Duration) {
	e.mu.Lock()
	load, speed, limit := e.gate.Load(e.now()), e.gate.Speed(e.now()), e.gate.NamedLimit()
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
		"service", load.Service, "slowdown", speed.Slowdown, "lasting", speed.Persistent, "crowd", speed.Contention, "usual", speed.MeanServiceTime, "loadAge", e.now()-time.Duration(e.loadReportedAt.Load()), "linkWait", load.LinkWait, "retryAfter", event.RetryAfter, "everywhere", event.SiblingsFull, "limit", limit.String(), "revision", e.options.Revision())
}

func (e *Endpoint) removeHint(handle gate.Handle) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.hints, handle)
}

// admit waits until the gate starts, moves or refuses the request.
func (e *Endpoint) admit(ctx context.Context, req hop.Request, method string, onHint func(string)) (gate.Handle, gate.Event) {
	ch := make(chan gate.Event, 1)
	var handle gate.Handle
	e.runGate(func(now time.Duration) []gate.Event {
		e.lastHandle++
		handle = e.lastHandle
		e.waiters[handle] = ch
		if onHint != nil && req.Repeatable {
			e.hints[handle] = onHint
		}
		e.observeLink(now)
		return e.gate.Arrive(now, gateRequest(now, handle, req, method))
	})
	return handle, e.awaitDecision(ctx, handle, ch)
}

// awaitDecision waits for the gate's decision on a request, and cancels the request at the
// gate if ctx ends first.
func (e *Endpoint) awaitDecision(ctx context.Context, handle gate.Handle, ch <-chan gate.Event) gate.Event {
	select {
	case event := <-ch:
		return event
	default:
	}
	defer hangup.Expire(ctx)
	select {
	case event := <-ch:
		return event
	case <-ctx.Done():
		// The gate may have started the request in the meantime. It is then passed to
		// forward, which ends it because it uses the same context.
		e.runGate(func(now time.Duration) []gate.Event { return e.gate.Cancel(now, handle) })
		return <-ch
	}
}

// reconsider makes the gate decide again, with a fresh load report, on a request that it
// started and whose body has been received since.
func (e *Endpoint) reconsider(ctx context.Context, handle gate.Handle) gate.Event {
	e.refreshLoad(ctx)
	ch := make(chan gate.Event, 1)
	e.runGate(func(now time.Duration) []gate.Event {
		e.waiters[handle] = ch
		return e.gate.ReconsiderAfterBody(now, handle)
	})
	return e.awaitDecision(ctx, handle, ch)
}

func gateRequest(now time.Duration, handle gate.Handle, req hop.Request, method string) gate.Request {
	r := gate.Request{Handle: handle, ID: req.ID, Caller: req.Caller, Deadline: now + req.Timeout, Movable: req.Movable, From: req.From, LargeBody: req.LargeBody,
		Class: req.Class, Priority: req.Priority, Repeatable: req.Repeatable, NoBody: method == http.MethodHead}
	if req.Aim > 0 {
		r.Aim, r.AimAt = req.Aim, max(1, now+req.AimLeft)
	}
	return r
}

func (e *Endpoint) finish(handle gate.Handle, outcome gate.Outcome) {
	e.runGate(func(now time.Duration) []gate.Event {
		delete(e.hints, handle)
		e.observeLink(now)
		return e.gate.Finish(now, handle, outcome)
	})
}
