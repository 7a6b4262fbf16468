package virtual

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The speed halves while two pieces of work are under way, then the server stands
// still for a while. Both are moved, and end in the order of what they take.
func TestChangeOfSpeedMovesWhatIsUnderWay(t *testing.T) {
	var clock Clock
	speed := 1.0
	ends := map[string]time.Duration{}
	var work *Work[string]
	work = NewWork(&clock, func() float64 { return speed }, func(j string) {
		ends[j] = clock.Now().Round(time.Microsecond)
		work.Pass()
		work.Leave(j)
		work.Plan()
	})
	set := func(to float64) func() {
		return func() {
			work.Pass()
			speed = to
			work.Plan()
		}
	}
	work.Begin("long", 10*time.Millisecond)
	work.Begin("short", 4*time.Millisecond)
	work.Plan()
	clock.At(2*time.Millisecond, set(0.5))
	clock.At(8*time.Millisecond, set(0))
	clock.At(20*time.Millisecond, set(1))
	clock.Drain(func() bool { return false })
	assert.DeepEqual(t, ends, map[string]time.Duration{"short": 6 * time.Millisecond, "long": 25 * time.Millisecond})
	assert.Assert(t, !work.Has("long"))
	_, ok := work.First()
	assert.Assert(t, !ok)
}

// Pieces of work that end together end in the order in which they began, whatever the
// order of the map.
func TestWorkThatEndsTogetherKeepsItsOrder(t *testing.T) {
	var clock Clock
	var ended []int
	var work *Work[int]
	work = NewWork(&clock, func() float64 { return 1 }, func(j int) {
		ended = append(ended, j)
		work.Pass()
		work.Leave(j)
		work.Plan()
	})
	want := []int{7, 3, 9, 1, 5, 2, 8}
	for _, j := range want {
		work.Begin(j, time.Millisecond)
	}
	work.Plan()
	clock.Drain(func() bool { return false })
	assert.DeepEqual(t, ended, want)
}
