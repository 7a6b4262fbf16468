package replay

import (
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
	s := &server{clock: c, speed: 1}
	s.jobs = virtual.NewJobs(c, func() float64 { return s.speed }, func(j *job) { s.finish(j, jobCompleted) })
	return s
}

func (s *server) start(demand time.Duration, done func(jobOutcome)) *job {
	s.jobs.Advance()
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
