package emulator

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result sums up one run. Shares are of what was asked, weighed by value where
// the name says so.
type Result struct {
	Policy string `json:"policy"`
	Asked  int    `json:"asked"`
	// Value is what was earned of what could have been; WorstSeconds the same for
	// the two worst spans of two seconds, WorstClass for the worst class.
	Value        float64 `json:"value"`
	WorstSeconds float64 `json:"worstSeconds"`
	WorstClass   float64 `json:"worstClass"`
	// Served is the share that got an answer, in time or late; InAim in time.
	Served float64 `json:"served"`
	InAim  float64 `json:"inAim"`
	// RefusedTwice is the share that came back after a refusal and failed again.
	RefusedTwice float64 `json:"refusedTwice"`
	P50          float64 `json:"p50Ms"`
	P99          float64 `json:"p99Ms"`
	Attempts     float64 `json:"attemptsPerRequest"`
	Moves        float64 `json:"movesPerRequest"`
	Retries      float64 `json:"retriesPerRequest"`
	Hedges       float64 `json:"hedgesPerRequest"`
	RunTwice     int     `json:"runTwice"`
	FalseNotRun  int     `json:"falseNotRun"`
	// Crashes counts the cold servers that ended under too many requests.
	Crashes int `json:"crashes"`
	// Afterwards is the share of the value that was earned of what was asked from two
	// seconds after the last event, when servers that had to start again are warm.
	Afterwards float64       `json:"afterwards"`
	Classes    []ClassResult `json:"classes"`
}

// ClassResult is the part of one class.
type ClassResult struct {
	Class   string  `json:"class"`
	Asked   int     `json:"asked"`
	InAim   int     `json:"inAim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Value   float64 `json:"value"`
}

// windowLength is the span of the worst seconds.
const windowLength = 2 * time.Second

type earned struct{ got, could float64 }

func (e earned) share() float64 {
	if e.could == 0 {
		return 1
	}
	return e.got / e.could
}

type collector struct {
	scenario                 *Scenario
	result                   Result
	classes                  map[string]*ClassResult
	values                   map[string]*earned
	windows                  []earned
	total                    earned
	latency                  *hdrhistogram.Histogram
	served, inAim, twice     int
	attempts, moves, retries int
	hedges                   int
	runTwice, falseNotRun    int
	crashes                  int
	// recovered is when the last event has passed; seconds are the books of each.
	recovered time.Duration
	seconds   []earned
}

const longestLatency = int64(time.Minute / time.Microsecond)

func newCollector(policy string, scenario *Scenario) *collector {
	windows := int(scenario.Duration.Duration()/windowLength) + 1
	return &collector{scenario: scenario, result: Result{Policy: policy}, classes: map[string]*ClassResult{}, values: map[string]*earned{}, windows: make([]earned, windows), recovered: recoveredAt(scenario), seconds: make([]earned, int(scenario.Duration.Duration()/time.Second)+1),
		latency: hdrhistogram.New(1, longestLatency, 3)}
}

func (c *collector) asked(r *asked) {
	c.result.Asked++
	name := r.class.Name
	if c.classes[name] == nil {
		c.classes[name], c.values[name] = &ClassResult{Class: name}, &earned{}
	}
	c.classes[name].Asked++
	for _, e := range c.books(r) {
		e.could += r.class.Value
	}
}

// books are where a request counts.
func (c *collector) books(r *asked) []*earned {
	return []*earned{&c.total, c.values[r.class.Name], &c.windows[r.first/windowLength], &c.seconds[r.first/time.Second]}
}

// recoveryTime is how long a service may take once its servers are warm.
const recoveryTime = 2 * time.Second

// recoveredAt is when the last event is over, its servers are warm, and the service had
// its time to recover.
func recoveredAt(s *Scenario) (at time.Duration) {
	cold := time.Duration(0)
	for _, service := range s.Services {
		cold = max(cold, service.Cold.For.Duration())
	}
	for _, e := range s.Events {
		at = max(at, e.At.Duration()+e.For.Duration()+cold+recoveryTime)
	}
	return at
}

// afterwards is the share of what was asked since the service recovered.
func (c *collector) afterwards() float64 {
	var sum earned
	for second, e := range c.seconds {
		if time.Duration(second)*time.Second >= c.recovered {
			sum.got, sum.could = sum.got+e.got, sum.could+e.could
		}
	}
	return sum.share()
}

func (c *collector) ended(r *asked, end outcome) {
	class := c.classes[r.class.Name]
	value := 0.0
	took := r.s.now() - r.first
	switch {
	case end == answered && took <= r.class.Aim.Duration():
		class.InAim++
		c.inAim++
		value = r.class.Value
	case end == answered:
		class.Late++
		value = r.class.LateValue
	case end == notRun:
		class.Refused++
	default:
		class.Failed++
	}
	if end == answered {
		c.served++
		_ = c.latency.RecordValue(took.Microseconds())
	} else if r.refused {
		c.twice++
	}
	for _, e := range c.books(r) {
		e.got += value
	}
}

func (c *collector) finish() *Result {
	r := &c.result
	asked := float64(max(1, r.Asked))
	r.Value, r.WorstSeconds = c.total.share(), c.worstSeconds()
	r.WorstClass = 1
	for _, class := range c.scenario.Classes {
		held := c.classes[class.Name]
		if held == nil {
			continue
		}
		held.Value = c.values[class.Name].share()
		r.WorstClass = min(r.WorstClass, held.Value)
		r.Classes = append(r.Classes, *held)
	}
	r.Served, r.InAim, r.RefusedTwice = float64(c.served)/asked, float64(c.inAim)/asked, float64(c.twice)/asked
	r.P50, r.P99 = float64(c.latency.ValueAtQuantile(50))/1000, float64(c.latency.ValueAtQuantile(99))/1000
	r.Attempts, r.Moves, r.Retries, r.Hedges = float64(c.attempts)/asked, float64(c.moves)/asked, float64(c.retries)/asked, float64(c.hedges)/asked
	r.RunTwice, r.FalseNotRun = c.runTwice, c.falseNotRun
	r.Crashes, r.Afterwards = c.crashes, c.afterwards()
	return r
}

// worstSeconds is the mean of the two worst windows.
func (c *collector) worstSeconds() float64 {
	var shares []float64
	for _, w := range c.windows {
		if w.could > 0 {
			shares = append(shares, w.share())
		}
	}
	sort.Float64s(shares)
	if len(shares) < 2 {
		return c.total.share()
	}
	return (shares[0] + shares[1]) / 2
}

// metrics gives every number by the name that Expect uses.
func (r *Result) metrics() map[string]float64 {
	return map[string]float64{
		"value": r.Value, "worstSeconds": r.WorstSeconds, "worstClass": r.WorstClass, "served": r.Served, "inAim": r.InAim, "refusedTwice": r.RefusedTwice,
		"p50": r.P50, "p99": r.P99, "attempts": r.Attempts, "moves": r.Moves, "retries": r.Retries, "hedges": r.Hedges,
		"runTwice": float64(r.RunTwice), "falseNotRun": float64(r.FalseNotRun),
		"crashes": float64(r.Crashes), "afterwards": r.Afterwards,
	}
}

// Check names the stated outcomes that were missed.
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

// PoliciesNeeded lists the policies that a scenario's stated outcomes speak of,
// the chosen one first.
func PoliciesNeeded(s *Scenario) []string {
	names := []string{Chosen}
	for _, e := range s.Expect {
		for _, name := range []string{e.Policy, e.RatioTo} {
			if name != "" && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}
