package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against returning or retaining values that were not put again within their lifetime, and
// against expiring those that were.
func TestExpiringMapDropsStaleValues(t *testing.T) {
	const ttl = time.Minute
	r := newExpiringMap[string, int](ttl)
	for key, value := range map[string]int{"c": 3, "a": 1, "b": 2} {
		r.put(key, value)
	}
	includeAll := func(int) bool { return true }
	assert.DeepEqual(t, r.list(includeAll), []int{1, 2, 3})
	assert.DeepEqual(t, r.list(func(value int) bool { return value > 1 }), []int{2, 3})
	for _, key := range []string{"a", "b"} {
		r.byKey[key] = timedValue[int]{r.byKey[key].value, time.Now().Add(-2 * ttl)}
	}
	r.put("b", 4)
	assert.DeepEqual(t, r.list(includeAll), []int{4, 3})
	_, found := r.latest("a")
	assert.Assert(t, !found)
}
