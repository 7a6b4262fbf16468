package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// An institution pays for measuring by the second. Whatever the moments at
// which gates want to report, no span of one second, wherever it starts, may
// hold more than the budget; a plain token bucket lets its burst through on top
// of its rate.
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

// A budget that shrinks while it is in use must hold from then on, what was
// spent in the last second included.
func TestShrunkBudgetCountsWhatWasSpent(t *testing.T) {
	b := NewBudget(10, 1000)
	for range 8 {
		assert.Assert(t, b.Allow(0, 10))
	}
	b.Set(5, 1000)
	assert.Assert(t, !b.Allow(500*time.Millisecond, 10))
	assert.Assert(t, b.Allow(time.Second, 10))
}

// Gates do not talk about the budget; the sum of their shares must stay within
// it for any number of them.
func TestSharesSumWithinTheBudget(t *testing.T) {
	for _, gates := range []int{0, 1, 3, 7, 12, 200} {
		assert.Assert(t, GateShare(2500, gates)*max(1, gates) <= 2500)
	}
}
