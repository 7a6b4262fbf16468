package explain

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Guards against a wrong selection or order of log entries and a wrong cause, including entries of
// another request whose ID begins with the ID of the requested one. The logs in testdata are
// excerpts from a run of twelve nodes.
func TestRecordedRequests(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	assert.NilError(t, err)
	for name, request := range map[string]string{
		"full":         "0d31097d4e9293ad",
		"too-late":     "7c81c8634c1e878c",
		"time-ran-out": "d8af877dd715d5d7",
		"leaving":      "79ab23b09dd09771",
		"status-500":   "0a9abc12ce666640",
		"caller-gone":  "905c86a0fb298a90",
		"not-in-a-log": "ffffffffffffffff",
		"shorter-id":   "0d31097d",
	} {
		t.Run(name, func(t *testing.T) {
			timeline, err := Read(request, files)
			assert.NilError(t, err)
			var out strings.Builder
			assert.NilError(t, timeline.Write(&out))
			golden.Assert(t, out.String(), name+".golden")
		})
	}
}

const headerPrefix = "I0102 10:00:00.00000"

// readLines writes the lines to a log, each with a klog header, and reads the request's timeline
// from it.
func readLines(t *testing.T, request string, lines ...string) *Timeline {
	t.Helper()
	var log strings.Builder
	for i, line := range lines {
		log.WriteString(headerPrefix + string(rune('0'+i)) + "  1 file.go:1] " + line + "\n")
	}
	file := filepath.Join(t.TempDir(), "node.log")
	assert.NilError(t, os.WriteFile(file, []byte(log.String()), 0o600))
	timeline, err := Read(request, []string{file})
	assert.NilError(t, err)
	return timeline
}

// Guards against attributing a failure to the backend server that answered when a call that it made
// was refused elsewhere.
func TestFailedCallIsTheCauseOfItsParentsFailure(t *testing.T) {
	timeline := readLines(t, "7a33",
		`"Gate decided" request="7a33" attempt="a-1-1" host="host-1" outcome="started" running=4 slots=6 service="508.5ms"`,
		`"Gate decided" request="7a33.dcdf" attempt="a-2-1" host="host-2" outcome="refused" reason="too-late" running=6 waiting=0 slots=6 service="425.9ms" slowdown=7 everywhere=true`,
		`"Given up" request="7a33.dcdf" fault="deadline-passed" reason="too-late" took="302.5µs" left="69.6ms"`,
		`"Answered" request="7a33" status=500 took="927.8ms" err=null`)
	assert.Equal(t, timeline.Cause(), "the backend server answered with status 500 after 927.8ms; a call that it made failed (7a33.dcdf): deadline-passed: the request could not have finished in the time that was left; "+
		"host-2 had 6 of 6 slots in use and 0 waiting, and expected the request to take 425.9ms, 7 times the usual; its siblings were as busy")
}

// Guards against reporting the load of a gate that refused an earlier attempt as the cause,
// although a later attempt failed for another reason.
func TestEarlierRefusalIsNotTheCause(t *testing.T) {
	s := readLines(t, "51c2",
		`"Gate decided" request="51c2" attempt="a-1-1" host="host-1" outcome="refused" reason="queue-full" running=6 waiting=9 slots=6 service="80ms"`,
		`"Gate decided" request="51c2" attempt="a-1-2" host="host-2" outcome="started"`,
		`"Given up" request="51c2" fault="outcome-unknown" reason="broke" left="80ms"`)
	assert.Equal(t, s.Cause(), "outcome-unknown: the connection to the backend server broke during the request, so the request may have run")
}

// Guards against leaving out log lines that contain only the ID of an attempt, and not the ID of
// the request.
func TestLinesWithOnlyAnAttemptIDAreFound(t *testing.T) {
	timeline := readLines(t, "51c2",
		`"Backend server rejected" attempt="a-3-1" host="host-1" status=503`,
		`"Attempt" request="51c2" attempt="a-3-1" to="host-1"`,
		`"Backend server ended" host="host-1" running=2 attempts=["b-9-1=0/0" "a-3-1=457d/912a"]`,
		`"Backend server ended" host="host-2" running=1 attempts=["a-3-11=457d/912a"]`)
	var messages []string
	for _, e := range timeline.Entries {
		messages = append(messages, e.Message)
	}
	assert.DeepEqual(t, messages, []string{"Backend server rejected", "Attempt", "Backend server ended"})
}

// Guards against splitting a message or field at a quote or space inside it.
func TestParse(t *testing.T) {
	e, ok := Parse("node", ` 1.2 host-1 I0102 10:00:00.000001   77 call.go:1] "Said \"no\"" request="a" tried=["b","c d"] err="x: \"y\" z" slots=4 empty="" none=`)
	assert.Assert(t, ok)
	assert.DeepEqual(t, e, Entry{Source: "node", Time: "0102 10:00:00.000001", Message: `Said "no"`,
		Fields: []Field{{"request", "a"}, {"tried", `["b","c d"]`}, {"err", `x: "y" z`}, {"slots", "4"}, {"empty", ""}, {"none", ""}}})
	for _, line := range []string{"", "panic: x", "I0102 10:00:00.000001 77 call.go:1] plain text", `{"request":"a"}`} {
		_, ok := Parse("node", line)
		assert.Assert(t, !ok, line)
	}
}

func TestMissingFileIsNamed(t *testing.T) {
	_, err := Read("a", []string{"testdata/none.log"})
	assert.ErrorContains(t, err, "testdata/none.log")
}
