package gate

import (
	"slices"
	"time"
)

// rank orders waiting requests: first those that can still meet their aim, then by the
// operator's priority, then by the shortest aim. Calls that backend servers make while
// they run a request have the shortest aims, so they precede new requests: refusing or
// delaying such a call wastes the slot held by its parent request.
type rank struct {
	late     bool
	priority int
	aim      time.Duration
}

// before reports whether a is served before b.
func (a rank) before(b rank) bool {
	switch {
	case a.late != b.late:
		return b.late
	case a.priority != b.priority:
		return a.priority < b.priority
	}
	return a.aim < b.aim
}

// rankedQueue holds one fair queue per rank. The number of ranks is at most twice the
// number of different priorities and aims of the service's routes.
type rankedQueue struct {
	ranks []*rankQueue
	size  int
	// late counts the waiting requests that are expected to miss their aim.
	late int
}

type rankQueue struct {
	rank rank
	// work is the sum of the mean demands of the waiting requests, in nanoseconds.
	work float64
	fairQueue
}

func (q *rankedQueue) queueFor(r rank) *rankQueue {
	i, found := slices.BinarySearchFunc(q.ranks, r, func(entry *rankQueue, r rank) int {
		switch {
		case entry.rank == r:
			return 0
		case entry.rank.before(r):
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
	it.byRank = q.queueFor(it.rank)
	it.byRank.push(it)
	q.adjustTotals(it, 1)
}

func (q *rankedQueue) adjustTotals(it *item, by int) {
	q.size += by
	it.byRank.work += float64(by) * it.work
	if it.rank.late {
		q.late += by
	}
}

// remove removes a waiting request; it does nothing if the request is not queued.
func (q *rankedQueue) remove(it *item) {
	if it.byCaller == nil {
		return
	}
	it.byRank.remove(it)
	q.adjustTotals(it, -1)
	q.prune(it.byRank)
}

// prune removes an empty rank, so that ranks of deleted routes do not accumulate.
func (q *rankedQueue) prune(r *rankQueue) {
	if r.size == 0 {
		q.ranks = slices.DeleteFunc(q.ranks, func(entry *rankQueue) bool { return entry == r })
	}
}

// first is the request that pop returns next; the queue must not be empty.
func (q *rankedQueue) first() *item { return q.ranks[0].nextCaller.head }

// take removes a waiting request that is about to run. If it is the first one, the turn
// passes to the next caller.
func (q *rankedQueue) take(it *item) {
	if it == q.first() {
		q.pop()
		return
	}
	q.remove(it)
}

// pop removes and returns the next request.
func (q *rankedQueue) pop() *item {
	first := q.ranks[0]
	it := first.pop()
	q.adjustTotals(it, -1)
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

// ahead returns the number of waiting requests that are served before a new request of
// the given rank, and the sum of their mean demands in nanoseconds.
func (q *rankedQueue) ahead(r rank) (n int, work float64) {
	for _, entry := range q.ranks {
		if r.before(entry.rank) {
			break
		}
		n += entry.size
		work += entry.work
	}
	return n, work
}

// work is the sum of the mean demands of all waiting requests.
func (q *rankedQueue) work() float64 {
	work := 0.0
	for _, entry := range q.ranks {
		work += entry.work
	}
	return work
}

// each visits all waiting requests in the order of their ranks.
func (q *rankedQueue) each(visit func(*item)) {
	for _, r := range slices.Clone(q.ranks) {
		r.each(visit)
	}
}
