package usage

import (
	"math"
	"time"

	"cactuspath/core/mechanism"
)

// This file holds what nodes and keepers do with leases: tokens that an open keeper gives a
// node ahead of its requests. Leased tokens are deducted from the keeper's level at once.

const (
	// maxReplyTimeout bounds how long a node waits for a keeper whose replies are slow until
	// it reports again.
	maxReplyTimeout = 200 * time.Millisecond
	// ownDelay is the delay of this node's own timers from which the time that passed does
	// not count against keepers.
	ownDelay = 20 * time.Millisecond
	// probeInterval is the time between two reports to keepers while none answers.
	probeInterval = 200 * time.Millisecond
	// minSilentReports is the number of reports without a reply after which a keeper may be
	// taken to be silent. One lost datagram must not suffice.
	minSilentReports = 3
	// busyShare is the number of requests per node within maxReplyTimeout from which an account
	// counts as large. It is the share of a node if the account sends at its cap, evenly spread
	// over the nodes.
	busyShare = 0.2
	// slowRoundTrip is the time to a keeper and back from which its replies are slow: two
	// reports are then under way at a time.
	slowRoundTrip = 2 * reportInterval
	// leasedOpenLifetime is how long a node that takes leases believes that its keeper is
	// open: one window of the tolerance. Keepers notify nodes of the end.
	leasedOpenLifetime = creditWindow
	// leasedClosedLifetime is how long it believes that its keeper is short of tokens. With
	// 1 s, nodes that lose all replies admitted on credit again and again in one window; with
	// 5 s, a lost notice makes a node refuse requests below the cap.
	leasedClosedLifetime = 2 * time.Second
	// creditRetry is when a request that was refused for lack of credit should come back: a
	// reply usually arrives within it.
	creditRetry = 50 * time.Millisecond

	// rateTime is the time constant of a node's measured rate. Most nodes send less than one
	// request a second of most accounts.
	rateTime = 2 * time.Second
	// recentTime is how recently a node must have reported to share in the leases.
	recentTime = 2 * time.Second
	// leaseShare is the share of a portion's level that may be leased in one round.
	leaseShare = 0.25
	// refusedTime is the time over which refused requests are counted for their Retry-After.
	refusedTime = 500 * time.Millisecond
	// maxWait is the longest wait that a keeper announces: within a second the account may
	// send less or get tokens of other keepers.
	maxWait = time.Second
)

// leaseState is what a node that takes leases knows of a keeper in addition: the tokens that it
// holds, and when the keeper replied.
type leaseState struct {
	// size is the number of tokens left when the keeper last gave some.
	size uint64
	// covered is the value of spent up to which requests were admitted with granted tokens. It
	// never exceeds spent: refunds lower both.
	covered uint64
	// reportedSpent is the value of spent in the last report.
	reportedSpent uint64
	// answered is the SentAt of the newest report that was answered.
	answered time.Duration
	// roundTrip is the smoothed time from a report to its reply.
	roundTrip time.Duration
	// unanswered is the number of reports since the last reply.
	unanswered int
	// delayAllowed means that this node's own delay was deducted from this silence.
	delayAllowed bool
	// silent means that the keeper is not used until it answers.
	silent bool
	// probe asks for a report although there is nothing to report.
	probe bool
}

// admitLeased decides on a request at a node that takes leases. It asks the keepers in order
// of preference. A keeper whose reply is late is passed over if the next one is known to be
// open, and is asked at the same time if not.
func (s *Spender) admitLeased(now time.Duration, account string, a *spending, limit Cap) Decision {
	s.dirty[account] = a
	if d, ok := a.spendLease(now); ok {
		return d
	}
	first, refusal := uint64(firstCredit), Decision{}
	for i, keeper := range a.keepers {
		c := a.chargeOf(keeper)
		if c.silent {
			first -= min(first, c.onCredit())
			if now < c.closedTill {
				// The other keepers are probably short of tokens too.
				first = 0
			}
			c.probe = c.probe || now >= c.silentTill
			continue
		}
		if refusal.Reason != "" && now >= c.openTill {
			c.askIfIdle(now)
			break
		}
		credit := s.credit(limit)
		if refusal.Reason != "" && !s.isLarge(limit) {
			credit = 0
		}
		d := c.admitOnCredit(now, keeper, first, credit)
		if c.onCredit() >= s.probeCredit(limit) {
			a.probeNext(now, i+1)
		}
		if d.Admitted || d.Reason == ReasonClosed {
			return d
		}
		if refusal.Reason == "" {
			refusal = d
		}
	}
	if refusal.Reason != "" {
		return refusal
	}
	for _, keeper := range a.keepers {
		c := a.charges[keeper]
		c.probe = c.probe || now >= c.reportedAt+probeInterval
	}
	d := a.admitIsolated(now, s.isolatedShare(limit))
	d.RetryAfter = min(d.RetryAfter, probeInterval)
	return d
}

