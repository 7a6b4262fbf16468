package emulator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const folder = "../../traces/emulations"

func readScenario(t testing.TB, file string) *Scenario {
	t.Helper()
	f, err := os.Open(file)
	assert.NilError(t, err)
	defer f.Close()
	s, err := Read(f)
	assert.NilError(t, err, file)
	return s
}

func scenarios(t testing.TB) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	return files
}

// Checks the expectations in each scenario. They bound the metrics of the production
// variant, either directly or relative to another variant that is run with the same
// requests and the same noise.
func TestScenariosMeetTheirExpectations(t *testing.T) {
	checkExpectations(t, func(*Scenario) {})
}

// Checks the same expectations with backend servers where a change of speed also affects
// the requests that are already running. The gates are not told which kind of server they
// have and must meet the expectations with both.
func TestScenariosMeetTheirExpectationsWithVaryingSpeed(t *testing.T) {
	checkExpectations(t, func(s *Scenario) { eachService(s, func(v *Service) { v.KeepsPace = false }) })
}

func checkExpectations(t *testing.T, change func(*Scenario)) {
	for _, file := range scenarios(t) {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			t.Parallel()
			s := readScenario(t, file)
			change(s)
			var results []*Result
			for _, name := range PoliciesNeeded(s) {
				v, err := Find(name)
				assert.NilError(t, err)
				results = append(results, Run(s, v, 1))
			}
			for _, r := range results {
				assert.Equal(t, r.RunTwice, 0, r.Policy)
				assert.Equal(t, r.FalseNotRun, 0, r.Policy)
			}
			for _, miss := range Check(s, results) {
				t.Error(miss)
			}
		})
	}
}

// The same seed must give the same figures, and another seed different ones.
func TestRunIsDeterministic(t *testing.T) {
	s := readScenario(t, filepath.Join(folder, "alder-finch-usual.json"))
	v, err := Find(ProductionVariant)
	assert.NilError(t, err)
	first := Run(s, v, 1)
	assert.DeepEqual(t, first, Run(s, v, 1))
	assert.Assert(t, first.Asked != Run(s, v, 2).Asked)
}

func TestReadRejectsInvalidScenarios(t *testing.T) {
	const service = `"services":[{"name":"a","endpoints":1,"slots":1}]`
	cases := []struct{ desc, text, want string }{
		{"not JSON", `{`, "not a scenario"},
		{"unknown field", `{"nmae":"x"}`, "nmae"},
		{"no services", `{"dataCenters":1,"duration":1000}`, "needs dataCenters"},
		{"unknown service", `{"dataCenters":1,"duration":1000,` + service + `,"classes":[{"name":"c","service":"b","work":1,"timeout":1}]}`, `names the service "b"`},
		{"no timeout", `{"dataCenters":1,"duration":1000,` + service + `,"classes":[{"name":"c","service":"a","work":1}]}`, "a timeout above 0"},
		{"unknown call", `{"dataCenters":1,"duration":1000,` + service + `,"classes":[{"name":"c","service":"a","work":1,"timeout":1,"calls":["d"]}]}`, `calls "d"`},
		{"unknown event", `{"dataCenters":1,"duration":1000,` + service + `,"classes":[{"name":"c","service":"a","work":1,"timeout":1}],"events":[{"kind":"rain"}]}`, "use burst, slow, cold, reject, stop or restart"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, err := Read(strings.NewReader(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// Load: all backend servers of the leading service reject 55 of 100 requests for 8 s, and
// clients come back once. Guards against a retry budget that goes to requests whose clients come
// back anyway, against requests served later for it, and against exceeding the budget.
func TestRetriesByNeedServeMore(t *testing.T) {
	s := readScenario(t, filepath.Join(folder, "sao-khue-busy.json"))
	firstCome := Without(0)
	firstCome.RetryFractions = true
	byNeed, err := Find(ByNeedVariant)
	assert.NilError(t, err)
	const runs = 3
	var sum [2]Result
	for seed := range uint64(runs) {
		for i, v := range []Variant{firstCome, byNeed} {
			r := Run(s, v, seed+1)
			assert.Equal(t, r.RunTwice, 0)
			assert.Equal(t, r.FalseNotRun, 0)
			sum[i].Served += r.Served / runs
			sum[i].RefusedTwice += r.RefusedTwice / runs
			sum[i].InAim += r.InAim / runs
			sum[i].Retries += (r.Retries + r.Hedges) / runs
		}
	}
	for i, name := range []string{"first-come", "by need"} {
		t.Logf("%s: served %.4f, refused twice %.4f, in aim %.4f, retries and hedged requests %.4f a request", name, sum[i].Served, sum[i].RefusedTwice, sum[i].InAim, sum[i].Retries)
	}
	assert.Assert(t, sum[1].Served > sum[0].Served)
	assert.Assert(t, sum[1].RefusedTwice < sum[0].RefusedTwice)
	assert.Assert(t, sum[1].InAim > sum[0].InAim)
	assert.Assert(t, sum[1].Retries < sum[0].Retries*1.05)
}

// BenchmarkPolicies reports for each policy and scenario the share of requests answered
// in time, the earned value as a share of the possible value, and the 99th percentile of
// the latency.
func BenchmarkPolicies(b *testing.B) {
	for _, file := range scenarios(b) {
		s := readScenario(b, file)
		for _, v := range Variants() {
			b.Run(s.Name+"/"+v.Name, func(b *testing.B) {
				var inAim, value, p99 float64
				for i := range b.N {
					r := Run(s, v, uint64(i)+1)
					inAim, value, p99 = inAim+r.InAim, value+r.Value, p99+r.P99
				}
				b.ReportMetric(inAim/float64(b.N), "in-aim")
				b.ReportMetric(value/float64(b.N), "value")
				b.ReportMetric(p99/float64(b.N), "p99-ms")
			})
		}
	}
}
