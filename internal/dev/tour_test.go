package dev

import (
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"k8s.io/klog/v2"

	"cactuspath/examples"
)

// The tour is a whole session: what an operator and callers did and what came
// back, byte for byte. Nothing in it depends on ports or times.
func TestTourIsAsRecorded(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	var out bytes.Buffer
	err := Tour(&out, t.TempDir(), examples.Dev)
	assert.NilError(t, err, out.String())
	golden.Assert(t, out.String(), "tour.golden")
}
