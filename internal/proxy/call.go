package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/core/mechanism"
	"cactuspath/core/quarantine"
	"cactuspath/core/retry"
	"cactuspath/internal/hop"
	"cactuspath/internal/link"
	"cactuspath/internal/logs"
)

const (
	// gracePeriod extends the deadline of an attempt at the caller's node, so that a refusal
	// sent by the gate at the deadline arrives before the attempt is considered lost.
	gracePeriod = 25 * time.Millisecond
	// revokeTimeout bounds the revoke request for a lost attempt.
	revokeTimeout = 500 * time.Millisecond
	// lateRevokeTimeout replaces revokeTimeout once the request's deadline has passed,
	// because the caller must then get its response immediately.
	lateRevokeTimeout = 50 * time.Millisecond
	// largeBodyBytes is the body size from which a request is flagged as having a large body,
	// which means that sending the request costs more than sending its response.
	largeBodyBytes = 16 << 10
	// defaultRetryAfter is used when no gate supplied an estimate.
	defaultRetryAfter = 100 * time.Millisecond
	// noEndpointRetryAfter is used when no endpoint is known. It is about the time that
	// a node needs to learn of all endpoints after a restart.
	noEndpointRetryAfter = 400 * time.Millisecond
	// evacuatedRetryAfter is used when all endpoints are evacuated. It is longer than
	// the others because evacuations last.
	evacuatedRetryAfter = time.Second
)

// call is the state of one caller's request until its final response.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	s        *service
	rules    retry.Request
	out      *hop.Outgoing
	id       [2]uint64
	attempts uint32
	// tried lists the hosts whose endpoints refused or lost the request.
	tried    []string
	triedBuf [4]string
	arrived  time.Time
	deadline time.Time
	caller   string
	route    *Route
	key      *credential
	// hedged is set once a hedged attempt, that is, a concurrent second attempt, was started.
	hedged bool
	// awaitsContinue is set if the caller sent "Expect: 100-continue".
	awaitsContinue bool
	// content is the request's fingerprint for quarantine and for recognizing later tries; zero
	// if its body is streamed.
	content quarantine.Content

	lastReply  hop.Reply
	hasReply   bool
	retryAfter time.Duration
}

// attempt is one try of sending a request to one endpoint.
type attempt struct {
	to          *selectedEndpoint
	id          gate.AttemptID
	incarnation uint64
	sent        time.Time
	deadline    time.Time
	ctx         context.Context
	onHint      func(to string)
}

// requestID returns the ID used in logs: the caller's request ID if it sent one,
// otherwise the generated one.
func (c *call) requestID() string {
	if c.out.ID != "" {
		return c.out.ID
	}
	return hop.FormatID(gate.AttemptID{Request: c.id})
}

// result is the outcome of one attempt. resp is nil unless the backend server
// responded.
type result struct {
	to    *selectedEndpoint
	resp  *http.Response
	ended retry.Result
	// reply is the reply of the endpoint's node; valid if hasReply is set.
	reply    hop.Reply
	hasReply bool
}

// run makes attempts until the caller has a response, the request is given up or the
// caller disconnects.
func (c *call) run() {
	c.tried = c.triedBuf[:0]
	to := c.s.pick(c.h.now(), c.tried)
	for {
		if remaining := c.h.options.Quarantine.QuarantinedFor(c.content); remaining > 0 {
			c.refuseQuarantined(to, remaining)
			return
		}
		if to == nil {
			c.giveUp(c.rules.GiveUp())
			return
		}
		if !c.key.valid(c.h.table.Load()) {
			c.refuseRevokedKey(to)
			return
		}
		r := c.attemptEndpoint(to)
		to = r.to
		if r.resp != nil {
			if c.deliver(r.resp) {
				return
			}
			r.ended = retry.Lost
		}
		if c.r.Context().Err() != nil {
			// The caller disconnected, so no response can be delivered.
			c.h.options.Counters.Canceled.Add(1)
			logs.Decision(false, "Caller gone", "request", c.requestID(), "service", c.s.name, "attempts", c.attempts, "took", time.Since(c.arrived))
			return
		}
		if r.ended != retry.Moved && r.ended != retry.Restarted {
			// An endpoint that moved the request or restarted has not refused it and
			// may be tried again.
			c.tried = append(c.tried, to.Host)
		}
		action := c.next(r.ended)
		if (action == retry.RetryOther || action == retry.RetryNamed) && !c.resendable() {
			action = c.rules.GiveUp()
		}
		switch action {
		case retry.RetryNamed:
			to = c.pickNamed(r.ended, to)
		case retry.RetryOther:
			c.countRetry()
			to = c.s.pick(c.h.now(), c.tried)
		default:
			c.giveUp(action)
			return
		}
	}
}

