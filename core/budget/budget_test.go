package budget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against holders that take everything: however many want as much as they can get, one more gets
// as much as each of them.
func TestGreedyHoldersLeaveAPart(t *testing.T) {
	const total = 1 << 20
	for _, n := range []int64{1, 2, 10, 200, 1000} {
		b, parts := New(total), make([]Part, n)
		for taken := true; taken; {
			taken = false
			for i := range parts {
				taken = parts[i].Take(&b, 1) || taken
			}
		}
		free := b.Total() - b.Used()
		assert.Assert(t, free >= total/(n+1), "%d holders leave %d", n, free)
		var next Part
		assert.Assert(t, next.Take(&b, free/2))
		for i := range parts {
			assert.Assert(t, parts[i].Taken() >= total/(n+1)-1, "holder %d of %d has %d", i, n, parts[i].Taken())
		}
	}
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, parts := New(1000), make([]Part, 5)
		for range 100 {
			p := &parts[rapid.IntRange(0, len(parts)-1).Draw(t, "holder")]
			if rapid.Bool().Draw(t, "return") {
				p.Return(&b, rapid.Int64Range(0, p.Taken()).Draw(t, "units"))
			} else if before := b.Total() - b.Used(); p.Take(&b, rapid.Int64Range(0, 2000).Draw(t, "units")) {
				assert.Assert(t, p.Taken() <= before)
			}
			sum := int64(0)
			for i := range parts {
				sum += parts[i].Taken()
			}
			assert.Equal(t, sum, b.Used())
			assert.Assert(t, b.Used() <= b.Total())
		}
	})
}
