// Package retry decides what to do with a request after an attempt to run it has ended. A
// request is retried only if it certainly did not run or is idempotent, and only within a
// budget, so that retries cannot amplify a failure.
//
// The types do no I/O and are not safe for concurrent use.
package retry

import (
	"math"
	"time"
)

// Result is the result of an attempt.
type Result int

// Results of an attempt.
const (
	// Answered: the backend server sent a response. The response is final whatever its
	// status. The layers above, the services that called this one, do not retry it
	// either, so a failure 22 layers deep is retried in one layer instead of in each.
	Answered Result = iota
	// Moved: the gate did not run the request and named a sibling that has capacity for
	// it.
	Moved
	// Restarted: the endpoint's node has restarted since its directory entry was read.
	// The request did not run and may be sent to the restarted node.
	Restarted
	// NotRunAnywhere: the gate refused the request and knows that its siblings have no
	// capacity either. Another attempt would add load and be refused as well.
	NotRunAnywhere
	// Draining: the gate refused the request because its server is draining. This does
	// not indicate overload, and each request in flight is refused only once per draining
	// server. The retry does not use the budget: otherwise a planned stop could exhaust
	// the budget and fail the requests that have to move to other servers.
	Draining
	// Unreachable: no connection could be made to the endpoint's node, or from there to
	// its backend server. Nothing was sent, so another attempt duplicates nothing. The
	// retry does not use the budget: otherwise, after rejections elsewhere have exhausted
	// the budget, one slow link would fail requests that every other endpoint could serve.
	Unreachable
	// NotRun: the request did not reach a backend server. Either the gate refused it, or
	// the request was revoked and the gate had not passed it on to the server.
	NotRun
	// Rejected: the backend server reported that it did not run the request.
	Rejected
	// Lost: the request was sent and its outcome is unknown.
	Lost
)

// Action is the next step for a request.
type Action int

// Actions.
const (
	// Deliver passes the response on to the caller.
	Deliver Action = iota
	// RetryNamed sends the request to the sibling that the gate named, or again to the
	// same endpoint after its node restarted.
	RetryNamed
	// RetryOther sends the request to another endpoint.
	RetryOther
	// GiveUpNotRun tells the caller that the request did not run.
	GiveUpNotRun
	// GiveUpUnknown tells the caller that the request may have run.
	GiveUpUnknown
)

// maxMoves limits how often gates may move one request to a sibling. The second move lets
// a request leave a sibling that became slow while the request was in transit. More moves
// could send a request around in circles between gates.
const maxMoves = 2

// minGateAttempts is the number of gates to which a request may be sent even if
// MaxAttempts is lower, as long as no gate has passed it on to a backend server. A refusal
// by a gate costs the backend server nothing, and during a planned stop each gate to which
// a request is sent may refuse it.
const minGateAttempts = 3

// Request tracks the attempts of one request.
type Request struct {
	Idempotent bool
	// Need decides which requests get retries while the budget is short.
	Need Need
	// MaxAttempts is the number of backend servers that the request may reach.
	MaxAttempts int
	// attempts counts all attempts except moves; reached counts those that may have
	// reached a server.
	attempts int
	reached  int
	moves    int
	// mayHaveRun is set if an earlier attempt of this idempotent request may have run.
	mayHaveRun bool
}

// Movable reports whether a gate may still move the request.
func (r *Request) Movable() bool { return r.moves < maxMoves }

// Next records the result of an attempt and returns the next action. othersLeft states
// that there is an endpoint that was not tried or is worth trying again.
func (r *Request) Next(result Result, budget *Budget, othersLeft bool) Action {
	r.attempts++
	switch result {
	case Answered:
		return Deliver
	case NotRunAnywhere:
		return r.GiveUp()
	case Moved, Restarted:
		r.moves++
		if r.moves > maxMoves {
			return r.GiveUp()
		}
		r.attempts--
		return RetryNamed
	case Rejected:
		r.reached++
	case Lost:
		r.reached++
		if !r.Idempotent {
			return GiveUpUnknown
		}
		r.mayHaveRun = true
	}
	if r.reached >= r.MaxAttempts || r.attempts >= max(r.MaxAttempts, minGateAttempts) || !othersLeft {
		return r.GiveUp()
	}
	if result != Draining && result != Unreachable && !budget.Take(r.Need) {
		return r.GiveUp()
	}
	return RetryOther
}

// Hedge reports whether a hedged request, a second attempt in parallel with the first, may
// be sent because the server became slow while running the request. The request must be
// idempotent. If so, the attempt is counted and taken from the budget, whose fractions are
// left to retries after failures. Hedged requests have the need of first tries: the first
// attempt is still running, so the request has another chance.
func (r *Request) Hedge(budget *Budget) bool {
	if !r.Idempotent || r.reached+1 >= r.MaxAttempts || !budget.admitNeed(First) || !budget.takeWhole() {
		return false
	}
	r.reached++
	return true
}

// GiveUp returns the action for a request that is not retried any more: GiveUpUnknown if
// any of its attempts may have run, however the last one ended, or else GiveUpNotRun.
func (r *Request) GiveUp() Action {
	if r.mayHaveRun {
		return GiveUpUnknown
	}
	return GiveUpNotRun
}

