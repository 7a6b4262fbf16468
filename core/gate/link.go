package gate

import (
	"slices"
	"time"

	"cactuspath/core/link"
	"cactuspath/core/mechanism"
)

// The link of the gate's host. Large responses, such as downloads, share its bandwidth:
// while it is full, a request with a large response is late even if a slot is free.
// Short responses do not wait behind large ones (the driver paces the large ones), so
// requests with short responses ignore the link.

const (
	// linkMargin is how many times its expected duration a request must have left
	// before its aim or its deadline. Response sizes vary, and short responses take part
	// of the bandwidth: without a margin, half of the requests accepted on a link that
	// stays full would be late. With 1.1, 4 % of the requests of the deployment in
	// linksim_test.go are late during a burst, with 1.25 2 %, with 1.5 1 %.
	linkMargin = 1.5
	// transferCostPerKB is how much sooner a sibling in another data centre must finish
	// a request for each KB of its response. It is the same price as that of a body:
	// crossDataCenterUploadCost is for 60 KB.
	transferCostPerKB = crossDataCenterUploadCost / 60
	bytesPerKB        = 1000
	// A change of the link's wait by linkChangeRatio and by at least minLinkChange is
	// reported to siblings. Smaller changes do not decide whether a request meets its
	// aim.
	linkChangeRatio = 1.5
	minLinkChange   = 50 * time.Millisecond
	// linkReportInterval is the minimum time between a report and one that only reports
	// a change of the link's wait. A link takes longer to fill. Reported at once, each
	// download would cause reports: 24 per second and gate instead of 13, which moved
	// downloads no better.
	linkReportInterval = 300 * time.Millisecond
)

// linkState is the work of the host's link.
type linkState struct {
	// backlog is how long the link needed, at observedAt, for the large responses that
	// it has begun to send.
	backlog    time.Duration
	observedAt time.Duration
	// expected is the sum of the mean response sizes, in bytes, of the requests that
	// run or wait here, whose class has large responses and whose response has not
	// begun.
	expected int64
}

// remaining is how much of the backlog is left.
func (l *linkState) remaining(now time.Duration) time.Duration {
	return max(0, l.backlog-max(0, now-l.observedAt))
}

// expect counts the response of a request as future work of the link.
func (l *linkState) expect(it *item) {
	if it.hasLargeResponse() {
		it.expectedBytes = it.responseBytes
		l.expected += it.expectedBytes
	}
}

// forget ends what expect began. It does nothing for a request that is not counted.
func (l *linkState) forget(it *item) {
	l.expected -= it.expectedBytes
	it.expectedBytes = 0
}

// hasLargeResponse reports whether the request is decided by the link: the mean response of
// its class is paced. It is false for a nil item.
func (it *item) hasLargeResponse() bool {
	return it != nil && it.responseBytes >= link.LargeBytes
}

// linkEnabled reports whether the gate takes the host's link into account.
func (g *Gate) linkEnabled() bool {
	return g.config.LinkBytesPerSecond > 0 && !g.disabled(mechanism.Link)
}

// ObserveLink records how long the host's link needs for the rest of the large responses
// that it is sending.
func (g *Gate) ObserveLink(now, backlog time.Duration) {
	if g.linkEnabled() {
		g.link.backlog, g.link.observedAt = backlog, now
	}
}

// ObserveResponse records the size of the response of a running request, when its head is
// known or, if that has no size, at its end. A response of unknown size, which is negative,
// is not learned from, but the driver's backlog includes it from its head on.
func (g *Gate) ObserveResponse(now time.Duration, h Handle, bytes int64) {
	it := g.items[h]
	if !g.linkEnabled() || it == nil || it.state != stateRunning || it.NoBody {
		return
	}
	g.link.forget(it)
	it.responded = true
	if bytes < 0 {
		return
	}
	if bytes >= link.LargeBytes {
		// The next backlog that the driver observes includes the response.
		g.link.backlog, g.link.observedAt = g.link.remaining(now)+g.linkTime(bytes), now
	}
	c := g.speed.class(it.Class)
	if c == nil {
		return
	}
	c.responseSize.add(float64(bytes))
	if c.responseSize.seen == minClassSamples {
		g.expectClass(it.Request)
	}
}

// expectClass counts the responses of the running and waiting requests of the given
// request's class, whose size has just become known.
func (g *Gate) expectClass(r Request) {
	size := g.meanResponse(r)
	for _, it := range g.items {
		if it.Class == r.Class && !it.responded && !it.NoBody {
			g.link.forget(it)
			it.responseBytes = size
			g.link.expect(it)
		}
	}
}

