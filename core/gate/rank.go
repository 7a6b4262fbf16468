package gate

import (
	"slices"
	"time"
)

// rank orders waiting requests: those that can still be of full use to their
// caller first, then by the operator's priority, then those that are wanted
// soonest. Calls that backend servers make while they run a request have the
// shortest aims, so that they come ahead of new requests: refusing or delaying
// such a call wastes the slot that its parent holds.
type rank struct {
	late     bool
	priority int
	aim      time.Duration
}

// before tells whether a is served before b.
func (a rank) before(b rank) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.priority != b.priority:
		return a.priority < b.priority
	}
	return a.aim < b.aim
}

// rankedQueue holds one fair queue a rank. There are as many ranks as the
// service's routes have different priorities and aims, twice.
type rankedQueue struct {
	ranks []*rankQueue
	size  int
	// late counts the waiting requests that miss their aim.
	late int
}

type rankQueue struct {
	rank rank
	// work is the sum of the usual work of what waits, in nanoseconds.
	work float64
	fairQueue
}

func (q *rankedQueue) at(r rank) *rankQueue {
	i, found := slices.BinarySearchFunc(q.ranks, r, func(held *rankQueue, r rank) int {
		switch {
		case held.rank == r:
			return 0
		case held.rank.before(r):
			return -1
		}
		return 1
	})
	if !found {
		q.ranks = slices.Insert(q.ranks, i, &rankQueue{rank: r, fairQueue: newFairQueue()})
	}
	return q.ranks[i]
}

func (q *rankedQueue) push(it *item) {
	it.home = q.at(it.rank)
	it.home.push(it)
	q.count(it, 1)
}

func (q *rankedQueue) count(it *item, by int) {
	q.size += by
	it.home.work += float64(by) * it.work
	if it.rank.late {
		q.late += by
	}
}

// remove takes a waiting request out; one that does not wait is left alone.
func (q *rankedQueue) remove(it *item) {
	if it.queue == nil {
		return
	}
	it.home.remove(it)
	q.count(it, -1)
	q.prune(it.home)
}

// prune forgets an empty rank, so that ranks of routes that are gone do not pile up.
func (q *rankedQueue) prune(r *rankQueue) {
	if r.size == 0 {
		q.ranks = slices.DeleteFunc(q.ranks, func(held *rankQueue) bool { return held == r })
	}
}

// first is the request that pop takes next; the queue must not be empty.
func (q *rankedQueue) first() *item { return q.ranks[0].turn.head }

// take takes a waiting request out to run it: if it is the next one, the turn
// passes to the next caller.
func (q *rankedQueue) take(it *item) {
	if it == q.first() {
		q.pop()
		return
	}
	q.remove(it)
}

// pop takes the next request out.
func (q *rankedQueue) pop() *item {
	first := q.ranks[0]
	it := first.pop()
	q.count(it, -1)
	q.prune(first)
	return it
}

// last is the queue of the lowest rank, or nil.
func (q *rankedQueue) last() *rankQueue {
	if len(q.ranks) == 0 {
		return nil
	}
	return q.ranks[len(q.ranks)-1]
}

// ahead counts the waiting requests that are served before a newcomer of the rank,
// and sums up their usual work, in nanoseconds.
func (q *rankedQueue) ahead(r rank) (n int, work float64) {
	for _, held := range q.ranks {
		if r.before(held.rank) {
			break
		}
		n += held.size
		work += held.work
	}
	return n, work
}

// work is the usual work of all that wait.
func (q *rankedQueue) work() float64 {
	work := 0.0
	for _, held := range q.ranks {
		work += held.work
	}
	return work
}

// each visits all waiting requests, rank by rank.
func (q *rankedQueue) each(visit func(*item)) {
	for _, r := range slices.Clone(q.ranks) {
		r.each(visit)
	}
}
