package gate

// fairQueue holds waiting requests in one queue per caller and serves the
// callers in turn. In one common queue a caller that sends ten times its share
// makes every other caller wait behind its requests.
type fairQueue struct {
	callers map[string]*callerQueue
	// turn is the ring of callers that have requests waiting.
	turn *callerQueue
	size int
}

type callerQueue struct {
	name       string
	head, tail *item
	length     int
	prev, next *callerQueue
}

func newFairQueue() fairQueue { return fairQueue{callers: map[string]*callerQueue{}} }

func (q *fairQueue) push(it *item) {
	c := q.callers[it.Caller]
	if c == nil {
		c = &callerQueue{name: it.Caller}
		q.callers[it.Caller] = c
		q.link(c)
	}
	it.queue = c
	it.prev, it.next = c.tail, nil
	if c.tail != nil {
		c.tail.next = it
	} else {
		c.head = it
	}
	c.tail = it
	c.length++
	q.size++
}

// link puts a caller at the end of the ring, behind all that wait.
func (q *fairQueue) link(c *callerQueue) {
	if q.turn == nil {
		c.prev, c.next = c, c
		q.turn = c
		return
	}
	c.next, c.prev = q.turn, q.turn.prev
	q.turn.prev.next = c
	q.turn.prev = c
}

func (q *fairQueue) unlink(c *callerQueue) {
	delete(q.callers, c.name)
	if c.next == c {
		q.turn = nil
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	if q.turn == c {
		q.turn = c.next
	}
}

// remove takes a waiting request out, wherever it stands.
func (q *fairQueue) remove(it *item) {
	c := it.queue
	if c == nil {
		return
	}
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		c.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		c.tail = it.prev
	}
	it.queue, it.prev, it.next = nil, nil, nil
	c.length--
	q.size--
	if c.length == 0 {
		q.unlink(c)
	}
}

// pop takes the next request out: the oldest of the caller whose turn it is.
func (q *fairQueue) pop() *item {
	c := q.turn
	if c == nil {
		return nil
	}
	it := c.head
	q.turn = c.next
	q.remove(it)
	return it
}

// longest returns the caller with the most requests waiting.
func (q *fairQueue) longest() *callerQueue {
	var best *callerQueue
	c := q.turn
	for range len(q.callers) {
		if best == nil || c.length > best.length {
			best = c
		}
		c = c.next
	}
	return best
}

// of counts the requests of one caller.
func (q *fairQueue) of(caller string) int {
	if c := q.callers[caller]; c != nil {
		return c.length
	}
	return 0
}

// each visits all waiting requests, caller by caller.
func (q *fairQueue) each(visit func(*item)) {
	c := q.turn
	for range len(q.callers) {
		next := c.next
		for it := c.head; it != nil; {
			following := it.next
			visit(it)
			it = following
		}
		c = next
	}
}
