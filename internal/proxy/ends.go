package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cactuspath/core/gate"
	"cactuspath/core/retry"
	"cactuspath/internal/hop"
	"cactuspath/internal/logs"
)

// What the end of an attempt means for its request and for the endpoint.

// evacuationPause is how long an endpoint is left alone whose gate knows of an
// evacuation that this node does not: about what both take to hear of it.
const evacuationPause = 300 * time.Millisecond

// settle takes in an attempt's reply.
func (c *call) settle(a attempt, resp *http.Response, reply hop.Reply) result {
	c.h.options.Heard(reply.Revision)
	r := result{to: a.to, resp: resp, reply: reply, reached: true}
	if resp != nil {
		resp.Body = &countedBody{ReadCloser: resp.Body, done: func() { c.s.done(c.h.now(), a.to, true) }}
		r.ended = retry.Answered
		return r
	}
	// A gate whose backend server is down answers, and is to be left alone as one
	// that does not: trying it each time would use up the retry budget.
	c.s.done(c.h.now(), a.to, reply.Verdict != hop.Unreached && reply.Reason != gate.Down)
	r.ended = c.endOf(a, reply)
	return r
}

// keepAway ends a call whose content is kept away from servers, as its gate would.
func (c *call) keepAway(to *picked, left time.Duration) {
	if to != nil {
		c.s.done(c.h.now(), to, true)
	}
	c.h.options.Quarantine.Refused()
	c.last, c.reached, c.retryAfter = hop.Reply{Verdict: hop.Refused, Reason: gate.Quarantined}, true, left
	c.giveUp(c.rules.GiveUp())
}

// endOf tells what a reply without an answer means.
func (c *call) endOf(a attempt, reply hop.Reply) retry.Ended {
	switch reply.Verdict {
	case hop.Moved:
		c.s.crowded(c.h.now(), a.to)
		return retry.Moved
	case hop.Restarted:
		c.s.setIncarnation(a.to, reply.Incarnation)
		return retry.Restarted
	case hop.Broke:
		return retry.Lost
	case hop.Rejected:
		return retry.Rejected
	case hop.Unreached:
		return retry.Unreached
	}
	switch reply.Reason {
	case gate.Draining:
		c.s.setDraining(a.to)
		return retry.Leaving
	case gate.Evacuated:
		// Its node heard of the evacuation, or of its end, at another moment than this one.
		c.s.avoid(c.h.now()+evacuationPause, a.to.Host)
		return retry.Leaving
	case gate.Down:
		return retry.Unreached
	case gate.QueueFull, gate.TooLate, gate.Overloaded:
		c.s.crowded(c.h.now(), a.to)
	}
	if reply.Everywhere {
		return retry.NotRunAnywhere
	}
	return retry.NotRun
}

// unanswered finds out what became of an attempt whose answer did not come.
func (c *call) unanswered(a attempt, err error) retry.Ended {
	c.s.done(c.h.now(), a.to, false)
	var dial *hop.DialError
	if errors.As(err, &dial) {
		logs.Decision(true, "Peer not reached", "request", c.requestID(), "attempt", hop.FormatID(a.id), "to", a.to.Host, "after", time.Since(a.sent), "err", err)
		return retry.Unreached
	}
	if a.ctx.Err() != nil {
		return retry.Lost
	}
	c.h.options.Counters.Lost.Add(1)
	timeout := revokeTimeout
	if time.Now().After(c.deadline) {
		timeout = lateRevokeTimeout
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	revoked := time.Now()
	answer := c.h.options.Revoke(ctx, a.to.PeerAddress, a.incarnation, a.id, time.Since(a.sent))
	c.h.options.Counters.Revokes.Add(answer.String(), 1)
	logs.Decision(true, "Attempt lost", "request", c.requestID(), "attempt", hop.FormatID(a.id), "to", a.to.Host, "after", revoked.Sub(a.sent), "err", err,
		"revoke", answer.String(), "revokeTook", time.Since(revoked))
	if answer == gate.RevokeNeverStarted {
		return retry.NotRun
	}
	return retry.Lost
}