// attemptEndpoint makes one attempt, or two concurrent ones if a hint reports that the
// first is stuck, and returns the decisive result.
func (c *call) attemptEndpoint(to *selectedEndpoint) result {
	if !c.canHedge() {
		r := c.tryEndpoint(c.r.Context(), to, c.nextAttemptNumber(), nil)
		c.recordReply(r)
		return r
	}
	return c.runHedged(to)
}

// canHedge reports whether a second attempt may run concurrently with the first.
func (c *call) canHedge() bool {
	return c.rules.Idempotent && c.out.Stream == nil && c.rules.MaxAttempts > 1
}

// nextAttemptNumber returns the number of a new attempt, counting from 1.
func (c *call) nextAttemptNumber() uint32 {
	c.attempts++
	return c.attempts
}

// recordReply stores the reply to the last attempt. If the request is given up, its fault
// response is built from it.
func (c *call) recordReply(r result) {
	if !r.hasReply {
		return
	}
	c.lastReply, c.hasReply = r.reply, true
	if r.reply.RetryAfter > 0 {
		c.retryAfter = r.reply.RetryAfter
	}
}

// pickNamed returns the endpoint to which the last reply directs the request, or any
// other if that endpoint is unknown here.
func (c *call) pickNamed(ended retry.Result, previous *selectedEndpoint) *selectedEndpoint {
	host := previous.Host
	if ended == retry.Moved {
		c.h.options.Counters.Moves.Add(1)
		host = c.lastReply.To
	}
	if to := c.s.pickNamed(host); to != nil {
		return to
	}
	return c.s.pick(c.h.now(), c.tried)
}

// tryEndpoint makes one attempt, which is aborted when ctx ends. onHint may be nil.
func (c *call) tryEndpoint(ctx context.Context, to *selectedEndpoint, number uint32, onHint func(to string)) result {
	a := attempt{ctx: ctx, to: to, id: gate.AttemptID{Request: c.id, Attempt: number}, incarnation: to.Incarnation, sent: time.Now(), deadline: c.attemptDeadline(), onHint: onHint}
	timeout := a.deadline.Sub(a.sent)
	if timeout <= 0 {
		c.s.done(c.h.now(), to, true)
		return result{to: to, ended: retry.NotRunAnywhere, reply: hop.Reply{Verdict: hop.Refused, Reason: gate.TooLate}, hasReply: true}
	}
	logs.Decision(false, "Attempt", "request", c.requestID(), "attempt", hop.FormatID(a.id), "service", c.s.name, "content", c.content.Exact, "to", to.Host, "near", to.Near,
		"outstanding", to.Outstanding, "left", timeout, "movable", c.movable(), "tried", c.tried, "revision", c.h.options.Revision())
	req := hop.Request{ID: a.id, Incarnation: a.incarnation, Timeout: timeout, Movable: c.movable(), Revision: c.h.options.Revision(), Caller: c.caller, Content: c.content,
		From: c.h.options.DataCenter, Repeatable: onHint != nil, LargeBody: c.out.Stream != nil || len(c.out.Buffered) >= largeBodyBytes}
	c.applyRoute(&req, a.sent)
	out := c.outgoing(a)
	if to.Host == c.h.options.Host {
		if local := c.h.options.Local.Endpoint(c.s.name); local != nil {
			out.Deadline = a.deadline
			resp, reply := local.Attempt(ctx, req, out, onHint)
			return c.handleReply(a, resp, reply)
		}
	}
	return c.tryRemote(a, req, out)
}

// applyRoute copies the route's class, priority and latency target to the request. The target
// counts from when the caller first sent the request: if a caller allows less time than the
// route's timeout, it is assumed to have spent the difference on earlier attempts of its own.
func (c *call) applyRoute(req *hop.Request, now time.Time) {
	if c.route == nil {
		return
	}
	req.Class, req.Priority = c.route.Name, Target{Route: c.route}.rank(c.key.account).Priority
	if req.Aim = c.route.aim(); req.Aim == 0 {
		return
	}
	req.AimLeft = c.deadline.Add(req.Aim - c.route.timeout()).Sub(now)
}

// movable reports whether a gate may move the request to another endpoint. A request
// that an endpoint refused or lost must not be moved: the next gate does not know which
// endpoints were tried and could send it to the same failed server again.
func (c *call) movable() bool { return c.rules.Movable() && len(c.tried) == 0 }

