// Package virtual provides a discrete-event clock, which runs simulations in
// virtual time, and a model of the jobs that run at a server and all proceed at the
// speed of the server. Its types are not safe for concurrent use.
package virtual

import (
	"container/heap"
	"time"
)

// Clock holds the current virtual time and the scheduled events. Events that
// are due at the same time run in the order in which they were scheduled.
type Clock struct {
	now       time.Duration
	events    eventHeap
	scheduled uint64
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Now returns the virtual time since the start of the run.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules an event, which calls run when the duration d has passed.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.now+d, run) }

// At schedules an event, which calls run at time t, or at the current time if t has
// passed.
func (c *Clock) At(t time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.events, event{max(t, c.now), c.scheduled, run})
}

// RunUntil runs the scheduled events in the order of their times until none is left
// or done returns true. It sets the clock to the time of each event instead of
// waiting for it.
func (c *Clock) RunUntil(done func() bool) {
	for len(c.events) > 0 && !done() {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
