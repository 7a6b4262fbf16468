package emulator

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactuspath/core/gate"
)

// Result summarizes one run. Asked is the number of client requests. Value, WorstSeconds,
// WorstClass and Afterwards are the earned value as a share of the possible value; all
// other shares are shares of Asked.
type Result struct {
	Policy string `json:"policy"`
	Asked  int    `json:"asked"`
	// Value covers the whole run. WorstSeconds is the mean of the two windows of two
	// seconds in which the share is lowest, and WorstClass is the lowest share of any class.
	Value        float64 `json:"value"`
	WorstSeconds float64 `json:"worstSeconds"`
	WorstClass   float64 `json:"worstClass"`
	// Served is the share of requests that were answered, in time or late, and InAim the
	// share that were answered in time.
	Served float64 `json:"served"`
	InAim  float64 `json:"inAim"`
	// RefusedTwice is the share of requests that a client retried because they had not been
	// run, and that were not answered after the retry either.
	RefusedTwice float64 `json:"refusedTwice"`
	P50          float64 `json:"p50Ms"`
	P99          float64 `json:"p99Ms"`
	Attempts     float64 `json:"attemptsPerRequest"`
	Moves        float64 `json:"movesPerRequest"`
	Retries      float64 `json:"retriesPerRequest"`
	Hedges       float64 `json:"hedgesPerRequest"`
	RunTwice     int     `json:"runTwice"`
	FalseNotRun  int     `json:"falseNotRun"`
	// Crashes counts the crashes of cold servers that got requests at too high a rate.
	Crashes int `json:"crashes"`
	// Afterwards covers the requests first sent two seconds or more after the last event
	// has ended and the servers that it restarted are warm.
	Afterwards float64       `json:"afterwards"`
	Classes    []ClassResult `json:"classes"`
	// Learned holds the profiles of the services at the end of the run.
	Learned map[string]gate.Learned `json:"-"`
}

