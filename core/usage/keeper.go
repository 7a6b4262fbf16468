package usage

import (
	"maps"
	"math"
	"slices"
	"time"

	"cactuspath/core/mechanism"
)

const (
	// demandTime is the time constant of the measured demand.
	demandTime = 500 * time.Millisecond
	// noticeDelay is about how long it takes until all nodes have heard that a keeper is
	// short of tokens. The keeper reserves the tokens that are charged in the meantime.
	noticeDelay = 100 * time.Millisecond
	// noticeInterval is the time between two notices that an account is still short of
	// tokens.
	noticeInterval = 500 * time.Millisecond
	// minTransferInterval and maxTransferInterval bound the time between two requests for
	// tokens of other keepers.
	minTransferInterval = 50 * time.Millisecond
	maxTransferInterval = 400 * time.Millisecond
	// idleSpenderTime is how long a keeper remembers a node that reports nothing.
	idleSpenderTime = 30 * time.Second
	// startTime is the time for which a new keeper has tokens. Without any, it would refuse the
	// first requests of accounts below their caps; with a full burst, a keeper that is
	// restarted again and again would multiply the cap.
	startTime = 250 * time.Millisecond
	// minWait is the shortest wait that a keeper announces.
	minWait = 50 * time.Millisecond
)

// Keeper holds this node's portions of the usage caps of the accounts that it is a keeper
// of.
type Keeper struct {
	host, dataCenter string
	tolerance        Tolerance
	disabled         mechanism.Set
	caps             map[string]Cap
	members          []Member
	membersSince     time.Duration
	// generation changes with the members and the caps.
	generation uint64
	portions   map[string]*portion
	leases     int64
}

// portion is this keeper's part of an account's cap.
type portion struct {
	generation uint64
	others     []string
	perSecond  float64
	capacity   float64
	level      float64
	refilledAt time.Duration
	// demand is the recent number of requests per second, refused ones included.
	demand   float64
	open     bool
	noticeAt time.Duration
	spenders map[string]*spender
	// nextOther is the index of the keeper to ask for tokens next.
	nextOther        int
	transferAt       time.Duration
	transferInterval time.Duration

	// reserved is the sum of the tokens that are reserved for nodes.
	reserved uint64
	// givesLeases is whether the keeper gives leases.
	givesLeases bool
	// leasesFrom is when leases are given again after the cap was lowered; 0 once they are.
	leasesFrom time.Duration
	// refused is the number of requests that nodes have recently refused: it loses its weight
	// within refusedTime.
	refused float64
}

// spender is what a keeper knows of a node.
type spender struct {
	incarnation uint64
	spent       uint64
	// reserved is the number of granted tokens that the node has not reported as spent.
	reserved     uint64
	reservedTill time.Duration
	heardAt      time.Duration
	// sentAt is the SentAt of the newest report.
	sentAt time.Duration
	// rate is the node's recent number of requests per second.
	rate float64
}

// NewKeeper returns a Keeper without any accounts. Now is the current time.
func NewKeeper(host, dataCenter string, tolerance Tolerance, now time.Duration) *Keeper {
	return &Keeper{host: host, dataCenter: dataCenter, tolerance: tolerance, portions: map[string]*portion{}, membersSince: now}
}

// SetMembers replaces the nodes among which keepers are selected.
func (k *Keeper) SetMembers(now time.Duration, members []Member) {
	k.members, k.membersSince = members, now
	k.generation++
}

// SetCaps replaces the usage caps by account.
func (k *Keeper) SetCaps(caps map[string]Cap) {
	k.caps = caps
	k.generation++
	maps.DeleteFunc(k.portions, func(account string, _ *portion) bool { return caps[account].PerSecond == 0 })
}

// update applies the current caps and members to a portion. It returns false if this node
// is no longer a keeper of the account.
func (k *Keeper) update(p *portion, account string) bool {
	others, perSecond, capacity, ok := k.shareOf(account)
	if !ok {
		delete(k.portions, account)
		return false
	}
	if capacity < p.capacity && p.givesLeases {
		p.endLeases()
	}
	p.generation, p.others, p.perSecond, p.capacity = k.generation, others, perSecond, capacity
	p.level = min(p.level, p.room())
	return true
}

