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
		ends       []Result
		want       Action
	}{
		{"an answer is final", false, []Result{Answered}, Deliver},
		{"a move goes to the named sibling", false, []Result{Moved}, RetryNamed},
		{"two moves are allowed", false, []Result{Moved, Moved}, RetryNamed},
		{"a third move gives up, and it did not run", false, []Result{Moved, Moved, Moved}, GiveUpNotRun},
		{"a request that did not run may go to another endpoint", false, []Result{NotRun}, RetryOther},
		{"an unreached endpoint allows another attempt", false, []Result{Unreachable}, RetryOther},
		{"unreached endpoints end the request after three attempts", false, []Result{Unreachable, Unreachable, Unreachable}, GiveUpNotRun},
		{"lost, then unreached: it may have run", true, []Result{Lost, Unreachable, Unreachable}, GiveUpUnknown},
		{"no capacity at any sibling ends it at once", true, []Result{NotRunAnywhere}, GiveUpNotRun},
		{"a lost payment is never sent again", false, []Result{Lost}, GiveUpUnknown},
		{"a lost read may be sent again", true, []Result{Lost}, RetryOther},
		{"attempts are limited", false, []Result{NotRun, NotRun, NotRun}, GiveUpNotRun},
		{"lost, then refused: it may have run", true, []Result{Lost, NotRunAnywhere}, GiveUpUnknown},
		{"lost, then moved too often: it may have run", true, []Result{Lost, Moved, Moved, Moved}, GiveUpUnknown},
		{"rejections by servers are limited", false, []Result{Rejected, Rejected, Rejected}, GiveUpNotRun},
		{"a restarted node gets the request again", false, []Result{Restarted}, RetryNamed},
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

// TestMayHaveRunIsNeverRetriedNorCalledNotRun guards against running a request twice:
// one that is not idempotent must not be retried after an attempt that may have run. It
// also guards against reporting such a request as not run.
func TestMayHaveRunIsNeverRetriedNorCalledNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: rapid.IntRange(1, 5).Draw(t, "max")}
		budget := NewBudget(1000)
		mayHaveRun := false
		for range 12 {
			ended := rapid.SampledFrom([]Result{Moved, Restarted, NotRunAnywhere, Unreachable, NotRun, Lost}).Draw(t, "ended")
			mayHaveRun = mayHaveRun || ended == Lost
			action := r.Next(ended, budget, rapid.Bool().Draw(t, "others"))
			if mayHaveRun && action == GiveUpNotRun {
				t.Fatal("reported as not run although it may have run")
			}
			if mayHaveRun && !r.Idempotent && action != GiveUpUnknown {
				t.Fatal("retried although it may have run")
			}
			if action == GiveUpNotRun || action == GiveUpUnknown || action == Deliver {
				return
			}
		}
	})
}

// TestChainOf22LayersDoesNotMultiplyRetries guards against retries that multiply along
// a call chain. Calls go 22 layers deep and the last layer fails completely. Each layer
// has a budget of its own and must stay at 1.2 attempts per call, since the layer above
// gets an answer rather than a reason to retry. If every layer retried, the last one
// would get 3 to the power of 22 attempts.
func TestChainOf22LayersDoesNotMultiplyRetries(t *testing.T) {
	const layers, calls = 22, 20_000
	budgets := make([]*Budget, layers)
	attempts := make([]int, layers)
	arrivals := make([]int, layers)
	for i := range budgets {
		budgets[i] = NewBudget(100)
	}
	var serve func(layer int) Result
	serve = func(layer int) Result {
		if layer == layers {
			return NotRun
		}
		arrivals[layer]++
		budgets[layer].RecordCall()
		r := Request{Idempotent: true, MaxAttempts: 3}
		for {
			attempts[layer]++
			if r.Next(serve(layer+1), budgets[layer], true) != RetryOther {
				// The layer's backend server answers its caller with an error.
				return Answered
			}
		}
	}
	for range calls {
		serve(0)
	}
	for i := range layers {
		ratio := float64(attempts[i]) / float64(arrivals[i])
		assert.Assert(t, ratio <= 1.2, "layer %d: %.2f attempts per call", i, ratio)
	}
}

// TestPlannedStopCostsNoRetryBudget guards against requests that fail in a planned
// stop. A host drains under load and refuses more waiting requests than the retry
// budget allows; all of them must go to other endpoints.
func TestPlannedStopCostsNoRetryBudget(t *testing.T) {
	budget := NewBudget(10)
	for range 100 {
		r := Request{MaxAttempts: 3}
		assert.Equal(t, r.Next(Draining, budget, true), RetryOther)
	}
	r := Request{MaxAttempts: 3}
	assert.Equal(t, r.Next(NotRun, budget, true), RetryOther)
}

func TestBudgetOfZeroAllowsNoRetry(t *testing.T) {
	assert.Assert(t, !NewBudget(0).Take())
}

// TestRefusalAtAGateIsNoAttempt guards against giving up too early on a route that
// allows one attempt. A request refused by draining gates has reached no backend server
// and goes on to the next gate. A request rejected by a server has used its attempt.
func TestRefusalAtAGateIsNoAttempt(t *testing.T) {
	r := Request{MaxAttempts: 1}
	budget := NewBudget(100)
	assert.Equal(t, r.Next(Draining, budget, true), RetryOther)
	assert.Equal(t, r.Next(NotRun, budget, true), RetryOther)
	assert.Equal(t, r.Next(NotRun, budget, true), GiveUpNotRun)
	rejected := Request{MaxAttempts: 1}
	assert.Equal(t, rejected.Next(Rejected, budget, true), GiveUpNotRun)
}

// TestUnreachableCostsNoBudget guards against refusals while other endpoints have
// capacity. Servers of the service reject requests, and the retries exhaust the budget.
// Then the link to one host is saturated and its connections time out. The requests
// sent there were given up for lack of budget, with most of their time left. Nothing
// was sent, so the next attempt is the first to arrive.
func TestUnreachableCostsNoBudget(t *testing.T) {
	budget := NewBudget(0)
	assert.Assert(t, !budget.Take())
	r := Request{MaxAttempts: 3}
	assert.Equal(t, r.Next(Unreachable, budget, true), RetryOther)
	rejected := Request{MaxAttempts: 3}
	assert.Equal(t, rejected.Next(Rejected, budget, true), GiveUpNotRun)
}
