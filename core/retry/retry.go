// Package retry decides what follows when an attempt ends without an answer.
// Only what surely did not run, or is idempotent, is tried again, and only
// under a budget, so that retries cannot multiply a failure.
//
// Types here are pure and not safe for concurrent use.
package retry

import "time"

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
	// NotRun: the gate refused it, no connection could be made, or a revoke
	// established that it never started.
	NotRun
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
// request leave a sibling that turned slow while it travelled; a third gained
// nothing in the replays.
const maxMoves = 2

// Request follows one request through its attempts.
type Request struct {
	Idempotent  bool
	MaxAttempts int
	attempts    int
	moves       int
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
	case Lost:
		if !r.Idempotent {
			return GiveUpUnknown
		}
		r.unknown = true
	}
	if r.attempts >= r.MaxAttempts || !othersLeft {
		return r.GiveUp()
	}
	if ended != Leaving && !budget.Take() {
		return r.GiveUp()
	}
	return TryOther
}

// Hedge tells whether a second attempt may run beside the first, for an
// idempotent request whose server turned slow under it.
func (r *Request) Hedge(budget *Budget) bool {
	if !r.Idempotent || r.attempts+1 >= r.MaxAttempts || !budget.Take() {
		return false
	}
	r.attempts++
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

// budgetScale is the cost of one retry; a call earns its per-mille share.
const budgetScale = 1000

// Budget allows retries in proportion to calls. At most reserve retries can be
// saved up, so that a quiet hour does not pay for a storm.
type Budget struct {
	perMille int
	balance  int
	// most bounds the balance.
	most int
	// Refused counts retries that the budget did not allow.
	Refused uint64
}

// reserve is how many retries may be saved up, unless SetShare says otherwise.
const reserve = 10

// NewBudget returns a budget of retries per thousand calls.
func NewBudget(perMille int) *Budget {
	return &Budget{perMille: perMille, balance: reserve * budgetScale, most: reserve * budgetScale}
}

// Set changes the ratio.
func (b *Budget) Set(perMille int) { b.perMille = perMille }

const (
	// shareMargin keeps a part of a budget that is shared by all nodes unspent, for
	// nodes that others have not heard of yet and attempts that are counted late.
	shareMargin = 0.8
	// restFor is how long what was saved up takes to come back after it was spent,
	// in windows: spent again within the window it would count twice.
	restFor = 1.0
)

// SetShare sets the budget to this node's part of one that nodes share: ratio
// times its own calls, and slack divided by the nodes. Slack comes back evenly
// over the window, so that no window has it twice.
func (b *Budget) SetShare(ratio, slack float64, nodes int) {
	b.perMille = int(shareMargin * ratio * budgetScale)
	b.most = max(budgetScale/2, int(shareMargin*slack*budgetScale)/max(1, nodes))
	b.balance = min(b.balance, b.most)
}

// Refill gives back what the elapsed part of a window earns without calls.
func (b *Budget) Refill(elapsed, window time.Duration) {
	if window <= 0 {
		return
	}
	earned := float64(b.most) / (1 + restFor) * float64(elapsed) / float64(window)
	b.balance = min(b.most, b.balance+int(earned))
}

// Call counts a call that arrived.
func (b *Budget) Call() {
	b.balance = min(b.balance+b.perMille, b.most)
}

// Take spends one retry if the budget has it. A ratio of 0 allows none.
func (b *Budget) Take() bool {
	if b.perMille == 0 || b.balance < budgetScale {
		b.Refused++
		return false
	}
	b.balance -= budgetScale
	return true
}