// Budget limits retries to a proportion of calls: each call earns a fraction of a retry.
// The number of retries saved up is capped, so that hours of calls without failures do not
// allow a retry storm.
type Budget struct {
	perMille int
	// earned is the number of retries earned by calls, at most earnedLimit.
	earned, earnedLimit float64
	// slack is the number of retries available regardless of calls, at most slackLimit.
	// It increases by slackRate per second.
	slack, slackLimit, slackRate float64
	// random returns numbers in [0, 1); nil means that a fraction of a retry is never used.
	random func() float64
	// earnedDecay is the time constant with which earned retries decay; 0 means no
	// decay.
	earnedDecay time.Duration
	// byNeed selects the order in which requests get retries; needs counts what the order
	// depends on and is only used if byNeed is set.
	byNeed bool
	needs  needWindow
	// Refused counts retries that the budget did not allow. RefusedByNeed counts those that
	// were refused before, to leave the budget to higher needs.
	Refused, RefusedByNeed uint64
}

const (
	// perMilleUnit converts a number per mille to retries per call.
	perMilleUnit = 1.0 / 1000
	// defaultEarnedLimit is the number of retries that may be saved up unless SetShare
	// sets another limit.
	defaultEarnedLimit = 10
)

// NewBudget returns a budget of perMille retries per thousand calls.
func NewBudget(perMille int) *Budget {
	return &Budget{perMille: perMille, earned: defaultEarnedLimit, earnedLimit: defaultEarnedLimit}
}

// SetRandom sets the source of random numbers in [0, 1) by which fractions of a retry are
// used.
func (b *Budget) SetRandom(random func() float64) { b.random = random }

// Set changes the number of retries per thousand calls.
func (b *Budget) Set(perMille int) { b.perMille = perMille }

const (
	// shareMargin is the fraction of a budget shared by all nodes that they divide among
	// themselves. The rest covers retries saved up before a window, and nodes that the
	// others do not know of yet.
	shareMargin = 0.8
	// decaysPerWindow is the number of decay time constants in a window. With a time
	// constant of a quarter of a window, the retries saved up before a window and those
	// earned in it stay within ratio / shareMargin.
	decaysPerWindow = 4
	// sharedEarnedLimit is the number of retries that a node may save up after SetShare.
	sharedEarnedLimit = 50
)

// SetShare sets the budget to this node's share of a budget that all nodes share. Per
// window of time, the shared budget is ratio times the calls of all nodes, plus slack; the
// share is ratio times this node's calls, plus slack divided by the number of nodes. Half
// of the share of slack may be spent at once and the other half is refilled over a window,
// so that no window exceeds the total.
func (b *Budget) SetShare(ratio, slack float64, nodes int, window time.Duration) {
	share := shareMargin * slack / float64(max(1, nodes))
	first := b.earnedDecay == 0
	b.perMille = int(shareMargin * ratio / perMilleUnit)
	b.earnedLimit, b.earnedDecay = sharedEarnedLimit, window/decaysPerWindow
	b.slackLimit, b.slackRate = share/2, share/2/window.Seconds()
	b.slack = min(b.slack, b.slackLimit)
	if first {
		b.earned, b.slack = 0, b.slackLimit
	}
}

// Refill accounts for elapsed time: slack is refilled and earned retries decay.
func (b *Budget) Refill(elapsed time.Duration) {
	if b.byNeed {
		b.needs.advance(elapsed)
		// Slack that was refilled in an idle time says nothing of the current rate.
		b.needs.now().earned += b.slackRate * min(elapsed, needBucket).Seconds()
	}
	if b.earnedDecay == 0 {
		return
	}
	b.slack = min(b.slackLimit, b.slack+b.slackRate*elapsed.Seconds())
	b.earned *= math.Exp(-float64(elapsed) / float64(b.earnedDecay))
}

// RecordCall counts an incoming call, which earns a fraction of a retry.
func (b *Budget) RecordCall() {
	earned := float64(b.perMille) * perMilleUnit
	b.earned = min(b.earned+earned, b.earnedLimit)
	if b.byNeed {
		b.needs.now().earned += earned
	}
}

// Take takes one retry from the budget and reports whether the budget allowed it. A budget
// of 0 retries per thousand calls allows none. SetByNeed tells what need is for.
//
// The share of a node in a large fleet may stay below one retry for good: at a call a second
// it earns a retry in six seconds and loses half of it meanwhile. Such a fraction is staked on
// a draw that it wins with its own probability, so that all nodes together spend what they
// have, and no more in the mean.
func (b *Budget) Take(need Need) bool {
	if !b.admitNeed(need) {
		return false
	}
	if b.takeWhole() {
		return true
	}
	if b.perMille == 0 || b.earnedDecay == 0 || b.random == nil {
		return false
	}
	stake := b.earned + b.slack
	b.earned, b.slack = 0, 0
	if b.random() >= stake {
		return false
	}
	b.Refused--
	return true
}

// takeWhole takes one retry if the budget has a whole one.
func (b *Budget) takeWhole() bool {
	// Less than 1: multiples of 1/1000 do not add up to exactly 1 in floating point.
	const minBalance = 1 - 1e-9
	if b.perMille == 0 || b.earned+b.slack < minBalance {
		b.Refused++
		return false
	}
	fromCalls := min(1, b.earned)
	b.earned -= fromCalls
	b.slack = max(0, b.slack-(1-fromCalls))
	return true
}
