package retry

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestNext(t *testing.T) {
	cases := []struct {
		desc       string
		idempotent bool
		ends       []Ended
		want       Action
	}{
		{"an answer is final", false, []Ended{Answered}, Deliver},
		{"a move goes to the named sibling", false, []Ended{Moved}, TryNamed},
		{"two moves are allowed", false, []Ended{Moved, Moved}, TryNamed},
		{"a third move gives up, and it did not run", false, []Ended{Moved, Moved, Moved}, GiveUpNotRun},
		{"not run may go elsewhere", false, []Ended{NotRun}, TryOther},
		{"what reached nobody may go elsewhere", false, []Ended{Unreached}, TryOther},
		{"what reaches nobody is given up in the end", false, []Ended{Unreached, Unreached, Unreached}, GiveUpNotRun},
		{"lost, then reaching nobody: it may have run", true, []Ended{Lost, Unreached, Unreached}, GiveUpUnknown},
		{"full everywhere ends it at once", true, []Ended{NotRunAnywhere}, GiveUpNotRun},
		{"a lost payment is never sent again", false, []Ended{Lost}, GiveUpUnknown},
		{"a lost read may be sent again", true, []Ended{Lost}, TryOther},
		{"attempts are limited", false, []Ended{NotRun, NotRun, NotRun}, GiveUpNotRun},
		{"lost, then refused: it may have run", true, []Ended{Lost, NotRunAnywhere}, GiveUpUnknown},
		{"lost, then moved too often: it may have run", true, []Ended{Lost, Moved, Moved, Moved}, GiveUpUnknown},
		{"rejections by servers are limited", false, []Ended{Rejected, Rejected, Rejected}, GiveUpNotRun},
		{"a restarted node is asked again", false, []Ended{Restarted}, TryNamed},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			r := Request{Idempotent: c.idempotent, MaxAttempts: 3}
			budget := NewBudget(100)
			var got Action
			for _, e := range c.ends {
				got = r.Next(e, budget, true)
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Whatever becomes of the attempts: a request that is not idempotent is never
// tried again after one that may have run, and is never called "not run" then.
func TestMayHaveRunIsNeverRetriedNorCalledNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: rapid.IntRange(1, 5).Draw(t, "max")}
		budget := NewBudget(1000)
		mayHaveRun := false
		for range 12 {
			ended := rapid.SampledFrom([]Ended{Moved, Restarted, NotRunAnywhere, Unreached, NotRun, Lost}).Draw(t, "ended")
			mayHaveRun = mayHaveRun || ended == Lost
			action := r.Next(ended, budget, rapid.Bool().Draw(t, "others"))
			if mayHaveRun && action == GiveUpNotRun {
				t.Fatal("called not run, and may have run")
			}
			if mayHaveRun && !r.Idempotent && action != GiveUpUnknown {
				t.Fatal("tried again, and may have run")
			}
			if action == GiveUpNotRun || action == GiveUpUnknown || action == Deliver {
				return
			}
		}
	})
}

// Calls go 22 layers deep and the last layer fails wholly. Each layer has a
// budget of its own and must stay at 1.2 attempts a call, since a layer above
// sees an answer and not a reason to retry; retried at every layer, the last one
// would see 3 to the power of 22.
func TestChainOf22LayersDoesNotMultiplyRetries(t *testing.T) {
	const layers, calls = 22, 20_000
	budgets := make([]*Budget, layers)
	attempts := make([]int, layers)
	arrivals := make([]int, layers)
	for i := range budgets {
		budgets[i] = NewBudget(100)
	}
	var serve func(layer int) Ended
	serve = func(layer int) Ended {
		if layer == layers {
			return NotRun
		}
		arrivals[layer]++
		budgets[layer].Call()
		r := Request{Idempotent: true, MaxAttempts: 3}
		for {
			attempts[layer]++
			if r.Next(serve(layer+1), budgets[layer], true) != TryOther {
				// The layer's backend server answers its caller with a failure.
				return Answered
			}
		}
	}
	for range calls {
		serve(0)
	}
	for i := range layers {
		ratio := float64(attempts[i]) / float64(arrivals[i])
		assert.Assert(t, ratio <= 1.2, "layer %d: %.2f attempts a call", i, ratio)
	}
}

// A host is drained under load and refuses whatever it held, more requests than
// the retry budget has. All of them must go elsewhere, or a planned stop would
// cut them.
func TestPlannedStopCostsNoRetryBudget(t *testing.T) {
	budget := NewBudget(10)
	for range 100 {
		r := Request{MaxAttempts: 3}
		assert.Equal(t, r.Next(Leaving, budget, true), TryOther)
	}
	r := Request{MaxAttempts: 3}
	assert.Equal(t, r.Next(NotRun, budget, true), TryOther)
}

func TestBudgetOfZeroAllowsNoRetry(t *testing.T) {
	assert.Assert(t, !NewBudget(0).Take())
}

// A route allows one attempt. Its requests are refused by gates that drain: they
// reached no backend server and go on to the next gate. One that a server
// rejected has had its attempt.
func TestRefusalAtAGateIsNoAttempt(t *testing.T) {
	r := Request{MaxAttempts: 1}
	budget := NewBudget(100)
	assert.Equal(t, r.Next(Leaving, budget, true), TryOther)
	assert.Equal(t, r.Next(NotRun, budget, true), TryOther)
	assert.Equal(t, r.Next(NotRun, budget, true), GiveUpNotRun)
	rejected := Request{MaxAttempts: 1}
	assert.Equal(t, rejected.Next(Rejected, budget, true), GiveUpNotRun)
}

// The caller sees a refusal although other endpoints have room. Servers of the
// service reject requests and their retries use the budget up; then the link to
// one host fills, its connections time out, and the requests sent there were
// given up with most of their time left, for want of budget. Nothing was sent,
// so the next attempt is the first to arrive.
func TestUnreachedCostsNoBudget(t *testing.T) {
	budget := NewBudget(0)
	assert.Assert(t, !budget.Take())
	r := Request{MaxAttempts: 3}
	assert.Equal(t, r.Next(Unreached, budget, true), TryOther)
	rejected := Request{MaxAttempts: 3}
	assert.Equal(t, rejected.Next(Rejected, budget, true), GiveUpNotRun)
}
