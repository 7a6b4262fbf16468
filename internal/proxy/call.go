package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"cactuspath/api/fault"
	"cactuspath/core/gate"
	"cactuspath/core/mechanism"
	"cactuspath/core/quarantine"
	"cactuspath/core/retry"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
)

const (
	// grace lets a gate's own refusal at the deadline arrive before this side
	// gives the attempt up as lost.
	grace = 25 * time.Millisecond
	// revokeTimeout bounds the question what became of a lost attempt.
	revokeTimeout = 500 * time.Millisecond
	// lateRevokeTimeout bounds it once the deadline has passed, since the caller
	// is owed an answer at once.
	lateRevokeTimeout = 50 * time.Millisecond
	// bulkyBody is from which size on a body makes a request bulky, in bytes: its
	// way costs more than that of the answer.
	bulkyBody = 16 << 10
	// defaultRetryAfter is told when no gate gave a better estimate.
	defaultRetryAfter = 100 * time.Millisecond
	// noEndpointRetryAfter is told where no endpoint is known: about what a node
	// takes to learn of all endpoints after a restart.
	noEndpointRetryAfter = 400 * time.Millisecond
	// evacuatedRetryAfter is told where all endpoints are evacuated, which lasts.
	evacuatedRetryAfter = time.Second
)

// call is one request on its way to its final answer.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	s        *service
	rules    retry.Request
	out      *hop.Outgoing
	id       [2]uint64
	attempts uint32
	// tried are the endpoints that refused the request or lost it.
	tried    []string
	triedBuf [4]string
	arrived  time.Time
	deadline time.Time
	caller   string
	route    *Route
	// hedged: a second attempt was made beside a stuck one.
	hedged bool
	// asksFirst: the caller waits to be asked for the request's body.
	asksFirst bool
	// content identifies what the request asks for; zero where its body is streamed.
	content quarantine.Content

	last       hop.Reply
	reached    bool
	retryAfter time.Duration
}

// attempt is one try at one endpoint.
type attempt struct {
	to          *picked
	id          gate.AttemptID
	incarnation uint64
	sent        time.Time
	ctx         context.Context
	onHint      func(to string)
}

// requestID names the request in the log: as its caller does, or by our own id.
func (c *call) requestID() string {
	if c.out.ID != "" {
		return c.out.ID
	}
	return hop.FormatID(gate.AttemptID{Request: c.id})
}

// result is how one attempt ended. The response is nil unless the backend server
// answered.
type result struct {
	to    *picked
	resp  *http.Response
	ended retry.Ended
	// reply is what the endpoint's node said, if it said anything (reached).
	reply   hop.Reply
	reached bool
}

func (c *call) run() {
	c.tried = c.triedBuf[:0]
	to := c.s.pick(c.h.now(), c.tried)
	for {
		if left := c.h.options.Quarantine.Barred(c.content); left > 0 {
			c.keepAway(to, left)
			return
		}
		if to == nil {
			c.giveUp(c.rules.GiveUp())
			return
		}
		r := c.follow(to)
		to = r.to
		if r.resp != nil {
			c.deliver(r.resp)
			return
		}
		if c.r.Context().Err() != nil {
			// The caller went away; nobody is left to answer.
			c.h.options.Counters.Canceled.Add(1)
			logs.Decision(false, "Caller gone", "request", c.requestID(), "service", c.s.name, "attempts", c.attempts, "took", time.Since(c.arrived))
			return
		}
		if r.ended != retry.Moved && r.ended != retry.Restarted {
			// An endpoint that passed the request on has not refused it.
			c.tried = append(c.tried, to.Host)
		}
		action := c.s.next(&c.rules, r.ended, c.tried)
		if (action == retry.TryOther || action == retry.TryNamed) && !c.sendable() {
			action = c.rules.GiveUp()
		}
		switch action {
		case retry.TryNamed:
			to = c.named(r.ended, to)
		case retry.TryOther:
			c.h.options.Counters.Retries.Add(1)
			to = c.s.pick(c.h.now(), c.tried)
		default:
			c.giveUp(action)
			return
		}
	}
}

// follow makes one attempt, or two side by side where a hint says that the first
// one is stuck; it returns the one that counts.
func (c *call) follow(to *picked) result {
	if !c.hedgeable() {
		r := c.try(c.r.Context(), to, c.next(), nil)
		c.note(r)
		return r
	}
	return c.race(to)
}

// hedgeable tells whether a second attempt may run beside the first.
func (c *call) hedgeable() bool {
	return c.rules.Idempotent && c.out.Stream == nil && c.rules.MaxAttempts > 1
}

// next numbers an attempt.
func (c *call) next() uint32 {
	c.attempts++
	return c.attempts
}

// note keeps what the last attempt said for the caller's answer.
func (c *call) note(r result) {
	if !r.reached {
		return
	}
	c.last, c.reached = r.reply, true
	if r.reply.RetryAfter > 0 {
		c.retryAfter = r.reply.RetryAfter
	}
}

