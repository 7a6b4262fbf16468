package emulator

import (
	"time"

	"cactuspath/internal/virtual"
)

// server models a backend server. All of its running requests proceed at the same speed. A
// request that waits for its calls to other services holds its slot and makes no progress.
type server struct {
	slots int
	// crowdShare is the share of slots in use above which contention makes work take
	// crowdFactor times as long. 0 disables contention.
	crowdShare, crowdFactor float64
	// noise is the slowdown by other programs on the host, and slowness the slowdown by
	// events and cold starts. The server reports their product.
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

// job is a request that runs at a server. Its work consists of one part, or of two with
// calls to other services between them.
type job struct {
	parts []time.Duration
	// slowdown is the server's slowdown at the start of the job. It applies to all parts
	// if the server's keepsPace is set, and is unused otherwise.
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

// update applies a change that may affect the server's speed. Before, it updates the
// progress of the running jobs at the old speed, and afterwards it reschedules the next
// completion.
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

// finishPart ends one part of a job. Then the job makes its calls to other services, or it
// ends if this was the last part.
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
