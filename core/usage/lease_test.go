package usage

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

// slowReplies makes the links of all hosts as slow and lossy as full ones.
func slowReplies(f *fleet) { f.loss, f.answerDelay = 0.05, 150*time.Millisecond }

func withoutLeases(f *fleet) { f.disable(mechanism.Leases) }

func (r result) messagesPerRequest() float64 { return float64(r.messages) / float64(r.requests) }

// Guards against refusing accounts below their caps while the replies of keepers are slow or
// lost. Without leases, a node runs out of credit before the reply comes.
func TestSlowRepliesRefuseNobodyBelowHisCap(t *testing.T) {
	var leased, plain result
	for seed := range uint64(4) {
		with := unequalLoad().playKeepers(seed+1, slowReplies)
		without := unequalLoad().playKeepers(seed+1, func(f *fleet) {
			slowReplies(f)
			withoutLeases(f)
		})
		t.Logf("leases:  %v, %.2f for each request", with, with.messagesPerRequest())
		t.Logf("without: %v, %.2f for each request", without, without.messagesPerRequest())
		assert.Assert(t, with.excess <= 0, "%v", with)
		leased.add(with)
		plain.add(without)
	}
	assert.Assert(t, float64(leased.short) <= 0.003*float64(leased.owed), "%v", leased)
	assert.Assert(t, leased.messagesPerRequest() <= plain.messagesPerRequest(), "%v and %v without leases", leased, plain)
}

func (r *result) add(other result) {
	r.requests += other.requests
	r.owed += other.owed
	r.messages += other.messages
	r.short += other.short
}

// stalls lets an eighth of the nodes stall for 150 to 650 ms, twice a second.
func stalls(f *fleet) {
	for at := time.Duration(0); at < 20*time.Second; at += 500 * time.Millisecond {
		f.at(at, func() {
			for _, n := range f.nodes {
				if f.random.IntN(8) == 0 {
					n.stalledTill = f.now + 150*time.Millisecond + time.Duration(f.random.Int64N(int64(500*time.Millisecond)))
				}
			}
		})
	}
}

// fullLinks lets the messages of an eighth of the hosts wait 300 to 900 ms for their link, for
// two seconds.
func fullLinks(f *fleet) {
	for at := time.Duration(0); at < 20*time.Second; at += 2 * time.Second {
		f.at(at, func() {
			for _, n := range f.nodes {
				n.linkDelay = 0
				if f.random.IntN(8) == 0 {
					n.linkDelay = 300*time.Millisecond + time.Duration(f.random.Int64N(int64(600*time.Millisecond)))
				}
			}
		})
	}
}

// faults are what must not let an account exceed its cap.
var faults = map[string]func(*fleet){
	"none":       func(*fleet) {},
	"stalls":     stalls,
	"full links": fullLinks,
	"restarts": func(f *fleet) {
		for i, n := range f.nodes {
			if i%4 == 0 {
				f.at(8*time.Second, func() { n.down = true })
				f.at(9*time.Second, n.start)
			}
		}
	},
	"kills in turn": func(f *fleet) {
		for i := range 8 {
			n := f.nodes[i*9]
			f.at(time.Duration(6+i)*time.Second, n.start)
		}
	},
	"frozen nodes": func(f *fleet) {
		for i, n := range f.nodes {
			if i%3 == 0 {
				f.at(time.Duration(6+i%4)*time.Second, func() { n.stalledTill = f.now + 3*time.Second })
			}
		}
	},
	"links that fail in turn": func(f *fleet) {
		f.cut = func(from, to string) bool { return from[:3] != to[:3] && f.now%(3*time.Second) < 1500*time.Millisecond }
	},
	"replies lost": func(f *fleet) {
		f.cut = func(from, to string) bool { return from > to && f.now%(4*time.Second) < 2*time.Second }
	},
	"evacuation": func(f *fleet) {
		f.at(7*time.Second, func() { f.setMembersOf(f.nodes, f.members[25:]) })
		f.at(11*time.Second, func() { f.setMembersOf(f.nodes, f.members) })
	},
	"different members": func(f *fleet) {
		f.at(7*time.Second, func() { f.setMembersOf(f.nodes[:24], f.members[6:]) })
		f.at(11*time.Second, func() { f.setMembersOf(f.nodes[:24], f.members) })
	},
	"members come and go": func(f *fleet) {
		for i := range 16 {
			members := f.members[i%2*8:]
			f.at(time.Duration(6000+250*i)*time.Millisecond, func() { f.setMembersOf(f.nodes, members) })
		}
	},
}