// meanResponse is the mean response size of a request's class in bytes; 0 if it is not
// known or not used.
func (g *Gate) meanResponse(r Request) int64 {
	if !g.linkEnabled() || r.NoBody {
		return 0
	}
	if c := g.speed.classes[r.Class]; c != nil && c.responseSize.seen >= minClassSamples {
		return int64(c.responseSize.value)
	}
	return g.speed.seededResponse(r.Class)
}

// linkTime is how long the link needs for bytes of large responses.
func (g *Gate) linkTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / (link.LargeShare * g.config.LinkBytesPerSecond) * float64(time.Second))
}

// linkWait is how long the link needs for the large responses that are under way or
// expected, without that of the given request, which may be nil. Of a request that waits
// here, only those count that are served before it: requests that arrive later and rank
// lower must not make one late that was accepted.
func (g *Gate) linkWait(now time.Duration, it *item) time.Duration {
	if !g.linkEnabled() {
		return 0
	}
	expected := g.link.expected
	if it != nil {
		expected -= it.expectedBytes + g.expectedAfter(it)
	}
	return g.link.remaining(now) + g.linkTime(expected)
}

// expectedAfter is how many bytes are expected of the requests that are served after a
// waiting request; 0 for one that arrives. A request that has left the queue is served
// before all that are in it.
func (g *Gate) expectedAfter(it *item) int64 {
	if it.state != stateWaiting || g.items[it.Handle] != it {
		return 0
	}
	after := int64(0)
	for _, r := range g.queue.ranks {
		r.each(func(other *item) {
			if it.byCaller == nil || it.rank.before(r.rank) || it.rank == r.rank && it.Handle < other.Handle {
				after += other.expectedBytes
			}
		})
	}
	return after
}

// finishOnLink is when the host's link has sent the response of a request that the server
// finishes after the given time.
func (g *Gate) finishOnLink(now time.Duration, it *item, server time.Duration) time.Duration {
	if !g.linkEnabled() || !it.hasLargeResponse() {
		return server
	}
	return max(server, g.linkWait(now, it)) + g.linkTime(it.responseBytes)
}

// finishOnLinkOf is finishOnLink for a sibling's host, whose link is assumed to have the
// same bandwidth. What this gate has moved there since the report counts once and not
// herdFactor times: reports arrive several times while a link fills up, and only gates
// whose own link is full move downloads. docs/design/link-aware-gates.md has the figures.
func (g *Gate) finishOnLinkOf(sib *sibling, it *item, server time.Duration) time.Duration {
	if !g.linkEnabled() || !it.hasLargeResponse() {
		return server
	}
	moved := int64(0)
	for _, m := range sib.unreportedMoves {
		moved += m.bytes
	}
	return max(server, sib.report.Load.LinkWait+g.linkTime(moved)) + g.linkTime(it.responseBytes)
}

// punctuality is how well a request with a large response meets its times; a lower value
// is better.
type punctuality int

const (
	// inTime: it meets its aim, with linkMargin.
	inTime punctuality = iota
	// late: it misses its aim or has none, and meets its deadline.
	late
	// tooLate: it misses its deadline, or the link has a longer queue than it should.
	tooLate
)

// punctualityOf returns the punctuality of a request that is expected to take the given
// time. Without an aim, or for a request that has missed it, the request is not in time.
func (g *Gate) punctualityOf(now time.Duration, it *item, took time.Duration) punctuality {
	switch {
	case !it.hasLargeResponse():
		return inTime
	case took > g.longestOnLink(now, it):
		return tooLate
	case it.AimAt > 0 && !g.disabled(mechanism.Aims) && now+withLinkMargin(took) <= it.AimAt:
		return inTime
	}
	return late
}

// longestOnLink is how long a request with a large response may be expected to take: until
// its deadline, and no longer than its aim even if the deadline is later. A link sends as
// much with a short queue as with a long one, but a queue up to the deadline makes all
// responses late: in a burst of 1.7 times what all links can send for seven seconds, .58 of
// the requests met their aim with it and .69 with a queue up to the aim, and as many were
// refused. One response may always be ahead: otherwise, a class whose mean response takes
// longer than its time limit would be refused for a backlog of a millisecond.
func (g *Gate) longestOnLink(now time.Duration, it *item) time.Duration {
	longest := time.Duration(float64(it.Deadline-now) / linkMargin)
	if it.Aim > 0 && !g.disabled(mechanism.Aims) {
		longest = min(longest, it.Aim)
	}
	return max(longest, 2*g.linkTime(it.responseBytes))
}