// resendable reports whether the request can be sent again. It cannot once a part of a
// streamed body was read.
func (c *call) resendable() bool { return c.out.Stream == nil || c.out.Stream.Unread() }

// outgoing returns a copy of the request for one attempt.
func (c *call) outgoing(a attempt) *hop.Outgoing {
	out := *c.out
	out.Deadline = a.deadline.Add(gracePeriod)
	out.Attempt = a.id
	return &out
}

// tryRemote sends an attempt to the endpoint's node over the network.
func (c *call) tryRemote(a attempt, req hop.Request, out *hop.Outgoing) result {
	// hop.Header carries the remaining time. The empty timeout field prevents the
	// caller's own from being forwarded as well.
	out.Extra = []hop.Field{{Name: hop.Header, Value: req.Encode()}, {Name: hop.ServiceHeader, Value: c.s.name}, {Name: c.h.options.Dialect.TimeoutField()},
		{Name: hop.SentHeader, Value: strconv.FormatInt(c.h.now().Microseconds(), 10)}}
	if a.onHint != nil {
		out.OnInterim = func(h http.Header) {
			if to := h.Get(hop.HintHeader); to != "" {
				a.onHint(to)
			}
		}
	}
	if len(out.Buffered) >= largeBodyBytes && !c.h.isDisabled(mechanism.AskFirst) {
		out.ExpectContinue()
	}
	if c.h.options.Link.Enabled() {
		out.OnBodySent = c.h.options.Link.Count
	}
	if probe := c.h.options.ProbePeer; probe != nil {
		out.PeerResponds = func(ctx context.Context) bool { return probe(ctx, a.to.PeerAddress) }
	}
	endWatch := c.h.watchAttempt(&a)
	resp, err := c.h.peer(a.to.PeerAddress).Do(a.ctx, out)
	endWatch(err == nil)
	if err != nil {
		return result{to: a.to, ended: c.resolveUnanswered(a, err)}
	}
	reply, err := hop.ParseReply(resp.Header.Get(hop.Header))
	if err == nil && reply.ID != a.id {
		err = errors.Newf("response belongs to attempt %s", hop.FormatID(reply.ID))
	}
	if err != nil {
		// The response belongs to another attempt and must not reach the caller.
		_ = resp.Body.Close()
		klog.ErrorS(err, "Discarded a response that does not belong to this attempt", "host", a.to.Host)
		return result{to: a.to, ended: c.resolveUnanswered(a, err)}
	}
	if reply.Verdict != hop.Ran {
		hop.Discard(resp)
		resp = nil
	}
	return c.handleReply(a, resp, reply)
}

// trackedBody is a response body that calls done once when it ends or is closed.
type trackedBody struct {
	io.ReadCloser
	done  func()
	ended bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish()
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.finish()
	return b.ReadCloser.Close()
}

func (b *trackedBody) finish() {
	if !b.ended {
		b.ended = true
		b.done()
	}
}

// resettableWriter is a response writer that can discard what was written to it. Reset returns
// false if a part of it was already sent.
type resettableWriter interface{ Reset() bool }

// deliver relays the response to the caller and returns true. If the response is cut short before
// a part of it was sent, it returns false, and another response can be written: to abort the
// connection would also end the requests that the caller has sent behind this one. Otherwise it
// aborts the connection by panicking with http.ErrAbortHandler.
func (c *call) deliver(resp *http.Response) bool {
	status := resp.StatusCode
	if c.awaitsContinue && c.out.Stream != nil && c.out.Stream.InUse() {
		// The server responds before it has received the body. The goroutine that sends
		// the body may not have requested it from the caller yet, and 100 Continue cannot
		// follow the response head: a server that responds while it reads would wait for
		// the body, and the caller for 100 Continue.
		c.w.WriteHeader(http.StatusContinue)
	}
	err := c.relay(resp)
	logs.Decision(status >= http.StatusInternalServerError || err != nil, "Answered", "request", c.requestID(), "service", c.s.name, "route", c.routeName(),
		"status", status, "attempts", c.attempts, "took", time.Since(c.arrived), "left", time.Until(c.deadline), "err", err)
	var truncated *hop.TruncatedResponseError
	if !errors.As(err, &truncated) {
		c.h.options.Counters.Answered.Add(1)
		return true
	}
	c.h.options.Counters.Truncated.Add(1)
	if w, ok := c.w.(resettableWriter); ok && w.Reset() {
		return false
	}
	// Abort the connection so that the caller does not take a truncated response for
	// a complete one.
	panic(http.ErrAbortHandler)
}

