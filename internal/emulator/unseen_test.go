package emulator

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

// noWorse is by how much the share answered in time may lie below that of
// least-outstanding: two standard errors of a single run of some 10,000 requests.
const noWorse = 0.01

// Deployments that nobody has tuned for: few and many endpoints, few and many slots,
// strong noise and none, servers that a crowd slows and others. The decisions adapt to
// what they observe, so that in none of them fewer callers are answered in time than by
// counting one's own requests.
func TestDeploymentsThatNobodyTunedFor(t *testing.T) {
	for _, c := range []struct {
		desc   string
		change func(*Scenario)
	}{
		{"two endpoints a service", func(s *Scenario) { resize(s, 2, 15) }},
		{"twelve endpoints a service", func(s *Scenario) { resize(s, 12, 15) }},
		{"four slots", func(s *Scenario) { resize(s, 8, 4) }},
		{"forty slots", func(s *Scenario) { resize(s, 3, 40) }},
		{"no crowd slows them", func(s *Scenario) { each(s, func(v *Service) { v.Crowd, v.CrowdFactor = 0, 0 }) }},
		{"a crowd slows them threefold", func(s *Scenario) { each(s, func(v *Service) { v.CrowdFactor = 3 }) }},
		{"running requests follow their server", func(s *Scenario) { each(s, func(v *Service) { v.KeepsPace = false }) }},
		{"no noise", func(s *Scenario) { each(s, func(v *Service) { v.Noise.Share = 0 }) }},
		{"strong noise in long spells", func(s *Scenario) {
			each(s, func(v *Service) { v.Noise = Noise{Share: 0.3, Factor: 10, Every: Millis(1500)} })
		}},
		{"aims of twice the work", func(s *Scenario) {
			for i := range s.Classes {
				s.Classes[i].Aim = 2 * s.Classes[i].Work
			}
		}},
		{"one data centre", func(s *Scenario) { s.DataCenters = 1 }},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := readScenario(t, filepath.Join(folder, "vdm-busy.json"))
			c.change(s)
			own, err := Find(Chosen)
			assert.NilError(t, err)
			counting, err := Find("least-outstanding")
			assert.NilError(t, err)
			got, bar := Run(s, own, 1).InAim, Run(s, counting, 1).InAim
			assert.Assert(t, got > bar-noWorse, "in time %.3f, least-outstanding %.3f", got, bar)
			t.Logf("in time %.3f, least-outstanding %.3f", got, bar)
		})
	}
}

// Servers that tell nothing of their speed: completions have to, for both policies.
func TestServersThatTellNothing(t *testing.T) {
	s := readScenario(t, filepath.Join(folder, "vdm-busy.json"))
	counting, err := Find("least-outstanding")
	assert.NilError(t, err)
	counting.Off = mechanism.Told
	got, bar := Run(s, Without(mechanism.Told), 1).InAim, Run(s, counting, 1).InAim
	assert.Assert(t, got > bar-noWorse, "in time %.3f, least-outstanding %.3f", got, bar)
	t.Logf("in time %.3f, least-outstanding %.3f", got, bar)
}

func each(s *Scenario, change func(*Service)) {
	for i := range s.Services {
		change(&s.Services[i])
	}
}

// resize changes how many endpoints and slots each service has, and the traffic with
// the slots in all.
func resize(s *Scenario, endpoints, slots int) {
	before := s.Services[0].Endpoints * s.Services[0].Slots
	each(s, func(v *Service) { v.Endpoints, v.Slots, v.Queue = endpoints, slots, 2*slots })
	for i := range s.Classes {
		s.Classes[i].PerSecond *= float64(endpoints*slots) / float64(before)
	}
	s.Duration = min(s.Duration, Millis(20*time.Second/time.Millisecond))
}
