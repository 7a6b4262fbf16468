package nearby

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
)

func TestPick(t *testing.T) {
	cases := []struct {
		desc       string
		candidates []balancer.Candidate
		want       string
	}{
		{"near candidate although a far one is idle", []balancer.Candidate{{Host: "far", Slots: 10}, {Host: "near", Near: true, Slots: 10, Outstanding: 3}}, "near"},
		{"near candidate below 80 % utilization", []balancer.Candidate{{Host: "far", Slots: 10}, {Host: "near", Near: true, Slots: 10, Outstanding: 7}}, "near"},
		{"far candidate once the near one is at 80 %", []balancer.Candidate{{Host: "far", Slots: 10}, {Host: "near", Near: true, Slots: 10, Outstanding: 8}}, "far"},
		{"less utilized of two near candidates", []balancer.Candidate{{Host: "x", Near: true, Slots: 10, Outstanding: 2}, {Host: "y", Near: true, Slots: 10, Outstanding: 1}}, "y"},
		{"any candidate if none is near", []balancer.Candidate{{Host: "far", Slots: 10}}, "far"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			p := New(leastoutstanding.New(rand.New(rand.NewPCG(1, 2))))
			var list []*balancer.Candidate
			for i := range c.candidates {
				list = append(list, &c.candidates[i])
			}
			assert.Equal(t, p.Pick(0, list).Host, c.want)
		})
	}
}

// TestFullNearCandidateIsNotPreferred guards against saturating a link. Thirty nodes
// share two near endpoints, each with few outstanding requests there, so that by those
// alone the near endpoints always seem to have capacity. Request bodies would then
// cross the endpoints' links, be passed on by the gate and be sent again elsewhere,
// while the callers wait for the saturated link.
func TestFullNearCandidateIsNotPreferred(t *testing.T) {
	pool := balancer.NewPool(New(leastoutstanding.New(rand.New(rand.NewPCG(1, 2)))))
	pool.Update([]balancer.Candidate{{Host: "far", Slots: 10}, {Host: "near", Near: true, Slots: 10}})
	near := pool.Get("near")
	pool.Start(near)
	pool.SetRecentlyFull(0, near)
	assert.Equal(t, pool.Pick(time.Millisecond, nil).Host, "far")
	assert.Equal(t, pool.Pick(time.Minute, nil).Host, "near")
}
