package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests on credit that count as paid with a lease: after refunds, a node
// whose keeper does not answer would admit as many requests as were given back.
func TestRefundsLeaveNoCredit(t *testing.T) {
	_, spender, keeper := leaseFleet(Cap{PerSecond: 300, Burst: 300})
	r := reported(t, spender, time.Second)
	spender.HandleGrant(time.Second, keeper, Grant{Account: "club", Spent: r.Spent, Limit: r.Spent + 50, Open: true, SentAt: r.SentAt})
	for range 50 {
		assert.Equal(t, spender.Admit(time.Second, "club").Reason, ReasonLease)
	}
	for range 50 {
		spender.Refund("club", keeper)
	}
	admitted := 0
	expired := time.Second + grantLifetime
	for range 100 {
		if d := spender.Admit(expired, "club"); d.Admitted && d.Keeper == keeper {
			admitted++
		}
	}
	limit := int(spender.credit(Cap{PerSecond: 300, Burst: 300}))
	assert.Assert(t, admitted <= limit, "%d on credit, %d allowed", admitted, limit)
}

// Guards against an account that exceeds its cap in a flood because requests were given back
// before it at some nodes, which then hear from no keeper.
func TestFloodAfterRefundsStaysInTheCap(t *testing.T) {
	const account = "club"
	c := Cap{PerSecond: 300, Burst: 300}
	f := newFleet(3, []int{24, 24, 24}, map[string]Cap{account: c})
	cutOff := map[string]bool{}
	for i := range 6 {
		n := f.nodes[i*12]
		cutOff[n.host] = true
		var keepers []string
		for j := range 120 {
			f.at(time.Second+time.Duration(j)*15*time.Millisecond, func() {
				if d := f.decide(n, account); d.Admitted {
					keepers = append(keepers, d.Keeper)
				}
			})
		}
		f.at(3*time.Second, func() {
			for _, keeper := range keepers {
				n.spender.Refund(account, keeper)
			}
			n.flush()
		})
	}
	f.at(7*time.Second, func() {
		delete(f.admitted, account)
		f.cut = func(from, to string) bool { return cutOff[from] || cutOff[to] }
	})
	for at := 8 * time.Second; at < 13*time.Second; at += time.Duration(f.random.ExpFloat64() / (10 * c.PerSecond) * float64(time.Second)) {
		f.at(at, func() {
			f.request(f.nodes[f.random.IntN(6)*12], account)
			f.request(f.nodes[f.random.IntN(len(f.nodes))], account)
		})
	}
	f.runUntil(15 * time.Second)
	got := maxWindow(f.admitted[account], testWindow)
	assert.Assert(t, float64(got) <= allowed(c, testWindow), "%d in a window, %f allowed", got, allowed(c, testWindow))
}

// Guards against a count below zero: the refund of a request from before the account had no
// cap would be reported as a very large number of requests.
func TestRefundAfterTheCapWasRemoved(t *testing.T) {
	c := Cap{PerSecond: 10, Burst: 10}
	_, spender, keeper := leaseFleet(c)
	reported(t, spender, time.Second)
	spender.SetCaps(nil)
	spender.SetCaps(map[string]Cap{"club": c})
	spender.HandleGrant(time.Second, keeper, Grant{Account: "club", Notice: true, Open: true})
	spender.Refund("club", keeper)
	assert.Equal(t, spender.accounts["club"].charges[keeper].spent, uint64(0))
}

// Guards against a keeper that takes a count below that of the last report, also across zero,
// for the rate of a very busy node.
func TestLowerCountIsNoRate(t *testing.T) {
	s := spender{spent: 3}
	assert.Assert(t, s.observe(Report{Spent: ^uint64(0), SentAt: 1}))
	assert.Equal(t, s.rate, 0.0)
}
