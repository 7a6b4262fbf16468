package replay

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactuspath/core/gate"
)

type callOutcome int

const (
	callAnswered callOutcome = iota
	callFailed
	callNotRun
	callUnknown
)

// Result summarizes one run. Answered, Failed, NotRun, Unknown and Lost count the calls by
// final outcome; lost calls have none.
type Result struct {
	Policy      string  `json:"policy"`
	Arrived     int     `json:"arrived"`
	Answered    int     `json:"answered"`
	Failed      int     `json:"failed"`
	NotRun      int     `json:"notRun"`
	Unknown     int     `json:"unknown"`
	Lost        int     `json:"lost"`
	RunTwice    int     `json:"runTwice"`
	FalseNotRun int     `json:"falseNotRun"`
	P50         float64 `json:"p50Ms"`
	P99         float64 `json:"p99Ms"`
	P999        float64 `json:"p999Ms"`
	Max         float64 `json:"maxMs"`
	// RefusedP99 is the 99th percentile of the time until a call ended as not run.
	RefusedP99 float64 `json:"refusedP99Ms"`
	// GoodputShare is the share of the arrived calls that were answered.
	GoodputShare float64 `json:"goodputShare"`
	Attempts     float64 `json:"attemptsPerCall"`
	Moves        float64 `json:"movesPerCall"`
	Reports      float64 `json:"reportsPerCall"`
	// WorstReports is the largest number of load reports in any sliding window of one
	// second, and WorstBytes their size.
	WorstReports int `json:"worstWindowReports"`
	WorstBytes   int `json:"worstWindowBytes"`
	// QuietP99 is the 99th percentile of the latency of the caller with the highest index,
	// which sends few requests in traces that test fairness.
	QuietP99 float64 `json:"quietP99Ms"`
	// TailP99 is the 99th percentile of the latency of calls that arrive in the last fifth
	// of the trace, for traces that test recovery.
	TailP99 float64 `json:"tailP99Ms"`
	// OverLimit is how many requests more than one and a half times the limit that it named,
	// plus 5, a server got in any sliding window of four seconds.
	OverLimit float64 `json:"overLimit"`
}

// collector accumulates the results of a run.
type collector struct {
	Result
	trace             *Trace
	latency           *hdrhistogram.Histogram
	refusalLatency    *hdrhistogram.Histogram
	lastCallerLatency *hdrhistogram.Histogram
	tailLatency       *hdrhistogram.Histogram
	attempts          int
	moves             int
	reports           []time.Duration
	// calls counts the calls that have a final outcome.
	calls int
}

