package usage

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactuspath/core/mechanism"
)

// The admitted requests of any window must stay within the cap, its burst and slack, plus
// what nodes may admit before they hear from a keeper, whatever messages are lost or
// delayed, whichever nodes restart and whichever data centres cannot reach each other. A
// keeper that restarts adds half of its portion of the burst at most.
func TestBoundUnderInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const account = "club"
		c := Cap{PerSecond: float64(rapid.IntRange(1, 200).Draw(t, "perSecond")), Burst: float64(rapid.IntRange(0, 100).Draw(t, "burst"))}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), []int{rapid.IntRange(1, 4).Draw(t, "nodes of dc0"), rapid.IntRange(1, 4).Draw(t, "nodes of dc1"), rapid.IntRange(0, 4).Draw(t, "nodes of dc2")},
			map[string]Cap{account: c})
		f.loss = rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(t, "loss")
		const end = 12 * time.Second
		demand := c.PerSecond * rapid.SampledFrom([]float64{0.5, 1, 3, 10}).Draw(t, "demand")
		for at := time.Duration(0); at < end; at += time.Duration(f.random.ExpFloat64() / demand * float64(time.Second)) {
			i := f.random.IntN(len(f.nodes))
			f.arrive(at, i, func(time.Duration) { f.request(f.nodes[i], account) })
		}
		f.answerDelay = rapid.SampledFrom([]time.Duration{0, 150 * time.Millisecond, time.Second}).Draw(t, "replies take")
		for i, n := range f.nodes {
			if rapid.IntRange(0, 4).Draw(t, fmt.Sprint("leases off ", i)) == 0 {
				n.spender.SetDisabled(mechanism.Leases)
				n.keeper.SetDisabled(mechanism.Leases)
			}
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "stalls") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, fmt.Sprint("stalled ", i))]
			length := time.Duration(rapid.IntRange(0, 3000).Draw(t, fmt.Sprint("stall length ", i))) * time.Millisecond
			f.at(time.Duration(rapid.IntRange(0, 12000).Draw(t, fmt.Sprint("stall ", i)))*time.Millisecond, func() { n.stalledTill = f.now + length })
		}
		restarts := rapid.IntRange(0, 3).Draw(t, "restarts")
		for i := range restarts {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, fmt.Sprint("restarted ", i))]
			f.at(time.Duration(rapid.IntRange(0, 12000).Draw(t, fmt.Sprint("restart ", i)))*time.Millisecond, n.start)
		}
		cutFrom := time.Duration(rapid.IntRange(0, 12000).Draw(t, "cut")) * time.Millisecond
		f.cut = func(from, to string) bool {
			return from[:3] != to[:3] && f.now > cutFrom && f.now < cutFrom+4*time.Second
		}
		f.runUntil(end)

		keepers := Keepers(account, f.members, "")
		portion := max(1, (c.Burst+testSlack/2)/float64(len(keepers)))
		credit := float64(f.nodes[0].spender.credit(c))
		bound := c.PerSecond*testWindow.Seconds() + portion*float64(len(keepers)) +
			float64(len(f.nodes)+restarts)*(credit+firstCredit*float64(len(keepers))) + float64(restarts)*portion
		// Nodes that no keeper answers share what may run beyond the cap, a request at a time.
		bound += testTolerance.Overage*c.PerSecond*testWindow.Seconds() + float64(len(f.nodes))
		got := maxWindow(f.admitted[account], testWindow)
		assert.Assert(t, float64(got) <= math.Ceil(bound), "%d in a window, %f allowed", got, bound)
	})
}

// Tokens must not multiply: what the keepers hold and have been charged never exceeds what
// they began with and what time has added.
func TestKeepersConserveTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const account = "club"
		c := Cap{PerSecond: float64(rapid.IntRange(1, 100).Draw(t, "perSecond")), Burst: float64(rapid.IntRange(0, 100).Draw(t, "burst"))}
		demand := c.PerSecond * rapid.SampledFrom([]float64{0.3, 3}).Draw(t, "demand")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), []int{3, 2, 2}, map[string]Cap{account: c})
		f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		f.answerDelay = rapid.SampledFrom([]time.Duration{0, 150 * time.Millisecond}).Draw(t, "replies take")
		const end = 8 * time.Second
		for at := time.Duration(0); at < end; at += time.Duration(f.random.ExpFloat64() / demand * float64(time.Second)) {
			node := f.nodes[f.random.IntN(len(f.nodes))]
			f.at(at, func() { f.request(node, account) })
		}
		f.runUntil(end)
		held, charged, portions := 0.0, 0.0, 0
		begun := 0.0
		for _, n := range f.nodes {
			p := n.keeper.portions[account]
			if p == nil {
				continue
			}
			p.refill(f.now)
			portions++
			begun += p.capacity
			held += p.level
			reserved := uint64(0)
			for _, s := range p.spenders {
				held += float64(s.reserved)
				charged += float64(s.spent)
				reserved += s.reserved
			}
			assert.Equal(t, p.reserved, reserved)
			assert.Assert(t, p.level <= p.room()+0.001, "%f of %f, beside %d reserved tokens", p.level, p.capacity, reserved)
		}
		assert.Assert(t, portions <= len(Keepers(account, f.members, "")))
		assert.Assert(t, held+charged <= begun+c.PerSecond*end.Seconds()+0.001, "held %f and charged %f of %f", held, charged, begun+c.PerSecond*end.Seconds())
	})
}

