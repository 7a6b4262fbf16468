package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"cactuspath/core/retry"
	"cactuspath/internal/logs"
)

// This file implements hedged requests: an idempotent request whose backend server becomes
// slow is also sent to a second endpoint, and the first response is used. The trigger is a
// hint from the slow server's gate, which notices at once and names a sibling endpoint; a
// timeout at the caller's node would use up half of the time available for the response.
// Hedged attempts are charged to the retry budget.

// maxConcurrentAttempts is the number of attempts of one request that may run concurrently.
const maxConcurrentAttempts = 2

// runningAttempt is an attempt that may run concurrently with another.
type runningAttempt struct {
	cancel context.CancelFunc
	ended  chan result
}

// runHedged makes an attempt and, on a hint, a second one concurrently. It returns the first
// response that is not a server error. A server error is held while the other attempt runs
// and is returned only if that one gets no response; otherwise a caller would get the first
// attempt's 500 although the second was about to succeed. If neither attempt gets a response,
// it returns the result that tells most about whether the request may have run.
func (c *call) runHedged(to *selectedEndpoint) result {
	hints := make(chan string, maxConcurrentAttempts)
	running := [maxConcurrentAttempts]runningAttempt{c.startAttempt(to, hints)}
	var last result
	for running[0].ended != nil || running[1].ended != nil {
		var r result
		var index int
		select {
		case host := <-hints:
			if other := c.pickSecondEndpoint(to, host); other != nil {
				running[1] = c.startAttempt(other, hints)
			}
			continue
		case r = <-running[0].ended:
			index = 0
		case r = <-running[1].ended:
			index = 1
		}
		finished, other := &running[index], running[1-index]
		finished.ended = nil
		switch {
		case r.resp == nil:
			finished.cancel()
			last = mostInformative(last, r)
		case isServerError(r.resp) && other.ended != nil:
			last = c.holdResponse(r, *finished)
		default:
			discardResponse(last)
			return c.acceptResult(r, *finished, other)
		}
	}
	c.recordReply(last)
	return last
}

func isServerError(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusInternalServerError
}

// holdResponse keeps an attempt's context alive for reading its response; the context is
// canceled when the response body is closed.
func (c *call) holdResponse(r result, from runningAttempt) result {
	r.resp.Body = &cancelingBody{ReadCloser: r.resp.Body, onClose: from.cancel}
	return r
}

// discardResponse closes a held response that is no longer needed.
func discardResponse(r result) {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
}

// startAttempt runs an attempt in a goroutine of its own.
func (c *call) startAttempt(to *selectedEndpoint, hints chan<- string) runningAttempt {
	ctx, cancel := context.WithCancel(c.r.Context())
	r := runningAttempt{cancel: cancel, ended: make(chan result, 1)}
	number := c.nextAttemptNumber()
	ended := r.ended
	go func() { ended <- c.tryEndpoint(ctx, to, number, forwardHints(hints)) }()
	return r
}

// forwardHints returns a function that sends hints to the channel and drops them while it
// is full.
func forwardHints(hints chan<- string) func(string) {
	return func(host string) {
		select {
		case hints <- host:
		default:
		}
	}
}

// pickSecondEndpoint returns the endpoint for a hedged attempt, or nil if no hedged attempt
// may be made.
func (c *call) pickSecondEndpoint(first *selectedEndpoint, host string) *selectedEndpoint {
	if c.hedged || host == first.Host || time.Until(c.attemptDeadline()) <= 0 {
		return nil
	}
	to := c.s.pickHedge(c.h.now(), &c.rules, host, first.Host)
	if to == nil {
		return nil
	}
	c.hedged = true
	c.h.options.Counters.Hedges.Add(1)
	logs.Decision(false, "Second attempt beside a stuck one", "request", c.requestID(), "service", c.s.name, "stuck", first.Host, "to", to.Host, "hint", host, "after", time.Since(c.arrived))
	return to
}

// mostInformative returns the result that tells more about whether the request may have
// run. A held response takes precedence.
func mostInformative(kept, r result) result {
	if kept.resp != nil {
		return kept
	}
	if kept.to == nil || r.ended == retry.Lost || kept.ended != retry.Lost && r.ended != retry.Moved && r.ended != retry.Restarted {
		return r
	}
	return kept
}

// acceptResult returns the winning result and cancels the losing attempt, so that its
// endpoint stops working on it. A late response of the losing attempt is closed.
func (c *call) acceptResult(r result, winner, loser runningAttempt) result {
	c.recordReply(r)
	r = c.holdResponse(r, winner)
	if loser.ended != nil {
		loser.cancel()
		go func() {
			if late := <-loser.ended; late.resp != nil {
				_ = late.resp.Body.Close()
			}
		}()
	}
	return r
}

// cancelingBody is a response body that calls onClose, which cancels its attempt's context,
// when it is closed.
type cancelingBody struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}
