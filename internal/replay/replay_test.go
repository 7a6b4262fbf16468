package replay

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const seed = 1

func readTrace(t *testing.T, path string) *Trace {
	t.Helper()
	f, err := os.Open(path)
	assert.NilError(t, err)
	defer f.Close()
	trace, err := Read(f, seed)
	assert.NilError(t, err)
	return trace
}

func runAll(t *testing.T, trace *Trace) []*Result {
	t.Helper()
	var results []*Result
	for _, name := range PoliciesNeeded(trace) {
		variant, err := Find(name)
		assert.NilError(t, err)
		results = append(results, Run(trace, variant, seed))
	}
	return results
}

// Replays every committed trace and checks the expectations in its header. They include
// that no request is lost or run twice, that every request reported as "not run" has not
// run, that the budget for load reports is kept in every window of one second, and limits
// on latencies.
func TestTracesMeetTheirExpectations(t *testing.T) {
	files, err := filepath.Glob("../../traces/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 20)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			trace := readTrace(t, file)
			misses, unchecked := Check(trace, runAll(t, trace))
			assert.Equal(t, unchecked, 0)
			for _, m := range misses {
				t.Error(m)
			}
		})
	}
}

// Guards against failures that cannot be reproduced: the same trace and seed must give the
// same results, byte for byte.
func TestReplayIsDeterministic(t *testing.T) {
	render := func() string {
		trace := readTrace(t, "../../traces/everything.jsonl")
		variant, err := Find(ProductionVariant)
		assert.NilError(t, err)
		text, err := json.Marshal(Run(trace, variant, seed))
		assert.NilError(t, err)
		return string(text)
	}
	assert.Equal(t, render(), render())
}

// Checks that a trace with fluctuating load exceeds the budget for load reports if the
// budget is not enforced. Otherwise the traces would keep within the budget even if its
// enforcement were broken.
func TestReportsExceedBudgetWhenItIsOff(t *testing.T) {
	trace := readTrace(t, "../../traces/alder-finch-flicker-300.jsonl")
	variant, err := Find("cactus-no-measure-budget")
	assert.NilError(t, err)
	r := Run(trace, variant, seed)
	assert.Assert(t, r.WorstReports > trace.Header.Service.ReportsPerSecond, "%d reports in the worst second", r.WorstReports)
}

// Guards against latency that grows with the number of callers, which happens if the gates'
// knowledge of each other's load depends on that number. The same traffic must not be slower
// when it comes from more callers.
func TestLatencyDoesNotGrowWithCallers(t *testing.T) {
	variant, err := Find(ProductionVariant)
	assert.NilError(t, err)
	for _, site := range []string{"sao-khue", "alder-finch"} {
		few := Run(readTrace(t, "../../traces/"+site+"-shift-6.jsonl"), variant, seed)
		many := Run(readTrace(t, "../../traces/"+site+"-shift-300.jsonl"), variant, seed)
		assert.Assert(t, many.P99 <= 1.2*few.P99, "%s: %.1f ms at 300 callers, %.1f at 6", site, many.P99, few.P99)
	}
}

func TestReadReportsInvalidTraces(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", "callers, service.servers"},
		{"{}", "line 1: the first line must be the trace's header"},
		{`{"trace": "x", "callers": 1, "service": {"servers": 1, "slots": 1}}` + "\nnonsense", "line 2: not a line of a trace"},
		{`{"trace": "x", "callers": 1, "service": {"servers": 1, "slots": 1}}` + "\n" + `{"arrival": {"caller": 5}}`, "names caller 5"},
		{`{"trace": "x", "callers": 1, "service": {"servers": 1, "slots": 1}}` + "\n" + `{"server": {"server": 5}}`, "names server 5"},
	} {
		_, err := Read(strings.NewReader(c.text), seed)
		assert.ErrorContains(t, err, c.want)
	}
}
