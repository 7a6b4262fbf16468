package replay

import (
	"os"
	"path/filepath"
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

// Every committed trace is replayed and must meet what it states: nothing lost,
// nothing run twice, every "not run" true, the measuring budget kept in every
// window of a second, and the latencies named in its header.
func TestTracesMeetTheirStatedOutcomes(t *testing.T) {
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