func (f *fleet) setMembersOf(nodes []*modelNode, members []Member) {
	for _, n := range nodes {
		n.setMembers(members)
	}
}

// Guards against refusals below the caps with other causes than slow replies alone: nodes
// that stall, links that are full, members that change, keepers that restart.
func TestLeasesHelpUnderFaults(t *testing.T) {
	for _, c := range []struct {
		fault   string
		replies time.Duration
	}{{"none", 25}, {"none", 100}, {"none", 150}, {"stalls", 25}, {"stalls", 150}, {"full links", 25}, {"full links", 150}, {"members come and go", 150}, {"kills in turn", 150}} {
		play := func(change func(*fleet)) (result, map[string]int) {
			var played *fleet
			r := unequalLoad().playKeepers(1, func(f *fleet) {
				played = f
				slowReplies(f)
				f.answerDelay = c.replies * time.Millisecond
				change(f)
				faults[c.fault](f)
			})
			return r, played.refused
		}
		with, refused := play(func(*fleet) {})
		without, refusedBefore := play(withoutLeases)
		name := fmt.Sprintf("%s, replies of %v", c.fault, c.replies*time.Millisecond)
		t.Logf("%s: without %.2f %% %v, %.2f messages; with %.2f %% %v, %.2f messages", name, without.shortPercent(), refusedBefore, without.messagesPerRequest(),
			with.shortPercent(), refused, with.messagesPerRequest())
		assert.Assert(t, with.short <= without.short/2, "%s: %v, without leases %v", name, with, without)
		assert.Assert(t, with.excess <= 0, "%s: %v", name, with)
	}
}

func (r result) shortPercent() float64 { return 100 * float64(r.short) / float64(r.owed) }

// Guards against tokens that exist twice: a lease that a node uses after its keeper has taken
// it back, one that survives the keeper, or one that is spent beside a full burst.
func TestCapHoldsWithLeases(t *testing.T) {
	for name, fault := range faults {
		for _, hot := range [][]int{{0, 1, 5}, {3, 20, 40, 77}} {
			t.Run(fmt.Sprint(name, hot), func(t *testing.T) {
				l := unequalLoad()
				for _, i := range hot {
					l.hot[l.names[i]] = 9
				}
				r := l.playKeepers(7, func(f *fleet) {
					slowReplies(f)
					fault(f)
				})
				t.Log(r)
				assert.Assert(t, r.excess <= 0, "%v", r)
			})
		}
	}
}

// flood sends ten times the cap of an account for 5 s. Refused requests come back as told, up
// to three times. It returns the number of requests that came back in each tenth of a second,
// that were admitted and that were sent, and the longest wait.
func flood(change func(*fleet)) (retries [70]int, admitted, tries int, longest time.Duration) {
	const account, perSecond = "club", 60.0
	f := newFleet(9, []int{24, 24, 24}, map[string]Cap{account: {PerSecond: perSecond, Burst: perSecond}})
	slowReplies(f)
	change(f)
	var try func(left int)
	try = func(left int) {
		tries++
		d := f.decide(f.nodes[f.random.IntN(len(f.nodes))], account)
		if d.Admitted {
			admitted++
			return
		}
		longest = max(longest, d.RetryAfter)
		if left > 0 {
			back := f.now + d.RetryAfter + time.Duration(f.random.Int64N(int64(d.RetryAfter)))
			f.at(back, func() {
				retries[min(int(f.now/(100*time.Millisecond)), len(retries)-1)]++
				try(left - 1)
			})
		}
	}
	for at := time.Duration(0); at < 5*time.Second; at += time.Duration(f.random.ExpFloat64() / (10 * perSecond) * float64(time.Second)) {
		f.at(at, func() { try(3) })
	}
	f.runUntil(10 * time.Second)
	return retries, admitted, tries, longest
}

