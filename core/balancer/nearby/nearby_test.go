package nearby

import (
	"math/rand/v2"
	"testing"

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
		{"the near one, although a far one is idle", []balancer.Candidate{{Host: "far", Slots: 10}, {Host: "near", Near: true, Slots: 10, Outstanding: 3}}, "near"},
		{"the far one, once the near one is half full", []balancer.Candidate{{Host: "far", Slots: 10}, {Host: "near", Near: true, Slots: 10, Outstanding: 5}}, "far"},
		{"the emptier of two near ones", []balancer.Candidate{{Host: "x", Near: true, Slots: 10, Outstanding: 2}, {Host: "y", Near: true, Slots: 10, Outstanding: 1}}, "y"},
		{"any, where none is near", []balancer.Candidate{{Host: "far", Slots: 10}}, "far"},
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
