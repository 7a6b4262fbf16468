package estate

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/jsonc"
)

func TestParseRefuses(t *testing.T) {
	cases := []struct {
		desc, text string
		want       []string
	}{
		{"empty", ``, []string{"line 1"}},
		{"not an object", `[]`, []string{"expected an object"}},
		{"no fields", `{}`, []string{`field "institution" is missing`, `field "services" is missing`}},
		{"unknown field", `{"institution": "a", "services": {}, "colour": 1}`, []string{`unknown field "colour"`}},
		{"duplicate field", `{"institution": "a", "institution": "b", "services": {}}`, []string{`"institution" stands twice`}},
		{"zero slots", `{"institution": "a", "services": {"x": {"slots": 0}}}`, []string{"line 1, column 50, field services.x.slots: 0 is out of range"}},
		{"absurd slots", `{"institution": "a", "services": {"x": {"slots": 99999999999999999999}}}`, []string{"out of range"}},
		{"negative", `{"institution": "a", "services": {"x": {"slots": -1}}}`, []string{"out of range"}},
		{"fraction", `{"institution": "a", "services": {"x": {"slots": 1.5}}}`, []string{"out of range"}},
		{"missing slots", `{"institution": "a", "services": {"x": {}}}`, []string{`field "slots" is missing`}},
		{"dangling dependency", `{"institution": "a", "services": {"x": {"slots": 1, "dependsOn": ["y"]}}}`, []string{`depends on "y", which is not in this text`}},
		{"cycle", `{"institution": "a", "services": {"x": {"slots": 1, "dependsOn": ["y"]}, "y": {"slots": 1, "dependsOn": ["x"]}}}`, []string{"cycle: x → y → x"}},
		{"dependency on itself", `{"institution": "a", "services": {"x": {"slots": 1, "dependsOn": ["x"]}}}`, []string{"cycle: x → x"}},
		{"same route", `{"institution": "a", "services": {"x": {"slots": 1, "hosts": ["h"]}, "y": {"slots": 1, "hosts": ["h"]}}}`, []string{"claim the same route"}},
		{"bad timeout", `{"institution": "a", "services": {"x": {"slots": 1, "timeout": "soon"}}}`, []string{"not a duration in range"}},
		{"bad prefix", `{"institution": "a", "services": {"x": {"slots": 1, "pathPrefixes": ["x"]}}}`, []string{"does not start with a slash"}},
		{"bad method", `{"institution": "a", "services": {"x": {"slots": 1, "idempotent": ["FETCH"]}}}`, []string{`"FETCH" is not allowed here`}},
		{"bad name", `{"institution": "a", "services": {"X y": {"slots": 1}}}`, []string{"not a valid service name"}},
		{"invalid UTF-8", "{\"institution\": \"\xff\"}", []string{"line 1, column 18: the text is not valid UTF-8"}},
		{"too deep", strings.Repeat("[", 100), []string{"nested more than"}},
		{"too large", "//" + strings.Repeat("x", jsonc.MaxBytes), []string{"more than the"}},
		{"truncated text", `{"institution": "a"`, []string{"line 1"}},
		{"all problems reported together", `{"institution": "", "services": {"x": {"slots": 0, "queue": -1, "what": 1}}}`, []string{"not a valid name", "slots: 0", "queue: -1", `"what"`}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			doc, problems := Parse([]byte(c.text))
			assert.Assert(t, doc == nil)
			var all []string
			for _, p := range problems {
				all = append(all, p.String())
				assert.Assert(t, p.Remedy != "")
			}
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(strings.Join(all, "\n"), want), "want %q in %q", want, all)
			}
		})
	}
}

func TestParseAccepts(t *testing.T) {
	doc, problems := Parse([]byte(`// comment
{"institution": "a", "terms": {"reportsPerSecond": 7, "retryPercent": 20,},
 "services": {"x": {"slots": 4, "dependsOn": ["y"], "hosts": ["x.example"]}, "y": {"slots": 2, "queue": 9, "timeout": "250ms", "idempotent": []}}}`))
	assert.Equal(t, len(problems), 0)
	x, y := doc.Services["x"], doc.Services["y"]
	assert.Equal(t, x.Queue, uint32(8))
	assert.Equal(t, x.RetryPerMille, uint32(200))
	assert.Equal(t, x.Measure.ReportsPerSecond, uint32(7))
	assert.Equal(t, x.Measure.ReportsPerEndpoint, uint32(0), "a stated budget is the total")
	assert.Equal(t, x.Measure.BytesPerEndpoint, uint32(defaultBytesPerEndpoint))
	assert.Equal(t, y.Queue, uint32(9))
	assert.Equal(t, y.TimeoutMs, uint32(250))
	assert.Equal(t, len(y.IdempotentMethods), 0)
}

