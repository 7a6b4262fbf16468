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

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

func pool(policy balancer.Policy, n int) *balancer.Pool {
	p := balancer.NewPool(policy)
	var list []balancer.Candidate
	for i := range n {
		list = append(list, balancer.Candidate{Host: fmt.Sprintf("host-%02d", i), Incarnation: 1, Slots: 4})
	}
	p.Update(list)
	return p
}

func TestEveryPolicyAvoidsWhatIsTriedOrUnfit(t *testing.T) {
	policies := []balancer.Policy{random.New(source()), roundrobin.New(source()), leastoutstanding.New(source()), twochoices.New(source()), predicted.New(source())}
	for _, policy := range policies {
		t.Run(policy.Name(), func(t *testing.T) {
			p := pool(policy, 4)
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

// Every endpoint is believed unfit. A belief may be wrong, and refusing all
// work would turn it into an outage: one is still picked.
func TestAllUnfitStillPicksOne(t *testing.T) {
	p := pool(leastoutstanding.New(source()), 2)
	p.SetDraining(p.Get("host-00"))
	p.SetDraining(p.Get("host-01"))
	assert.Assert(t, p.Pick(0, nil) != nil)
	assert.Assert(t, p.Pick(0, []string{"host-00", "host-01"}) == nil)
}

// An endpoint cannot be reached. It gets no work for a while that grows with
// each failure, then one try; an answer brings it back at once.
func TestUnreachableEndpointIsTriedAgain(t *testing.T) {
	p := pool(leastoutstanding.New(source()), 2)
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

// A request was refused by one endpoint. It is not sent on to one that failed
// when it was last tried while there is another.
func TestRetryGoesToAProvenEndpoint(t *testing.T) {
	p := pool(leastoutstanding.New(source()), 3)
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

// A node restarts: its new incarnation starts without what was known of the
// old one, and an older entry does not bring that back.
func TestRestartedNodeStartsAnew(t *testing.T) {
	p := pool(leastoutstanding.New(source()), 1)
	c := p.Get("host-00")
	p.Start(c)
	p.SetDraining(c)
	p.Update([]balancer.Candidate{{Host: "host-00", Incarnation: 2, Slots: 4}})
	fresh := p.Get("host-00")
	assert.Equal(t, fresh.Outstanding, 0)
	assert.Assert(t, !fresh.Draining)
}

// BenchmarkPick: the goal is at most 1 us and no allocation at 64 candidates.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 13, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := pool(leastoutstanding.New(source()), n)
			b.ReportAllocs()
			for b.Loop() {
				c := p.Pick(0, nil)
				p.Done(0, c, true)
			}
		})
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	p := pool(leastoutstanding.New(source()), 64)
	allocations := testing.AllocsPerRun(100, func() {
		c := p.Pick(0, nil)
		p.Done(0, c, true)
	})
	assert.Equal(t, allocations, 0.0)
}

// The near endpoint's gate passes one request on for lack of room. Its callers keep away
// for a moment and then ask again, since room comes and goes within a tenth of a second:
// for a second all that they sent went to other data centres.
func TestCrowdedCandidateIsLeftForAMoment(t *testing.T) {
	p := balancer.NewPool(nearby.New(leastoutstanding.New(source())))
	p.Update([]balancer.Candidate{{Host: "near", Near: true, Slots: 4}, {Host: "far", Slots: 4}})
	pick := func(now time.Duration) string {
		c := p.Pick(now, nil)
		p.Done(now, c, true)
		return c.Host
	}
	assert.Equal(t, pick(0), "near")
	p.SetCrowded(0, p.Get("near"))
	far := 0
	for range 20 {
		if pick(50*time.Millisecond) == "far" {
			far++
		}
	}
	assert.Assert(t, far > 0, "nobody looked elsewhere while there was no room")
	for range 20 {
		assert.Equal(t, pick(110*time.Millisecond), "near")
	}
}

// A service is full, and one of its three endpoints has left with its host; the
// directory still lists it as draining. A request that two gates have refused must get
// its answer now: sent to the third it waited for a connection that nobody accepts.
func TestRefusedRequestIsNotSentToALeavingEndpoint(t *testing.T) {
	p := pool(leastoutstanding.New(source()), 3)
	p.SetDraining(p.Get("host-02"))
	tried := []string{"host-00", "host-01"}
	assert.Assert(t, !p.Others(tried))
	assert.Assert(t, p.Pick(0, tried) == nil)
	assert.Assert(t, p.Pick(0, tried[:1]) == p.Get("host-01"))
}

// Guards against requests to an evacuated data centre when nothing else is left: what is
// leaving is a last resort, what is evacuated is none.
func TestEvacuatedCandidatesAreNeverPicked(t *testing.T) {
	p := balancer.NewPool(roundrobin.New(source()))
	p.Update([]balancer.Candidate{{Host: "kept"}, {Host: "emptied", Evacuated: true}})
	assert.Equal(t, p.Pick(0, nil).Host, "kept")
	assert.Assert(t, p.Pick(0, []string{"kept"}) == nil)
	assert.Assert(t, !p.Others([]string{"kept"}))
	assert.Assert(t, !p.Evacuated())
	p.Update([]balancer.Candidate{{Host: "kept", Evacuated: true}, {Host: "emptied", Evacuated: true}})
	assert.Assert(t, p.Pick(0, nil) == nil)
	assert.Assert(t, p.Evacuated())
	p.Update([]balancer.Candidate{{Host: "kept"}, {Host: "emptied"}})
	assert.Assert(t, p.Pick(0, []string{"kept"}) != nil, "it is taken back")
}