const maxLatencyMicros = int64(time.Hour / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

func newCollector(policy string, trace *Trace) *collector {
	return &collector{Result: Result{Policy: policy}, trace: trace, latency: newHistogram(), refusalLatency: newHistogram(), lastCallerLatency: newHistogram(), tailLatency: newHistogram()}
}

func (c *collector) arrived(time.Duration) { c.Arrived++ }

func (c *collector) report(at time.Duration) { c.reports = append(c.reports, at) }

func (sim *simulation) complete(k *call, outcome callOutcome) {
	k.completions++
	c := sim.result
	if k.completions > 1 {
		c.RunTwice++
		return
	}
	took := sim.Now() - k.arrival.At.Duration()
	c.calls++
	switch outcome {
	case callAnswered:
		c.Answered++
		c.recordLatency(k, took)
	case callFailed:
		c.Failed++
		c.recordLatency(k, took)
	case callNotRun:
		c.NotRun++
		_ = c.refusalLatency.RecordValue(took.Microseconds())
		if k.executions > 0 {
			c.FalseNotRun++
		}
	case callUnknown:
		c.Unknown++
	}
	if k.executions > 1 && !k.arrival.Idempotent {
		c.RunTwice++
	}
}

func (c *collector) recordLatency(k *call, took time.Duration) {
	micros := took.Microseconds()
	_ = c.latency.RecordValue(micros)
	if k.arrival.Caller == c.trace.Header.Callers-1 {
		_ = c.lastCallerLatency.RecordValue(micros)
	}
	if k.arrival.At > c.trace.Header.Duration*4/5 {
		_ = c.tailLatency.RecordValue(micros)
	}
}

func (c *collector) finish() *Result {
	r := &c.Result
	ms := func(h *hdrhistogram.Histogram, q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / 1000
	}
	r.P50, r.P99, r.P999, r.Max = ms(c.latency, 50), ms(c.latency, 99), ms(c.latency, 99.9), float64(c.latency.Max())/1000
	r.RefusedP99, r.QuietP99, r.TailP99 = ms(c.refusalLatency, 99), ms(c.lastCallerLatency, 99), ms(c.tailLatency, 99)
	r.Lost = r.Arrived - c.calls
	calls := float64(max(1, r.Arrived))
	r.GoodputShare = float64(r.Answered) / calls
	r.Attempts, r.Moves, r.Reports = float64(c.attempts)/calls, float64(c.moves)/calls, float64(len(c.reports))/calls
	r.WorstReports = maxPerSecond(c.reports)
	r.WorstBytes = r.WorstReports * reportBytes
	return r
}

// reportBytes is the size of a report on the wire, as the gates account for it.
const reportBytes = gate.ReportBytes

// maxPerSecond returns the largest number of events in any window of one second.
func maxPerSecond(at []time.Duration) int {
	worst, first := 0, 0
	for i := range at {
		for at[i]-at[first] >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// metrics returns the values of all metrics by the names used in Expect.Metric.
func (r *Result) metrics() map[string]float64 {
	return map[string]float64{
		"answered": float64(r.Answered), "failed": float64(r.Failed), "notRun": float64(r.NotRun), "unknown": float64(r.Unknown),
		"lost": float64(r.Lost), "runTwice": float64(r.RunTwice), "falseNotRun": float64(r.FalseNotRun),
		"p50": r.P50, "p99": r.P99, "p999": r.P999, "max": r.Max, "refusedP99": r.RefusedP99, "quietP99": r.QuietP99, "tailP99": r.TailP99,
		"goodputShare": r.GoodputShare, "attempts": r.Attempts, "moves": r.Moves, "reports": r.Reports,
		"worstReports": float64(r.WorstReports), "worstBytes": float64(r.WorstBytes),
		"overLimit": r.OverLimit, "failedShare": float64(r.Failed) / float64(max(1, r.Arrived)),
	}
}

// Miss is an expectation that was not met, with the value that was measured.
type Miss struct {
	Expect Expect
	Got    float64
}

// String describes the expectation and the value measured.
func (m Miss) String() string {
	what := fmt.Sprintf("%s of %s", m.Expect.Metric, m.Expect.Policy)
	if m.Expect.RatioTo != "" {
		what += " over " + m.Expect.RatioTo
	}
	if m.Expect.Max != nil {
		return fmt.Sprintf("%s is %.3f, more than the %.3f stated", what, m.Got, *m.Expect.Max)
	}
	return fmt.Sprintf("%s is %.3f, less than the %.3f stated", what, m.Got, *m.Expect.Min)
}

// Check returns the expectations of the trace that the results do not meet. It skips
// expectations that refer to a policy without a result, and returns their number in
// unchecked.
func Check(trace *Trace, results []*Result) (misses []Miss, unchecked int) {
	byName := map[string]*Result{}
	for _, r := range results {
		byName[r.Policy] = r
	}
	for _, e := range trace.Header.Expect {
		r := byName[e.Policy]
		base := byName[e.RatioTo]
		if r == nil || e.RatioTo != "" && base == nil {
			unchecked++
			continue
		}
		got := r.metrics()[e.Metric]
		if base != nil {
			got /= base.metrics()[e.Metric]
		}
		if e.Max != nil && !(got <= *e.Max) || e.Min != nil && !(got >= *e.Min) {
			misses = append(misses, Miss{e, got})
		}
	}
	return misses, unchecked
}

// PoliciesNeeded returns the names of the variants that must be run to check the trace:
// ProductionVariant and those that the expectations refer to.
func PoliciesNeeded(trace *Trace) []string {
	seen := map[string]bool{ProductionVariant: true}
	for _, e := range trace.Header.Expect {
		seen[e.Policy] = true
		if e.RatioTo != "" {
			seen[e.RatioTo] = true
		}
	}
	var names []string
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