// All nodes must select the same keepers, whatever order they know the members in, and
// the keepers must be in different data centres where possible.
func TestKeepersAreTheSameEverywhere(t *testing.T) {
	f := newFleet(1, []int{5, 5, 2, 7}, nil)
	first := Keepers("club", f.members, "dc2")
	assert.Equal(t, len(first), 4)
	assert.Equal(t, first[0][:3], "dc2", "the keeper of the own data centre comes first")
	f.random.Shuffle(len(f.members), func(i, j int) { f.members[i], f.members[j] = f.members[j], f.members[i] })
	second := Keepers("club", f.members, "dc0")
	seen := map[string]bool{}
	for _, host := range second {
		seen[host[:3]] = true
	}
	assert.Equal(t, len(seen), 4)
	for _, host := range first {
		assert.Assert(t, slices.Contains(second, host), "%s of %v", host, second)
	}
	assert.Equal(t, len(Keepers("club", f.members[:1], "")), 1)
	assert.Equal(t, len(Keepers("club", nil, "")), 0)
}

// Guards against a cap that is used up by requests that never ran: the charge of a request
// that was refused for another reason must be given back.
func TestRefundGivesTheTokenBack(t *testing.T) {
	const account = "club"
	f := newFleet(1, []int{3}, map[string]Cap{account: {PerSecond: 1, Burst: 1}})
	node := f.nodes[0]
	for i := range 200 {
		f.at(time.Duration(i)*30*time.Millisecond, func() {
			d := node.spender.Admit(f.now, account)
			assert.Assert(t, d.Admitted, "request %d: %s", i, d.Reason)
			node.flush()
			f.at(f.now+5*time.Millisecond, func() {
				node.spender.Refund(account, d.Keeper)
				node.flush()
			})
		})
	}
	f.runUntil(7 * time.Second)
}

// Guards against tokens that a node holds for later: by then the keeper has taken them
// back and given them to others.
func TestGrantsExpire(t *testing.T) {
	for _, off := range []mechanism.Set{0, mechanism.Leases} {
		f := newFleet(1, []int{3}, map[string]Cap{"club": {PerSecond: 1, Burst: 1}})
		f.disable(off)
		spender, keeper := f.nodes[0].spender, Keepers("club", f.members, "dc0")[0]
		assert.Assert(t, spender.Admit(0, "club").Admitted)
		spender.HandleGrant(0, keeper, Grant{Account: "club", Spent: 1, Limit: 3})
		assert.Equal(t, spender.Admit(grantLifetime/2, "club").Reason, ReasonGranted)
		spender.HandleGrant(grantLifetime/2, keeper, Grant{Account: "club", Notice: true})
		assert.Equal(t, spender.Admit(grantLifetime, "club").Reason, ReasonClosed)
	}
}

// Guards against a keeper that multiplies the burst each time it starts, and against one that
// refuses the first requests of an account that is below its cap.
func TestKeeperStartsWithFewTokens(t *testing.T) {
	f := newFleet(1, []int{1, 1, 1}, map[string]Cap{"club": {PerSecond: 3, Burst: 300}})
	f.nodes[0].start()
	k := f.nodes[0].keeper
	assert.Equal(t, k.portion(0, "club").level, 1.0)
	assert.Equal(t, k.portion(2*time.Second, "club").level, 3.0)
	busy := newFleet(1, []int{1, 1, 1}, map[string]Cap{"club": {PerSecond: 300, Burst: 300}})
	busy.nodes[0].start()
	assert.Equal(t, busy.nodes[0].keeper.portion(0, "club").level, 25.0)
}
