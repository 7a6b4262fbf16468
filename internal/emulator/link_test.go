package emulator

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

// Guards against downloads that fill the links of the nearest hosts while others are free,
// and against short responses that wait behind them: a burst of downloads must not cost
// more than a few requests their aim, with as many slots in use as without.
func TestDownloadsUseAllLinks(t *testing.T) {
	s := readScenario(t, filepath.Join(folder, "downloads-near.json"))
	for seed := range uint64(3) {
		with, without := Run(s, Without(0), seed), Run(s, Without(mechanism.Link), seed)
		t.Logf("value %.3f with the link, %.3f without; worst seconds %.3f and %.3f", with.Value, without.Value, with.WorstSeconds, without.WorstSeconds)
		assert.Assert(t, with.Value > 0.96)
		assert.Assert(t, with.Value > without.Value+0.1)
		assert.Equal(t, with.RunTwice+with.FalseNotRun, 0)
	}
}

func TestReadRejectsInvalidLinks(t *testing.T) {
	const scenario = `{"dataCenters":2,"duration":1000,"services":[{"name":"a","endpoints":1,"slots":1}],"classes":[{"name":"c","service":"a","work":1,"timeout":1}]`
	_, err := Read(strings.NewReader(scenario + `,"callers":[1]}`))
	assert.ErrorContains(t, err, "1 shares for 2 data centres")
	_, err = Read(strings.NewReader(scenario + `,"events":[{"kind":"burst","class":"d"}]}`))
	assert.ErrorContains(t, err, `names the class "d"`)
}