// Guards against refused requests of a flood that all come back for the same token: they
// would be refused in step and crowd out new ones.
func TestRefusedRequestsComeBackSpread(t *testing.T) {
	retries, admitted, tries, longest := flood(func(*fleet) {})
	_, admittedBefore, triesBefore, _ := flood(withoutLeases)
	t.Log(retries, admitted, tries, "without leases", admittedBefore, triesBefore)
	sum, most := 0, 0
	// From 2 s on, those that were refused first have come back.
	for _, n := range retries[20:50] {
		sum += n
		most = max(most, n)
	}
	assert.Assert(t, most <= 2*sum/30, "%d of %d in a tenth of a second", most, sum)
	assert.Assert(t, admitted >= admittedBefore*95/100, "%d admitted, %d without leases", admitted, admittedBefore)
	assert.Assert(t, longest <= maxWait, "%v", longest)
	assert.Assert(t, tries <= triesBefore, "%d tries, %d without leases", tries, triesBefore)
}

// leaseFleet returns three nodes, the spender of the first, and the first keeper that it
// charges.
func leaseFleet(c Cap) (f *fleet, spender *Spender, keeper string) {
	f = newFleet(1, []int{3}, map[string]Cap{"club": c})
	return f, f.nodes[0].spender, Keepers("club", f.members, "dc0")[0]
}

// reported makes the spender admit a request and send its report.
func reported(t *testing.T, s *Spender, now time.Duration) Report {
	t.Helper()
	assert.Assert(t, s.Admit(now, "club").Admitted)
	out, _, _ := s.Flush(now)
	assert.Assert(t, len(out) > 0 && len(out[0].Reports) == 1)
	return out[0].Reports[0]
}

// Guards against tokens that a frozen node spends after the keeper has taken them back: the
// reply may have lain in its socket. A lease counts from the report that it answers.
func TestLeaseCountsFromItsReport(t *testing.T) {
	_, spender, keeper := leaseFleet(Cap{PerSecond: 10, Burst: 10})
	r := reported(t, spender, time.Second)
	late := r.SentAt + grantLifetime
	spender.HandleGrant(late-time.Millisecond, keeper, Grant{Account: "club", Spent: r.Spent, Limit: r.Spent + 2, Open: true, SentAt: r.SentAt})
	assert.Equal(t, spender.Admit(late-time.Millisecond, "club").Reason, ReasonLease)
	assert.Equal(t, spender.Admit(late, "club").Reason, ReasonCredit)
	assert.Assert(t, keeperGrantLifetime > grantLifetime)
}

// Guards against a node that takes an overtaken reply for the newest one: it would use a
// lease again that the newer reply no longer holds.
func TestOlderRepliesAreIgnored(t *testing.T) {
	_, spender, keeper := leaseFleet(Cap{PerSecond: 10, Burst: 10})
	first := reported(t, spender, time.Second)
	second := reported(t, spender, time.Second+reportInterval)
	now := second.SentAt + 10*time.Millisecond
	spender.HandleGrant(now, keeper, Grant{Account: "club", Spent: second.Spent, Limit: second.Spent, Open: true, SentAt: second.SentAt})
	spender.HandleGrant(now, keeper, Grant{Account: "club", Spent: first.Spent, Limit: first.Spent + 5, Open: true, SentAt: first.SentAt})
	assert.Equal(t, spender.Admit(now, "club").Reason, ReasonCredit)
}

