// Package virtual has a clock for runs in virtual time: events in the order of
// their times, without waiting. A Clock is not safe for concurrent use.
package virtual

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with the events that are due. Events of one instant
// run in the order in which they were scheduled.
type Clock struct {
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

// Now is the time since the start of the run.
func (c *Clock) Now() time.Duration { return c.now }

// After runs an event when d has passed.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.now+d, run) }

// At runs an event at a time, or now if that has passed.
func (c *Clock) At(t time.Duration, run func()) {
	c.next++
	heap.Push(&c.events, event{max(t, c.now), c.next, run})
}

// Drain runs events until none is left or done says so.
func (c *Clock) Drain(done func() bool) {
	for len(c.events) > 0 && !done() {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}
