// Package replay simulates a recorded trace of one service and its callers in
// virtual time, with the same decision code that runs in the nodes
// (core/balancer, core/gate, core/retry, core/measure), and compares the results
// with the expectations in the trace. The same trace and seed give the same bytes.
//
// docs/traces.md describes the format.
package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// Micros is a time or a duration in a trace, in microseconds; times count from the start
// of the trace.
type Micros int64

// Duration converts m to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Header is the first line of a trace.
type Header struct {
	Name    string  `json:"trace"`
	Service Service `json:"service"`
	Callers int     `json:"callers"`
	// Distance is the one-way delay between any two hosts.
	Distance Micros `json:"distance"`
	// Duration is the length of the trace. No request arrives later.
	Duration Micros   `json:"duration"`
	Expect   []Expect `json:"expect"`
}

// Service contains the settings of the service. Servers is the number of its backend servers.
type Service struct {
	Servers          int    `json:"servers"`
	Slots            int    `json:"slots"`
	Queue            int    `json:"queue"`
	MaxAttempts      int    `json:"maxAttempts"`
	RetryPerMille    int    `json:"retryPerMille"`
	ReportsPerSecond int    `json:"reportsPerSecond"`
	BytesPerSecond   int    `json:"bytesPerSecond"`
	SlowStart        Micros `json:"slowStart"`
}

// Expect requires a metric of a run with Policy to be at most Max or at least Min. If
// RatioTo is set, the bounds apply to the ratio to the same metric of a run of the trace
// with that policy.
type Expect struct {
	Policy  string   `json:"policy"`
	Metric  string   `json:"metric"`
	RatioTo string   `json:"ratioTo,omitempty"`
	Max     *float64 `json:"max,omitempty"`
	Min     *float64 `json:"min,omitempty"`
}

// Arrival is a request that arrives at a caller at time At.
type Arrival struct {
	At     Micros `json:"at"`
	Caller int    `json:"caller"`
	// Demand is the time that the request takes at a backend server with speed 1.
	Demand Micros `json:"demand"`
	// Deadline is the time from the arrival to the deadline.
	Deadline   Micros `json:"deadline"`
	Idempotent bool   `json:"idempotent,omitempty"`
}

// ServerChange is one change in a backend server's behaviour. Nil fields leave the
// behaviour as it is.
type ServerChange struct {
	At     Micros   `json:"at"`
	Server int      `json:"server"`
	Speed  *float64 `json:"speed,omitempty"`
	// FailFast makes the server fail every request immediately.
	FailFast *bool `json:"failFast,omitempty"`
	Draining *bool `json:"draining,omitempty"`
	// Cold makes the gate treat the server as just started and increase its load gradually
	// (slow start).
	Cold bool `json:"cold,omitempty"`
	// Kill crashes the server: its running requests are lost. It accepts new requests
	// immediately.
	Kill bool `json:"kill,omitempty"`
	// RestartNode restarts the node process, so that the state of its gate and all
	// connections are lost. The backend server continues to run.
	RestartNode bool `json:"restartNode,omitempty"`
	// Limit is the number of requests per second that the server names in its answers from
	// now on; a negative number withdraws the limit.
	Limit *float64 `json:"limit,omitempty"`
	// ReportDelay, ReportIdle and ReportFrozen falsify the load reports that the gate
	// attaches to responses. They contain the load of ReportDelay ago, no running or waiting
	// requests, or always the same load.
	ReportDelay  *Micros `json:"reportDelay,omitempty"`
	ReportIdle   *bool   `json:"reportIdle,omitempty"`
	ReportFrozen *bool   `json:"reportFrozen,omitempty"`
	// LoseAnswers is the share of responses that are lost in transit, 0 to 1.
	LoseAnswers *float64 `json:"loseAnswers,omitempty"`
}

// Load is a line of a trace that generates random arrivals between From and To, so that a
// trace of a hundred thousand requests fits on one line. All random draws derive from the
// seed.
type Load struct {
	From Micros `json:"from"`
	To   Micros `json:"to"`
	// PerSecond is the rate of the Poisson arrivals, over all callers.
	PerSecond  float64 `json:"perSecond"`
	MeanDemand Micros  `json:"meanDemand"`
	Deadline   Micros  `json:"deadline"`
	// IdempotentShare is the share of idempotent requests, which may be run twice.
	IdempotentShare float64 `json:"idempotentShare"`
	// FirstCaller and LastCaller are the first and the last index of the callers that send
	// these requests.
	FirstCaller int `json:"firstCaller"`
	LastCaller  int `json:"lastCaller"`
}

