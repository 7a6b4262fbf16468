package usage

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a keeper whose cap was lowered that reserves tokens for refused requests and
// does not tell the node of them: nobody could use them.
func TestLoweredCapStillGrants(t *testing.T) {
	f, _, host := leaseFleet(Cap{PerSecond: 3000, Burst: 3000})
	keeper := f.nodeOf(host).keeper
	keeper.HandleReport(time.Second, "node", 1, Report{Account: "club", Spent: 20, Unacknowledged: 20, SentAt: time.Second})
	keeper.SetCaps(map[string]Cap{"club": {PerSecond: 300, Burst: 300}})
	now := time.Second + 100*time.Millisecond
	p := keeper.portion(now, "club")
	p.level = 5
	var limit uint64
	for _, e := range keeper.HandleReport(now, "node", 1, Report{Account: "club", Spent: 20, Refused: 100, SentAt: now}) {
		if e.To == "node" && len(e.Grants) == 1 {
			limit = e.Grants[0].Limit
		}
	}
	assert.Equal(t, limit, uint64(25))
	keeper.portion(now+grantLifetime, "club")
	assert.Equal(t, p.reserved, uint64(5), "tokens that the node may still use")
}

// loweredCap sends requests at the rate of an account's cap, which is lowered at 4 s, and
// returns when requests were admitted until the end.
func loweredCap(f *fleet, lowered Cap, end time.Duration) []time.Duration {
	const account = "club"
	perSecond := f.caps[account].PerSecond
	for at := time.Duration(0); at < end; at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) {
		i := f.random.IntN(len(f.nodes))
		f.arrive(at, i, func(time.Duration) { f.request(f.nodes[i], account) })
	}
	f.at(loweredAt, func() { f.setCaps(map[string]Cap{account: lowered}) })
	f.runUntil(end)
	return f.admitted[account]
}

const loweredAt = 4 * time.Second

// Guards against a cap that, after it was lowered, refuses all requests until the tokens that
// nodes held have been paid for at the new rate.
func TestLoweredCapAdmitsSoon(t *testing.T) {
	f := newFleet(5, []int{3, 3, 3}, map[string]Cap{"club": {PerSecond: 3000, Burst: 3000}})
	c := Cap{PerSecond: 3, Burst: 3}
	admitted := loweredCap(f, c, 30*time.Second)
	later := slices.DeleteFunc(slices.Clone(admitted), func(at time.Duration) bool { return at < loweredAt+2*time.Second })
	assert.Assert(t, len(later) > 0 && later[0] < loweredAt+8*time.Second, "%d admitted", len(later))
	assert.Assert(t, float64(len(later)) >= 0.6*24*c.PerSecond, "%d admitted in 24 s", len(later))
}

// A lowered cap must bind one window after it at the latest, whatever messages are lost or
// delayed and whichever nodes stall.
func TestLoweredCapBindsAfterAWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := Cap{PerSecond: float64(rapid.IntRange(20, 600).Draw(t, "perSecond")), Burst: float64(rapid.IntRange(0, 600).Draw(t, "burst"))}
		c := Cap{PerSecond: math.Max(1, before.PerSecond/rapid.Float64Range(1, 200).Draw(t, "lowered")), Burst: before.Burst / 10}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), []int{rapid.IntRange(1, 4).Draw(t, "nodes of dc0"), rapid.IntRange(1, 4).Draw(t, "nodes of dc1"), rapid.IntRange(0, 4).Draw(t, "nodes of dc2")},
			map[string]Cap{"club": before})
		f.loss = rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(t, "loss")
		f.answerDelay = rapid.SampledFrom([]time.Duration{0, 150 * time.Millisecond, time.Second}).Draw(t, "replies take")
		for i := range rapid.IntRange(0, 3).Draw(t, "stalls") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, fmt.Sprint("stalled ", i))]
			length := time.Duration(rapid.IntRange(0, 3000).Draw(t, fmt.Sprint("stall length ", i))) * time.Millisecond
			f.at(time.Duration(rapid.IntRange(0, 9000).Draw(t, fmt.Sprint("stall ", i)))*time.Millisecond, func() { n.stalledTill = f.now + length })
		}
		admitted := slices.DeleteFunc(loweredCap(f, c, 16*time.Second), func(at time.Duration) bool { return at < loweredAt+testWindow })

		keepers := float64(len(Keepers("club", f.members, "")))
		portions := keepers * max(1, (c.Burst+testSlack/2)/keepers)
		credit := float64(f.nodes[0].spender.credit(c))
		bound := c.PerSecond*testWindow.Seconds() + portions + float64(len(f.nodes))*(credit+firstCredit*keepers)
		// Nodes that no keeper answers share what may run beyond the cap, a request at a time.
		bound += testTolerance.Overage*c.PerSecond*testWindow.Seconds() + float64(len(f.nodes))
		got := maxWindow(admitted, testWindow)
		assert.Assert(t, float64(got) <= math.Ceil(bound), "%d in a window, %f allowed", got, bound)
	})
}
