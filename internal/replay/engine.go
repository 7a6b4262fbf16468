package replay

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with the events that are due. Events of one instant
// run in the order in which they were scheduled.
type clock struct {
	now    time.Duration
	events eventHeap
	next   uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

func (c *clock) at(t time.Duration, run func()) {
	c.next++
	heap.Push(&c.events, event{max(t, c.now), c.next, run})
}

// drain runs events until none is left or done says so.
func (c *clock) drain(done func() bool) {
	for len(c.events) > 0 && !done() {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// server is a backend server: slots that work at a common speed. Work is
// counted on a clock of its own that runs at that speed, so that a change of
// speed moves every request in flight.
type server struct {
	clock    *clock
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

func newServer(c *clock) *server { return &server{clock: c, speed: 1, running: map[*job]bool{}} }

func (s *server) advance() {
	s.work += float64(s.clock.now-s.last) * s.speed
	s.last = s.clock.now
}

func (s *server) start(demand time.Duration, done func(jobOutcome)) *job {
	s.advance()
	s.order++
	j := &job{endsAt: s.work + float64(demand), order: s.order, done: done}
	s.running[j] = true
	if s.failFast {
		s.clock.after(failFastTime, func() { s.end(j, jobFailed) })
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
	s.clock.after(time.Duration(left)+1, func() {
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