// ClassResult summarizes the requests of one class: the number of client requests, the
// numbers by outcome, and the earned value as a share of the possible value.
type ClassResult struct {
	Class   string  `json:"class"`
	Asked   int     `json:"asked"`
	InAim   int     `json:"inAim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Value   float64 `json:"value"`
}

// windowLength is the length of the windows from which Result.WorstSeconds is computed.
const windowLength = 2 * time.Second

// valueTally is the value that was earned and that could have been earned.
type valueTally struct{ earned, possible float64 }

func (e valueTally) share() float64 {
	if e.possible == 0 {
		return 1
	}
	return e.earned / e.possible
}

// collector accumulates the results of a run.
type collector struct {
	scenario                    *Scenario
	result                      Result
	classes                     map[string]*ClassResult
	classValues                 map[string]*valueTally
	windows                     []valueTally
	total                       valueTally
	latency                     *hdrhistogram.Histogram
	served, inAim, refusedTwice int
	attempts, moves, retries    int
	hedges                      int
	runTwice, falseNotRun       int
	crashes                     int
	// recoveredAt is the start of the period that Result.Afterwards covers. seconds
	// contains a tally for each second of the run.
	recoveredAt time.Duration
	seconds     []valueTally
}

const maxLatencyMicros = int64(time.Minute / time.Microsecond)

func newCollector(policy string, scenario *Scenario) *collector {
	windows := int(scenario.Duration.Duration()/windowLength) + 1
	return &collector{scenario: scenario, result: Result{Policy: policy}, classes: map[string]*ClassResult{}, classValues: map[string]*valueTally{}, windows: make([]valueTally, windows), recoveredAt: recoveryEnd(scenario), seconds: make([]valueTally, int(scenario.Duration.Duration()/time.Second)+1),
		latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

func (c *collector) recordRequest(r *clientRequest) {
	c.result.Asked++
	name := r.class.Name
	if c.classes[name] == nil {
		c.classes[name], c.classValues[name] = &ClassResult{Class: name}, &valueTally{}
	}
	c.classes[name].Asked++
	for _, e := range c.tallies(r) {
		e.possible += r.class.Value
	}
}

// tallies returns the tallies that a request counts towards.
func (c *collector) tallies(r *clientRequest) []*valueTally {
	return []*valueTally{&c.total, c.classValues[r.class.Name], &c.windows[r.firstSent/windowLength], &c.seconds[r.firstSent/time.Second]}
}

// recoveryAllowance is how long a service may take to recover once its servers are warm.
const recoveryAllowance = 2 * time.Second

// recoveryEnd returns the time at which all services should have recovered: recoveryAllowance
// after the last event has ended and the servers that it restarted are warm.
func recoveryEnd(s *Scenario) (at time.Duration) {
	cold := time.Duration(0)
	for _, service := range s.Services {
		cold = max(cold, service.ColdStart.For.Duration())
	}
	for _, e := range s.Events {
		at = max(at, e.At.Duration()+e.For.Duration()+cold+recoveryAllowance)
	}
	return at
}

// valueAfterRecovery returns the share of the possible value that was earned by requests
// first sent after the recovery.
func (c *collector) valueAfterRecovery() float64 {
	var sum valueTally
	for second, e := range c.seconds {
		if time.Duration(second)*time.Second >= c.recoveredAt {
			sum.earned, sum.possible = sum.earned+e.earned, sum.possible+e.possible
		}
	}
	return sum.share()
}

func (c *collector) recordOutcome(r *clientRequest, end callOutcome) {
	class := c.classes[r.class.Name]
	value := 0.0
	took := r.sim.now() - r.firstSent
	switch {
	case end == callAnswered && took <= r.class.Aim.Duration():
		class.InAim++
		c.inAim++
		value = r.class.Value
	case end == callAnswered:
		class.Late++
		value = r.class.LateValue
	case end == callNotRun:
		class.Refused++
	default:
		class.Failed++
	}
	if end == callAnswered {
		c.served++
		_ = c.latency.RecordValue(took.Microseconds())
	} else if r.refused {
		c.refusedTwice++
	}
	for _, e := range c.tallies(r) {
		e.earned += value
	}
}

func (c *collector) finish() *Result {
	r := &c.result
	asked := float64(max(1, r.Asked))
	r.Value, r.WorstSeconds = c.total.share(), c.worstSeconds()
	r.WorstClass = 1
	for _, class := range c.scenario.Classes {
		classResult := c.classes[class.Name]
		if classResult == nil {
			continue
		}
		classResult.Value = c.classValues[class.Name].share()
		r.WorstClass = min(r.WorstClass, classResult.Value)
		r.Classes = append(r.Classes, *classResult)
	}
	r.Served, r.InAim, r.RefusedTwice = float64(c.served)/asked, float64(c.inAim)/asked, float64(c.refusedTwice)/asked
	r.P50, r.P99 = float64(c.latency.ValueAtQuantile(50))/1000, float64(c.latency.ValueAtQuantile(99))/1000
	r.Attempts, r.Moves, r.Retries, r.Hedges = float64(c.attempts)/asked, float64(c.moves)/asked, float64(c.retries)/asked, float64(c.hedges)/asked
	r.RunTwice, r.FalseNotRun = c.runTwice, c.falseNotRun
	r.Crashes, r.Afterwards = c.crashes, c.valueAfterRecovery()
	return r
}

// worstSeconds returns the mean share of earned value in the two windows where it is lowest.
func (c *collector) worstSeconds() float64 {
	var shares []float64
	for _, w := range c.windows {
		if w.possible > 0 {
			shares = append(shares, w.share())
		}
	}
	sort.Float64s(shares)
	if len(shares) < 2 {
		return c.total.share()
	}
	return (shares[0] + shares[1]) / 2
}

// metrics returns the values of all metrics by the names used in Expect.Metric.
func (r *Result) metrics() map[string]float64 {
	return map[string]float64{
		"value": r.Value, "worstSeconds": r.WorstSeconds, "worstClass": r.WorstClass, "served": r.Served, "inAim": r.InAim, "refusedTwice": r.RefusedTwice,
		"p50": r.P50, "p99": r.P99, "attempts": r.Attempts, "moves": r.Moves, "retries": r.Retries, "hedges": r.Hedges,
		"runTwice": float64(r.RunTwice), "falseNotRun": float64(r.FalseNotRun),
		"crashes": float64(r.Crashes), "afterwards": r.Afterwards,
	}
}

// Check returns a description of each expectation of the scenario that the results do not
// meet. It skips expectations that refer to a policy without a result.
func Check(s *Scenario, results []*Result) (misses []string) {
	byName := map[string]*Result{}
	for _, r := range results {
		byName[r.Policy] = r
	}
	for _, e := range s.Expect {
		r, base := byName[e.Policy], byName[e.RatioTo]
		if r == nil || e.RatioTo != "" && base == nil {
			continue
		}
		got, what := r.metrics()[e.Metric], e.Metric+" of "+e.Policy
		if base != nil {
			got, what = got/base.metrics()[e.Metric], what+" over "+e.RatioTo
		}
		if e.Max != nil && !(got <= *e.Max) {
			misses = append(misses, fmt.Sprintf("%s is %.3f, more than the %.3f stated", what, got, *e.Max))
		}
		if e.Min != nil && !(got >= *e.Min) {
			misses = append(misses, fmt.Sprintf("%s is %.3f, less than the %.3f stated", what, got, *e.Min))
		}
	}
	return misses
}

// PoliciesNeeded returns the names of the variants that must be run to check the scenario:
// ProductionVariant, followed by those that the expectations refer to.
func PoliciesNeeded(s *Scenario) []string {
	names := []string{ProductionVariant}
	for _, e := range s.Expect {
		for _, name := range []string{e.Policy, e.RatioTo} {
			if name != "" && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}
