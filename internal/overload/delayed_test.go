package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDelayedProcessIsRecognized guards against trusting that a request was read when it came,
// although this process had no processor time, was stopped, or does not measure that.
func TestDelayedProcessIsRecognized(t *testing.T) {
	var none *Monitor
	assert.Assert(t, none.Delayed())
	m := NewMonitor("a")
	m.start = time.Now().Add(-time.Hour)
	assert.Assert(t, m.Delayed(), "nothing was measured yet")
	m.observe(time.Millisecond)
	assert.Assert(t, !m.Delayed())
	m.observe(lateDelay)
	assert.Assert(t, m.Delayed(), "a late measurement")
	m.start = m.start.Add(-2 * time.Second)
	m.observe(time.Millisecond)
	assert.Assert(t, !m.Delayed(), "long ago")
	m.start = m.start.Add(-time.Second)
	assert.Assert(t, m.Delayed(), "the next measurement is late")
}
