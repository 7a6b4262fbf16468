package gate

// fairQueue holds one queue of waiting requests per caller and serves the callers
// round-robin. In a single queue, a caller that sends ten times its share would make
// every other caller wait behind its requests.
type fairQueue struct {
	callers map[string]*callerQueue
	// nextCaller is the head of the ring of callers with waiting requests.
	nextCaller *callerQueue
	size       int
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
	it.byCaller = c
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

// link appends a caller to the end of the ring.
func (q *fairQueue) link(c *callerQueue) {
	if q.nextCaller == nil {
		c.prev, c.next = c, c
		q.nextCaller = c
		return
	}
	c.next, c.prev = q.nextCaller, q.nextCaller.prev
	q.nextCaller.prev.next = c
	q.nextCaller.prev = c
}

func (q *fairQueue) unlink(c *callerQueue) {
	delete(q.callers, c.name)
	if c.next == c {
		q.nextCaller = nil
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
	if q.nextCaller == c {
		q.nextCaller = c.next
	}
}

// remove removes a waiting request at any position.
func (q *fairQueue) remove(it *item) {
	c := it.byCaller
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
	it.byCaller, it.prev, it.next = nil, nil, nil
	c.length--
	q.size--
	if c.length == 0 {
		q.unlink(c)
	}
}

// pop removes and returns the next request: the oldest of the next caller.
func (q *fairQueue) pop() *item {
	c := q.nextCaller
	if c == nil {
		return nil
	}
	it := c.head
	q.nextCaller = c.next
	q.remove(it)
	return it
}

// longest returns the caller with the most waiting requests.
func (q *fairQueue) longest() *callerQueue {
	var best *callerQueue
	c := q.nextCaller
	for range len(q.callers) {
		if best == nil || c.length > best.length {
			best = c
		}
		c = c.next
	}
	return best
}

// lengthOf is the number of waiting requests of one caller.
func (q *fairQueue) lengthOf(caller string) int {
	if c := q.callers[caller]; c != nil {
		return c.length
	}
	return 0
}

// each visits all waiting requests, grouped by caller.
func (q *fairQueue) each(visit func(*item)) {
	c := q.nextCaller
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
