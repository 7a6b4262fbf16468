package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestNoSpanOfOneSecondExceedsTheBudget guards against exceeding the budget in any period
// of one second, whenever the period begins and whenever gates send reports. Institutions
// pay for load reports by the second. A plain token bucket would fail this test, since it
// admits its burst in addition to its rate.
func TestNoSpanOfOneSecondExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.IntRange(0, 40).Draw(t, "reports")
		bytes := rapid.IntRange(0, 4000).Draw(t, "bytes")
		b := NewBudget(reports, bytes)
		type sent struct {
			at   time.Duration
			size int
		}
		var all []sent
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "tries") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond
			size := rapid.IntRange(1, 200).Draw(t, "size")
			if b.Allow(now, size) {
				all = append(all, sent{now, size})
			}
		}
		for i := range all {
			count, total := 0, 0
			for _, s := range all[i:] {
				if s.at-all[i].at < time.Second {
					count++
					total += s.size
				}
			}
			if count > reports || total > bytes {
				t.Fatalf("%d reports and %d bytes within a second, budget %d and %d", count, total, reports, bytes)
			}
		}
	})
}

// TestShrunkBudgetCountsWhatWasSpent guards against exceeding a budget that is reduced
// while in use: reports admitted in the last second must count towards the new limits.
func TestShrunkBudgetCountsWhatWasSpent(t *testing.T) {
	b := NewBudget(10, 1000)
	for range 8 {
		assert.Assert(t, b.Allow(0, 10))
	}
	b.Set(5, 1000)
	assert.Assert(t, !b.Allow(500*time.Millisecond, 10))
	assert.Assert(t, b.Allow(time.Second, 10))
}

// TestSharesSumWithinTheBudget guards against shares that add up to more than the
// budget for some number of gates, since gates do not coordinate their spending.
func TestSharesSumWithinTheBudget(t *testing.T) {
	for _, gates := range []int{0, 1, 3, 7, 12, 200} {
		assert.Assert(t, GateShare(2500, gates)*max(1, gates) <= 2500)
	}
}
