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

// TestTourMatchesGoldenFile guards against any change in what operators and callers see in a
// complete session. The output does not depend on ports or times and is compared byte for
// byte.
func TestTourMatchesGoldenFile(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	var out bytes.Buffer
	err := Tour(&out, t.TempDir(), examples.Dev)
	assert.NilError(t, err, out.String())
	golden.Assert(t, out.String(), "tour.golden")
}
