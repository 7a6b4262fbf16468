package proxy

import (
	"context"
	"io"
	"time"

	"cactuspath/core/retry"
	"cactuspath/internal/logs"
)

// An idempotent request whose server turned slow under it is sent to a second
// endpoint, and the first answer counts. The gate beside the slow server sees it
// at once and names a sibling; a caller that waited for a timeout of its own
// would have lost half of the time that the answer is wanted in. Second attempts
// come out of the retry budget.

// maxRacing is how many attempts of one request run side by side.
const maxRacing = 2

// racer is an attempt that runs beside another.
type racer struct {
	cancel context.CancelFunc
	ended  chan result
}

// race makes an attempt and, on a hint, a second one beside it. It returns the
// first that was answered, or the one that says most when none is.
func (c *call) race(to *picked) result {
	hints := make(chan string, maxRacing)
	first := c.start(to, hints)
	second := racer{}
	var last result
	for first.ended != nil || second.ended != nil {
		select {
		case host := <-hints:
			if other := c.second(to, host); other != nil {
				second = c.start(other, hints)
			}
		case r := <-first.ended:
			first.ended = nil
			if r.resp != nil {
				return c.win(r, first, second)
			}
			first.cancel()
			last = worse(last, r)
		case r := <-second.ended:
			second.ended = nil
			if r.resp != nil {
				return c.win(r, second, first)
			}
			second.cancel()
			last = worse(last, r)
		}
	}
	c.note(last)
	return last
}

func (c *call) start(to *picked, hints chan<- string) racer {
	ctx, cancel := context.WithCancel(c.r.Context())
	r := racer{cancel: cancel, ended: make(chan result, 1)}
	number := c.next()
	ended := r.ended
	go func() { ended <- c.try(ctx, to, number, offer(hints)) }()
	return r
}

// offer passes a hint on, unless enough wait already.
func offer(hints chan<- string) func(string) {
	return func(host string) {
		select {
		case hints <- host:
		default:
		}
	}
}

// second picks the endpoint of a second attempt, if one may be made.
func (c *call) second(first *picked, host string) *picked {
	if c.hedged || host == first.Host || time.Until(c.deadline) <= 0 {
		return nil
	}
	to := c.s.hedge(c.h.now(), &c.rules, host, first.Host)
	if to == nil {
		return nil
	}
	c.hedged = true
	c.h.options.Counters.Hedges.Add(1)
	logs.Decision(false, "Second attempt beside a stuck one", "request", c.requestID(), "service", c.s.name, "stuck", first.Host, "to", to.Host, "hint", host, "after", time.Since(c.arrived))
	return to
}

// worse keeps the end that says more of what may have run.
func worse(held, r result) result {
	if held.to == nil || r.ended == retry.Lost || held.ended != retry.Lost && r.ended != retry.Moved && r.ended != retry.Restarted {
		return r
	}
	return held
}

// win ends the losing attempt, so that its endpoint stops working on it, and
// keeps its answer, should it still come, from being left unread.
func (c *call) win(r result, winner, loser racer) result {
	c.note(r)
	r.resp.Body = &endingBody{ReadCloser: r.resp.Body, end: winner.cancel}
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

// endingBody frees an attempt's context with its answer.
type endingBody struct {
	io.ReadCloser
	end func()
}

// Close ends the answer.
func (b *endingBody) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}
