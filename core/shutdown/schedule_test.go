package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var began = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against a stopping node that accepts a request which it has no time left to finish, and
// against one that refuses a request which it could finish.
func TestRequestsAreAcceptedWhileTheyCanFinish(t *testing.T) {
	cases := []struct {
		desc                   string
		timeout                time.Duration
		arrival, deadline, end float64
		want                   bool
	}{
		{"at the beginning, whatever the deadline", 5500 * time.Millisecond, 0, 600, 5.25, true},
		{"in the first half, beyond the end", 5500 * time.Millisecond, 2.7, 9, 5.25, true},
		{"in the second half, beyond the end", 5500 * time.Millisecond, 2.8, 5.3, 5.25, false},
		{"in the second half, before the end", 5500 * time.Millisecond, 2.8, 5.25, 5.25, true},
		{"late and short", 5500 * time.Millisecond, 5, 5.2, 5.25, true},
		{"after the last response", 5500 * time.Millisecond, 5.3, 5.4, 5.25, false},
		{"a long stop, once callers know", 30 * time.Second, 3.1, 40, 29.75, false},
		{"a long stop, before the end", 30 * time.Second, 3.1, 20, 29.75, true},
		{"a short stop, first half", time.Second, 0.4, 5, 0.9, true},
		{"a short stop, second half", time.Second, 0.6, 0.95, 0.9, false},
	}
	for _, c := range cases {
		s := New(began, c.timeout)
		assert.Equal(t, s.Accepts(at(c.arrival), at(c.deadline)), c.want, c.desc)
		limit := s.Limit(at(c.deadline))
		assert.Assert(t, limit.Equal(at(min(c.deadline, c.end))), "%s: limit %v", c.desc, limit.Sub(began))
	}
	var none *Schedule
	assert.Assert(t, none.Accepts(at(1), at(600)))
	assert.Equal(t, none.Limit(at(600)), at(600))
}

// Guards against a stage that uses up the time of the stages behind it.
func TestStagesFollowEachOther(t *testing.T) {
	for _, timeout := range []time.Duration{time.Second, 2 * time.Second, 5500 * time.Millisecond, 9500 * time.Millisecond, 30 * time.Second, time.Hour} {
		s := New(began, timeout)
		times := []time.Time{began, s.GateOpenUntil(), s.LatestStart(time.Second), s.LastResponse(), s.End()}
		for i := range times[1:] {
			assert.Assert(t, times[i].Before(times[i+1]), "stop of %v: %v", timeout, times)
		}
	}
}
