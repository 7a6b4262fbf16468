// Package emulator simulates several services that call each other, on hosts with
// noisy neighbours, in virtual time and with the same decision code that runs in
// the nodes (core/balancer, core/gate, core/retry). The same scenario and seed give
// the same figures.
//
// In contrast to package replay, which simulates a single service to the microsecond,
// this package models dependencies between services: a request holds its slot while
// it calls other services. Backend servers report the factor by which they are
// slower than normal, slow down at high concurrency, start cold and reject requests.
// Clients retry once. docs/emulator.md describes scenarios.
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
	// spread over. Near is the one-way network delay between two hosts in the same data
	// centre, and Far between hosts in different ones.
	DataCenters int    `json:"dataCenters"`
	Near        Millis `json:"near"`
	Far         Millis `json:"far"`
	Duration    Millis `json:"duration"`
	// LinkMbps is the bandwidth of each host's link in Mbit/s, on which its responses leave
	// it. If it is 0, responses take no time.
	LinkMbps float64 `json:"linkMbps"`
	// Callers is the share of the clients' requests that arrives in each data centre. If it
	// is empty, requests arrive at all hosts alike.
	Callers []float64 `json:"callers"`
	// RetryBudget limits the retries and hedged requests of all nodes together.
	RetryBudget RetryBudget `json:"retry"`
	Services    []Service   `json:"services"`
	Classes     []Class     `json:"classes"`
	Events      []Event     `json:"events"`
	Expect      []Expect    `json:"expect"`
}

// RetryBudget limits the retries and hedged requests of all nodes together: in each Window,
// to Ratio times the number of calls plus Slack.
type RetryBudget struct {
	Ratio  float64 `json:"ratio"`
	Slack  float64 `json:"slack"`
	Window Millis  `json:"window"`
}

// Service describes a service: its endpoints, each with a backend server of Slots
// concurrent requests and a gate that queues up to Queue more, and their behaviour.
type Service struct {
	Name      string `json:"name"`
	Endpoints int    `json:"endpoints"`
	Slots     int    `json:"slots"`
	Queue     int    `json:"queue"`
	// Crowd is the share of slots in use above which contention makes work take
	// CrowdFactor times as long. 0 disables contention.
	Crowd       float64 `json:"crowd"`
	CrowdFactor float64 `json:"crowdFactor"`
	Noise       Noise   `json:"noise"`
	// KeepsPace fixes the slowdown of a request when it starts to run. If false, a change
	// in the server's slowdown also affects the requests that are already running.
	KeepsPace bool `json:"keepsPace"`
	// ReportsPerSecond limits the load reports between the gates of the whole service.
	ReportsPerSecond int `json:"reportsPerSecond"`
	// ColdStart describes how servers behave after a restart.
	ColdStart ColdStart `json:"cold"`
}

// Noise is the interference of other programs on the host. Time is divided into intervals
// of length Every. In each of them work takes Factor times as long with probability Share,
// and the normal time otherwise.
type Noise struct {
	Share  float64 `json:"share"`
	Factor float64 `json:"factor"`
	Every  Millis  `json:"every"`
}

// Class describes the requests of one kind to a service: their rate, work, latency
// target, value and the calls that they make to other services.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// PerSecond is the rate of requests from all clients together. It is 0 for a class
	// that is called only by backend servers of other services.
	PerSecond float64 `json:"perSecond"`
	// Work is the mean service time at normal speed. Service times are lognormal, and
	// Spread is the standard deviation of their logarithm.
	Work   Millis  `json:"work"`
	Spread float64 `json:"spread"`
	// Aim is the target latency. A request answered within it earns Value, and one
	// answered later earns LateValue.
	Aim        Millis  `json:"aim"`
	Timeout    Millis  `json:"timeout"`
	Value      float64 `json:"value"`
	LateValue  float64 `json:"lateValue"`
	Priority   int     `json:"priority"`
	Idempotent bool    `json:"idempotent"`
	Bulky      bool    `json:"bulky"`
	// Response is the mean size of the responses in KB. Sizes are lognormal with
	// ResponseSpread, and at most MaxResponse if that is set.
	Response       float64 `json:"response"`
	ResponseSpread float64 `json:"responseSpread"`
	MaxResponse    float64 `json:"maxResponse"`
	// MaxAttempts limits the number of backend servers to which a request is sent.
	MaxAttempts int `json:"maxAttempts"`
	// Calls lists the classes of the requests that a backend server sends to other services
	// halfway through the work of a request, with probability CallShare. They are sent
	// concurrently if Together is set and one after the other otherwise.
	Calls     []string `json:"calls"`
	CallShare float64  `json:"callShare"`
	Together  bool     `json:"together"`
}

// Event is a change in traffic or in the behaviour of backend servers that starts at At and
// lasts for For.
type Event struct {
	// Kind is one of burst (more traffic, of Class if that is set), slow, cold (slow, and announced to the gates as a
	// cold start), reject, stop (the servers drain) and restart (the servers crash and
	// restart after For, cold).
	Kind string `json:"kind"`
	At   Millis `json:"at"`
	For  Millis `json:"for"`
	// Class is the class of a burst.
	Class string `json:"class,omitempty"`
	// Service is the service whose endpoints are affected, or empty for all services.
	// Share is the share of these endpoints that is affected.
	Service string  `json:"service"`
	Share   float64 `json:"share"`
	// Factor is the factor by which traffic grows or work slows down, or the share of
	// requests that is rejected.
	Factor float64 `json:"factor"`
}

// Expect requires a metric of a run with Policy to be at least Min and at most Max. If
// RatioTo is set, the bounds apply to the ratio to the same metric of a run with that policy.
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
	// eventRestart crashes the backend servers at the same time, as a power loss does.
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
	if len(s.Callers) > 0 && len(s.Callers) != s.DataCenters {
		return errors.Newf("callers has %d shares for %d data centres; give one for each", len(s.Callers), s.DataCenters)
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
		if e.Class != "" && s.class(e.Class) == nil {
			return errors.Newf("it names the class %q, which the scenario does not define", e.Class)
		}
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