// shareOf returns the other keepers of an account and this keeper's share of the cap. Ok is
// false if the account has no cap or this node is not one of its keepers.
func (k *Keeper) shareOf(account string) (others []string, perSecond, capacity float64, ok bool) {
	c := k.caps[account]
	if c.PerSecond == 0 {
		return nil, 0, 0, false
	}
	keepers := Keepers(account, k.members, k.dataCenter)
	i := slices.Index(keepers, k.host)
	if i < 0 {
		return nil, 0, 0, false
	}
	n := float64(len(keepers))
	// Half of the slack covers what is charged before all nodes know that the tokens are
	// used up. The other half is added to the burst: without it, the portion of a small cap
	// would often hold less than the one token that a request needs.
	return slices.Delete(keepers, i, i+1), c.PerSecond / n, max(1, (c.Burst+k.tolerance.Slack/2)/n), true
}

// portion returns the portion of an account, or nil if this node is not its keeper.
func (k *Keeper) portion(now time.Duration, account string) *portion {
	if p := k.portions[account]; p != nil {
		p.givesLeases = k.givesLeases()
		p.refill(now)
		if p.generation != k.generation && !k.update(p, account) {
			return nil
		}
		return p
	}
	others, perSecond, capacity, ok := k.shareOf(account)
	if !ok {
		return nil
	}
	// A new keeper does not know what was spent before. It starts with the tokens of the time
	// since the members last changed and of startTime, and gets more from the others.
	level := min(capacity, max(1, perSecond*(now-k.membersSince+startTime).Seconds()))
	p := &portion{generation: k.generation, others: others, perSecond: perSecond, capacity: capacity, level: level, refilledAt: now, open: true,
		givesLeases: k.givesLeases(), spenders: map[string]*spender{}, transferInterval: minTransferInterval, noticeAt: -noticeInterval, transferAt: -maxTransferInterval}
	k.portions[account] = p
	return p
}

