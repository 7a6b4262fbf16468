package emulator

import (
	"time"

	"cactuspath/internal/virtual"
)

// server models a backend server: its running requests all proceed at the same speed. A
// request that waits for calls of its own holds its slot and makes no progress.
type server struct {
	slots int
	// Above the share crowdShare of slots in use, work takes crowdFactor times as long.
	crowdShare, crowdFactor float64
	// noise and slowness are the factors of the slowdown that the server reports.
	noise, slowness float64
	keepsPace       bool
	rejectShare     float64
	jobs            *virtual.Jobs[*job]
	slotsInUse      int
}

func newServer(clock *virtual.Clock, service *Service) *server {
	s := &server{slots: service.Slots, crowdShare: service.Crowd, crowdFactor: service.CrowdFactor, noise: 1, slowness: 1, keepsPace: service.KeepsPace}
	s.jobs = virtual.NewJobs(clock, s.speed, s.finishPart)
	return s
}

// job is one request at a server. Its work has parts, with calls to other services in
// between.
type job struct {
	parts []time.Duration
	// slowdown is the factor by which each part takes longer, at a server where requests
	// keep the slowdown of their start.
	slowdown  float64
	makeCalls func(called func(ok bool))
	ended     bool
	done      func(ok bool)
}

// slowdown returns the factor that the server reports to its node.
func (s *server) slowdown() float64 { return s.noise * s.slowness }

func (s *server) speed() float64 {
	speed := 1.0
	if !s.keepsPace {
		speed /= s.slowdown()
	}
	if s.crowdShare > 0 && float64(s.slotsInUse) > s.crowdShare*float64(s.slots) {
		speed /= s.crowdFactor
	}
	return speed
}

// update accounts for the time up to now at the old speed, applies a change that may
// affect the speed, and reschedules the next completion.
func (s *server) update(change func()) {
	s.jobs.Advance()
	change()
	s.jobs.Reschedule()
}

func (s *server) start(j *job) {
	j.slowdown = 1
	if s.keepsPace {
		j.slowdown = s.slowdown()
	}
	s.update(func() {
		s.slotsInUse++
		s.startPart(j)
	})
}

// startPart starts the next part of a job.
func (s *server) startPart(j *job) {
	s.jobs.Add(j, time.Duration(j.slowdown*float64(j.parts[0])))
	j.parts = j.parts[1:]
}

// remove ends a job at any stage and frees its slot.
func (s *server) remove(j *job) {
	if j.ended {
		return
	}
	s.update(func() {
		j.ended = true
		s.jobs.Remove(j)
		s.slotsInUse--
	})
}

func (s *server) finish(j *job, ok bool) {
	if j.ended {
		return
	}
	s.remove(j)
	j.done(ok)
}

// finishPart ends one part of a job; the calls before the next part follow, or the end of
// the job.
func (s *server) finishPart(j *job) {
	if len(j.parts) == 0 {
		s.finish(j, true)
		return
	}
	s.update(func() { s.jobs.Remove(j) })
	j.makeCalls(func(ok bool) {
		switch {
		case j.ended:
		case !ok:
			s.finish(j, false)
		default:
			s.update(func() { s.startPart(j) })
		}
	})
}
