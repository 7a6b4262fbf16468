package estate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// newSubmit returns a change of an institution as the operator sends it, and its document.
func newSubmit(t assert.TestingT, id, text string, base uint64) (*apiv1.Change, *Document) {
	doc, problems := Parse([]byte(text))
	assert.Assert(t, len(problems) == 0, "%v", problems)
	submit := &apiv1.SubmitChange{Institution: doc.Institution, BaseRevision: base, TextGzip: Gzip([]byte(text))}
	return &apiv1.Change{Id: id, Kind: &apiv1.Change_Submit{Submit: submit}}, doc
}

// cloneChange returns a copy, as replicas decode their own from the log.
func cloneChange(c *apiv1.Change) *apiv1.Change { return proto.CloneOf(c) }

// Guards against replicas that differ: one that applies changes with their compiled form must have
// the same state and audit trail as one that compiles their texts, also where changes of another
// institution were applied in between.
func TestCompiledChangesLeadToTheSameStateAsTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		compiled, texts := NewState(), NewState()
		var pending []*apiv1.Change
		index := uint64(0)
		apply := func(c *apiv1.Change) {
			index++
			got := compiled.Apply(index, cloneChange(c))
			withoutCompiled := cloneChange(c)
			withoutCompiled.GetSubmit().Compiled = nil
			want := texts.Apply(index, withoutCompiled)
			assert.Assert(t, proto.Equal(got, want), "%v, and %v without the compiled form", got, want)
		}
		for i := range rapid.IntRange(1, 14).Draw(t, "changes") {
			institution := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "institution")
			text := randomText(t, institution)
			base := compiled.Document(institution).GetRevision()
			if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
				base++
			}
			c, doc := newSubmit(t, fmt.Sprint(i), text, base)
			c.GetSubmit().Compiled = compiled.Compile(c, doc)
			pending = append(pending, c)
			for len(pending) > 0 && rapid.Bool().Draw(t, "apply") {
				apply(pending[0])
				pending = pending[1:]
			}
		}
		for _, c := range pending {
			apply(c)
		}
		assert.Assert(t, proto.Equal(compiled.Snapshot(), texts.Snapshot()))
	})
}

// randomText draws an estate text of few names, so that changes overlap.
func randomText(t *rapid.T, institution string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"institution": %q, "services": {`, institution)
	var services []string
	for _, name := range []string{"x", "y", "z"} {
		if rapid.Bool().Draw(t, "has "+name) {
			services = append(services, name)
			fmt.Fprintf(&b, `%q: {"slots": %d}, `, name, rapid.IntRange(1, 2).Draw(t, "slots"))
		}
	}
	b.WriteString(`}, "routes": {`)
	for i := range rapid.IntRange(0, 3).Draw(t, "routes") {
		if len(services) > 0 {
			fmt.Fprintf(&b, `"r%d": {"pathPrefix": "/%d", "kind": "safe", "service": %q}, `, i, i, rapid.SampledFrom(services).Draw(t, "service"))
		}
	}
	b.WriteString("}, ")
	if rapid.Bool().Draw(t, "has accounts") {
		fmt.Fprintf(&b, `"accounts": {"c": {"burst": %d}}, `, rapid.IntRange(1, 2).Draw(t, "burst"))
	}
	if rapid.Bool().Draw(t, "has limits") {
		b.WriteString(`"limits": {"maxHeaderBytes": 100}, `)
	}
	if revision := rapid.IntRange(0, 30).Draw(t, "revision"); revision > 0 {
		fmt.Fprintf(&b, `"revision": %d, `, revision)
	}
	b.WriteString("}")
	return b.String()
}

// Guards against replicas that compile the whole estate for each change that they apply: the work of
// a replay grows with the product of both.
func TestReplayOfSmallChangesCostsLessThanCompilingTheEstateAFewTimes(t *testing.T) {
	const routes, changes, compilations = 1400, 200, 20
	text := func(change int) string {
		var b strings.Builder
		b.WriteString(`{"institution": "a", "services": {"x": {"slots": 1}}, "routes": {`)
		for i := range routes {
			fmt.Fprintf(&b, `"r%d": {"pathPrefix": "/%d", "kind": "safe", "service": "x", "priority": %d}, `, i, i, i/max(1, routes-change))
		}
		b.WriteString("}}")
		return b.String()
	}
	proposer := NewState()
	var log [][]byte
	var compiling time.Duration
	for i := range changes {
		c, doc := newSubmit(t, fmt.Sprint(i), text(i), uint64(i))
		if i < compilations {
			begin := time.Now()
			Parse([]byte(text(i)))
			compiling += time.Since(begin)
		}
		c.GetSubmit().Compiled = proposer.Compile(c, doc)
		data, err := proto.Marshal(c)
		assert.NilError(t, err)
		log = append(log, data)
		proposer.Apply(uint64(i+1), c)
	}
	replica, begin := NewState(), time.Now()
	for i, data := range log {
		c := &apiv1.Change{}
		assert.NilError(t, proto.Unmarshal(data, c))
		replica.Apply(uint64(i+1), c)
	}
	replaying := time.Since(begin)
	t.Logf("replay of %d changes: %v; %d compilations: %v", changes, replaying, compilations, compiling)
	assert.Equal(t, replica.Revision(), uint64(changes))
	assert.Assert(t, replaying < compiling, "a replay of %d changes takes %v, %d compilations %v", changes, replaying, compilations, compiling)
}
