package usage

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cactuspath/core/mechanism"
)

// fleet runs Spenders and Keepers of many nodes in virtual time, with a network that delays
// and loses messages.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	nodes   []*modelNode
	caps    map[string]Cap
	members []Member
	// loss is the share of messages that are lost.
	loss float64
	// answerDelay is how much longer the messages with grants take than the others.
	answerDelay time.Duration
	// without holds the mechanisms that are disabled at all nodes.
	without mechanism.Set
	// refused counts the requests that were refused by reason.
	refused map[string]int
	// cut reports whether messages between two hosts are lost.
	cut      func(from, to string) bool
	messages int
	// admitted and reports hold the times of admitted requests by account.
	admitted map[string][]time.Duration
}

type modelNode struct {
	f           *fleet
	host        string
	dataCenter  string
	incarnation uint64
	down        bool
	spender     *Spender
	keeper      *Keeper
	flushAt     time.Duration
	// stalledTill is until when the process neither runs timers nor reads messages.
	stalledTill time.Duration
	// linkDelay is how long messages of this host wait for its link.
	linkDelay time.Duration
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue struct {
	list []event
	seq  int
}

func (q *eventQueue) Len() int      { return len(q.list) }
func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Less(i, j int) bool {
	return q.list[i].at < q.list[j].at || q.list[i].at == q.list[j].at && q.list[i].seq < q.list[j].seq
}

func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

const testSlack = 20

var testTolerance = Tolerance{Slack: testSlack, Overage: 0.1}

func newFleet(seed uint64, nodesPerDataCenter []int, caps map[string]Cap) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), caps: caps, admitted: map[string][]time.Duration{}, refused: map[string]int{}, cut: func(string, string) bool { return false }}
	for dc, n := range nodesPerDataCenter {
		for i := range n {
			f.members = append(f.members, Member{Host: fmt.Sprintf("dc%d-%d", dc, i), DataCenter: fmt.Sprintf("dc%d", dc)})
		}
	}
	for _, m := range f.members {
		n := &modelNode{f: f, host: m.Host, dataCenter: m.DataCenter}
		n.startAt(-leadTime)
		f.nodes = append(f.nodes, n)
	}
	return f
}

// leadTime is how long before the first requests the nodes have started.
const leadTime = 10 * time.Second

// start begins a process of the node, which knows nothing of an earlier one.
func (n *modelNode) start() { n.startAt(n.f.now) }

func (n *modelNode) startAt(now time.Duration) {
	n.incarnation++
	n.down, n.flushAt = false, 0
	n.spender = NewSpender(n.dataCenter, testTolerance)
	n.keeper = NewKeeper(n.host, n.dataCenter, testTolerance, now)
	n.spender.SetDisabled(n.f.without)
	n.keeper.SetDisabled(n.f.without)
	n.spender.SetCaps(n.f.caps)
	n.keeper.SetCaps(n.f.caps)
	n.spender.SetMembers(n.f.members)
	n.keeper.SetMembers(now, n.f.members)
}

// disable disables mechanisms at all nodes.
func (f *fleet) disable(off mechanism.Set) {
	f.without = off
	for _, n := range f.nodes {
		n.spender.SetDisabled(off)
		n.keeper.SetDisabled(off)
	}
}

// setMembers changes the members that a node knows.
func (n *modelNode) setMembers(members []Member) {
	n.spender.SetMembers(members)
	n.keeper.SetMembers(n.f.now, members)
}

func (f *fleet) setCaps(caps map[string]Cap) {
	f.caps = caps
	for _, n := range f.nodes {
		n.spender.SetCaps(caps)
		n.keeper.SetCaps(caps)
	}
}

func (f *fleet) at(t time.Duration, run func()) {
	f.events.seq++
	heap.Push(&f.events, event{t, f.events.seq, run})
}

