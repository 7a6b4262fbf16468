package emulator

import (
	"time"

	"cactuspath/internal/virtual"
)

// server is a backend server: slots that work at a common speed. A request that
// waits for calls of its own holds its slot and does no work.
type server struct {
	slots int
	// crowdShare of the slots taken makes work take crowdFactor times as long.
	crowdShare, crowdFactor float64
	// noise and slowness are the factors that the server tells of.
	noise, slowness float64
	keepsPace       bool
	rejects         float64
	work            *virtual.Jobs[*job]
	taken           int
}

func newServer(clock *virtual.Clock, service *Service) *server {
	s := &server{slots: service.Slots, crowdShare: service.Crowd, crowdFactor: service.CrowdFactor, noise: 1, slowness: 1, keepsPace: service.KeepsPace}
	s.work = virtual.NewJobs(clock, s.speed, s.part)
	return s
}

// job is one request at a server. Its work comes in parts, with calls between.
type job struct {
	parts []time.Duration
	// pace is how many times longer each part takes, at a server that keeps the pace
	// of a request's start.
	pace    float64
	between func(ended func(ok bool))
	over    bool
	done    func(ok bool)
}

func (s *server) told() float64 { return s.noise * s.slowness }

func (s *server) speed() float64 {
	speed := 1.0
	if !s.keepsPace {
		speed /= s.told()
	}
	if s.crowdShare > 0 && float64(s.taken) > s.crowdShare*float64(s.slots) {
		speed /= s.crowdFactor
	}
	return speed
}

// change lets time pass at the old speed, changes what decides the speed, and
// plans anew.
func (s *server) change(what func()) {
	s.work.Advance()
	what()
	s.work.Reschedule()
}

func (s *server) start(j *job) {
	j.pace = 1
	if s.keepsPace {
		j.pace = s.told()
	}
	s.change(func() {
		s.taken++
		s.enter(j)
	})
}

// enter begins the next part of a job's work.
func (s *server) enter(j *job) {
	s.work.Add(j, time.Duration(j.pace*float64(j.parts[0])))
	j.parts = j.parts[1:]
}

// leave ends a job, whatever it is at.
func (s *server) leave(j *job) {
	if j.over {
		return
	}
	s.change(func() {
		j.over = true
		s.work.Remove(j)
		s.taken--
	})
}

func (s *server) end(j *job, ok bool) {
	if j.over {
		return
	}
	s.leave(j)
	j.done(ok)
}

// part ends one part of a job's work: the calls between follow, or its end.
func (s *server) part(j *job) {
	if len(j.parts) == 0 {
		s.end(j, true)
		return
	}
	s.change(func() { s.work.Remove(j) })
	j.between(func(ok bool) {
		switch {
		case j.over:
		case !ok:
			s.end(j, false)
		default:
			s.change(func() { s.enter(j) })
		}
	})
}