// named is the endpoint that the last reply asks to try; if it is not known
// here, any other.
func (c *call) named(ended retry.Ended, last *picked) *picked {
	host := last.Host
	if ended == retry.Moved {
		c.h.options.Counters.Moves.Add(1)
		host = c.last.To
	}
	if to := c.s.named(host); to != nil {
		return to
	}
	return c.s.pick(c.h.now(), c.tried)
}

// try makes one attempt, which ends early when ctx does. OnHint may be nil.
func (c *call) try(ctx context.Context, to *picked, number uint32, onHint func(to string)) result {
	a := attempt{ctx: ctx, to: to, id: gate.AttemptID{Request: c.id, Attempt: number}, incarnation: to.Incarnation, sent: time.Now(), onHint: onHint}
	timeout := c.deadline.Sub(a.sent)
	if timeout <= 0 {
		c.s.done(c.h.now(), to, true)
		return result{to: to, ended: retry.NotRunAnywhere, reply: hop.Reply{Verdict: hop.Refused, Reason: gate.TooLate}, reached: true}
	}
	logs.Decision(false, "Attempt", "request", c.requestID(), "attempt", hop.FormatID(a.id), "service", c.s.name, "content", c.content.Exact, "to", to.Host, "near", to.Near,
		"outstanding", to.Outstanding, "left", timeout, "movable", c.movable(), "tried", c.tried, "revision", c.h.options.Revision())
	req := hop.Request{ID: a.id, Incarnation: a.incarnation, Timeout: timeout, Movable: c.movable(), Revision: c.h.options.Revision(), Caller: c.caller, Content: c.content,
		From: c.h.options.DataCenter, Repeatable: onHint != nil, Bulky: c.out.Stream != nil || len(c.out.Buffered) >= bulkyBody}
	c.rankRequest(&req, a.sent)
	out := c.outgoing(a.id)
	if to.Host == c.h.options.Host {
		if local := c.h.options.Local.Endpoint(c.s.name); local != nil {
			out.Deadline = c.deadline
			resp, reply := local.Attempt(ctx, req, out, onHint)
			return c.settle(a, resp, reply)
		}
	}
	return c.remote(a, req, out)
}

// rankRequest tells the gate what the route says. The aim counts from the
// caller's first attempt: a caller that allows less time than the route has used
// up the rest by an attempt before.
func (c *call) rankRequest(req *hop.Request, now time.Time) {
	if c.route == nil {
		return
	}
	req.Class, req.Priority = c.route.Name, int(c.route.Spec.Priority)
	if req.Aim = c.route.aim(); req.Aim == 0 {
		return
	}
	req.AimLeft = c.deadline.Add(req.Aim - c.route.timeout()).Sub(now)
}

// movable tells whether a gate may move the request. One that an endpoint refused
// or lost stays where it is sent next: the gate there does not know where it has
// been, and could send it to the same dead server again.
func (c *call) movable() bool { return c.rules.Movable() && len(c.tried) == 0 }

// sendable tells whether the request can be sent once more: a streamed body of which
// a part was read cannot.
func (c *call) sendable() bool { return c.out.Stream == nil || c.out.Stream.Whole() }

// outgoing is the request for one attempt.
func (c *call) outgoing(id gate.AttemptID) *hop.Outgoing {
	out := *c.out
	out.Deadline = c.deadline.Add(grace)
	out.Attempt = id
	return &out
}

func (c *call) remote(a attempt, req hop.Request, out *hop.Outgoing) result {
	// The time left is in the hop's own header; the empty field keeps the caller's
	// from being sent beside it.
	out.Extra = []hop.Field{{Name: hop.Header, Value: req.Encode()}, {Name: hop.ServiceHeader, Value: c.s.name}, {Name: c.h.options.Dialect.TimeoutField()}}
	if a.onHint != nil {
		out.OnInterim = func(h http.Header) {
			if to := h.Get(hop.HintHeader); to != "" {
				a.onHint(to)
			}
		}
	}
	if len(out.Buffered) >= bulkyBody && !c.h.disabled(mechanism.AskFirst) {
		out.AskFirst()
	}
	answered := c.h.watch(&a)
	resp, err := c.h.peer(a.to.PeerAddress).Do(a.ctx, out)
	answered(err == nil)
	if err != nil {
		return result{to: a.to, ended: c.unanswered(a, err)}
	}
	reply, err := hop.ParseReply(resp.Header.Get(hop.Header))
	if err == nil && reply.ID != a.id {
		err = errors.Newf("the answer belongs to attempt %s", hop.FormatID(reply.ID))
	}
	if err != nil {
		// Not the answer to this attempt: it must not reach the caller.
		_ = resp.Body.Close()
		klog.ErrorS(err, "Dropped an answer that is not this request's", "host", a.to.Host)
		return result{to: a.to, ended: c.unanswered(a, err)}
	}
	if reply.Verdict != hop.Ran {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		resp = nil
	}
	return c.settle(a, resp, reply)
}