func (p *portion) refill(now time.Duration) {
	elapsed := (now - p.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	p.refilledAt = now
	if p.leasesFrom > 0 && now >= p.leasesFrom {
		p.boundDebt()
	}
	p.demand *= math.Exp(-elapsed / demandTime.Seconds())
	p.refused *= math.Exp(-elapsed / refusedTime.Seconds())
	rateDecay := math.Exp(-elapsed / rateTime.Seconds())
	for _, s := range p.spenders {
		s.rate *= rateDecay
		if s.reserved > 0 && now >= s.reservedTill {
			p.level += float64(s.reserved)
			p.reserved -= s.reserved
			s.reserved = 0
		}
	}
	p.level = min(p.room(), p.level+elapsed*p.perSecond)
}

// reserve is the level below which nodes may no longer admit on credit.
func (p *portion) reserve() float64 {
	return min(p.capacity/2, p.demand*noticeDelay.Seconds())
}

// HandleReport applies a report of a node and returns the messages to send.
func (k *Keeper) HandleReport(now time.Duration, from string, incarnation uint64, r Report) []Envelope {
	p := k.portion(now, r.Account)
	if p == nil {
		return nil
	}
	s := p.spenders[from]
	if s == nil || s.incarnation != incarnation {
		if s != nil {
			// Nobody reports what the earlier process spent of its tokens.
			p.reserved -= s.reserved
		}
		s = &spender{incarnation: incarnation, spent: r.Spent - r.Unacknowledged}
		p.spenders[from] = s
	}
	s.heardAt = now
	leases := k.givesLeases() && r.SentAt > 0
	if leases && !s.observe(r) {
		return nil
	}
	p.charge(s, int64(r.Spent-s.spent))
	s.spent = r.Spent
	p.demand += float64(r.Refused) / demandTime.Seconds()
	p.refused += float64(r.Refused)
	out := p.updateOpen(now, k, r.Account, from)
	if !p.open && r.Refused > 0 {
		p.grant(now, s, r.Refused)
	}
	reply := Grant{Account: r.Account, Receiver: incarnation, Spent: s.spent, Limit: s.spent + s.reserved, Open: p.open, Wait: k.wait(p)}
	if leases {
		k.leaseAhead(now, p, s, &reply)
		reply.SentAt = r.SentAt
	}
	out = append(out, Envelope{from, Message{Grants: []Grant{reply}}})
	return append(out, p.askForTokens(now, r.Account)...)
}

// charge deducts requests that a node admitted, first from what it was granted. A negative
// number is given back.
func (p *portion) charge(s *spender, requests int64) {
	if requests > 0 {
		p.demand += float64(requests) / demandTime.Seconds()
		granted := min(uint64(requests), s.reserved)
		s.reserved -= granted
		p.reserved -= granted
		requests -= int64(granted)
	}
	p.level = min(p.room(), p.level-float64(requests))
}

// grant reserves tokens for a node that has refused requests.
func (p *portion) grant(now time.Duration, s *spender, refused uint32) {
	tokens := min(uint64(refused), uint64(max(0, p.level)))
	if tokens <= s.reserved {
		return
	}
	p.reserveTokens(now, s, tokens)
}

// wait returns the time until this keeper expects to have a token again.
func (p *portion) wait() time.Duration {
	if p.level >= 1 {
		return 0
	}
	return max(minWait, time.Duration((1-p.level)/p.perSecond*float64(time.Second)))
}

// updateOpen decides whether nodes may admit on credit. When this changes, and from time to
// time while they may not, it tells all nodes that charge their requests here.
func (p *portion) updateOpen(now time.Duration, k *Keeper, account, except string) []Envelope {
	reserve, wasOpen := p.reserve(), p.open
	switch {
	case p.level < reserve, p.level <= 0:
		p.open = false
	case p.level >= min(p.capacity, 2*reserve+1):
		p.open = true
	}
	if p.open && wasOpen || p.open == wasOpen && now-p.noticeAt < noticeInterval {
		return nil
	}
	p.noticeAt = now
	notice := Message{Grants: []Grant{{Account: account, Notice: true, Open: p.open, Wait: k.wait(p)}}}
	var out []Envelope
	for _, host := range p.constituency(now, k) {
		if host != except {
			out = append(out, Envelope{host, notice})
		}
	}
	return out
}

// constituency returns the nodes that may charge requests to this keeper: those of its data
// centre, and others that have done so recently.
func (p *portion) constituency(now time.Duration, k *Keeper) []string {
	hosts := map[string]bool{}
	for _, m := range k.members {
		if m.DataCenter == k.dataCenter {
			hosts[m.Host] = true
		}
	}
	for host, s := range p.spenders {
		if now-s.heardAt > idleSpenderTime {
			delete(p.spenders, host)
			continue
		}
		hosts[host] = true
	}
	return slices.Sorted(maps.Keys(hosts))
}

// askForTokens asks another keeper for tokens if the level is low.
func (p *portion) askForTokens(now time.Duration, account string) []Envelope {
	if len(p.others) == 0 || p.level >= p.capacity/2 || now-p.transferAt < p.transferInterval {
		return nil
	}
	p.transferAt = now
	p.transferInterval = min(2*p.transferInterval, maxTransferInterval)
	to := p.others[p.nextOther%len(p.others)]
	p.nextOther++
	wanted := max(1, p.capacity/2-p.level+p.reserve())
	return []Envelope{{to, Message{Transfers: []Transfer{{Account: account, Wanted: wanted}}}}}
}

// HandleTransfer applies another keeper's request for tokens, or the tokens that it gives.
func (k *Keeper) HandleTransfer(now time.Duration, from string, t Transfer) []Envelope {
	p := k.portion(now, t.Account)
	if p == nil {
		return nil
	}
	if t.Given > 0 {
		p.level = min(p.room(), p.level+t.Given)
		p.transferInterval = minTransferInterval
		return nil
	}
	given := min(t.Wanted, p.level-max(p.reserve(), p.capacity/4))
	if given <= 0 {
		return nil
	}
	p.level -= given
	return []Envelope{{from, Message{Transfers: []Transfer{{Account: t.Account, Given: given}}}}}
}
