package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/balancer"
	"cactuspath/core/balancer/leastoutstanding"
	"cactuspath/core/balancer/nearby"
	"cactuspath/core/balancer/predicted"
	"cactuspath/core/balancer/random"
	"cactuspath/core/balancer/roundrobin"
	"cactuspath/core/balancer/twochoices"
	"cactuspath/core/gate"
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func newPool(policy balancer.Policy, n int) *balancer.Pool {
	p := balancer.NewPool(policy)
	var list []balancer.Candidate
	for i := range n {
		list = append(list, balancer.Candidate{Host: fmt.Sprintf("host-%02d", i), Incarnation: 1, Slots: 4})
	}
	p.Update(list)
	return p
}

func TestEveryPolicyAvoidsTriedAndUnusableCandidates(t *testing.T) {
	policies := []balancer.Policy{random.New(newRandom()), roundrobin.New(newRandom()), leastoutstanding.New(newRandom()), twochoices.New(newRandom()), predicted.New(newRandom())}
	for _, policy := range policies {
		t.Run(policy.Name(), func(t *testing.T) {
			p := newPool(policy, 4)
			p.SetDraining(p.Get("host-02"))
			p.Learn(0, gate.Report{Host: "host-03", Incarnation: 1, Sequence: 1, Load: gate.Load{Slots: 4, Failing: true}})
			for range 50 {
				c := p.Pick(0, []string{"host-00"})
				assert.Equal(t, c.Host, "host-01")
				p.Done(0, c, true)
			}
		})
	}
}

// TestAllUnusableStillPicksOne guards against an outage caused by wrong information: if
// all endpoints are considered unusable, one is still picked.
func TestAllUnusableStillPicksOne(t *testing.T) {
	p := newPool(leastoutstanding.New(newRandom()), 2)
	p.SetDraining(p.Get("host-00"))
	p.SetDraining(p.Get("host-01"))
	assert.Assert(t, p.Pick(0, nil) != nil)
	assert.Assert(t, p.Pick(0, []string{"host-00", "host-01"}) == nil)
}

// TestUnreachableEndpointIsTriedAgain guards against sending requests to an unreachable
// endpoint and against avoiding it forever. It gets no requests during a backoff that
// grows with each failure, and is then tried again; a response makes it fully usable at
// once.
func TestUnreachableEndpointIsTriedAgain(t *testing.T) {
	p := newPool(leastoutstanding.New(newRandom()), 2)
	c := p.Get("host-00")
	p.Start(c)
	p.Done(0, c, false)
	for range 20 {
		other := p.Pick(50*time.Millisecond, nil)
		assert.Equal(t, other.Host, "host-01")
	}
	back := p.Pick(150*time.Millisecond, nil)
	assert.Equal(t, back.Host, "host-00")
}

// TestRetryGoesToAReliableEndpoint guards against sending a refused request to an
// endpoint that could not be reached at the last attempt, while there is another
// endpoint.
func TestRetryGoesToAReliableEndpoint(t *testing.T) {
	p := newPool(leastoutstanding.New(newRandom()), 3)
	failing := p.Get("host-01")
	p.Start(failing)
	p.Done(0, failing, false)
	later := time.Second
	for range 20 {
		c := p.Pick(later, []string{"host-00"})
		assert.Equal(t, c.Host, "host-02")
		p.Done(later, c, true)
	}
}

// TestRestartDiscardsState guards against applying the state of an old incarnation to a
// restarted node. An older directory entry must not restore that state.
func TestRestartDiscardsState(t *testing.T) {
	p := newPool(leastoutstanding.New(newRandom()), 1)
	c := p.Get("host-00")
	p.Start(c)
	p.SetDraining(c)
	p.Update([]balancer.Candidate{{Host: "host-00", Incarnation: 2, Slots: 4}})
	fresh := p.Get("host-00")
	assert.Equal(t, fresh.Outstanding, 0)
	assert.Assert(t, !fresh.Draining)
}

// BenchmarkPick measures a pick. The target is at most 1 us and no allocation with 64
// candidates.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 13, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newPool(leastoutstanding.New(newRandom()), n)
			b.ReportAllocs()
			for b.Loop() {
				c := p.Pick(0, nil)
				p.Done(0, c, true)
			}
		})
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	p := newPool(leastoutstanding.New(newRandom()), 64)
	allocations := testing.AllocsPerRun(100, func() {
		c := p.Pick(0, nil)
		p.Done(0, c, true)
	})
	assert.Equal(t, allocations, 0.0)
}

// TestFullCandidateIsAvoidedBriefly guards against avoiding a near endpoint for long
// after its gate passed a request on for lack of capacity. Capacity changes within a
// tenth of a second. If callers avoided the endpoint for a second, all their requests
// of that second would go to other data centres.
func TestFullCandidateIsAvoidedBriefly(t *testing.T) {
	p := balancer.NewPool(nearby.New(leastoutstanding.New(newRandom())))
	p.Update([]balancer.Candidate{{Host: "near", Near: true, Slots: 4}, {Host: "far", Slots: 4}})
	pick := func(now time.Duration) string {
		c := p.Pick(now, nil)
		p.Done(now, c, true)
		return c.Host
	}
	assert.Equal(t, pick(0), "near")
	p.SetRecentlyFull(0, p.Get("near"))
	far := 0
	for range 20 {
		if pick(50*time.Millisecond) == "far" {
			far++
		}
	}
	assert.Assert(t, far > 0, "no pick avoided the full candidate")
	for range 20 {
		assert.Equal(t, pick(110*time.Millisecond), "near")
	}
}

// TestRefusedRequestIsNotSentToADrainingEndpoint guards against a late response from a
// full service. The host of one of its three endpoints no longer runs, and the
// directory still lists that endpoint as draining. The caller of a request that two
// gates have refused must get its response now: if the request were sent to the third
// endpoint, it would wait for a connection that is never accepted.
func TestRefusedRequestIsNotSentToADrainingEndpoint(t *testing.T) {
	p := newPool(leastoutstanding.New(newRandom()), 3)
	p.SetDraining(p.Get("host-02"))
	tried := []string{"host-00", "host-01"}
	assert.Assert(t, !p.HasOther(tried))
	assert.Assert(t, p.Pick(0, tried) == nil)
	assert.Assert(t, p.Pick(0, tried[:1]) == p.Get("host-01"))
}

// TestEvacuatedCandidatesAreNeverPicked guards against requests to an evacuated data
// centre when no other candidate is left: draining candidates are a last resort,
// evacuated ones are never picked.
func TestEvacuatedCandidatesAreNeverPicked(t *testing.T) {
	p := balancer.NewPool(roundrobin.New(newRandom()))
	p.Update([]balancer.Candidate{{Host: "kept"}, {Host: "emptied", Evacuated: true}})
	assert.Equal(t, p.Pick(0, nil).Host, "kept")
	assert.Assert(t, p.Pick(0, []string{"kept"}) == nil)
	assert.Assert(t, !p.HasOther([]string{"kept"}))
	assert.Assert(t, !p.Evacuated())
	p.Update([]balancer.Candidate{{Host: "kept", Evacuated: true}, {Host: "emptied", Evacuated: true}})
	assert.Assert(t, p.Pick(0, nil) == nil)
	assert.Assert(t, p.Evacuated())
	p.Update([]balancer.Candidate{{Host: "kept"}, {Host: "emptied"}})
	assert.Assert(t, p.Pick(0, []string{"kept"}) != nil, "the candidate was not picked after the evacuation ended")
}
