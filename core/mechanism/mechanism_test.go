package mechanism

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNamesAndSetsAgree guards against a mechanism that cannot be disabled by its name, and
// against unknown names that are accepted.
func TestNamesAndSetsAgree(t *testing.T) {
	all, err := Parse(All().Names())
	assert.NilError(t, err)
	assert.Equal(t, all, All())
	some, err := Parse([]string{"moves", "ask-first", "moves"})
	assert.NilError(t, err)
	assert.Equal(t, some, Moves|AskFirst)
	assert.DeepEqual(t, some.Names(), []string{"ask-first", "moves"})
	assert.Assert(t, !some.Has(Holds))
	_, err = Parse([]string{"luck"})
	assert.ErrorIs(t, err, ErrUnknown)
	assert.ErrorContains(t, err, "kept-slots")
}
