package usage

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cactuspath/core/mechanism"
)

const (
	// reportInterval is the minimum time between two reports of one account while its keeper
	// is open, and closedReportInterval while it is short of tokens.
	reportInterval       = 25 * time.Millisecond
	closedReportInterval = 100 * time.Millisecond
	// replyTimeout is how long a node waits for a keeper's answer until it reports again,
	// and silentAfter until it turns to the next keeper, for silentTime.
	replyTimeout = 100 * time.Millisecond
	silentAfter  = 300 * time.Millisecond
	silentTime   = 2 * time.Second
	// openLifetime is how long a node believes that its keeper is open.
	openLifetime = 2 * time.Second
	// closedLifetime is how long a node believes that its keeper is short of tokens, if it
	// hears nothing else.
	closedLifetime = time.Second
	// firstCredit is the number of requests that a node may admit before any keeper has
	// answered, and minCredit what it may admit at least between two answers of an open one.
	firstCredit = 2
	minCredit   = 3
	// creditWindow is the window of the tolerance whose overage all nodes together may admit
	// on credit.
	creditWindow = 5 * time.Second
)

// Spender decides at a node which requests of client accounts are within the usage cap.
type Spender struct {
	dataCenter string
	tolerance  Tolerance
	disabled   mechanism.Set
	caps       map[string]Cap
	members    []Member
	// generation changes with the members.
	generation uint64
	accounts   map[string]*spending
	// dirty holds the accounts with something to report.
	dirty map[string]*spending
	// flushAt is when Flush should be called next; 0 if there is nothing to report.
	flushAt time.Duration
	// roundTrip is the smoothed time from a report to its reply, of all other hosts.
	roundTrip time.Duration
}

// spending is a node's state of one account.
type spending struct {
	// keepers are in order of preference.
	keepers    []string
	generation uint64
	charges    map[string]*charge
	// isolated is the token bucket that is used while no keeper answers.
	isolated    float64
	isolatedAt  time.Duration
	isolatedSet bool
}

// charge is what a node has charged to one keeper.
type charge struct {
	spent, acknowledged uint64
	refused             uint32
	limit               uint64
	limitTill           time.Duration
	openTill            time.Duration
	closedTill          time.Duration
	// wait is the time until the keeper expects to have a token again.
	wait       time.Duration
	silentTill time.Duration
	// reportedAt is when the last report was sent, unansweredSince when the oldest one
	// without an answer was.
	reportedAt      time.Duration
	unansweredSince time.Duration
	awaitsReply     bool
	reported        bool

	leaseState
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// Keeper is charged for the request; "" if none is.
	Keeper string
	// RetryAfter is when a refused request is likely to be admitted.
	RetryAfter time.Duration
	// Reason says in logs how the decision was made.
	Reason string
}

// Reasons of decisions.
const (
	ReasonNoCap    = "no-cap"
	ReasonGranted  = "granted"
	ReasonLease    = "lease"
	ReasonCredit   = "credit"
	ReasonIsolated = "isolated"
	ReasonClosed   = "cap-reached"
	ReasonNoCredit = "no-credit"
)

// NewSpender returns a Spender without any accounts.
func NewSpender(dataCenter string, tolerance Tolerance) *Spender {
	return &Spender{dataCenter: dataCenter, tolerance: tolerance, accounts: map[string]*spending{}, dirty: map[string]*spending{}}
}

// SetDisabled replaces the set of disabled mechanisms.
func (s *Spender) SetDisabled(disabled mechanism.Set) { s.disabled = disabled }

// takesLeases reports whether this node takes leases.
func (s *Spender) takesLeases() bool { return !s.disabled.Has(mechanism.Leases) }

// SetCaps replaces the usage caps by account.
func (s *Spender) SetCaps(caps map[string]Cap) {
	s.caps = caps
	uncapped := func(account string, _ *spending) bool { return caps[account].PerSecond == 0 }
	maps.DeleteFunc(s.accounts, uncapped)
	maps.DeleteFunc(s.dirty, uncapped)
}

// SetMembers replaces the nodes among which keepers are selected.
func (s *Spender) SetMembers(members []Member) {
	s.members = members
	s.generation++
}

func (s *Spender) spendingOf(account string) *spending {
	a := s.accounts[account]
	if a == nil {
		a = &spending{charges: map[string]*charge{}}
		s.accounts[account] = a
	}
	if a.keepers == nil || a.generation != s.generation {
		a.keepers, a.generation = Keepers(account, s.members, s.dataCenter), s.generation
	}
	return a
}

