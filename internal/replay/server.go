package replay

import (
	"slices"
	"time"

	"cactuspath/internal/virtual"
)

// server models a backend server. All of its running requests proceed at the same speed,
// which changes in the trace set.
type server struct {
	clock    *virtual.Clock
	speed    float64
	failFast bool
	jobs     *virtual.Jobs[*job]
	// limit is the limit that the server names in its answers; negative for none.
	limit float64
	// limits are the limits so far, starts the times of all requests that it got.
	limits []limitChange
	starts []time.Duration
}

// limitChange is a limit that a server named, or withdrew if it is negative, at a time.
type limitChange struct {
	at    time.Duration
	limit float64
}

type job struct{ done func(outcome jobOutcome) }

type jobOutcome int

const (
	jobCompleted jobOutcome = iota
	jobFailed
	jobKilled
)

// failFastLatency is how long a server takes to respond that fails every request
// immediately (ServerChange.FailFast).
const failFastLatency = 100 * time.Microsecond

func newServer(c *virtual.Clock) *server {
	s := &server{clock: c, speed: 1, limit: noLimit}
	s.jobs = virtual.NewJobs(c, func() float64 { return s.speed }, func(j *job) { s.finish(j, jobCompleted) })
	return s
}

const noLimit = -1

func (s *server) setLimit(limit float64) {
	s.limit = limit
	s.limits = append(s.limits, limitChange{s.clock.Now(), limit})
}

const (
	// limitSpan is the length of the sliding window in which the requests of a server with
	// a limit are counted, and limitContact the time after its first naming from which.
	limitSpan    = 4 * time.Second
	limitContact = time.Second
	// limitOverage and limitSlack are how many times the limit, and how many requests
	// more, a window may contain.
	limitOverage = 1.5
	limitSlack   = 5
)

// overLimit returns how many requests more than allowed the server got in the worst window in
// which it had a limit all the time; 0 if it never got more.
func (s *server) overLimit() float64 {
	worst := 0.0
	for first, from := range s.starts {
		limit, ok := s.highestLimit(from, from+limitSpan)
		if !ok {
			continue
		}
		end, _ := slices.BinarySearch(s.starts, from+limitSpan)
		worst = max(worst, float64(end-first)-limitOverage*limit*limitSpan.Seconds()-limitSlack)
	}
	return worst
}

// highestLimit returns the highest limit in force between two times; ok is false if there was
// none at some moment.
func (s *server) highestLimit(from, to time.Duration) (highest float64, ok bool) {
	if len(s.limits) == 0 || from < s.limits[0].at+limitContact {
		return 0, false
	}
	for i, c := range s.limits {
		ended := i+1 < len(s.limits) && s.limits[i+1].at <= from
		if ended || c.at >= to {
			continue
		}
		if c.limit < 0 {
			return 0, false
		}
		highest = max(highest, c.limit)
	}
	return highest, true
}

func (s *server) start(demand time.Duration, done func(jobOutcome)) *job {
	s.jobs.Advance()
	s.starts = append(s.starts, s.clock.Now())
	j := &job{done}
	s.jobs.Add(j, demand)
	if s.failFast {
		s.clock.After(failFastLatency, func() { s.finish(j, jobFailed) })
		return j
	}
	s.jobs.Reschedule()
	return j
}

func (s *server) finish(j *job, outcome jobOutcome) {
	if !s.jobs.Has(j) {
		return
	}
	s.jobs.Advance()
	s.jobs.Remove(j)
	j.done(outcome)
	s.jobs.Reschedule()
}

func (s *server) setSpeed(speed float64) {
	s.jobs.Advance()
	s.speed = speed
	s.jobs.Reschedule()
}

func (s *server) kill() {
	for j, ok := s.jobs.First(); ok; j, ok = s.jobs.First() {
		s.jobs.Remove(j)
		j.done(jobKilled)
	}
	s.jobs.Reschedule()
}
