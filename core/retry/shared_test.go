package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestNodesWithinTheirSharesStayWithinTheWhole guards against exceeding a retry budget that
// many nodes share: ratio times the calls of all nodes in a window, plus slack. If each
// node stays within its share, the retries in any window must stay within this total. The
// calls of a window are those of the window itself or of the previous one, whichever are
// more, since nodes may save up retries. The order by need must not change this.
func TestNodesWithinTheirSharesStayWithinTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio, slack = 0.2, 62.0
			window       = 10 * time.Second
			step         = 100 * time.Millisecond
		)
		nodes := rapid.IntRange(1, 40).Draw(t, "nodes")
		budgets := make([]*Budget, nodes)
		byNeed := rapid.Bool().Draw(t, "by need")
		for i := range budgets {
			budgets[i] = NewBudget(0)
			budgets[i].SetShare(ratio, slack, nodes, window)
			budgets[i].SetByNeed(byNeed)
		}
		rate := rapid.IntRange(0, 20).Draw(t, "calls a node and step")
		var spent, calls []int
		for at := time.Duration(0); at < 3*window; at += step {
			took, called := 0, 0
			for _, b := range budgets {
				b.Refill(step)
				n := rapid.IntRange(0, rate).Draw(t, "calls")
				for range n {
					b.RecordCall()
				}
				called += n
				if rapid.Bool().Draw(t, "storm") {
					need := Need(rapid.IntRange(0, int(needs)-1).Draw(t, "need"))
					for b.Take(need) {
						took++
					}
				}
			}
			spent, calls = append(spent, took), append(calls, called)
		}
		width := int(window / step)
		for end := width; end <= len(spent); end++ {
			used, earned, before := sum(spent[end-width:end]), sum(calls[end-width:end]), sum(calls[max(0, end-2*width):end-width])
			if limit := ratio*float64(max(earned, before)) + slack; float64(used) > limit {
				t.Fatalf("%d retries in a window, limit %.0f", used, limit)
			}
		}
	})
}

func sum(list []int) int {
	total := 0
	for _, v := range list {
		total += v
	}
	return total
}

// TestHedgeIsForIdempotentRequestsWithAnAttemptLeft guards against hedged requests that
// would run a non-idempotent request twice, or exceed the attempts or the budget.
func TestHedgeIsForIdempotentRequestsWithAnAttemptLeft(t *testing.T) {
	cases := []struct {
		desc       string
		idempotent bool
		max        int
		perMille   int
		want       bool
	}{
		{"idempotent", true, 2, 100, true},
		{"not idempotent", false, 2, 100, false},
		{"one attempt only", true, 1, 100, false},
		{"no budget", true, 2, 0, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			r := Request{Idempotent: c.idempotent, MaxAttempts: c.max}
			assert.Equal(t, r.Hedge(NewBudget(c.perMille)), c.want)
		})
	}
}

// Models a service whose servers reject half of the requests, called by a thousand nodes with
// a request a second each. Guards against a shared budget of which no node's part ever makes a
// whole retry, so that none is used, and against using more than the budget in any window, also
// while a third of the requests have a higher need than the others.
func TestSharedBudgetIsUsedByAThousandNodes(t *testing.T) {
	const (
		nodes, ratio, slack = 985, 0.2, 1040
		window              = 10 * time.Second
		step                = 100 * time.Millisecond
		length              = 40 * time.Second
	)
	for _, c := range []struct {
		perSecond float64
		byNeed    bool
	}{{0.5, false}, {1, false}, {3, false}, {0.5, true}, {1, true}, {3, true}} {
		t.Run(fmt.Sprintf("%v by need %v", c.perSecond, c.byNeed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			budgets := make([]*Budget, nodes)
			for i := range budgets {
				budgets[i] = NewBudget(0)
				budgets[i].SetRandom(random.Float64)
				budgets[i].SetShare(ratio, slack, nodes, window)
				budgets[i].SetByNeed(c.byNeed)
			}
			var calls, retries []int
			for range int(length / step) {
				called, retried := 0, 0
				for _, b := range budgets {
					b.Refill(step)
					if random.Float64() >= c.perSecond*step.Seconds() {
						continue
					}
					b.RecordCall()
					called++
					if random.IntN(2) == 0 && b.Take(Need(called%3/2)) {
						retried++
					}
				}
				calls, retries = append(calls, called), append(retries, retried)
			}
			steps := int(window / step)
			for from := 0; from+steps <= len(calls); from++ {
				allowed, used := float64(slack), 0
				for i := from; i < from+steps; i++ {
					allowed += ratio * float64(calls[i])
					used += retries[i]
				}
				assert.Assert(t, float64(used) <= allowed, "%d of %.0f in a window", used, allowed)
				assert.Assert(t, float64(used) >= allowed/3, "%d of %.0f in a window", used, allowed)
			}
		})
	}
}