// probeCredit returns the number of requests on credit from which the next keeper is asked.
// At a large account a node is likely to have more requests before a slow reply comes.
func (s *Spender) probeCredit(limit Cap) uint64 {
	if s.roundTrip >= slowRoundTrip && s.isLarge(limit) {
		return 1
	}
	return 2
}

// isLarge reports whether a node is likely to have several requests of an account while it
// waits for a reply. At a smaller account, the credit at a second keeper would let all nodes
// together exceed the cap.
func (s *Spender) isLarge(limit Cap) bool {
	return limit.PerSecond*maxReplyTimeout.Seconds() >= busyShare*float64(len(s.members))
}

// probeNext asks the next keeper for a reply unless it is known to be open, so that it can
// be charged at once when the credit at the keepers before it is used up.
func (a *spending) probeNext(now time.Duration, from int) {
	for _, keeper := range a.keepers[min(from, len(a.keepers)):] {
		if c := a.chargeOf(keeper); !c.silent {
			if now >= max(c.openTill, c.closedTill) {
				c.askIfIdle(now)
			}
			return
		}
	}
}

// askIfIdle asks the keeper for a reply unless one to an earlier report may still come.
func (c *charge) askIfIdle(now time.Duration) {
	c.probe = c.probe || !c.awaitsReply || now >= c.reportedAt+c.replyTimeout()
}

// spendLease admits a request with a token of a lease or a grant, also of a silent keeper.
func (a *spending) spendLease(now time.Duration) (Decision, bool) {
	for _, keeper := range a.keepers {
		c := a.charges[keeper]
		if c == nil || c.spent >= c.limit || now >= c.limitTill {
			continue
		}
		c.spent++
		c.covered = c.spent
		reason := ReasonLease
		if now < c.closedTill {
			reason = ReasonGranted
		}
		return Decision{Admitted: true, Keeper: keeper, Reason: reason}, true
	}
	return Decision{}, false
}

// onCredit returns the number of requests that were admitted on credit and not acknowledged.
func (c *charge) onCredit() uint64 {
	return uint64(max(0, int64(c.spent-max(c.acknowledged, c.covered))))
}

// admitOnCredit decides on a request for which there is no granted token.
func (c *charge) admitOnCredit(now time.Duration, keeper string, first, credit uint64) Decision {
	if now < c.closedTill {
		c.refused++
		return Decision{Keeper: keeper, RetryAfter: max(minWait, c.wait), Reason: ReasonClosed}
	}
	if now >= c.openTill {
		credit = first
	}
	if c.onCredit() >= credit {
		c.refused++
		return Decision{Keeper: keeper, RetryAfter: creditRetry, Reason: ReasonNoCredit}
	}
	c.spent++
	return Decision{Admitted: true, Keeper: keeper, Reason: ReasonCredit}
}

// allowForDelay deducts this node's own delay from the time that keepers have been silent. A
// node that was frozen or short of processor time has not read the replies that lie in its
// socket, and would otherwise take all keepers to be silent at the same moment. It gets
// replyTimeout to read them, once in a silence: a node that is late again and again would never
// turn to the next keeper.
func (s *Spender) allowForDelay(now time.Duration) {
	delay := now - s.flushAt
	if !s.takesLeases() || s.flushAt == 0 || delay < ownDelay {
		return
	}
	for _, a := range s.dirty {
		for _, c := range a.charges {
			c.allowForDelay(now, delay+replyTimeout)
		}
	}
}

