package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/estate"
	"cactuspath/internal/settings"
)

// What the documentation offers for copying must pass the checks.
func TestExamplesPassTheirChecks(t *testing.T) {
	files, err := filepath.Glob("*/*.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2+13+12)
	for _, file := range append(files, "dev.jsonc") {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		if strings.HasSuffix(file, "estate.jsonc") || file == "dev.jsonc" {
			_, problems := estate.Parse(text)
			assert.Equal(t, len(problems), 0, "%s: %v", file, problems)
			continue
		}
		_, problems := settings.Parse(text)
		assert.Equal(t, len(problems), 0, "%s: %v", file, problems)
	}
}