// FuzzParse checks that no text crashes the parser and that Parse returns either a
// document or at least one problem.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{`{}`, `{"institution": "a", "services": {"x": {"slots": 1}}}`, `[[[[`, `{"a":`, "/*", "//", `{"institution": "a", "services": {"x": {"slots": 1, "dependsOn": ["x"]}}}`, `"\u0000"`, "\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, problems := Parse(text)
		if (doc == nil) != (len(problems) > 0) {
			t.Fatalf("document %v with problems %v", doc, problems)
		}
	})
}

func submitServices(id string, base uint64, services ...string) *apiv1.Change {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf("%q: {\"slots\": 1}", s))
	}
	text := `{"institution": "a", "services": {` + strings.Join(list, ",") + `}}`
	return &apiv1.Change{Id: id, Kind: &apiv1.Change_Submit{Submit: &apiv1.SubmitChange{Institution: "a", BaseRevision: base, TextGzip: Gzip([]byte(text))}}}
}

// Guards against a change that is applied twice because its response is lost and the
// operator resends it, possibly after later changes. It must get the first outcome
// again.
func TestResentChangeGetsFirstOutcome(t *testing.T) {
	s := NewState()
	first := s.Apply(1, submitServices("one", 0, "x"))
	assert.Equal(t, first.Revision, uint64(1))
	s.Apply(2, submitServices("two", 1, "x", "y"))
	again := s.Apply(3, submitServices("one", 0, "x"))
	assert.Equal(t, again.Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
	assert.Equal(t, again.Revision, uint64(1))
	assert.Equal(t, s.Revision(), uint64(2))
}

// Two operators submit changes with the same base revision. The first must be
// accepted. The second must not be applied and must get a conflict that states the
// newest revision.
func TestEqualBaseRevisionsAcceptOne(t *testing.T) {
	s := NewState()
	s.Apply(1, submitServices("one", 0, "x"))
	accepted := s.Apply(2, submitServices("two", 1, "x", "y"))
	conflicting := s.Apply(3, submitServices("three", 1, "z"))
	assert.Equal(t, accepted.Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
	assert.Equal(t, conflicting.Outcome, apiv1.Outcome_OUTCOME_CONFLICT)
	assert.Equal(t, conflicting.Revision, uint64(2))
	assert.Assert(t, s.Records().Service("z") == nil)
}

// A change with the id of an earlier change but a different text must not be treated
// as a resent copy of the earlier one.
func TestReusedIDIsRefused(t *testing.T) {
	s := NewState()
	s.Apply(1, submitServices("one", 0, "x"))
	r := s.Apply(2, submitServices("one", 1, "y"))
	assert.Equal(t, r.Outcome, apiv1.Outcome_OUTCOME_ID_REUSED)
	assert.Equal(t, s.Revision(), uint64(1))
}

// A replica restored from a snapshot must decide every further change, including resent
// and conflicting ones, exactly as a replica that applied all changes.
func TestRestoredReplicaDecidesIdentically(t *testing.T) {
	a := NewState()
	a.Apply(1, submitServices("one", 0, "x"))
	a.Apply(2, submitServices("two", 1, "x", "y"))
	a.Apply(3, &apiv1.Change{Id: "drain", Kind: &apiv1.Change_Host{Host: &apiv1.HostChange{Host: "h", Draining: true}}})
	b := NewState()
	b.Restore(a.Snapshot())
	for i, c := range []*apiv1.Change{submitServices("one", 0, "x"), submitServices("four", 1, "q"), submitServices("five", 2, "y")} {
		ra, rb := a.Apply(uint64(4+i), c), b.Apply(uint64(4+i), c)
		assert.Equal(t, ra.String(), rb.String())
	}
	sa, err := Marshal(a.Snapshot())
	assert.NilError(t, err)
	sb, err := Marshal(b.Snapshot())
	assert.NilError(t, err)
	assert.DeepEqual(t, sa, sb)
}

// Two institutions must not use the same service name, since nodes route by it.
func TestServiceNameOfAnotherInstitutionIsRefused(t *testing.T) {
	s := NewState()
	s.Apply(1, submitServices("one", 0, "x"))
	text := `{"institution": "b", "services": {"x": {"slots": 1}}}`
	r := s.Apply(2, &apiv1.Change{Id: "two", Kind: &apiv1.Change_Submit{Submit: &apiv1.SubmitChange{Institution: "b", TextGzip: Gzip([]byte(text))}}})
	assert.Equal(t, r.Outcome, apiv1.Outcome_OUTCOME_REFUSED)
}
