package emulator

import (
	"time"

	"cactuspath/internal/virtual"
)

// server is a backend server: slots that work at a common speed. Work is counted
// on a clock of its own that runs at that speed, so that a change of speed moves
// every request in flight. A request that waits for calls of its own holds its
// slot and does no work.
type server struct {
	clock *virtual.Clock
	slots int
	// crowdShare of the slots taken makes work take crowdFactor times as long.
	crowdShare, crowdFactor float64
	// noise and slowness are the factors that the server tells of.
	noise, slowness float64
	rejects         float64
	work            float64
	last            time.Duration
	working         map[*job]bool
	taken           int
	order           uint64
	wake            uint64
}

// job is one request at a server. Its work comes in parts, with calls between.
type job struct {
	parts   []time.Duration
	between func(ended func(ok bool))
	endsAt  float64
	order   uint64
	over    bool
	done    func(ok bool)
}

func (s *server) told() float64 { return s.noise * s.slowness }

func (s *server) speed() float64 {
	speed := 1 / s.told()
	if s.crowdShare > 0 && float64(s.taken) > s.crowdShare*float64(s.slots) {
		speed /= s.crowdFactor
	}
	return speed
}

// change lets time pass at the old speed, changes what decides the speed, and
// plans anew.
func (s *server) change(what func()) {
	now := s.clock.Now()
	s.work += float64(now-s.last) * s.speed()
	s.last = now
	what()
	s.plan()
}

func (s *server) start(j *job) {
	s.change(func() {
		s.taken++
		s.enter(j)
	})
}

// enter begins the next part of a job's work.
func (s *server) enter(j *job) {
	s.order++
	j.order, j.endsAt = s.order, s.work+float64(j.parts[0])
	j.parts = j.parts[1:]
	s.working[j] = true
}

// leave ends a job, whatever it is at.
func (s *server) leave(j *job) {
	if j.over {
		return
	}
	s.change(func() {
		j.over = true
		delete(s.working, j)
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

func (s *server) first() *job {
	var best *job
	for j := range s.working {
		if best == nil || j.endsAt < best.endsAt || j.endsAt == best.endsAt && j.order < best.order {
			best = j
		}
	}
	return best
}

// plan schedules the end of the next part; a plan made before is void.
func (s *server) plan() {
	s.wake++
	wake := s.wake
	j := s.first()
	if j == nil {
		return
	}
	left := max(0, (j.endsAt-s.work)/s.speed())
	s.clock.After(time.Duration(left)+1, func() {
		if s.wake == wake {
			s.part(j)
		}
	})
}

// part ends one part of a job's work: the calls between follow, or its end.
func (s *server) part(j *job) {
	if len(j.parts) == 0 {
		s.end(j, true)
		return
	}
	s.change(func() { delete(s.working, j) })
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