// SpeedShifts is a line of a trace that generates random speed changes at every server
// between From and To. The length of each phase is drawn between Shortest and Longest. The
// server has the speed SlowSpeed in a phase with probability SlowShare.
type SpeedShifts struct {
	From      Micros  `json:"from"`
	To        Micros  `json:"to"`
	Shortest  Micros  `json:"shortest"`
	Longest   Micros  `json:"longest"`
	SlowShare float64 `json:"slowShare"`
	SlowSpeed float64 `json:"slowSpeed"`
}

// Trace is a complete trace. Arrivals and server changes are sorted by time.
type Trace struct {
	Header        Header
	Arrivals      []Arrival
	ServerChanges []ServerChange
}

type line struct {
	Arrival      *Arrival      `json:"arrival"`
	ServerChange *ServerChange `json:"server"`
	Load         *Load         `json:"load"`
	SpeedShifts  *SpeedShifts  `json:"shifts"`
}

const maxLineBytes = 1 << 20

// Read parses a trace, expands its generators with the seed, and validates it.
func Read(in io.Reader, seed uint64) (*Trace, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	t := &Trace{}
	for number := 1; scanner.Scan(); number++ {
		text := scanner.Bytes()
		if len(text) == 0 || text[0] == '#' {
			continue
		}
		if t.Header.Name == "" {
			if err := json.Unmarshal(text, &t.Header); err != nil || t.Header.Name == "" {
				return nil, errors.Newf("line %d: the first line must be the trace's header with the field \"trace\" (see docs/traces.md): %v", number, err)
			}
			continue
		}
		var l line
		if err := json.Unmarshal(text, &l); err != nil {
			return nil, errors.Wrapf(err, "line %d: not a line of a trace (see docs/traces.md)", number)
		}
		t.expand(l, rand.New(rand.NewPCG(seed, uint64(number))))
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read the trace")
	}
	return t, t.sortAndValidate()
}

func (t *Trace) expand(l line, random *rand.Rand) {
	switch {
	case l.Arrival != nil:
		t.Arrivals = append(t.Arrivals, *l.Arrival)
	case l.ServerChange != nil:
		t.ServerChanges = append(t.ServerChanges, *l.ServerChange)
	case l.Load != nil:
		t.generateLoad(*l.Load, random)
	case l.SpeedShifts != nil:
		t.generateSpeedShifts(*l.SpeedShifts, random)
	}
}

func (t *Trace) generateLoad(l Load, random *rand.Rand) {
	if l.PerSecond <= 0 {
		return
	}
	if l.LastCaller == 0 {
		l.LastCaller = t.Header.Callers - 1
	}
	at := float64(l.From)
	for {
		at += random.ExpFloat64() / l.PerSecond * 1e6
		if at >= float64(l.To) {
			return
		}
		t.Arrivals = append(t.Arrivals, Arrival{
			At: Micros(at), Caller: l.FirstCaller + random.IntN(l.LastCaller-l.FirstCaller+1),
			Demand:   Micros(math.Max(1, random.ExpFloat64()*float64(l.MeanDemand))),
			Deadline: l.Deadline, Idempotent: random.Float64() < l.IdempotentShare,
		})
	}
}

func (t *Trace) generateSpeedShifts(s SpeedShifts, random *rand.Rand) {
	for server := range t.Header.Service.Servers {
		at := s.From
		for at < s.To {
			speed := 1.0
			if random.Float64() < s.SlowShare {
				speed = s.SlowSpeed
			}
			t.ServerChanges = append(t.ServerChanges, ServerChange{At: at, Server: server, Speed: &speed})
			at += s.Shortest + Micros(random.Float64()*float64(s.Longest-s.Shortest))
		}
		full := 1.0
		t.ServerChanges = append(t.ServerChanges, ServerChange{At: s.To, Server: server, Speed: &full})
	}
}

// sortAndValidate sorts arrivals and server changes by time and validates their indexes.
func (t *Trace) sortAndValidate() error {
	sort.SliceStable(t.Arrivals, func(i, j int) bool { return t.Arrivals[i].At < t.Arrivals[j].At })
	sort.SliceStable(t.ServerChanges, func(i, j int) bool { return t.ServerChanges[i].At < t.ServerChanges[j].At })
	h := t.Header
	if h.Callers < 1 || h.Service.Servers < 1 || h.Service.Slots < 1 {
		return errors.New("the header needs callers, service.servers and service.slots of at least 1")
	}
	for _, a := range t.Arrivals {
		if a.Caller < 0 || a.Caller >= h.Callers {
			return errors.Newf("an arrival names caller %d; the header has %d callers, counted from 0", a.Caller, h.Callers)
		}
	}
	for _, s := range t.ServerChanges {
		if s.Server < 0 || s.Server >= h.Service.Servers {
			return errors.Newf("a line names server %d; the header has %d servers, counted from 0", s.Server, h.Service.Servers)
		}
	}
	return nil
}