// Guards against a node that waits for a reply that has arrived, since messages hold times in
// whole microseconds only: it would report a lease in use four times as often.
func TestLeaseInUseIsReportedTwiceASecond(t *testing.T) {
	f, _, keeper := leaseFleet(Cap{PerSecond: 300, Burst: 300})
	node, reports := f.nodes[0], 0
	if node.host == keeper {
		node = f.nodes[1]
	}
	f.cut = func(from, to string) bool {
		if from == node.host {
			reports++
		}
		return false
	}
	for at := 123 * time.Nanosecond; at < 10*time.Second; at += 125 * time.Millisecond {
		f.at(at, func() { f.request(node, "club") })
	}
	f.runUntil(10 * time.Second)
	assert.Assert(t, reports <= 25, "%d reports", reports)
	assert.Assert(t, reports >= 15, "%d reports", reports)
}

// Guards against overtaken reports that give tokens back: the newer one has counted what the
// older one lacks.
func TestOlderReportsAreIgnored(t *testing.T) {
	f, _, host := leaseFleet(Cap{PerSecond: 1, Burst: 30})
	keeper := f.nodeOf(host).keeper
	keeper.HandleReport(0, "node", 1, Report{Account: "club", Spent: 5, Unacknowledged: 5, SentAt: 2})
	level := keeper.portions["club"].level
	assert.Equal(t, len(keeper.HandleReport(0, "node", 1, Report{Account: "club", Spent: 1, Unacknowledged: 1, SentAt: 1})), 0)
	assert.Equal(t, keeper.portions["club"].level, level)
}

func (f *fleet) nodeOf(host string) *modelNode {
	for _, n := range f.nodes {
		if n.host == host {
			return n
		}
	}
	return nil
}

// Guards against tokens that come from nowhere when a keeper is selected again: the node's
// count must go on, since the keeper takes a lower one for requests that were given back.
func TestCountsOfFormerKeepersGoOn(t *testing.T) {
	f, spender, keeper := leaseFleet(Cap{PerSecond: 10, Burst: 10})
	before := reported(t, spender, time.Second)
	without := slices.DeleteFunc(slices.Clone(f.members), func(m Member) bool { return m.Host == keeper })
	spender.SetMembers(without)
	spender.Admit(2*time.Second, "club")
	spender.Flush(2 * time.Second)
	spender.SetMembers(f.members)
	after := reported(t, spender, 3*time.Second)
	assert.Assert(t, after.Spent > before.Spent, "%d after %d", after.Spent, before.Spent)
}

// Guards against a node that takes all keepers to be silent although it was frozen itself:
// their replies lie in its socket, and it would refuse everything as isolated.
func TestOwnDelayDoesNotSilenceKeepers(t *testing.T) {
	_, spender, keeper := leaseFleet(Cap{PerSecond: 10, Burst: 10})
	r := reported(t, spender, time.Second)
	for _, after := range []time.Duration{replyTimeout, 2 * replyTimeout} {
		spender.Flush(r.SentAt + after)
	}
	awake := r.SentAt + 390*time.Millisecond
	spender.Flush(awake)
	assert.Assert(t, !spender.accounts["club"].charges[keeper].silent)
	// A keeper that does not answer from then on is silent.
	for after := replyTimeout; after <= silentAfter; after += replyTimeout / 4 {
		spender.Flush(awake + after)
	}
	assert.Assert(t, spender.accounts["club"].charges[keeper].silent)
}

// Guards against a busy node whose timers are always late: each delay would lengthen the silence
// of a keeper, and the node would never turn to the next one.
func TestLateTimersDoNotHideASilentKeeper(t *testing.T) {
	_, spender, keeper := leaseFleet(Cap{PerSecond: 10, Burst: 10})
	r := reported(t, spender, time.Second)
	now := r.SentAt
	for now < r.SentAt+2*silentAfter+replyTimeout {
		now = max(now, spender.flushAt) + 30*time.Millisecond
		spender.Flush(now)
	}
	assert.Assert(t, spender.accounts["club"].charges[keeper].silent)
}