// worthMoving reports whether a request should move to the fastest sibling, which is
// expected to finish it after the time there; cost is the part of there that is the price
// of the transfer and not time. A request with a large response stays as long as it meets
// its aim here, however full the link is: moving it would only shift the load. One that this
// link makes too late does not move to a sibling where it is too late as well: it would be
// refused there, after a move.
func (g *Gate) worthMoving(now time.Duration, it *item, there, cost time.Duration, gain float64) bool {
	here := g.estimateFinish(now, it)
	if !it.hasLargeResponse() {
		return float64(there)*gain <= float64(here)
	}
	atHere, atThere := g.punctualityOf(now, it, here), g.punctualityOf(now, it, there-cost)
	switch {
	case atHere == inTime:
		onIdleLink := g.estimateServerFinish(now, it) + g.linkTime(it.responseBytes)
		return float64(there)*gain <= float64(onIdleLink)
	case atHere == tooLate && atThere < atHere:
		return true
	case atThere < atHere:
		return there < here
	case atThere == tooLate && g.linkTooLate(now, it):
		return false
	}
	return float64(there)*gain <= float64(here)
}

// refuseForLink refuses a request with a large response for which the link makes it too
// late, and reports whether it did. The caller has tried to move the request.
func (g *Gate) refuseForLink(now time.Duration, it *item) bool {
	if !g.linkTooLate(now, it) {
		return false
	}
	g.emitLinkRefusal(now, it)
	return true
}

// emitLinkRefusal refuses a request that the link makes too late.
func (g *Gate) emitLinkRefusal(now time.Duration, it *item) {
	best, there := g.fastestSibling(now, it)
	g.emit(Event{Kind: Refused, Handle: it.Handle, Reason: TooLate, RetryAfter: g.linkRetryAfter(now, it, best, there), SiblingsFull: g.lateEverywhere(now, it, best, there)})
}

// linkTooLate reports whether the link alone makes a request too late. An idle link never
// does (see longestOnLink): if the bandwidth in the settings is too low, or the time limit is
// too short for the mean response, all requests of the class would be refused.
func (g *Gate) linkTooLate(now time.Duration, it *item) bool {
	return it.hasLargeResponse() && g.finishOnLink(now, it, 0) > g.longestOnLink(now, it)
}

func withLinkMargin(took time.Duration) time.Duration {
	return time.Duration(linkMargin * float64(took))
}

// lateEverywhere reports whether none of the known siblings, of which best finishes a
// request first, can take it, so that an attempt at one of them is pointless.
func (g *Gate) lateEverywhere(now time.Duration, it *item, best *sibling, there time.Duration) bool {
	if g.disabled(mechanism.SiblingsFull) {
		return false
	}
	if best != nil {
		return g.punctualityOf(now, it, there-g.siblings.transferCost(best, it)) == tooLate
	}
	return slices.ContainsFunc(g.siblings.list, func(sib *sibling) bool { return sib.fresh(now) })
}

// linkRetryAfter is how long the caller of a refused request should wait: until this link
// or that of the best sibling has sent so much that a new request of the class would meet
// its aim or, without an aim, its deadline. It is at most until this link is idle, which
// refuses nothing.
func (g *Gate) linkRetryAfter(now time.Duration, it *item, best *sibling, there time.Duration) time.Duration {
	took := g.finishOnLink(now, it, 0)
	if best != nil {
		took = min(took, there)
	}
	allowed := it.Deadline - now
	if it.Aim > 0 {
		allowed = min(allowed, time.Duration(float64(it.Aim)/linkMargin))
	}
	return min(max(min(took-allowed, g.linkWait(now, it)), shortestRetryAfter), longestRetryAfter)
}

// linkDiffersFrom reports whether the link's wait has changed enough to be reported.
func (l Load) linkDiffersFrom(from Load) bool {
	low, high := min(l.LinkWait, from.LinkWait), max(l.LinkWait, from.LinkWait)
	return high-low >= minLinkChange && float64(high) >= linkChangeRatio*float64(low)
}

// dropTooLate ends a waiting request that cannot meet its deadline here. If the link makes
// it too late, it moves to a sibling that can take it, unless its deadline has passed.
func (g *Gate) dropTooLate(now time.Duration, it *item) {
	if !g.linkTooLate(now, it) {
		g.drop(it, TooLate, g.retryAfter(now))
		return
	}
	if now < it.Deadline && g.tryMove(now, it, g.waitingMoveGain(now)) {
		return
	}
	g.removeItem(it)
	g.emitLinkRefusal(now, it)
}
