package emulator

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/gate"
	"cactuspath/core/mechanism"
)

// powerLossScenario is the start of all hosts of a service after a power loss at high
// demand: the servers are twice as slow for three seconds, and a quarter of the hosts is
// seven times slower at any moment. The service has enough capacity with all of its slots,
// and too little with those that a gate without measurements uses.
func powerLossScenario(duration Millis) *Scenario {
	return &Scenario{Name: "power loss", DataCenters: 3, Near: 0.25, Far: 1.5, Duration: duration, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 174, Window: 10_000},
		Services: []Service{{Name: "orders", Endpoints: 38, Slots: 12, Queue: 48, Noise: Noise{Share: 0.25, Factor: 7, Every: 500}, KeepsPace: true, ReportsPerSecond: 2000,
			ColdStart: ColdStart{For: 3000, Factor: 2}}},
		Classes: []Class{{Name: "order", Service: "orders", PerSecond: 1040, Work: 130, Spread: 0.3, Aim: 400, Timeout: 2000, Value: 1, LateValue: 0.3, MaxAttempts: 3}},
		Events:  []Event{{Kind: eventRestart, For: 1, Share: 1}}}
}

// warmScenario is the same service without the power loss, long enough for its gates to
// measure.
func warmScenario() *Scenario {
	s := powerLossScenario(8000)
	s.Events = nil
	s.Classes[0].PerSecond *= 1.7
	return s
}

func seededVariant(profiles map[string]gate.Learned, off mechanism.Set) Variant {
	v := Without(off)
	v.Profiles = profiles
	return v
}

// Guards against refusals after a power loss although the service has enough slots: each
// gate leaves its last slots empty on its cold server, since it has lost its measurement
// that the server does not slow down when they are in use. With the profile that the gates
// learned before, the share answered in aim in the first three seconds must be higher.
func TestProfileServesMoreAfterPowerLoss(t *testing.T) {
	warm := Run(warmScenario(), Without(0), 1)
	learned := warm.Learned["orders"]
	t.Logf("learned: contention %.2f by %d gates, %v", learned.Contention, learned.ContentionGates, learned.Classes)
	assert.Assert(t, learned.Contention >= 1 && learned.Contention < 1.28)
	for seed := range uint64(3) {
		without := Run(powerLossScenario(3000), Without(0), seed)
		with := Run(powerLossScenario(3000), seededVariant(warm.Learned, 0), seed)
		t.Logf("in aim %.3f without a profile, %.3f with one; served %.3f, %.3f", without.InAim, with.InAim, without.Served, with.Served)
		assert.Assert(t, with.InAim > without.InAim+0.05)
	}
}

// A profile that says that there is contention must not lower the share in aim: the last
// slots stay empty on cold servers, as without a profile.
func TestProfileWithContentionKeepsSlotsEmptyAfterPowerLoss(t *testing.T) {
	crowded := func(s *Scenario) *Scenario {
		s.Services[0].Crowd, s.Services[0].CrowdFactor = 0.8, 1.7
		return s
	}
	warm := Run(crowded(warmScenario()), Without(0), 1)
	learned := warm.Learned["orders"]
	t.Logf("learned: contention %.2f by %d gates", learned.Contention, learned.ContentionGates)
	assert.Assert(t, learned.Contention > 1.28)
	without := Run(crowded(powerLossScenario(3000)), Without(0), 1)
	with := Run(crowded(powerLossScenario(3000)), seededVariant(warm.Learned, 0), 1)
	wrong := Run(crowded(powerLossScenario(3000)), seededVariant(Run(warmScenario(), Without(0), 1).Learned, 0), 1)
	t.Logf("in aim %.3f without a profile, %.3f with one, %.3f with a wrong one", without.InAim, with.InAim, wrong.InAim)
	assert.Assert(t, with.InAim > without.InAim-0.02)
}

// Guards against a profile that stays in use after a change of the program: the new one
// has contention, and its servers are full from their start. After some seconds, the gates
// must have measured it.
func TestWrongProfileIsOverruledByMeasurements(t *testing.T) {
	s := powerLossScenario(12_000)
	s.Services[0].Crowd, s.Services[0].CrowdFactor = 0.8, 1.7
	s.Classes[0].PerSecond = 2200
	wrong := Run(s, seededVariant(map[string]gate.Learned{"orders": {Contention: 1, ContentionGates: 38}}, 0), 1)
	learned := wrong.Learned["orders"]
	t.Logf("learned: contention %.2f by %d gates", learned.Contention, learned.ContentionGates)
	assert.Assert(t, learned.Contention > 1.28)
}

// A disabled mechanism must leave every decision as it is without a profile.
func TestDisabledProfileChangesNothing(t *testing.T) {
	without := Run(powerLossScenario(3000), Without(mechanism.Profile), 1)
	with := Run(powerLossScenario(3000), seededVariant(map[string]gate.Learned{"orders": {Contention: 1, ContentionGates: 38}}, mechanism.Profile), 1)
	assert.DeepEqual(t, with, without)
}

// Guards against a second power loss soon after the first start: from the first start on
// cold servers, without a profile and with enough load to fill the slots at times, enough gates must have measured contention
// after eight seconds. Their nodes report it with the next watch, within a second.
func TestContentionIsLearnedSoonAfterFirstStart(t *testing.T) {
	s := powerLossScenario(8000)
	s.Classes[0].PerSecond *= 1.2
	learned := Run(s, Without(0), 1).Learned["orders"]
	t.Logf("contention %.2f by %d gates", learned.Contention, learned.ContentionGates)
	assert.Assert(t, learned.Contention >= 1 && learned.ContentionGates >= gate.MinContentionGates)
}
