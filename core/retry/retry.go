// Package retry decides what follows when an attempt ends without an answer.
// Only what surely did not run, or is idempotent, is tried again, and only
// under a budget, so that retries cannot multiply a failure.
//
// Types here are pure and not safe for concurrent use.
package retry

import (
	"math"
	"time"
)

// Ended tells how an attempt ended.
type Ended int

// Ends of an attempt.
const (
	// Answered: the backend server's answer arrived; it is final whatever its
	// status. Layers above retry nothing either, so a failure 22 layers deep
	// costs one set of retries and not one per layer.
	Answered Ended = iota
	// Moved: the gate names a sibling that will take the request.
	Moved
	// Restarted: the endpoint's node restarted since its entry was read; the
	// request did not run and may go to the node's new incarnation.
	Restarted
	// NotRunAnywhere: the gate refused it and knows that its siblings are as
	// full. Another attempt would add load and find the same.
	NotRunAnywhere
	// Leaving: the gate refused it since its server is draining. That says nothing
	// of load, and happens once for each request in flight; it costs no budget, or
	// a planned stop could use up the budget and fail the requests it moves.
	Leaving
	// Unreached: no connection could be made, to the endpoint's node or from there to
	// its backend server. Nothing was sent, so that another attempt repeats nothing;
	// it costs no budget, or one slow link would fail requests that every other
	// endpoint could serve, while rejections elsewhere have used the budget up.
	Unreached
	// NotRun: the gate refused it, or a revoke established that it never started.
	// It did not reach a backend server.
	NotRun
	// Rejected: the backend server itself said that it did not run it.
	Rejected
	// Lost: it was sent and what became of it is not known.
	Lost
)

// Action is what to do next.
type Action int

// Actions.
const (
	// Deliver the answer.
	Deliver Action = iota
	// TryNamed sends it to the sibling that the gate named, or once more to the
	// same endpoint after its node restarted.
	TryNamed
	// TryOther sends it to another endpoint.
	TryOther
	// GiveUpNotRun tells the caller that it did not run.
	GiveUpNotRun
	// GiveUpUnknown tells the caller that it may have run.
	GiveUpUnknown
)

// maxMoves bounds how often gates may move one request. The second move lets a
// request leave a sibling that turned slow while it travelled; more would let gates
// pass it round.
const maxMoves = 2

// leastTries is how many gates a request may be sent to, whatever MaxAttempts
// says, as long as none of them passed it on: refused at a gate it has cost its
// backend server nothing, and a planned stop refuses a request wherever it was sent.
const leastTries = 3

// Request follows one request through its attempts.
type Request struct {
	Idempotent bool
	// MaxAttempts is how many backend servers the request may reach.
	MaxAttempts int
	// attempts counts all but moves, reached those that may have come to a server.
	attempts int
	reached  int
	moves    int
	// unknown: an earlier attempt of this idempotent request may have run.
	unknown bool
}

// Movable tells whether a gate may still move the request.
func (r *Request) Movable() bool { return r.moves < maxMoves }

// Next decides after an attempt. OthersLeft tells whether an endpoint exists
// that was not tried, or is worth trying again.
func (r *Request) Next(ended Ended, budget *Budget, othersLeft bool) Action {
	r.attempts++
	switch ended {
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
		return TryNamed
	case Rejected:
		r.reached++
	case Lost:
		r.reached++
		if !r.Idempotent {
			return GiveUpUnknown
		}
		r.unknown = true
	}
	if r.reached >= r.MaxAttempts || r.attempts >= max(r.MaxAttempts, leastTries) || !othersLeft {
		return r.GiveUp()
	}
	if ended != Leaving && ended != Unreached && !budget.Take() {
		return r.GiveUp()
	}
	return TryOther
}

// Hedge tells whether a second attempt may run beside the first, for an
// idempotent request whose server turned slow under it.
func (r *Request) Hedge(budget *Budget) bool {
	if !r.Idempotent || r.reached+1 >= r.MaxAttempts || !budget.Take() {
		return false
	}
	r.reached++
	return true
}

// GiveUp tells how a request ends that is not tried again. It is truthful about
// earlier attempts: one that may have run makes the whole request's outcome
// unknown, however the last attempt ended.
func (r *Request) GiveUp() Action {
	if r.unknown {
		return GiveUpUnknown
	}
	return GiveUpNotRun
}

// Budget allows retries in proportion to calls, so that a quiet hour does not pay
// for a storm.
type Budget struct {
	perMille int
	// earned is what calls earned, at most most.
	earned, most float64
	// slack is what time earned, at most slackMost; slackRate is what a second brings.
	slack, slackMost, slackRate float64
	// keep is how long what calls earned may be saved up; 0 means for ever.
	keep time.Duration
	// Refused counts retries that the budget did not allow.
	Refused uint64
}

const (
	// perCall is what one per mille of a call is worth, in retries.
	perCall = 1.0 / 1000
	// reserve is how many retries may be saved up, unless SetShare says otherwise.
	reserve = 10
)

// NewBudget returns a budget of retries per thousand calls.
func NewBudget(perMille int) *Budget {
	return &Budget{perMille: perMille, earned: reserve, most: reserve}
}

// Set changes the ratio.
func (b *Budget) Set(perMille int) { b.perMille = perMille }

const (
	// shareMargin keeps a part of a budget that is shared by all nodes unspent: what
	// was saved up before a window, and nodes that others have not heard of yet.
	shareMargin = 0.8
	// keepParts is how much of a window what calls earned is kept: with a quarter,
	// what was saved up and what a window earns stay within ratio / shareMargin.
	keepParts = 4
	// mostEarned bounds what a node may save up.
	mostEarned = 50
)

// SetShare sets the budget to this node's part of one that all nodes share in
// each window: ratio times its own calls, and slack divided by the nodes. Half of
// its slack may be spent at once, the other half comes back over a window, so
// that no window has more than the whole.
func (b *Budget) SetShare(ratio, slack float64, nodes int, window time.Duration) {
	share := shareMargin * slack / float64(max(1, nodes))
	first := b.keep == 0
	b.perMille = int(shareMargin * ratio / perCall)
	b.most, b.keep = mostEarned, window/keepParts
	b.slackMost, b.slackRate = share/2, share/2/window.Seconds()
	b.slack = min(b.slack, b.slackMost)
	if first {
		b.earned, b.slack = 0, b.slackMost
	}
}

// Refill lets the elapsed time count: slack comes back, and what calls earned
// fades.
func (b *Budget) Refill(elapsed time.Duration) {
	if b.keep == 0 {
		return
	}
	b.slack = min(b.slackMost, b.slack+b.slackRate*elapsed.Seconds())
	b.earned *= math.Exp(-float64(elapsed) / float64(b.keep))
}

// Call counts a call that arrived.
func (b *Budget) Call() { b.earned = min(b.earned+float64(b.perMille)*perCall, b.most) }

// Take spends one retry if the budget has it. A ratio of 0 allows none.
func (b *Budget) Take() bool {
	// Sums of thousandths do not come to exactly one.
	const almost = 1 - 1e-9
	if b.perMille == 0 || b.earned+b.slack < almost {
		b.Refused++
		return false
	}
	fromCalls := min(1, b.earned)
	b.earned -= fromCalls
	b.slack = max(0, b.slack-(1-fromCalls))
	return true
}
