package overload

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulation models a process with a fraction of a processor that handles requests and
// timers in order of arrival.
type simulation struct {
	// speed is the fraction of a processor available.
	speed float64
	// serve and refuse are the processor time to serve and to refuse a request.
	serve, refuse time.Duration
	// timeout is the callers' timeout. A caller retries once: a third of the timeout after
	// a refusal, or when the timeout expires.
	timeout time.Duration
}

// event is the arrival of a request or the expiry of a timer.
type event struct {
	due      time.Duration
	timer    bool
	priority int
	retry    bool
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run returns the share of requests served within the timeout, by priority. It ignores
// requests of the first five seconds.
func (p simulation) run(perSecond float64, length time.Duration, shed bool) [3]float64 {
	const warmUp = 5 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	events := &eventQueue{{due: 20 * time.Millisecond, timer: true}}
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		*events = append(*events, event{due: at, priority: random.IntN(3)})
	}
	heap.Init(events)
	var s Shedder
	var asked, served [3]float64
	free := time.Duration(0)
	for events.Len() > 0 {
		e := heap.Pop(events).(event)
		start := max(free, e.due)
		if start > length {
			break
		}
		if e.timer {
			s.Observe(start, start-e.due)
			heap.Push(events, event{due: start + 20*time.Millisecond, timer: true})
			continue
		}
		counts := e.due > warmUp
		if counts && !e.retry {
			asked[e.priority]++
		}
		cost, retryAfter := p.serve, p.timeout
		if shed && !s.Admit(FromCaller, Rank{Priority: e.priority}) {
			cost, retryAfter = p.refuse, start-e.due+p.timeout/3
		}
		free = start + time.Duration(float64(cost)/p.speed)
		switch {
		case cost == p.serve && free-e.due <= p.timeout:
			if counts {
				served[e.priority]++
			}
		case !e.retry:
			heap.Push(events, event{due: e.due + retryAfter, priority: e.priority, retry: true})
		}
	}
	var shares [3]float64
	for i := range shares {
		shares[i] = served[i] / max(asked[i], 1)
	}
	return shares
}

// TestOverloadedProcessServesRequests guards against a process that answers no request in
// time when the load exceeds its processor time.
func TestOverloadedProcessServesRequests(t *testing.T) {
	p := simulation{speed: 0.05, serve: 400 * time.Microsecond, refuse: 60 * time.Microsecond, timeout: 500 * time.Millisecond}
	// The capacity is 125 requests per second and the load is 250. Each refused request is
	// retried once, so with a refused share x the process serves 250(1-x²) requests per
	// second at 0.4 ms each and refuses 250x(1+x) at 0.06 ms each. This fits into the
	// available 50 ms per second for x >= 0.86.
	const maxServed = 0.26
	without := p.run(250, 30*time.Second, false)
	with := p.run(250, 30*time.Second, true)
	t.Logf("served by priority: %.2f, without shedding %.2f", with, without)
	assert.Assert(t, mean(without) < 0.1*maxServed, "the load does not overload the process")
	assert.Assert(t, mean(with) > 0.6*maxServed)
	assert.Assert(t, with[0] > with[1] && with[1] >= with[2], "the served shares are not ordered by priority")
}

func mean(shares [3]float64) float64 { return (shares[0] + shares[1] + shares[2]) / 3 }

// TestNothingIsRefusedWithoutOverload guards against refusing requests when there is
// enough processor time.
func TestNothingIsRefusedWithoutOverload(t *testing.T) {
	p := simulation{speed: 0.05, serve: 400 * time.Microsecond, refuse: 60 * time.Microsecond, timeout: 500 * time.Millisecond}
	for _, share := range p.run(60, 30*time.Second, true) {
		assert.Assert(t, share > 0.99)
	}
}

// TestOtherNodesRequestsAreRefusedLast guards against refusing requests of other nodes
// while callers' requests can be refused, and requests with shorter aims while requests
// with longer ones can be refused.
func TestOtherNodesRequestsAreRefusedLast(t *testing.T) {
	var s Shedder
	now := time.Duration(0)
	refused := func(from Origin, rank Rank) (n int) {
		for range 100 {
			if !s.Admit(from, rank) {
				n++
			}
		}
		return n
	}
	overload := func(windows int) {
		for range windows {
			for _, aim := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
				refused(FromCaller, Rank{Priority: 1, Aim: aim})
			}
			refused(FromNode, Rank{Priority: 2})
			now += window
			s.Observe(now, 100*time.Millisecond)
		}
	}
	overload(4)
	assert.Assert(t, refused(FromCaller, Rank{Priority: 1, Aim: 400 * time.Millisecond}) > refused(FromCaller, Rank{Priority: 1, Aim: 100 * time.Millisecond}))
	assert.Equal(t, refused(FromNode, Rank{Priority: 2}), 0)
	overload(20)
	assert.Assert(t, refused(FromNode, Rank{Priority: 2}) > 0)
}
