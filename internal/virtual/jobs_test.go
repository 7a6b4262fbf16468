package virtual

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The speed halves while two jobs are running, and later drops to 0 for a while. Both
// changes must delay the running jobs, which end in the order of their work.
func TestSpeedChangeShiftsRunningJobs(t *testing.T) {
	var clock Clock
	speed := 1.0
	ends := map[string]time.Duration{}
	var jobs *Jobs[string]
	jobs = NewJobs(&clock, func() float64 { return speed }, func(j string) {
		ends[j] = clock.Now().Round(time.Microsecond)
		jobs.Advance()
		jobs.Remove(j)
		jobs.Reschedule()
	})
	set := func(to float64) func() {
		return func() {
			jobs.Advance()
			speed = to
			jobs.Reschedule()
		}
	}
	jobs.Add("long", 10*time.Millisecond)
	jobs.Add("short", 4*time.Millisecond)
	jobs.Reschedule()
	clock.At(2*time.Millisecond, set(0.5))
	clock.At(8*time.Millisecond, set(0))
	clock.At(20*time.Millisecond, set(1))
	clock.RunUntil(func() bool { return false })
	assert.DeepEqual(t, ends, map[string]time.Duration{"short": 6 * time.Millisecond, "long": 25 * time.Millisecond})
	assert.Assert(t, !jobs.Has("long"))
	_, ok := jobs.First()
	assert.Assert(t, !ok)
}

// Jobs that end at the same time must end in the order in which they were added. The
// iteration order of the map would make runs with the same seed differ.
func TestSimultaneousJobsEndInOrderOfStart(t *testing.T) {
	var clock Clock
	var ended []int
	var jobs *Jobs[int]
	jobs = NewJobs(&clock, func() float64 { return 1 }, func(j int) {
		ended = append(ended, j)
		jobs.Advance()
		jobs.Remove(j)
		jobs.Reschedule()
	})
	want := []int{7, 3, 9, 1, 5, 2, 8}
	for _, j := range want {
		jobs.Add(j, time.Millisecond)
	}
	jobs.Reschedule()
	clock.RunUntil(func() bool { return false })
	assert.DeepEqual(t, ended, want)
}
