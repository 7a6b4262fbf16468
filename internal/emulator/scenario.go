// Package emulator simulates several services that call each other, on hosts with
// noisy neighbours, in virtual time and with the same decision code that runs in
// the nodes (core/balancer, core/gate, core/retry). The same scenario and seed give
// the same figures.
//
// Package replay simulates a single service to the microsecond. Here, a request
// holds its slot while it calls other services; backend servers report how slow
// they are, slow down under load, start cold and reject requests; and clients
// retry once. docs/emulator.md describes scenarios.
package emulator

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Millis is a time in a scenario, in milliseconds.
type Millis float64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Scenario describes services, the requests to them, and the faults that occur.
type Scenario struct {
	Name string `json:"name"`
	// DataCenters is the number of data centres that the endpoints of each service are
	// spread over. Near and Far are the one-way delays within one and between two.
	DataCenters int    `json:"dataCenters"`
	Near        Millis `json:"near"`
	Far         Millis `json:"far"`
	Duration    Millis `json:"duration"`
	// RetryBudget bounds the retries and hedges of all nodes together.
	RetryBudget RetryBudget `json:"retry"`
	Services    []Service   `json:"services"`
	Classes     []Class     `json:"classes"`
	Events      []Event     `json:"events"`
	Expect      []Expect    `json:"expect"`
}

// RetryBudget is the retry budget that the nodes share.
type RetryBudget struct {
	Ratio  float64 `json:"ratio"`
	Slack  float64 `json:"slack"`
	Window Millis  `json:"window"`
}

// Service is one service and its backend servers.
type Service struct {
	Name      string `json:"name"`
	Endpoints int    `json:"endpoints"`
	Slots     int    `json:"slots"`
	Queue     int    `json:"queue"`
	// Crowd is the share of slots in use above which work takes CrowdFactor times as
	// long; 0 turns the slowdown off.
	Crowd       float64 `json:"crowd"`
	CrowdFactor float64 `json:"crowdFactor"`
	Noise       Noise   `json:"noise"`
	// KeepsPace makes a request keep the slowdown of its start until its end. Otherwise
	// running requests follow the slowdown as it changes.
	KeepsPace bool `json:"keepsPace"`
	// ReportsPerSecond is the budget for load reports of the whole service.
	ReportsPerSecond int `json:"reportsPerSecond"`
	// ColdStart describes how servers behave after a restart.
	ColdStart ColdStart `json:"cold"`
}

// Noise is the interference of neighbours on the host: in each interval of length Every,
// work takes Factor times as long with probability Share.
type Noise struct {
	Share  float64 `json:"share"`
	Factor float64 `json:"factor"`
	Every  Millis  `json:"every"`
}

// Class is a class of requests.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// PerSecond is the rate over all callers; 0 for a class that only backend servers call.
	PerSecond float64 `json:"perSecond"`
	// Work is the mean service time at normal speed. Service times are lognormal, and
	// Spread is the standard deviation of their logarithm.
	Work   Millis  `json:"work"`
	Spread float64 `json:"spread"`
	// Aim is the latency up to which an answer earns Value; a later one earns LateValue.
	Aim        Millis  `json:"aim"`
	Timeout    Millis  `json:"timeout"`
	Value      float64 `json:"value"`
	LateValue  float64 `json:"lateValue"`
	Priority   int     `json:"priority"`
	Idempotent bool    `json:"idempotent"`
	Bulky      bool    `json:"bulky"`
	// MaxAttempts is the number of backend servers that a request may reach.
	MaxAttempts int `json:"maxAttempts"`
	// Calls lists the classes that a share CallShare of the requests call, halfway through
	// their work, either one after the other or all Together.
	Calls     []string `json:"calls"`
	CallShare float64  `json:"callShare"`
	Together  bool     `json:"together"`
}

// Event is a temporary change in traffic or in the behaviour of backend servers.
type Event struct {
	// Kind is one of burst, slow, cold (slow, and announced as a cold start), reject,
	// stop and restart (the servers end, and start again cold after For).
	Kind string `json:"kind"`
	At   Millis `json:"at"`
	For  Millis `json:"for"`
	// Service is the service whose endpoints are affected, or empty for all services, and
	// Share is the share of these endpoints.
	Service string  `json:"service"`
	Share   float64 `json:"share"`
	// Factor is the factor by which traffic grows or work slows down, or the share of
	// requests that is rejected.
	Factor float64 `json:"factor"`
}

// Expect bounds a metric of a policy, either the value itself or its ratio to the value
// of another policy.
type Expect struct {
	Policy  string   `json:"policy"`
	Metric  string   `json:"metric"`
	RatioTo string   `json:"ratioTo,omitempty"`
	Min     *float64 `json:"min,omitempty"`
	Max     *float64 `json:"max,omitempty"`
}

// Kinds of events.
const (
	eventBurst  = "burst"
	eventSlow   = "slow"
	eventCold   = "cold"
	eventReject = "reject"
	eventStop   = "stop"
	// eventRestart is a power loss of the backend servers.
	eventRestart = "restart"
)

// Read parses and validates a scenario.
func Read(in io.Reader) (*Scenario, error) {
	s := &Scenario{}
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, errors.Wrap(err, "not a scenario (see docs/emulator.md)")
	}
	return s, s.validate()
}

func (s *Scenario) validate() error {
	if s.DataCenters < 1 || s.Duration <= 0 || len(s.Services) == 0 || len(s.Classes) == 0 {
		return errors.New("a scenario needs dataCenters and a duration above 0, services and classes")
	}
	for _, c := range s.Classes {
		if s.serviceIndex(c.Service) < 0 {
			return errors.Newf("class %q names the service %q, which the scenario does not define", c.Name, c.Service)
		}
		if c.Timeout <= 0 || c.Work <= 0 {
			return errors.Newf("class %q needs work and a timeout above 0", c.Name)
		}
		for _, called := range c.Calls {
			if s.class(called) == nil {
				return errors.Newf("class %q calls %q, which the scenario does not define as a class", c.Name, called)
			}
		}
	}
	for i, e := range s.Events {
		if err := s.validateEvent(e); err != nil {
			return errors.Wrapf(err, "event %d", i+1)
		}
	}
	return nil
}

func (s *Scenario) validateEvent(e Event) error {
	switch e.Kind {
	case eventBurst:
		return nil
	case eventSlow, eventCold, eventReject, eventStop, eventRestart:
	default:
		return errors.Newf("unknown kind %q; use burst, slow, cold, reject, stop or restart", e.Kind)
	}
	if e.Service != "" && s.serviceIndex(e.Service) < 0 {
		return errors.Newf("it names the service %q, which the scenario does not define", e.Service)
	}
	return nil
}

// serviceIndex returns the index of a service, or -1.
func (s *Scenario) serviceIndex(name string) int {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return i
		}
	}
	return -1
}

func (s *Scenario) class(name string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}
