package usage

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures the decision on one request, reports included.
//
//	go test ./usage -run '^$' -bench Admit
func BenchmarkAdmit(b *testing.B) {
	f := newFleet(1, []int{24, 24, 24}, map[string]Cap{"club": {PerSecond: 1e9, Burst: 1e9}})
	spender, keeper := f.nodes[0].spender, Keepers("club", f.members, "dc0")[0]
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		d := spender.Admit(now, "club")
		if !d.Admitted || d.Keeper != keeper {
			b.Fatal(d)
		}
		spender.HandleGrant(now, keeper, Grant{Account: "club", Spent: spender.accounts["club"].charges[keeper].spent, Open: true})
	}
}

// BenchmarkReport measures what a keeper does with a report of one of many nodes.
func BenchmarkReport(b *testing.B) {
	for _, nodes := range []int{24, 329} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			f := newFleet(1, []int{nodes, nodes, nodes}, map[string]Cap{"club": {PerSecond: 1e6, Burst: 1e6}})
			host := Keepers("club", f.members, "dc0")[0]
			keeper, now, spent := f.nodeOf(host).keeper, time.Second, uint64(0)
			for b.Loop() {
				now += time.Millisecond
				spent++
				keeper.HandleReport(now, f.members[spent%uint64(nodes)].Host, 1, Report{Account: "club", Spent: spent, Unacknowledged: 1, SentAt: now})
			}
		})
	}
}

// BenchmarkKeepers measures the selection of an account's keepers, once for each account in
// use whenever the nodes change.
func BenchmarkKeepers(b *testing.B) {
	for _, nodes := range []int{72, 985} {
		f := newFleet(1, []int{nodes / 3, nodes / 3, nodes / 3}, nil)
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				Keepers("club", f.members, "dc0")
			}
		})
	}
}
