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

// TestUnknownOutcomeIsNotRetriedOrReportedAsNotRun guards against running a request
// twice: one that is not idempotent must not be retried after an attempt that may have
// run. It also guards against reporting any request as not run after such an attempt.
func TestUnknownOutcomeIsNotRetriedOrReportedAsNotRun(t *testing.T) {
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
// has its own retry budget and must make at most 1.2 attempts per call: a layer that gives
// up sends an error response to the layer above, which does not retry. If every layer
// retried, the last one would get 3 to the power of 22 attempts.
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
				// The layer's backend server sends an error response to its caller.
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
// stop. A host drains under load and refuses more waiting requests than the retry budget
// allows. All of them must be retried on other endpoints, without using the budget.
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
	assert.Assert(t, !NewBudget(0).Take(First))
}

// TestGateRefusalDoesNotUseUpAttempts guards against giving up too early on a route that
// allows one attempt. A request refused by gates has reached no backend server and must be
// sent to the next gate, up to minGateAttempts. A request rejected by a backend server has
// used its attempt.
func TestGateRefusalDoesNotUseUpAttempts(t *testing.T) {
	r := Request{MaxAttempts: 1}
	budget := NewBudget(100)
	assert.Equal(t, r.Next(Draining, budget, true), RetryOther)
	assert.Equal(t, r.Next(NotRun, budget, true), RetryOther)
	assert.Equal(t, r.Next(NotRun, budget, true), GiveUpNotRun)
	rejected := Request{MaxAttempts: 1}
	assert.Equal(t, rejected.Next(Rejected, budget, true), GiveUpNotRun)
}

// TestUnreachableCostsNoBudget guards against failing requests while other endpoints have
// capacity. Backend servers reject requests, and the retries exhaust the budget. Then the
// link to one host is saturated, so that connections to it time out. If an attempt without
// a connection needed the budget, requests for that host would fail with most of their
// timeout left, although nothing was sent and the next attempt would be the first to reach
// a server.
func TestUnreachableCostsNoBudget(t *testing.T) {
	budget := NewBudget(0)
	assert.Assert(t, !budget.Take(First))
	r := Request{MaxAttempts: 3}
	assert.Equal(t, r.Next(Unreachable, budget, true), RetryOther)
	rejected := Request{MaxAttempts: 3}
	assert.Equal(t, rejected.Next(Rejected, budget, true), GiveUpNotRun)
}
