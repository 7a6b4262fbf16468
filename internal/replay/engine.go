package replay

import (
	"time"

	"cactuspath/internal/virtual"
)

// server is a backend server: slots that work at a common speed.
type server struct {
	clock    *virtual.Clock
	speed    float64
	failFast bool
	work     *virtual.Jobs[*job]
}

type job struct{ done func(outcome jobOutcome) }

type jobOutcome int

const (
	jobCompleted jobOutcome = iota
	jobFailed
	jobKilled
)

// failFastTime is how long a server that fails fast takes to answer.
const failFastTime = 100 * time.Microsecond

func newServer(c *virtual.Clock) *server {
	s := &server{clock: c, speed: 1}
	s.work = virtual.NewJobs(c, func() float64 { return s.speed }, func(j *job) { s.end(j, jobCompleted) })
	return s
}

func (s *server) start(demand time.Duration, done func(jobOutcome)) *job {
	s.work.Advance()
	j := &job{done}
	s.work.Add(j, demand)
	if s.failFast {
		s.clock.After(failFastTime, func() { s.end(j, jobFailed) })
		return j
	}
	s.work.Reschedule()
	return j
}

func (s *server) end(j *job, outcome jobOutcome) {
	if !s.work.Has(j) {
		return
	}
	s.work.Advance()
	s.work.Remove(j)
	j.done(outcome)
	s.work.Reschedule()
}

func (s *server) setSpeed(speed float64) {
	s.work.Advance()
	s.speed = speed
	s.work.Reschedule()
}

func (s *server) kill() {
	for j, ok := s.work.First(); ok; j, ok = s.work.First() {
		s.work.Remove(j)
		j.done(jobKilled)
	}
	s.work.Reschedule()
}
