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

// This file determines from the outcome of an attempt whether the request may be retried, and
// updates the state of the endpoint.

// evacuatedAvoidDuration is how long an endpoint is avoided after its gate refused a
// request because of an evacuation that this node does not know of. It is about the time
// in which news of an evacuation reaches both nodes.
const evacuatedAvoidDuration = 300 * time.Millisecond

// handleReply updates the endpoint's state from the reply to an attempt and returns the
// attempt's result.
func (c *call) handleReply(a attempt, resp *http.Response, reply hop.Reply) result {
	c.h.options.ObserveRevision(reply.Revision)
	r := result{to: a.to, resp: resp, reply: reply, hasReply: true}
	if resp != nil {
		resp.Body = &trackedBody{ReadCloser: resp.Body, done: func() { c.s.done(c.h.now(), a.to, true) }}
		r.ended = retry.Answered
		return r
	}
	// A gate whose backend server is down does reply, but counts as not reached so that it
	// is avoided: trying it for each request would exhaust the retry budget.
	c.s.done(c.h.now(), a.to, reply.Verdict != hop.Unreachable && reply.Reason != gate.Down)
	r.ended = c.classifyReply(a, reply)
	return r
}

// refuseQuarantined ends a call whose content is quarantined with the same fault as a refusal
// by a gate.
func (c *call) refuseQuarantined(to *selectedEndpoint, remaining time.Duration) {
	if to != nil {
		c.s.done(c.h.now(), to, true)
	}
	c.h.options.Quarantine.Refused()
	c.lastReply, c.hasReply, c.retryAfter = hop.Reply{Verdict: hop.Refused, Reason: gate.Quarantined}, true, remaining
	c.giveUp(c.rules.GiveUp())
}

// refuseRevokedKey ends a call whose key was taken away while it waited or between two
// attempts.
func (c *call) refuseRevokedKey(to *selectedEndpoint) {
	c.s.done(c.h.now(), to, true)
	if action := c.rules.GiveUp(); action == retry.GiveUpUnknown {
		c.giveUp(action)
		return
	}
	c.h.refund(c.key)
	c.h.refuseUnknownKey(c.w, c.r, Target{Route: c.route})
}

// classifyReply returns the outcome of an attempt from a reply without a response of the
// backend server, and updates the endpoint's state.
func (c *call) classifyReply(a attempt, reply hop.Reply) retry.Result {
	switch reply.Verdict {
	case hop.Moved:
		c.s.setRecentlyFull(c.h.now(), a.to)
		return retry.Moved
	case hop.Restarted:
		c.s.setIncarnation(a.to, reply.Incarnation)
		return retry.Restarted
	case hop.ConnectionLost:
		return retry.Lost
	case hop.Rejected:
		return retry.Rejected
	case hop.Unreachable:
		return retry.Unreachable
	}
	switch reply.Reason {
	case gate.Draining:
		c.s.setDraining(a.to)
		return retry.Draining
	case gate.Evacuated:
		// The endpoint's node learned of the evacuation's start or end at another time than
		// this node.
		c.s.avoid(c.h.now()+evacuatedAvoidDuration, a.to.Host)
		return retry.Draining
	case gate.Down:
		return retry.Unreachable
	case gate.QueueFull, gate.TooLate, gate.Overloaded, gate.Limited:
		c.s.setRecentlyFull(c.h.now(), a.to)
	}
	if reply.SiblingsFull {
		return retry.NotRunAnywhere
	}
	return retry.NotRun
}

// resolveUnanswered returns the outcome of an attempt that received no valid response. Unless
// no connection was made or the attempt was canceled, it asks the endpoint's node to revoke
// the attempt, and learns from the answer whether the attempt was started.
func (c *call) resolveUnanswered(a attempt, err error) retry.Result {
	if errors.Is(err, hop.ErrCallerGone) {
		c.s.done(c.h.now(), a.to, true)
		return retry.NotRun
	}
	c.s.done(c.h.now(), a.to, false)
	var dialErr *hop.DialError
	if errors.As(err, &dialErr) {
		logs.Decision(true, "Peer not reached", "request", c.requestID(), "attempt", hop.FormatID(a.id), "to", a.to.Host, "after", time.Since(a.sent), "err", err)
		return retry.Unreachable
	}
	if a.ctx.Err() != nil {
		return retry.Lost
	}
	c.h.options.Counters.LostAttempts.Add(1)
	timeout := revokeTimeout
	if time.Now().After(c.attemptDeadline()) {
		timeout = lateRevokeTimeout
	}
	ctx, cancel := context.WithTimeout(a.ctx, timeout)
	defer cancel()
	revokeStart := time.Now()
	revokeAnswer := c.h.options.Revoke(ctx, a.to.PeerAddress, a.incarnation, a.id, time.Since(a.sent))
	c.h.options.Counters.Revokes.Add(revokeAnswer.String(), 1)
	logs.Decision(true, "Attempt lost", "request", c.requestID(), "attempt", hop.FormatID(a.id), "to", a.to.Host, "after", revokeStart.Sub(a.sent), "err", err,
		"revoke", revokeAnswer.String(), "revokeTook", time.Since(revokeStart))
	if revokeAnswer == gate.RevokeNeverStarted {
		return retry.NotRun
	}
	return retry.Lost
}
