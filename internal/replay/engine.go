package replay

import (
	"time"

	"cactuspath/internal/virtual"
)

// server is a backend server: slots that work at a common speed. Work is
// counted on a clock of its own that runs at that speed, so that a change of
// speed moves every request in flight.
type server struct {
	clock    *virtual.Clock
	speed    float64
	failFast bool
	work     float64
	last     time.Duration
	running  map[*job]bool
	order    uint64
	wake     uint64
}

type job struct {
	endsAt float64
	order  uint64
	done   func(outcome jobOutcome)
}

type jobOutcome int

const (
	jobCompleted jobOutcome = iota
	jobFailed
	jobKilled
)

// failFastTime is how long a server that fails fast takes to answer.
const failFastTime = 100 * time.Microsecond

func newServer(c *virtual.Clock) *server {
	return &server{clock: c, speed: 1, running: map[*job]bool{}}
}

func (s *server) advance() {
	s.work += float64(s.clock.Now()-s.last) * s.speed
	s.last = s.clock.Now()
}

func (s *server) start(demand time.Duration, done func(jobOutcome)) *job {
	s.advance()
	s.order++
	j := &job{endsAt: s.work + float64(demand), order: s.order, done: done}
	s.running[j] = true
	if s.failFast {
		s.clock.After(failFastTime, func() { s.end(j, jobFailed) })
		return j
	}
	s.plan()
	return j
}

func (s *server) end(j *job, outcome jobOutcome) {
	if !s.running[j] {
		return
	}
	s.advance()
	delete(s.running, j)
	j.done(outcome)
	s.plan()
}

func (s *server) setSpeed(speed float64) {
	s.advance()
	s.speed = speed
	s.plan()
}

func (s *server) first() *job {
	var best *job
	for j := range s.running {
		if best == nil || j.endsAt < best.endsAt || j.endsAt == best.endsAt && j.order < best.order {
			best = j
		}
	}
	return best
}

// plan schedules the next completion; a plan made before is void.
func (s *server) plan() {
	s.wake++
	wake := s.wake
	j := s.first()
	if j == nil || s.speed <= 0 {
		return
	}
	left := max(0, (j.endsAt-s.work)/s.speed)
	s.clock.After(time.Duration(left)+1, func() {
		if s.wake == wake {
			s.end(j, jobCompleted)
		}
	})
}

func (s *server) kill() {
	for j := s.first(); j != nil; j = s.first() {
		delete(s.running, j)
		j.done(jobKilled)
	}
	s.plan()
}