// arrive schedules the arrival of a request at a node. A stalled process reads it later.
func (f *fleet) arrive(t time.Duration, node int, run func(now time.Duration)) {
	f.at(t, func() {
		if node >= len(f.nodes) {
			run(f.now)
			return
		}
		f.nodes[node].whenRunning(func() { run(f.now) })
	})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.events.list) > 0 && f.events.list[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// request sends a request of an account to a node and reports whether it was admitted.
func (f *fleet) request(n *modelNode, account string) bool { return f.decide(n, account).Admitted }

// decide sends a request of an account to a node and returns the node's decision.
func (f *fleet) decide(n *modelNode, account string) Decision {
	if n.down {
		return Decision{}
	}
	d := n.spender.Admit(f.now, account)
	if d.Admitted {
		f.admitted[account] = append(f.admitted[account], f.now)
	} else {
		f.refused[d.Reason]++
	}
	n.flush()
	return d
}

func (n *modelNode) flush() {
	out, next, ok := n.spender.Flush(n.f.now)
	n.f.send(n, out)
	if ok && (n.flushAt <= n.f.now || next < n.flushAt) {
		n.flushAt = next
		incarnation := n.incarnation
		n.f.at(next, func() {
			if n.incarnation == incarnation && !n.down {
				n.whenRunning(n.flush)
			}
		})
	}
}

// whenRunning calls run once the process is not stalled.
func (n *modelNode) whenRunning(run func()) {
	if n.f.now < n.stalledTill {
		n.f.at(n.stalledTill, run)
		return
	}
	run()
}

func (f *fleet) send(from *modelNode, out []Envelope) {
	incarnation := from.incarnation
	for _, e := range out {
		f.messages++
		e.truncateTimes()
		if e.To != from.host && (f.random.Float64() < f.loss || f.cut(from.host, e.To)) {
			continue
		}
		delay := 2*time.Millisecond + time.Duration(f.random.ExpFloat64()*float64(3*time.Millisecond))
		if e.To == from.host {
			delay = 0
		}
		if len(e.Grants) > 0 && e.To != from.host {
			delay += f.answerDelay
		}
		if e.To != from.host {
			delay += from.linkDelay
		}
		f.at(f.now+delay, func() { f.deliver(from.host, incarnation, e) })
	}
}

// truncateTimes cuts off what the messages between nodes do not carry: they hold times in whole
// microseconds.
func (e Envelope) truncateTimes() {
	for i := range e.Reports {
		e.Reports[i].SentAt = e.Reports[i].SentAt.Truncate(time.Microsecond)
	}
	for i := range e.Grants {
		e.Grants[i].SentAt = e.Grants[i].SentAt.Truncate(time.Microsecond)
	}
}

func (f *fleet) deliver(from string, incarnation uint64, e Envelope) {
	for _, n := range f.nodes {
		if n.host == e.To && !n.down {
			n.whenRunning(func() { n.receive(from, incarnation, e) })
		}
	}
}

func (n *modelNode) receive(from string, incarnation uint64, e Envelope) {
	f := n.f
	for _, r := range e.Reports {
		f.send(n, n.keeper.HandleReport(f.now, from, incarnation, r))
	}
	for _, t := range e.Transfers {
		f.send(n, n.keeper.HandleTransfer(f.now, from, t))
	}
	for _, g := range e.Grants {
		if g.Notice || g.Receiver == n.incarnation {
			n.spender.HandleGrant(f.now, from, g)
		}
	}
	n.flush()
}

// maxWindow returns the largest number of admitted requests in any window of the length.
func maxWindow(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed is the number of requests that may run in a window.
func allowed(c Cap, window time.Duration) float64 {
	return (c.PerSecond*window.Seconds()+c.Burst)*1.1 + testSlack
}

// centralBucket is the exact cap, decided in one place.
type centralBucket struct {
	cap   Cap
	level float64
	at    time.Duration
}

func (b *centralBucket) take(now time.Duration) bool {
	b.level = math.Min(b.cap.Burst, b.level+(now-b.at).Seconds()*b.cap.PerSecond)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// shareBuckets is the simplest design: each node has an even share of the cap.
type shareBuckets []centralBucket

func newShareBuckets(c Cap, n int) shareBuckets {
	buckets := make(shareBuckets, n)
	for i := range buckets {
		share := Cap{c.PerSecond / float64(n), math.Max(1, (c.Burst+testSlack/2)/float64(n))}
		buckets[i] = centralBucket{cap: share, level: share.Burst}
	}
	return buckets
}
