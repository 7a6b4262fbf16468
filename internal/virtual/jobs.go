package virtual

import "time"

// Jobs tracks the running jobs of one server, all of which proceed at the same
// speed. Progress is measured on a separate clock that advances at that speed, so
// that a change of speed shifts the completion of every running job. J identifies a
// job. Not safe for concurrent use.
type Jobs[J comparable] struct {
	clock *Clock
	// speed returns the current speed of the server. completed is called for each job whose
	// work is done, and must remove it.
	speed     func() float64
	completed func(J)
	// progress is the reading of the progress clock, and updatedAt when it was taken.
	progress  float64
	updatedAt time.Duration
	running   map[J]job
	added     uint64
	// timer is the number of the last completion timer. Earlier ones have no effect.
	timer uint64
}

// job is one running job. Jobs that end at the same time end in the order of their
// sequence numbers, which is the order in which they were added.
type job struct {
	endsAt   float64
	sequence uint64
}

// NewJobs returns the Jobs of a server without running jobs. speed returns the current
// speed of the server, and completed is called for each job whose work is done.
func NewJobs[J comparable](clock *Clock, speed func() float64, completed func(J)) *Jobs[J] {
	return &Jobs[J]{clock: clock, speed: speed, completed: completed, running: map[J]job{}}
}

// Advance updates the progress of the running jobs for the time since the last call. It
// must be called before the speed or the set of jobs changes.
func (s *Jobs[J]) Advance() {
	now := s.clock.Now()
	s.progress += float64(now-s.updatedAt) * s.speed()
	s.updatedAt = now
}

// Add starts a job that takes the given time at speed 1.
func (s *Jobs[J]) Add(j J, takes time.Duration) {
	s.added++
	s.running[j] = job{s.progress + float64(takes), s.added}
}

// Remove ends a job, whether or not its work is done. It has no effect on other jobs.
func (s *Jobs[J]) Remove(j J) { delete(s.running, j) }

// Has reports whether a job is running.
func (s *Jobs[J]) Has(j J) bool {
	_, ok := s.running[j]
	return ok
}

// First returns the running job with the least remaining work; ok is false if no job is
// running.
func (s *Jobs[J]) First() (first J, ok bool) {
	var best job
	for j, p := range s.running {
		if !ok || p.endsAt < best.endsAt || p.endsAt == best.endsAt && p.sequence < best.sequence {
			first, best, ok = j, p, true
		}
	}
	return first, ok
}

// Reschedule schedules the next completion in place of the previously scheduled one.
// It must be called after the speed or the set of jobs has changed. At speed 0 no job
// completes.
func (s *Jobs[J]) Reschedule() {
	s.timer++
	timer := s.timer
	j, ok := s.First()
	speed := s.speed()
	if !ok || speed <= 0 {
		return
	}
	left := max(0, (s.running[j].endsAt-s.progress)/speed)
	s.clock.After(time.Duration(left)+1, func() {
		if s.timer == timer {
			s.completed(j)
		}
	})
}
