package virtual

import "time"

// Work is what is under way at one server, at a common speed. It is counted on a
// clock of its own that runs at that speed, so that a change of speed moves all that
// is under way. J names a piece of work. Not safe for concurrent use.
type Work[J comparable] struct {
	clock *Clock
	// speed is asked for whenever time passes; ended is told of each piece that ends.
	speed func() float64
	ended func(J)
	// done is the work clock, and last when it was set.
	done     float64
	last     time.Duration
	underway map[J]piece
	order    uint64
	wake     uint64
}

// piece is one piece of work. Of those that end together the first begun is first.
type piece struct {
	endsAt float64
	order  uint64
}

// NewWork returns the work of a server with nothing under way.
func NewWork[J comparable](clock *Clock, speed func() float64, ended func(J)) *Work[J] {
	return &Work[J]{clock: clock, speed: speed, ended: ended, underway: map[J]piece{}}
}

// Pass lets time pass at the speed as it is. It is called before anything changes.
func (w *Work[J]) Pass() {
	now := w.clock.Now()
	w.done += float64(now-w.last) * w.speed()
	w.last = now
}

// Begin puts a piece of work under way, which takes the time given at speed 1.
func (w *Work[J]) Begin(j J, takes time.Duration) {
	w.order++
	w.underway[j] = piece{w.done + float64(takes), w.order}
}

// Leave takes a piece of work out.
func (w *Work[J]) Leave(j J) { delete(w.underway, j) }

// Has tells whether a piece of work is under way.
func (w *Work[J]) Has(j J) bool {
	_, ok := w.underway[j]
	return ok
}

// First is the piece of work that ends first; ok is false if nothing is under way.
func (w *Work[J]) First() (first J, ok bool) {
	var best piece
	for j, p := range w.underway {
		if !ok || p.endsAt < best.endsAt || p.endsAt == best.endsAt && p.order < best.order {
			first, best, ok = j, p, true
		}
	}
	return first, ok
}

// Plan schedules the next end; a plan made before is void. It is called after
// anything has changed. A server that stands still ends nothing.
func (w *Work[J]) Plan() {
	w.wake++
	wake := w.wake
	j, ok := w.First()
	speed := w.speed()
	if !ok || speed <= 0 {
		return
	}
	left := max(0, (w.underway[j].endsAt-w.done)/speed)
	w.clock.After(time.Duration(left)+1, func() {
		if w.wake == wake {
			w.ended(j)
		}
	})
}