func (c *charge) allowForDelay(now, allowance time.Duration) {
	if !c.awaitsReply || c.delayAllowed {
		return
	}
	c.unansweredSince, c.delayAllowed = min(now, c.unansweredSince+allowance), true
}

func (c *charge) pendingLeased() bool {
	return c.probe || !c.silent && c.pending()
}

// dueLeased returns when the next report of a node that takes leases is due. A report need
// not wait for the reply to the one before. A lease is renewed when half of its tokens are
// spent, or when half of its lifetime has passed.
func (c *charge) dueLeased(now time.Duration) time.Duration {
	repeat := c.reportedAt + c.replyTimeout()
	switch {
	case !c.reported || c.probe:
		return now
	case c.awaitsReply && c.spent == c.reportedSpent && c.refused == 0:
		return repeat
	case now < c.closedTill:
		return c.reportedAt + closedReportInterval
	}
	due := c.reportedAt + reportInterval
	if c.refused == 0 && now < c.limitTill && 2*(c.limit-min(c.limit, c.spent)) > c.size {
		due = max(due, c.limitTill-grantLifetime/2)
	}
	if c.awaitsReply {
		due = min(due, repeat)
	}
	return due
}

// replyTimeout returns how long to wait for a reply until the report is repeated.
func (c *charge) replyTimeout() time.Duration {
	return min(max(replyTimeout, c.roundTrip*3/2), maxReplyTimeout)
}

// reportLeased returns the report that is due. It returns false if the keeper has been silent
// for too long, after which the node turns to another keeper.
func (c *charge) reportLeased(now time.Duration, account string) (Report, bool) {
	if !c.awaitsReply || now-c.reportedAt >= 2*maxReplyTimeout {
		// Reports with refused requests only are not repeated: their age says nothing of the
		// keeper.
		c.awaitsReply, c.unansweredSince, c.unanswered, c.delayAllowed = true, now, 0, false
	}
	if !c.silent && c.unanswered >= minSilentReports && now-c.unansweredSince >= c.silentAfter() {
		c.silent, c.silentTill, c.awaitsReply, c.refused, c.openTill = true, now+silentTime, false, 0, 0
		return Report{}, false
	}
	if c.silent {
		c.silentTill = now + silentTime
	}
	c.unanswered++
	c.reportedAt, c.reported, c.reportedSpent, c.probe = now, true, c.spent, false
	r := Report{Account: account, Spent: c.spent, Unacknowledged: c.spent - c.acknowledged, Refused: c.refused, SentAt: max(now, time.Microsecond)}
	c.refused = 0
	return r, true
}

// silentAfter returns how long a keeper may leave reports without a reply.
func (c *charge) silentAfter() time.Duration {
	return max(silentAfter, min(3*c.roundTrip, 2*silentAfter))
}

// observeReply notes that a keeper has answered. It returns false if a newer report was
// answered before.
func (c *charge) observeReply(now time.Duration, g Grant) bool {
	c.silent, c.silentTill, c.unanswered, c.unansweredSince, c.delayAllowed = false, 0, 0, now, false
	if g.SentAt < c.answered {
		return false
	}
	c.answered = g.SentAt
	// SentAt comes back in whole microseconds.
	c.awaitsReply = g.SentAt < c.reportedAt.Truncate(time.Microsecond)
	sample := max(0, now-g.SentAt)
	c.roundTrip = smoothed(c.roundTrip, sample)
	return true
}

// smoothed returns the smoothed round trip after a new sample.
func smoothed(before, sample time.Duration) time.Duration {
	if before == 0 {
		return sample
	}
	return before + (sample-before)/4
}

// renew applies the tokens of a reply. Their lifetime counts from the report: the keeper
// takes unused tokens back a fixed time after it has received the report, however late the
// node reads the reply.
func (c *charge) renew(g Grant) {
	c.limit, c.limitTill = g.Limit, g.SentAt+grantLifetime
	c.size = c.limit - min(c.limit, c.spent)
}