// relay sends the response to the caller. A large one is paced on this host's link.
func (c *call) relay(resp *http.Response) error {
	host := c.h.options.Link
	if !host.Enabled() {
		return hop.Relay(c.w, resp)
	}
	paced := host.NewWriter(c.r.Context(), c.w, link.Response{Request: c.requestID(), Length: resp.ContentLength, Due: c.deadline})
	defer paced.End()
	return hop.Relay(paced, resp)
}

// giveUp responds to the caller with the fault that ended its request.
func (c *call) giveUp(action retry.Action) {
	retryAfter := c.retryAfter
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	if after, ok := c.rejectedRetryAfter(action); ok {
		retryAfter = after
	}
	f := Fault{Attempts: c.attempts, Reason: c.reason()}
	switch {
	case action == retry.GiveUpUnknown && !time.Now().Before(c.attemptDeadline()):
		f.Fault, f.status = fault.OutcomeUnknown, http.StatusGatewayTimeout
		f.Message = "the time allowed has passed while the request may have run; find out at the service before you repeat it, unless it is idempotent"
	case action == retry.GiveUpUnknown:
		f.Fault = fault.OutcomeUnknown
		f.Message = "the request was sent and its answer was lost: it may have run; find out at the service before you repeat it, unless it is idempotent"
	case c.lastReply.Verdict == hop.Refused && c.lastReply.Reason == gate.Quarantined:
		f.Fault = fault.Quarantined
		f.Message = "backend servers have ended again and again while they ran requests like this one, so it was not run; look in the nodes' logs for \"Backend server ended\", and mend what crashes before it is sent again"
	case c.attempts == 0 && c.s.allEvacuated():
		f.Fault, f.Reason, retryAfter = fault.NotRun, gate.Evacuated.String(), evacuatedRetryAfter
		f.Message = "all endpoints of service " + c.s.name + " are in data centres that the operator has evacuated, so the request was not run; come back later (`cactusctl status` lists evacuations)"
	case c.attempts == 0:
		f.Fault, retryAfter = fault.NoEndpoint, noEndpointRetryAfter
		f.Message = "no endpoint of service " + c.s.name + " is known here; check that its backend servers announce themselves (`cactusctl status`)"
	case c.lastReply.Verdict == hop.Refused && c.lastReply.Reason == gate.TooLate:
		f.Fault = fault.DeadlinePassed
		f.Message = "the request could not have finished in its time and was not run; come back later or allow more time"
	case c.lastReply.Verdict == hop.Refused && c.lastReply.Reason == gate.Overloaded:
		f.Fault = fault.Overloaded
		f.Message = "the endpoint's node is short of processor time and the request was not run; come back after the time given"
	case c.lastReply.Verdict == hop.Refused && c.lastReply.Reason == gate.Limited:
		f.Fault = fault.Overloaded
		f.Message = "the backend server names a limit to the requests that it accepts, and the request, which exceeds it, was not run; come back after the time given"
	case c.lastReply.Verdict == hop.Refused && c.lastReply.Reason == gate.QueueFull:
		f.Fault = fault.Overloaded
		f.Message = "the service is full and the request was not run; come back after the time given"
	default:
		f.Fault = fault.NotRun
		f.Message = "no endpoint of service " + c.s.name + " took the request and it was not run; come back after the time given"
	}
	if !f.Fault.MayHaveRun() {
		c.h.refund(c.key)
	}
	c.recordGivenUp(f.Fault)
	logs.Decision(true, "Given up", "request", c.requestID(), "service", c.s.name, "route", c.routeName(), "account", c.key.accountName(), "fault", f.Fault, "reason", f.Reason, "content", c.content.Exact, "alike", c.content.Alike, "attempts", c.attempts,
		"need", c.needForLog(), "tried", c.tried, "took", time.Since(c.arrived), "left", time.Until(c.deadline), "retryAfter", retryAfter, "endpoints", c.s.endpointCount(), "revision", c.h.options.Revision())
	c.h.writeFault(c.w, c.r, f, retryAfter)
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// reason returns the refusal reason or verdict of the last reply, or "" if there is none.
func (c *call) reason() string {
	if !c.hasReply {
		return ""
	}
	if c.lastReply.Verdict == hop.Refused {
		return c.lastReply.Reason.String()
	}
	return c.lastReply.Verdict.String()
}
