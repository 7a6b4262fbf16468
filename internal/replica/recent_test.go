package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What was not said again for its life counts no more, and leaves no trace; what was
// said again goes on counting.
func TestRecentForgetsWhatIsNotSaidAgain(t *testing.T) {
	const life = time.Minute
	r := newRecent[string, int](life)
	for key, what := range map[string]int{"c": 3, "a": 1, "b": 2} {
		r.put(key, what)
	}
	any := func(int) bool { return true }
	assert.DeepEqual(t, r.list(any), []int{1, 2, 3})
	assert.DeepEqual(t, r.list(func(what int) bool { return what > 1 }), []int{2, 3})
	for _, key := range []string{"a", "b"} {
		r.byKey[key] = said[int]{r.byKey[key].what, time.Now().Add(-2 * life)}
	}
	r.put("b", 4)
	assert.DeepEqual(t, r.list(any), []int{4, 3})
	_, known := r.held("a")
	assert.Assert(t, !known)
}
