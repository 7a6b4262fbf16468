package capacity

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

var render = flag.Bool("render", false, "write the generated sections of docs/CAPACITY.md")

const (
	pageFile = "../../docs/CAPACITY.md"
	folder   = "../../docs/measurements"
)

// Guards against a page that does not match the committed measurements, because it was
// edited by hand or not rendered again after new measurements.
func TestPageMatchesTheMeasurements(t *testing.T) {
	data, err := Load(folder)
	assert.NilError(t, err)
	page, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	want, err := Update(string(page), Sections(data))
	assert.NilError(t, err)
	if *render {
		assert.NilError(t, os.WriteFile(pageFile, []byte(want), 0o644))
		return
	}
	assert.Equal(t, string(page), want, "run: go test ./internal/capacity -run Page -render")
}

func TestFitLine(t *testing.T) {
	f := FitLine([]float64{1, 2, 3}, []float64{3, 5, 7})
	assert.Assert(t, f.Slope > 1.999 && f.Slope < 2.001)
	assert.Assert(t, f.At(10) > 20.999 && f.At(10) < 21.001)
}
