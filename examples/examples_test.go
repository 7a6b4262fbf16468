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

// TestExamplesAreValid guards against estates and settings in the documentation that are
// rejected when a user copies them.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("*/*.jsonc")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2+13+12)
	for _, file := range append(files, "dev.jsonc", "accounts.jsonc") {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		if strings.HasSuffix(file, "estate.jsonc") || file == "dev.jsonc" || file == "accounts.jsonc" {
			_, problems := estate.Parse(text)
			assert.Equal(t, len(problems), 0, "%s: %v", file, problems)
			continue
		}
		_, problems := settings.Parse(text)
		assert.Equal(t, len(problems), 0, "%s: %v", file, problems)
	}
}