// countedBody tells the pool when an answer ends.
type countedBody struct {
	io.ReadCloser
	done  func()
	ended bool
}

// Read reads the answer's body.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once()
	}
	return n, err
}

// Close ends the answer.
func (b *countedBody) Close() error {
	b.once()
	return b.ReadCloser.Close()
}

func (b *countedBody) once() {
	if !b.ended {
		b.ended = true
		b.done()
	}
}

func (c *call) deliver(resp *http.Response) {
	c.h.options.Counters.Answered.Add(1)
	status := resp.StatusCode
	if c.asksFirst && c.out.Stream != nil && c.out.Stream.Lent() {
		// The server answers before it has the body. Its sender may not have come to ask
		// the caller yet, and behind the answer's head nobody can: a server that answers
		// as it reads would wait for the body, and the caller for the question.
		c.w.WriteHeader(http.StatusContinue)
	}
	err := hop.Relay(c.w, resp)
	logs.Decision(status >= http.StatusInternalServerError || err != nil, "Answered", "request", c.requestID(), "service", c.s.name, "route", c.routeName(),
		"status", status, "attempts", c.attempts, "took", time.Since(c.arrived), "left", time.Until(c.deadline), "err", err)
	var cut *hop.CutShortError
	if errors.As(err, &cut) {
		c.h.options.Counters.CutShort.Add(1)
		// The caller must see a broken answer, not a short one that looks whole.
		panic(http.ErrAbortHandler)
	}
}

// giveUp tells the caller how its request ended without an answer.
func (c *call) giveUp(action retry.Action) {
	retryAfter := c.retryAfter
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	f := Fault{Attempts: c.attempts, Reason: c.reason()}
	switch {
	case action == retry.GiveUpUnknown && !time.Now().Before(c.deadline):
		f.Fault, f.status = fault.OutcomeUnknown, http.StatusGatewayTimeout
		f.Message = "the time allowed has passed while the request may have run; find out at the service before you repeat it, unless it is idempotent"
	case action == retry.GiveUpUnknown:
		f.Fault = fault.OutcomeUnknown
		f.Message = "the request was sent and its answer was lost: it may have run; find out at the service before you repeat it, unless it is idempotent"
	case c.last.Verdict == hop.Refused && c.last.Reason == gate.Quarantined:
		f.Fault = fault.Quarantined
		f.Message = "backend servers have ended again and again while they ran requests like this one, so it was not run; look in the nodes' logs for \"Backend server ended\", and mend what crashes before it is sent again"
	case c.attempts == 0 && c.s.evacuated():
		f.Fault, f.Reason, retryAfter = fault.NotRun, gate.Evacuated.String(), evacuatedRetryAfter
		f.Message = "all endpoints of service " + c.s.name + " are in data centres that the operator has evacuated, so the request was not run; come back later (`cactusctl status` lists evacuations)"
	case c.attempts == 0:
		f.Fault, retryAfter = fault.NoEndpoint, noEndpointRetryAfter
		f.Message = "no endpoint of service " + c.s.name + " is known here; check that its backend servers announce themselves (`cactusctl status`)"
	case c.last.Verdict == hop.Refused && c.last.Reason == gate.TooLate:
		f.Fault = fault.DeadlinePassed
		f.Message = "the request could not have finished in its time and was not run; come back later or allow more time"
	case c.last.Verdict == hop.Refused && c.last.Reason == gate.Overloaded:
		f.Fault = fault.Overloaded
		f.Message = "the endpoint's node is short of processor time and the request was not run; come back after the time given"
	case c.last.Verdict == hop.Refused && c.last.Reason == gate.QueueFull:
		f.Fault = fault.Overloaded
		f.Message = "the service is full and the request was not run; come back after the time given"
	default:
		f.Fault = fault.NotRun
		f.Message = "no endpoint of service " + c.s.name + " took the request and it was not run; come back after the time given"
	}
	logs.Decision(true, "Given up", "request", c.requestID(), "service", c.s.name, "route", c.routeName(), "fault", f.Fault, "reason", f.Reason, "content", c.content.Exact, "alike", c.content.Alike, "attempts", c.attempts,
		"tried", c.tried, "took", time.Since(c.arrived), "left", time.Until(c.deadline), "retryAfter", retryAfter, "endpoints", c.s.endpoints(), "revision", c.h.options.Revision())
	c.h.fail(c.w, c.r, f, retryAfter)
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// reason is what the last endpoint that was asked said.
func (c *call) reason() string {
	if !c.reached {
		return ""
	}
	if c.last.Verdict == hop.Refused {
		return c.last.Reason.String()
	}
	return c.last.Verdict.String()
}