// Admit decides on a request of an account and charges it if it is admitted.
func (s *Spender) Admit(now time.Duration, account string) Decision {
	limit := s.caps[account]
	if limit.PerSecond == 0 {
		return Decision{Admitted: true, Reason: ReasonNoCap}
	}
	a := s.spendingOf(account)
	if s.takesLeases() {
		return s.admitLeased(now, account, a, limit)
	}
	first := uint64(firstCredit)
	for _, keeper := range a.keepers {
		c := a.chargeOf(keeper)
		if now < c.silentTill {
			first -= min(first, c.unacknowledged())
			continue
		}
		s.dirty[account] = a
		return c.admit(now, keeper, first, s.credit(limit))
	}
	return a.admitIsolated(now, s.isolatedShare(limit))
}

// chargeOf returns what the node has charged to a keeper. The charges of former keepers are
// kept: if one is selected again, its count must not start anew, which the keeper would take
// for requests that were given back.
func (a *spending) chargeOf(keeper string) *charge {
	c := a.charges[keeper]
	if c == nil {
		c = &charge{}
		a.charges[keeper] = c
	}
	return c
}

// credit returns how many requests a node may admit between two answers of an open keeper:
// an even share of what all nodes together may admit beyond the cap.
func (s *Spender) credit(limit Cap) uint64 {
	overage := s.tolerance.Overage*(limit.PerSecond*creditWindow.Seconds()+limit.Burst) + s.tolerance.Slack/2
	return max(minCredit, uint64(math.Ceil(overage/float64(max(1, len(s.members))))))
}

// admit decides on a request. First is the credit before the keeper has answered, credit that
// while it is open.
func (c *charge) admit(now time.Duration, keeper string, first, credit uint64) Decision {
	if c.spent < c.limit && now < c.limitTill {
		c.spent++
		return Decision{Admitted: true, Keeper: keeper, Reason: ReasonGranted}
	}
	if now < c.closedTill {
		c.refused++
		return Decision{Keeper: keeper, RetryAfter: max(minWait, c.wait), Reason: ReasonClosed}
	}
	if now >= c.openTill {
		credit = first
	}
	if c.unacknowledged() >= credit {
		c.refused++
		return Decision{Keeper: keeper, RetryAfter: replyTimeout, Reason: ReasonNoCredit}
	}
	c.spent++
	return Decision{Admitted: true, Keeper: keeper, Reason: ReasonCredit}
}

// unacknowledged returns the number of charged requests that the keeper has not
// acknowledged. Requests that were given back can make it negative, which counts as 0.
func (c *charge) unacknowledged() uint64 {
	return uint64(max(0, int64(c.spent-c.acknowledged)))
}

// isolatedShare returns the requests per second that this node may admit while no keeper
// answers: an even share of what may run beyond the cap, since the keepers' nodes go on
// spending the cap itself.
func (s *Spender) isolatedShare(limit Cap) float64 {
	if len(s.members) == 0 {
		return 0
	}
	return s.tolerance.Overage * limit.PerSecond / float64(len(s.members))
}

// admitIsolated admits requests while no keeper answers.
func (a *spending) admitIsolated(now time.Duration, perSecond float64) Decision {
	if !a.isolatedSet {
		a.isolatedAt, a.isolatedSet = now, true
	}
	a.isolated = min(1, a.isolated+(now-a.isolatedAt).Seconds()*perSecond)
	a.isolatedAt = now
	if a.isolated < 1 {
		return Decision{RetryAfter: silentAfter, Reason: ReasonIsolated}
	}
	a.isolated--
	return Decision{Admitted: true, Reason: ReasonIsolated}
}

// Refund gives back the charge for a request that was admitted but not run. A refund whose
// charge was dropped by SetCaps is ignored.
func (s *Spender) Refund(account, keeper string) {
	a := s.accounts[account]
	if a == nil || a.charges[keeper] == nil || a.charges[keeper].spent == 0 {
		return
	}
	a.charges[keeper].refund()
	s.dirty[account] = a
}

// refund lowers covered together with spent: requests that follow must not count as paid with
// the tokens of those that were given back.
func (c *charge) refund() {
	c.spent--
	c.covered = min(c.covered, c.spent)
}

// pending reports whether there is something to report.
func (c *charge) pending() bool { return c.spent != c.acknowledged || c.refused > 0 }

// dueAt returns when the next report to the keeper is due.
func (c *charge) dueAt(now time.Duration) time.Duration {
	switch {
	case c.awaitsReply:
		return c.reportedAt + replyTimeout
	case !c.reported:
		return now
	case now < c.closedTill:
		return c.reportedAt + closedReportInterval
	}
	return c.reportedAt + reportInterval
}

