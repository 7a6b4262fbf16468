package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

// calls are what backend servers send for the requests that they run.
func calls(rate float64) simLoad {
	return simLoad{class: "call", perSecond: during(0, 0, rate, rate), work: 40 * ms, bytes: 1_000, maxBytes: 5_000, aim: 150 * ms, limit: 500 * ms}
}

// patients have an aim of more than ten times their demand, and responses that are short,
// so that only slots decide.
func patients(usual, burst float64) simLoad {
	return simLoad{class: "patient", perSecond: during(3*time.Second, 10*time.Second, usual, burst), work: 130 * ms, bytes: 5_000, maxBytes: 30_000, aim: 1500 * ms, limit: 2500 * ms}
}

// patientBurst is a burst of patient requests beside 126 requests per second with 64 ms of
// work and an aim of 200 ms, and 60 calls of 40 ms with an aim of 150 ms.
func patientBurst(seed uint64, rate, slowShare float64) simOptions {
	o := deployment()
	o.seed, o.slowShare = seed, slowShare
	o.loads = []simLoad{lives(126, 126), calls(60), patients(43, rate)}
	return o
}

// Guards against patient requests that take the slots which urgent ones need: in a burst
// that uses two thirds of all slots, and in one of twice what the slots can serve, all but
// one in a hundred urgent requests must get a slot within what their aim leaves beside
// their work. This holds by the order of waiting requests and the reserved slots.
func TestUrgentRequestsGetSlotsInABurstOfPatientOnes(t *testing.T) {
	for _, disabled := range []mechanism.Set{mechanism.Link, 0} {
		for _, slow := range []float64{0, 0.25} {
			for _, rate := range []float64{300, 1000} {
				o := patientBurst(1, rate, slow)
				o.disabled = disabled
				s := newSimulation(o).run()
				for _, l := range o.loads[:2] {
					r := s.results[l.class]
					t.Logf("rate %v, slow %v, disabled %v, %s: worst wait %v", rate, slow, disabled.Names(), l.class, r.worstWait())
					assert.Assert(t, r.worstWait() < l.aim-l.work)
				}
			}
		}
	}
}

// Guards against urgent requests that run on slow servers because patient ones wait at all
// others: a quarter of the servers are seven times slower, and a burst of patient requests
// fills the queues of the rest, whose reported waits are those of patient requests.
func TestUrgentRequestsLeaveSlowServersInABurstOfPatientOnes(t *testing.T) {
	for _, rate := range []float64{500, 1000} {
		sum := func(disabled mechanism.Set) map[string]*simResult {
			total := map[string]*simResult{"live": {}, "call": {}, "patient": {}}
			for seed := range uint64(2) {
				o := patientBurst(seed, rate, 0.25)
				o.disabled = disabled
				for class, r := range newSimulation(o).run().results {
					total[class].sent += r.sent
					total[class].inAim += r.inAim
				}
			}
			return total
		}
		before, after := sum(mechanism.Link), sum(0)
		for _, class := range []string{"live", "call", "patient"} {
			t.Logf("rate %v, %s in aim: %.3f before, %.3f after", rate, class, before[class].share(before[class].inAim), after[class].share(after[class].inAim))
		}
		assert.Assert(t, after["live"].share(after["live"].inAim) > 0.96)
		assert.Assert(t, after["call"].share(after["call"].inAim) > 0.96)
		assert.Assert(t, after["patient"].share(after["patient"].inAim) > before["patient"].share(before["patient"].inAim)-0.03)
	}
}
