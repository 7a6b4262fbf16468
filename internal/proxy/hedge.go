package proxy

import (
	"context"
	"io"
	"net/http"
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

// race makes an attempt and, on a hint, a second one beside it. It returns the first
// good answer. A server error is kept while the other attempt runs, and is the answer
// only if that one has none: a caller whose first attempt ended with 500 got that
// although the second one was about to succeed. Without any answer it returns the end
// that says most.
func (c *call) race(to *picked) result {
	hints := make(chan string, maxRacing)
	racers := [maxRacing]racer{c.start(to, hints)}
	var last result
	for racers[0].ended != nil || racers[1].ended != nil {
		var r result
		var from int
		select {
		case host := <-hints:
			if other := c.second(to, host); other != nil {
				racers[1] = c.start(other, hints)
			}
			continue
		case r = <-racers[0].ended:
			from = 0
		case r = <-racers[1].ended:
			from = 1
		}
		winner, other := &racers[from], racers[1-from]
		winner.ended = nil
		switch {
		case r.resp == nil:
			winner.cancel()
			last = worse(last, r)
		case isServerError(r.resp) && other.ended != nil:
			last = c.keep(r, *winner)
		default:
			dropAnswer(last)
			return c.win(r, *winner, other)
		}
	}
	c.note(last)
	return last
}

func isServerError(resp *http.Response) bool {
	return resp.StatusCode >= http.StatusInternalServerError
}

// keep holds an answer back while the other attempt runs.
func (c *call) keep(r result, from racer) result {
	r.resp.Body = &endingBody{ReadCloser: r.resp.Body, end: from.cancel}
	return r
}

// dropAnswer ends an answer that was held back and is not wanted any more.
func dropAnswer(r result) {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
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

// worse keeps the end that says more of what may have run; an answer says most.
func worse(held, r result) result {
	if held.resp != nil {
		return held
	}
	if held.to == nil || r.ended == retry.Lost || held.ended != retry.Lost && r.ended != retry.Moved && r.ended != retry.Restarted {
		return r
	}
	return held
}

// win ends the losing attempt, so that its endpoint stops working on it, and
// keeps its answer, should it still come, from being left unread.
func (c *call) win(r result, winner, loser racer) result {
	c.note(r)
	r = c.keep(r, winner)
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
