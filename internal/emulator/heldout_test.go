package emulator

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

// inTimeTolerance limits how far the share of requests answered in time may be below the
// share with the policy least-outstanding. It is two standard errors of a single run of
// some 10,000 requests.
const inTimeTolerance = 0.01

// Runs held-out deployments, which were not used for tuning: few and many endpoints, few
// and many slots, strong noise and none, servers that slow down under load and servers
// that do not. The policy must adapt to each: in none may fewer requests be answered in
// time than with least-outstanding, where a caller only counts its own requests.
func TestHeldOutDeployments(t *testing.T) {
	for _, c := range []struct {
		desc   string
		change func(*Scenario)
	}{
		{"two endpoints per service", func(s *Scenario) { resize(s, 2, 15) }},
		{"twelve endpoints per service", func(s *Scenario) { resize(s, 12, 15) }},
		{"four slots", func(s *Scenario) { resize(s, 8, 4) }},
		{"forty slots", func(s *Scenario) { resize(s, 3, 40) }},
		{"no slowdown under load", func(s *Scenario) { eachService(s, func(v *Service) { v.Crowd, v.CrowdFactor = 0, 0 }) }},
		{"threefold slowdown under load", func(s *Scenario) { eachService(s, func(v *Service) { v.CrowdFactor = 3 }) }},
		{"running requests follow the server's speed", func(s *Scenario) { eachService(s, func(v *Service) { v.KeepsPace = false }) }},
		{"no noise", func(s *Scenario) { eachService(s, func(v *Service) { v.Noise.Share = 0 }) }},
		{"strong noise in long intervals", func(s *Scenario) {
			eachService(s, func(v *Service) { v.Noise = Noise{Share: 0.3, Factor: 10, Every: Millis(1500)} })
		}},
		{"aims of twice the mean work", func(s *Scenario) {
			for i := range s.Classes {
				s.Classes[i].Aim = 2 * s.Classes[i].Work
			}
		}},
		{"one data centre", func(s *Scenario) { s.DataCenters = 1 }},
	} {
		t.Run(c.desc, func(t *testing.T) {
			s := readScenario(t, filepath.Join(folder, "vdm-busy.json"))
			c.change(s)
			production, err := Find(ProductionVariant)
			assert.NilError(t, err)
			leastOutstanding, err := Find("least-outstanding")
			assert.NilError(t, err)
			got, baseline := Run(s, production, 1).InAim, Run(s, leastOutstanding, 1).InAim
			assert.Assert(t, got > baseline-inTimeTolerance, "in time %.3f, least-outstanding %.3f", got, baseline)
			t.Logf("in time %.3f, least-outstanding %.3f", got, baseline)
		})
	}
}

// Checks the policy with backend servers that do not report their slowdown, so that both
// compared policies can estimate a server's speed only from completed requests.
func TestServersWithoutReportedSlowdown(t *testing.T) {
	s := readScenario(t, filepath.Join(folder, "vdm-busy.json"))
	leastOutstanding, err := Find("least-outstanding")
	assert.NilError(t, err)
	leastOutstanding.Off = mechanism.ReportedSlowdown
	got, baseline := Run(s, Without(mechanism.ReportedSlowdown), 1).InAim, Run(s, leastOutstanding, 1).InAim
	assert.Assert(t, got > baseline-inTimeTolerance, "in time %.3f, least-outstanding %.3f", got, baseline)
	t.Logf("in time %.3f, least-outstanding %.3f", got, baseline)
}

func eachService(s *Scenario, change func(*Service)) {
	for i := range s.Services {
		change(&s.Services[i])
	}
}

// resize sets the number of endpoints and slots of each service, and scales the traffic
// with the total number of slots.
func resize(s *Scenario, endpoints, slots int) {
	before := s.Services[0].Endpoints * s.Services[0].Slots
	eachService(s, func(v *Service) { v.Endpoints, v.Slots, v.Queue = endpoints, slots, 2*slots })
	for i := range s.Classes {
		s.Classes[i].PerSecond *= float64(endpoints*slots) / float64(before)
	}
	s.Duration = min(s.Duration, Millis(20*time.Second/time.Millisecond))
}
