package overload

import (
	"runtime/debug"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/overload"
)

// simulateOverload passes delays to a monitor that are long enough for it to detect an
// overload.
func simulateOverload(m *Monitor) {
	for range 6 {
		// Windows end by the clock; moving the start back completes one at once.
		m.start = m.start.Add(-300 * time.Millisecond)
		m.observe(280 * time.Millisecond)
	}
}

// TestMonitorRefusesWhileOverloaded guards against admitting all requests during an
// overload, and against refusing any while shedding is disabled.
func TestMonitorRefusesWhileOverloaded(t *testing.T) {
	m := NewMonitor("a")
	t.Cleanup(func() { m.raiseGC(false) })
	refused := func() (n int64) {
		before := m.Refused.Value()
		for range 100 {
			m.Admit(overload.FromCaller, overload.Rank{})
		}
		return m.Refused.Value() - before
	}
	assert.Equal(t, refused(), int64(0))
	simulateOverload(m)
	assert.Assert(t, refused() > 50)
	assert.Equal(t, m.Shortages.Value(), int64(1))
	m.SetDisabled(true)
	assert.Equal(t, refused(), int64(0))
}

// TestHeapGrowsWhileOverloaded guards against frequent garbage collections during an
// overload, and against leaving the GC percentage raised after the last monitor releases it.
func TestHeapGrowsWhileOverloaded(t *testing.T) {
	const normal = 30
	before := debug.SetGCPercent(normal)
	t.Cleanup(func() { debug.SetGCPercent(before) })
	percent := func() int {
		p := debug.SetGCPercent(normal)
		debug.SetGCPercent(p)
		return p
	}
	a, b := NewMonitor("a"), NewMonitor("b")
	simulateOverload(a)
	simulateOverload(b)
	assert.Equal(t, percent(), raisedGCPercent)
	a.raiseGC(false)
	assert.Equal(t, percent(), raisedGCPercent)
	b.raiseGC(false)
	assert.Equal(t, percent(), normal)
}

// Guards against wake-ups that cost an idle process more than its requests, and against an
// idle process that measures too seldom once it has work or is short of processor time.
func TestIdleProcessIsMeasuredLessOften(t *testing.T) {
	m := NewMonitor("a")
	assert.Equal(t, m.nextInterval(0), idleSampleInterval)
	m.Admit(overload.FromCaller, overload.Rank{})
	assert.Equal(t, m.nextInterval(0), idleSampleInterval)
	assert.Equal(t, m.nextInterval(busyDelay), sampleInterval, "a late timer")
	for range idleRequests + 1 {
		m.Admit(overload.FromNode, overload.Rank{})
	}
	assert.Equal(t, m.nextInterval(0), sampleInterval, "requests came")
	m.observe(0)
	assert.Assert(t, !m.Delayed())
}