// Guards against nodes that go on to the next keeper on credit during a flood, when the one
// before has just said that it is short of tokens: all of them together would exceed the cap.
func TestShortKeeperThatFallsSilentLeavesNoCredit(t *testing.T) {
	_, spender, keeper := leaseFleet(Cap{PerSecond: 10, Burst: 10})
	r := reported(t, spender, time.Second)
	spender.HandleGrant(time.Second, keeper, Grant{Account: "club", Spent: r.Spent, Limit: r.Spent, SentAt: r.SentAt})
	now := time.Second
	for ; now < 2*time.Second; now += 50 * time.Millisecond {
		d := spender.Admit(now, "club")
		assert.Assert(t, !d.Admitted, "%s at %s", d.Reason, d.Keeper)
		spender.Flush(now)
	}
	assert.Assert(t, spender.accounts["club"].charges[keeper].silent)
}

// Guards against a keeper that is taken to be silent after one lost datagram: a report of a
// refused request is not repeated, so its age says nothing.
func TestOneLostReportDoesNotSilenceAKeeper(t *testing.T) {
	_, spender, keeper := leaseFleet(Cap{PerSecond: 10, Burst: 10})
	reported(t, spender, time.Second)
	c := spender.accounts["club"].charges[keeper]
	c.acknowledged = c.spent
	reported(t, spender, time.Minute)
	assert.Assert(t, !c.silent && c.unanswered == 1)
}

// Guards against requests that are refused while a silent keeper is tried again: it is not
// used until it answers, and the next one is used meanwhile.
func TestSilentKeeperIsNotUsedUntilItAnswers(t *testing.T) {
	f, spender, keeper := leaseFleet(Cap{PerSecond: 10, Burst: 10})
	f.cut = func(from, to string) bool { return to == keeper || from == keeper }
	node, refused := f.nodes[0], 0
	if node.host == keeper {
		node, spender = f.nodes[1], f.nodes[1].spender
	}
	for at := time.Duration(0); at < 10*time.Second; at += 200 * time.Millisecond {
		f.at(at, func() {
			if !f.request(node, "club") && at > time.Second {
				refused++
			}
		})
	}
	f.runUntil(10 * time.Second)
	assert.Equal(t, refused, 0)
	f.cut = func(string, string) bool { return false }
	for at := 10 * time.Second; at < 15*time.Second; at += 200 * time.Millisecond {
		f.at(at, func() { f.request(node, "club") })
	}
	f.runUntil(15 * time.Second)
	assert.Equal(t, spender.Admit(f.now, "club").Keeper, keeper)
}

// Guards against nodes that keep the tokens of a cap that was lowered, by renewing them.
func TestLoweredCapEndsLeases(t *testing.T) {
	f, _, host := leaseFleet(Cap{PerSecond: 300, Burst: 300})
	keeper := f.nodeOf(host).keeper
	report := func(now time.Duration, spent uint64) Grant {
		out := keeper.HandleReport(now, "node", 1, Report{Account: "club", Spent: spent, Unacknowledged: spent, SentAt: now})
		for _, e := range out {
			if e.To == "node" {
				return e.Grants[0]
			}
		}
		return Grant{}
	}
	g := report(time.Second, 20)
	assert.Assert(t, g.Limit > 22, "%d", g.Limit)
	keeper.SetCaps(map[string]Cap{"club": {PerSecond: 100, Burst: 100}})
	g = report(time.Second+100*time.Millisecond, 20)
	assert.Equal(t, g.Limit, uint64(20))
	assert.Assert(t, g.Open)
	keeper.portion(3*time.Second, "club")
	assert.Equal(t, keeper.portions["club"].reserved, uint64(0))
}

