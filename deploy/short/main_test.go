package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestListFailedDays guards against a list that omits days which did not pass the
// benchmark's gate although they broke no rule.
func TestListFailedDays(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"site": "a", "head": "0123456789", "days": [
		{"name": "good", "seed": null, "gate": true, "rules": {}, "short": [], "fault": null},
		{"name": "idle", "seed": 7, "gate": false, "rules": {}, "short": ["61% were refused"], "fault": null},
		{"name": "bad", "seed": 8, "gate": false, "rules": {"LOST": 2, "CONFIG": 1}, "short": [], "fault": null},
		{"name": "odd", "seed": 9, "gate": false, "rules": {}, "short": [], "fault": null}]}`), 0o600))
	var out strings.Builder
	failed, err := listFailedDays(&out, []string{file})
	assert.NilError(t, err)
	assert.Equal(t, failed, 3)
	assert.Equal(t, out.String(), `entry.json a idle seed 7 at 0123456: 61% were refused
entry.json a bad seed 8 at 0123456: CONFIG broken 1 times; LOST broken 2 times
entry.json a odd seed 9 at 0123456: the gate failed
4 days, 3 did not pass
`)
	_, err = listFailedDays(&out, []string{"missing.json"})
	assert.ErrorContains(t, err, "journal")
}