// SetDisabled replaces the set of disabled mechanisms.
func (k *Keeper) SetDisabled(disabled mechanism.Set) { k.disabled = disabled }

// givesLeases reports whether this keeper gives leases.
func (k *Keeper) givesLeases() bool { return !k.disabled.Has(mechanism.Leases) }

// Leases returns the number of leases that this keeper has given or added tokens to.
func (k *Keeper) Leases() int64 { return k.leases }

// observe notes a report. It returns false if a newer one has arrived before, whose count
// includes that of this one.
func (s *spender) observe(r Report) bool {
	if r.SentAt < s.sentAt {
		return false
	}
	s.sentAt = r.SentAt
	if d := int64(r.Spent - s.spent); d > 0 {
		s.rate += float64(d) / rateTime.Seconds()
	}
	return true
}

// leased returns the number of tokens that are reserved for nodes, 0 without leases.
func (p *portion) leased() float64 {
	if !p.givesLeases {
		return 0
	}
	return float64(p.reserved)
}

// room returns the highest level: leased tokens count as held, so that the account cannot
// spend them in addition to a full burst.
func (p *portion) room() float64 { return p.capacity - p.leased() }

// reserveTokens raises the number of tokens that are reserved for a node.
func (p *portion) reserveTokens(now time.Duration, s *spender, tokens uint64) {
	p.level -= float64(tokens - s.reserved)
	p.reserved += tokens - s.reserved
	s.reserved, s.reservedTill = tokens, now+keeperGrantLifetime
}

// leaseAhead adds a lease to the reply to a node's report. Tokens that the reply repeats stay
// reserved for as long as the node may use them.
func (k *Keeper) leaseAhead(now time.Duration, p *portion, s *spender, reply *Grant) {
	// After the cap was lowered, only what is granted for refused requests is added.
	if now >= p.leasesFrom {
		k.extendLease(now, p, s)
	}
	if s.reserved > 0 {
		s.reservedTill = now + keeperGrantLifetime
	}
	reply.Limit = s.spent + s.reserved
}

// extendLease raises the number of tokens that a node holds to what it should hold.
func (k *Keeper) extendLease(now time.Duration, p *portion, s *spender) {
	if tokens := p.leaseFor(now, s); p.open && tokens > s.reserved {
		p.reserveTokens(now, s, tokens)
		k.leases++
	}
}

// endLeases ends all leases and grants because the cap was lowered. What nodes still spend of
// them is deducted from the level again.
func (p *portion) endLeases() {
	p.leasesFrom = p.refilledAt + keeperGrantLifetime
	for _, s := range p.spenders {
		p.reserved -= s.reserved
		s.reserved = 0
	}
}

// boundDebt limits the debt from tokens of a cap that was lowered once they have expired. Paid
// at the new rate, it could refuse all requests for minutes.
func (p *portion) boundDebt() {
	p.level, p.leasesFrom = max(p.level, -p.capacity), 0
}

// leaseFor returns the number of tokens that a node should hold: twice what it is expected to
// send while it may use them, at most an even share of what may be leased, and at least one.
// The keeper stays open.
func (p *portion) leaseFor(now time.Duration, s *spender) uint64 {
	recent := 0
	for _, other := range p.spenders {
		if now-other.heardAt <= recentTime {
			recent++
		}
	}
	expected := math.Ceil(2 * s.rate * grantLifetime.Seconds())
	tokens := max(1, min(expected, math.Floor(leaseShare*p.level/float64(recent))))
	added := tokens - float64(s.reserved)
	if p.level-added < max(2*p.reserve()+1, p.capacity/2) || p.leased()+added > leaseShare*(p.level+p.leased()) {
		return 0
	}
	return uint64(tokens)
}

// wait returns the time until a refused request is likely to find a token: until this keeper
// has had tokens for those that were refused recently.
func (k *Keeper) wait(p *portion) time.Duration {
	next := p.wait()
	if !k.givesLeases() {
		return next
	}
	queue := max(0, p.refused-1) / p.perSecond
	return time.Duration(min(max(next.Seconds(), queue), maxWait.Seconds()) * float64(time.Second))
}
