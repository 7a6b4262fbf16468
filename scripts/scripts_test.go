// Package scripts contains the tests of the shell scripts and the import rules.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// CI skips the tests in the list. A malformed entry must stop CI with its line number and the
// expected format. If it were ignored, CI would skip the wrong tests, or fail on a test that is
// known to fail.
func TestKnownRedList(t *testing.T) {
	const entry = "TestSoak | go test ./internal/soak -seed 7 | two answers cut | issue 12"
	for _, c := range []struct{ desc, list, want, wantErr string }{
		{"no entries", "# none at present\n\n", "", ""},
		{"one entry", entry + "\n", "^(TestSoak)$", ""},
		{"more than three entries", strings.Repeat(entry+"\n", 4), "^(TestSoak|TestSoak|TestSoak|TestSoak)$", ""},
		{"no newline at the end", entry, "^(TestSoak)$", ""},
		{"no command", "TestSoak | | two answers cut | issue 12\n", "", ":1: not an entry"},
		{"three fields", "TestSoak | two answers cut | issue 12\n", "", ":1: not an entry"},
		{"no issue", entry + "\nTestSoak | go test | cut | later\n", "", ":2: not an entry"},
		{"pattern instead of a name", "Test.* | go test | cut | issue 1\n", "", ":1: not an entry"},
		{"comma-separated entry", "TestSoak, two answers cut, issue 12\n", "", ":1: not an entry"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			assert.NilError(t, os.WriteFile(file, []byte(c.list), 0o600))
			cmd := exec.Command("./known-red.sh", file)
			var stderr strings.Builder
			cmd.Stderr = &stderr
			out, err := cmd.Output()
			assert.Equal(t, err != nil, c.wantErr != "", stderr.String())
			assert.Assert(t, strings.Contains(stderr.String(), c.wantErr), stderr.String())
			assert.Equal(t, strings.TrimSpace(string(out)), c.want)
		})
	}
}

// A site whose gate fails, or whose run prints no gate result, must not be reported as
// passed: the table lists both, and the exit code is 1.
func TestScoreTable(t *testing.T) {
	folder := t.TempDir()
	bench := filepath.Join(folder, "bench")
	text := `#!/bin/sh
case "$2" in
*shifted*) echo "GATE failed: trouble-1: R broken" ;;
*large*) exit 1 ;;
*) echo "GATE passed" ;;
esac
echo "quiet-1   14/0   0.70  0.900  0.951   0.001  0.002  worst windows 0.83"
echo "trouble-1 14/0   0.78  0.500  0.822   0.070  0.022  worst windows 0.29  BROKEN: R 3 (else 0.41)"
echo "scale-2   14/0   0.78  0.700  0.822   0.070  0.022  worst windows 0.29"
`
	assert.NilError(t, os.WriteFile(bench, []byte(text), 0o700))
	cmd := exec.Command("bash", "../deploy/score.sh", bench, folder, "a test")
	cmd.Env = append(os.Environ(), "SCORE_LOGS="+folder)
	out, err := cmd.Output()
	assert.ErrorContains(t, err, "exit status 1")
	for _, want := range []string{"vdm-renew                          passed   0.600  0.500   trouble-1 R 3", "saokhue-bookings-now-grown         failed   0.600", "saokhue-bookings-large             none         -      -  -"} {
		assert.Assert(t, strings.Contains(string(out), want), "%q in\n%s", want, out)
	}
}
