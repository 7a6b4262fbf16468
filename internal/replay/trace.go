// Package replay runs a recorded trace of one service and its callers through
// the very decision code that runs in the nodes (core/balancer, core/gate,
// core/retry, core/measure), in virtual time, and holds the outcome against
// what the trace states. The same trace and seed give the same bytes.
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

// Micros is a time in a trace: microseconds since its start.
type Micros int64

// Duration converts to a duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Header is the first line of a trace.
type Header struct {
	Name    string  `json:"trace"`
	Service Service `json:"service"`
	Callers int     `json:"callers"`
	// Distance is the one-way delay between any two hosts.
	Distance Micros `json:"distance"`
	// Duration is when the last arrival may come.
	Duration Micros   `json:"duration"`
	Expect   []Expect `json:"expect"`
}

// Service is what the estate says of the service, and its endpoints.
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

// Expect is one stated outcome: a metric of a policy's run, at most Max (or at
// least Min), in itself or as a ratio to another policy's in the same run.
type Expect struct {
	Policy  string   `json:"policy"`
	Metric  string   `json:"metric"`
	RatioTo string   `json:"ratioTo,omitempty"`
	Max     *float64 `json:"max,omitempty"`
	Min     *float64 `json:"min,omitempty"`
}

// Arrival is one request.
type Arrival struct {
	At     Micros `json:"at"`
	Caller int    `json:"caller"`
	// Demand is the work at speed 1.
	Demand Micros `json:"demand"`
	// Deadline counts from the arrival.
	Deadline   Micros `json:"deadline"`
	Idempotent bool   `json:"idempotent,omitempty"`
}

// Server is one change in a backend server's behaviour. Fields that are nil
// leave what was.
type Server struct {
	At     Micros   `json:"at"`
	Server int      `json:"server"`
	Speed  *float64 `json:"speed,omitempty"`
	// FailFast makes it answer every request at once with a failure.
	FailFast *bool `json:"failFast,omitempty"`
	Draining *bool `json:"draining,omitempty"`
	// Cold starts it cold: its gate ramps up.
	Cold bool `json:"cold,omitempty"`
	// Kill ends the work in flight; it answers again at once.
	Kill bool `json:"kill,omitempty"`
	// RestartNode loses the gate's state with all connections.
	RestartNode bool `json:"restartNode,omitempty"`
	// ReportDelay, ReportIdle and ReportFrozen falsify what its gate reports.
	ReportDelay  *Micros `json:"reportDelay,omitempty"`
	ReportIdle   *bool   `json:"reportIdle,omitempty"`
	ReportFrozen *bool   `json:"reportFrozen,omitempty"`
	// LoseAnswers is the share of answers lost on the way, 0 to 1.
	LoseAnswers *float64 `json:"loseAnswers,omitempty"`
}

// Load generates arrivals, so that a trace of a hundred thousand requests is
// one line. Every draw comes from the seed.
type Load struct {
	From Micros `json:"from"`
	To   Micros `json:"to"`
	// PerSecond is the rate over all callers, Poisson arrivals.
	PerSecond  float64 `json:"perSecond"`
	MeanDemand Micros  `json:"meanDemand"`
	Deadline   Micros  `json:"deadline"`
	// IdempotentShare of the requests may run twice.
	IdempotentShare float64 `json:"idempotentShare"`
	// Callers restricts the load to callers FirstCaller up to LastCaller.
	FirstCaller int `json:"firstCaller"`
	LastCaller  int `json:"lastCaller"`
}

// Shifts generates changes of speed at every server: phases of a length drawn
// between Shortest and Longest, slow with the given share.
type Shifts struct {
	From      Micros  `json:"from"`
	To        Micros  `json:"to"`
	Shortest  Micros  `json:"shortest"`
	Longest   Micros  `json:"longest"`
	SlowShare float64 `json:"slowShare"`
	SlowSpeed float64 `json:"slowSpeed"`
}

// Trace is a whole trace, in order of time.
type Trace struct {
	Header   Header
	Arrivals []Arrival
	Servers  []Server
}

type line struct {
	Arrival *Arrival `json:"arrival"`
	Server  *Server  `json:"server"`
	Load    *Load    `json:"load"`
	Shifts  *Shifts  `json:"shifts"`
}

const maxLine = 1 << 20

// Read reads a trace and expands its generators with the seed.
func Read(in io.Reader, seed uint64) (*Trace, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
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
	return t, t.check()
}

func (t *Trace) expand(l line, random *rand.Rand) {
	switch {
	case l.Arrival != nil:
		t.Arrivals = append(t.Arrivals, *l.Arrival)
	case l.Server != nil:
		t.Servers = append(t.Servers, *l.Server)
	case l.Load != nil:
		t.generateLoad(*l.Load, random)
	case l.Shifts != nil:
		t.generateShifts(*l.Shifts, random)
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

func (t *Trace) generateShifts(s Shifts, random *rand.Rand) {
	for server := range t.Header.Service.Servers {
		at := s.From
		for at < s.To {
			speed := 1.0
			if random.Float64() < s.SlowShare {
				speed = s.SlowSpeed
			}
			t.Servers = append(t.Servers, Server{At: at, Server: server, Speed: &speed})
			at += s.Shortest + Micros(random.Float64()*float64(s.Longest-s.Shortest))
		}
		full := 1.0
		t.Servers = append(t.Servers, Server{At: s.To, Server: server, Speed: &full})
	}
}

func (t *Trace) check() error {
	sort.SliceStable(t.Arrivals, func(i, j int) bool { return t.Arrivals[i].At < t.Arrivals[j].At })
	sort.SliceStable(t.Servers, func(i, j int) bool { return t.Servers[i].At < t.Servers[j].At })
	h := t.Header
	if h.Callers < 1 || h.Service.Servers < 1 || h.Service.Slots < 1 {
		return errors.New("the header needs callers, service.servers and service.slots of at least 1")
	}
	for _, a := range t.Arrivals {
		if a.Caller < 0 || a.Caller >= h.Callers {
			return errors.Newf("an arrival names caller %d; the header has %d callers, counted from 0", a.Caller, h.Callers)
		}
	}
	for _, s := range t.Servers {
		if s.Server < 0 || s.Server >= h.Service.Servers {
			return errors.Newf("a line names server %d; the header has %d servers, counted from 0", s.Server, h.Service.Servers)
		}
	}
	return nil
}