// Flush returns the reports that are due, and the time at which the next one is. Ok is
// false if there is nothing more to report.
func (s *Spender) Flush(now time.Duration) (out []Envelope, next time.Duration, ok bool) {
	byKeeper := map[string][]Report{}
	s.allowForDelay(now)
	for account, a := range s.dirty {
		delete(s.dirty, account)
		for keeper, c := range a.charges {
			if !s.pending(now, a, keeper, c) {
				continue
			}
			s.dirty[account] = a
			if due := s.dueAt(now, c); due > now {
				if !ok || due < next {
					next, ok = due, true
				}
				continue
			}
			if r, send := s.report(now, account, c); send {
				byKeeper[keeper] = append(byKeeper[keeper], r)
				if due := now + replyTimeout; !ok || due < next {
					next, ok = due, true
				}
			}
		}
	}
	for _, keeper := range slices.Sorted(maps.Keys(byKeeper)) {
		reports := byKeeper[keeper]
		slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Account, b.Account) })
		out = append(out, Envelope{keeper, Message{Reports: reports}})
	}
	s.flushAt = 0
	if ok {
		s.flushAt = next
	}
	return out, next, ok
}

// pending reports whether there is something to report to a keeper.
func (s *Spender) pending(now time.Duration, a *spending, keeper string, c *charge) bool {
	switch {
	case !slices.Contains(a.keepers, keeper):
		return false
	case s.takesLeases():
		return c.pendingLeased()
	}
	return c.pending() && now >= c.silentTill
}

// dueAt returns when the next report to a keeper is due.
func (s *Spender) dueAt(now time.Duration, c *charge) time.Duration {
	if s.takesLeases() {
		return c.dueLeased(now)
	}
	return c.dueAt(now)
}

// openLifetime returns how long the node believes that a keeper is open.
func (s *Spender) openLifetime() time.Duration {
	if s.takesLeases() {
		return leasedOpenLifetime
	}
	return openLifetime
}

// closedLifetime returns how long the node believes that a keeper is short of tokens.
func (s *Spender) closedLifetime() time.Duration {
	if s.takesLeases() {
		return leasedClosedLifetime
	}
	return closedLifetime
}

// report returns the report that is due, or false if the keeper is taken to be silent.
func (s *Spender) report(now time.Duration, account string, c *charge) (Report, bool) {
	if s.takesLeases() {
		return c.reportLeased(now, account)
	}
	return c.report(now, account)
}

// report returns the report that is due. It returns false if the keeper has been silent for
// too long, after which the node turns to another keeper.
func (c *charge) report(now time.Duration, account string) (Report, bool) {
	if c.awaitsReply && now-c.unansweredSince >= silentAfter {
		// The keeper deducts what it was not told when it answers again.
		c.silentTill, c.awaitsReply, c.refused = now+silentTime, false, 0
		c.openTill, c.limit = 0, 0
		return Report{}, false
	}
	if !c.awaitsReply {
		c.awaitsReply, c.unansweredSince = true, now
	}
	c.reportedAt, c.reported = now, true
	r := Report{Account: account, Spent: c.spent, Unacknowledged: c.spent - c.acknowledged, Refused: c.refused}
	c.refused = 0
	return r, true
}

// HandleGrant applies a keeper's answer or notice.
func (s *Spender) HandleGrant(now time.Duration, keeper string, g Grant) {
	a := s.accounts[g.Account]
	if a == nil {
		if !g.Notice || s.caps[g.Account].PerSecond == 0 {
			return
		}
		a = s.spendingOf(g.Account)
	}
	if !slices.Contains(a.keepers, keeper) {
		return
	}
	c := a.chargeOf(keeper)
	if s.takesLeases() && !g.Notice && g.SentAt > 0 && !c.observeReply(now, g) {
		return
	}
	if g.Open {
		c.openTill, c.closedTill = now+s.openLifetime(), 0
	} else {
		c.openTill, c.closedTill, c.wait = 0, now+s.closedLifetime(), g.Wait
	}
	if g.Notice {
		return
	}
	c.acknowledged = g.Spent
	if s.takesLeases() && g.SentAt > 0 {
		if trip := now - g.SentAt; trip > 0 {
			s.roundTrip = smoothed(s.roundTrip, trip)
		}
		c.renew(g)
		return
	}
	c.awaitsReply, c.silentTill, c.leaseState = false, 0, leaseState{}
	c.limit, c.limitTill = g.Limit, now+grantLifetime
}