// Guards against a keeper that gives nodes more than a quarter of its tokens ahead: an account
// whose requests arrive at other nodes next would find none.
func TestLeavesTokensForOtherNodes(t *testing.T) {
	f, _, host := leaseFleet(Cap{PerSecond: 30, Burst: 50})
	keeper := f.nodeOf(host).keeper
	for i := range 60 {
		keeper.HandleReport(0, fmt.Sprint("node-", i), 1, Report{Account: "club", SentAt: time.Microsecond})
	}
	p := keeper.portions["club"]
	assert.Assert(t, p.open)
	assert.Assert(t, p.reserved > 0 && float64(p.reserved) <= leaseShare*p.capacity, "%d of %f", p.reserved, p.capacity)

	// Near the level at which the keeper asks others for tokens, it gives none.
	f, _, host = leaseFleet(Cap{PerSecond: 30, Burst: 50})
	keeper = f.nodeOf(host).keeper
	p = keeper.portion(0, "club")
	p.level = p.capacity/2 + 0.5
	keeper.HandleReport(0, "node", 1, Report{Account: "club", SentAt: time.Microsecond})
	assert.Assert(t, p.open)
	assert.Equal(t, p.reserved, uint64(0))
}

// Guards against counting the tokens that a node holds twice: the lease of a busy node would be
// used up to the last token before it is renewed.
func TestBusyNodeKeepsItsLease(t *testing.T) {
	f, _, host := leaseFleet(Cap{PerSecond: 300, Burst: 300})
	keeper := f.nodeOf(host).keeper
	spent, least := uint64(0), uint64(math.MaxUint64)
	for now := time.Second; now < 10*time.Second; now += 250 * time.Millisecond {
		spent += 5
		out := keeper.HandleReport(now, "node", 1, Report{Account: "club", Spent: spent, Unacknowledged: 5, SentAt: now})
		if left := out[len(out)-1].Grants[0].Limit - spent; now > 3*time.Second {
			least = min(least, left)
		}
	}
	assert.Assert(t, least >= 10, "%d", least)
}

// Guards against leased tokens that are spent beside a full burst: while they are out, the
// level must not rise to the full portion.
func TestLeasesAreNotBesideAFullBurst(t *testing.T) {
	f, _, host := leaseFleet(Cap{PerSecond: 300, Burst: 50})
	keeper := f.nodeOf(host).keeper
	for i := range 4 {
		keeper.HandleReport(0, fmt.Sprint("node-", i), 1, Report{Account: "club", SentAt: time.Microsecond})
	}
	p := keeper.portion(time.Second, "club")
	assert.Assert(t, p.reserved > 0)
	assert.Equal(t, p.level+float64(p.reserved), p.capacity)
}

// Guards against tokens that the keeper takes back while a reply lets the node go on with
// them.
func TestRenewedLeaseStaysReserved(t *testing.T) {
	f, _, host := leaseFleet(Cap{PerSecond: 30, Burst: 30})
	keeper := f.nodeOf(host).keeper
	for now := time.Duration(0); now <= 3*time.Second; now += time.Second {
		out := keeper.HandleReport(now, "node", 1, Report{Account: "club", SentAt: now + time.Microsecond})
		g := out[len(out)-1].Grants[0]
		assert.Equal(t, g.Limit, uint64(1))
		keeper.portion(now+grantLifetime, "club")
		assert.Equal(t, keeper.portions["club"].reserved, uint64(1), "at %v", now)
	}
}

// Guards against leases between nodes of which one has them switched off: it must see and
// send exactly what it did before there were leases.
func TestDisabledLeasesChangeNoMessage(t *testing.T) {
	f, spender, host := leaseFleet(Cap{PerSecond: 30, Burst: 30})
	spender.SetDisabled(mechanism.Leases)
	r := reported(t, spender, time.Second)
	assert.Equal(t, r.SentAt, time.Duration(0))
	keeper := f.nodeOf(host).keeper
	out := keeper.HandleReport(time.Second, "node", 1, r)
	g := out[len(out)-1].Grants[0]
	assert.Equal(t, g.Limit, g.Spent)
	assert.Equal(t, g.SentAt, time.Duration(0))
	keeper.SetDisabled(mechanism.Leases)
	out = keeper.HandleReport(2*time.Second, "node", 1, Report{Account: "club", Spent: 2, Unacknowledged: 1, SentAt: time.Second})
	g = out[len(out)-1].Grants[0]
	assert.Equal(t, g.Limit, g.Spent)
	assert.Equal(t, g.SentAt, time.Duration(0))
	assert.Equal(t, keeper.Leases(), int64(0))
}
