// Package emulator runs several services that call each other, on hosts that
// they share with noisy neighbours, through the very decision code that runs in
// the nodes (core/balancer, core/gate, core/retry), in virtual time. The same
// scenario and seed give the same figures.
//
// It differs from package replay, which replays one service to the microsecond:
// here a request holds its slot while it calls other services, backend servers
// tell how slow they are, slow down in a crowd, start cold and reject, and
// callers come back once. docs/emulator.md describes scenarios.
package emulator

import (
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Millis is a time in a scenario, in milliseconds.
type Millis float64

// Duration converts to a duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Scenario describes services, what is asked of them, and what goes wrong.
type Scenario struct {
	Name string `json:"name"`
	// DataCenters is over how many the endpoints of each service are spread. Near
	// and Far are the one-way delays inside one and between two.
	DataCenters int    `json:"dataCenters"`
	Near        Millis `json:"near"`
	Far         Millis `json:"far"`
	Duration    Millis `json:"duration"`
	// Retry bounds second attempts of all nodes together.
	Retry    Retry     `json:"retry"`
	Services []Service `json:"services"`
	Classes  []Class   `json:"classes"`
	Events   []Event   `json:"events"`
	Expect   []Expect  `json:"expect"`
}

// Retry is the shared budget of second attempts.
type Retry struct {
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
	// Crowd is the share of the slots above which work takes CrowdFactor times as
	// long; 0 for none.
	Crowd       float64 `json:"crowd"`
	CrowdFactor float64 `json:"crowdFactor"`
	Noise       Noise   `json:"noise"`
	// KeepsPace: a request keeps the slowness of its start to its end. Otherwise all
	// that runs follows the slowness as it changes.
	KeepsPace bool `json:"keepsPace"`
	// ReportsPerSecond is the measuring budget of the whole service.
	ReportsPerSecond int `json:"reportsPerSecond"`
	// Cold is how servers behave after a restart.
	Cold Cold `json:"cold"`
}

// Noise is what neighbours on the host take: in each interval, work takes Factor
// times as long with the probability Share.
type Noise struct {
	Share  float64 `json:"share"`
	Factor float64 `json:"factor"`
	Every  Millis  `json:"every"`
}

// Class is one kind of request.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// PerSecond is the rate of all callers; 0 for one that only backend servers make.
	PerSecond float64 `json:"perSecond"`
	// Work is the mean time at the usual speed; it varies by Spread, lognormally.
	Work   Millis  `json:"work"`
	Spread float64 `json:"spread"`
	// Aim is within which time an answer has its full Value, afterwards LateValue.
	Aim        Millis  `json:"aim"`
	Timeout    Millis  `json:"timeout"`
	Value      float64 `json:"value"`
	LateValue  float64 `json:"lateValue"`
	Priority   int     `json:"priority"`
	Idempotent bool    `json:"idempotent"`
	Bulky      bool    `json:"bulky"`
	// MaxAttempts is how many backend servers a request may reach.
	MaxAttempts int `json:"maxAttempts"`
	// Calls are made in the middle of the work, by CallShare of the requests, one
	// after the other or all Together.
	Calls     []string `json:"calls"`
	CallShare float64  `json:"callShare"`
	Together  bool     `json:"together"`
}

// Event is something that happens for a while.
type Event struct {
	// Kind is one of burst, slow, cold (slow, and announced as a cold start), reject,
	// stop and restart (the servers end, and are back and cold after For).
	Kind string `json:"kind"`
	At   Millis `json:"at"`
	For  Millis `json:"for"`
	// Service is whose endpoints it strikes, those of all services if it is empty, and
	// Share how many of them.
	Service string  `json:"service"`
	Share   float64 `json:"share"`
	// Factor is by how much traffic grows or work slows down, or which part of the
	// requests is rejected.
	Factor float64 `json:"factor"`
}

// Expect is one stated outcome of a policy: a metric in itself or over that of
// another policy.
type Expect struct {
	Policy  string   `json:"policy"`
	Metric  string   `json:"metric"`
	RatioTo string   `json:"ratioTo,omitempty"`
	Min     *float64 `json:"min,omitempty"`
	Max     *float64 `json:"max,omitempty"`
}

// Kinds of events.
const (
	burst  = "burst"
	slow   = "slow"
	cold   = "cold"
	reject = "reject"
	stop   = "stop"
	// restart is a loss of power of the backend servers.
	restart = "restart"
)

// Read reads a scenario and checks it.
func Read(in io.Reader) (*Scenario, error) {
	s := &Scenario{}
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, errors.Wrap(err, "not a scenario (see docs/emulator.md)")
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	if s.DataCenters < 1 || s.Duration <= 0 || len(s.Services) == 0 || len(s.Classes) == 0 {
		return errors.New("a scenario needs dataCenters and a duration above 0, services and classes")
	}
	for _, c := range s.Classes {
		if s.service(c.Service) < 0 {
			return errors.Newf("class %q names the service %q, which the scenario does not have", c.Name, c.Service)
		}
		if c.Timeout <= 0 || c.Work <= 0 {
			return errors.Newf("class %q needs work and a timeout above 0", c.Name)
		}
		for _, called := range c.Calls {
			if s.class(called) == nil {
				return errors.Newf("class %q calls %q, which is no class of the scenario", c.Name, called)
			}
		}
	}
	for i, e := range s.Events {
		if err := s.checkEvent(e); err != nil {
			return errors.Wrapf(err, "event %d", i+1)
		}
	}
	return nil
}

func (s *Scenario) checkEvent(e Event) error {
	switch e.Kind {
	case burst:
		return nil
	case slow, cold, reject, stop, restart:
	default:
		return errors.Newf("its kind is %q; use burst, slow, cold, reject, stop or restart", e.Kind)
	}
	if e.Service != "" && s.service(e.Service) < 0 {
		return errors.Newf("it names the service %q, which the scenario does not have", e.Service)
	}
	return nil
}

// service is the place of a service in the list, or -1.
func (s *Scenario) service(name string) int {
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
