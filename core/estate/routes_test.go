package estate

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func textWithRoutes(revision int, routes string) string {
	return fmt.Sprintf(`{"institution": "site", "revision": %d, "services": {"a": {"slots": 1}, "b": {"slots": 1}}, "routes": {%s}}`, revision, routes)
}

func TestParseRoute(t *testing.T) {
	doc, problems := Parse([]byte(textWithRoutes(7, `"r": {"host": "A.example", "pathPrefix": "/x/", "kind": "safe", "timeout": "1.2s", "aim": "500ms", "priority": 2,
		"maxAttempts": 2, "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]}`)))
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, doc.Revision, uint64(7))
	r := doc.Routes["r"]
	assert.Equal(t, r.Host, "a.example")
	assert.Equal(t, r.Kind, apiv1.RouteKind_ROUTE_KIND_SAFE)
	assert.Equal(t, r.TimeoutMs, uint32(1200))
	assert.Equal(t, r.AimMs, uint32(500))
	assert.Equal(t, r.Priority, uint32(2))
	assert.Equal(t, r.MaxAttempts, uint32(2))
	assert.Equal(t, len(r.Shares), 2)
	assert.Equal(t, r.Shares[1].Weight, uint32(10))
}

func TestParseRefusesRoutes(t *testing.T) {
	cases := []struct{ desc, routes, want string }{
		{"an unknown service", `"r": {"pathPrefix": "/", "kind": "safe", "service": "c"}`, "not in this text"},
		{"no service at all", `"r": {"pathPrefix": "/", "kind": "safe"}`, "leads to no service"},
		{"weights of 0", `"r": {"pathPrefix": "/", "kind": "safe", "split": [{"service": "a", "weight": 0}]}`, "add up to 0"},
		{"duplicate host and path prefix", `"r": {"pathPrefix": "/x/", "kind": "safe", "service": "a"}, "s": {"pathPrefix": "/x/", "kind": "unsafe", "service": "b"}`, "same host and path prefix"},
		{"an unknown kind", `"r": {"pathPrefix": "/", "kind": "odd", "service": "a"}`, "odd"},
		{"no attempts", `"r": {"pathPrefix": "/", "kind": "safe", "service": "a", "maxAttempts": 0}`, "maxAttempts"},
		{"a timeout over ten minutes", `"r": {"pathPrefix": "/", "kind": "safe", "service": "a", "timeout": "11m"}`, "timeout"},
		{"a prefix without a slash", `"r": {"pathPrefix": "x", "kind": "safe", "service": "a"}`, "slash"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, problems := Parse([]byte(textWithRoutes(1, c.routes)))
			assert.Assert(t, len(problems) > 0)
			text := ""
			for _, p := range problems {
				text += p.String() + "\n"
			}
			assert.Assert(t, strings.Contains(text, c.want), text)
		})
	}
}

func submitText(id, text string, base uint64, content bool) *apiv1.Change {
	return &apiv1.Change{Id: id, Kind: &apiv1.Change_Submit{Submit: &apiv1.SubmitChange{Institution: "site", BaseRevision: base, TextGzip: Gzip([]byte(text)), ContentId: content}}}
}

// A text whose own revision number is not above the current one must be refused, even if
// its base revision is the current one.
func TestGivenRevisionMustIncrease(t *testing.T) {
	s := NewState()
	assert.Equal(t, s.Apply(1, submitText("a", textWithRoutes(12, ""), 0, false)).Revision, uint64(12))
	assert.Equal(t, s.Apply(2, submitText("b", textWithRoutes(12, ""), 12, false)).Outcome, apiv1.Outcome_OUTCOME_REFUSED)
	assert.Equal(t, s.Apply(3, submitText("c", textWithRoutes(15, ""), 12, false)).Revision, uint64(15))
	assert.Equal(t, s.Revision(), uint64(15))
}

// A change whose id is a digest of its content gets a conflict and is resent later, when
// its base revision is current. It must be decided again. Once it has been accepted, it
// must keep that outcome: otherwise an operator who resends it because the response was
// lost would be told that the change was refused.
func TestContentIDChangeIsReevaluatedUntilAccepted(t *testing.T) {
	s := NewState()
	change := submitText("digest", textWithRoutes(9, ""), 5, true)
	assert.Equal(t, s.Apply(1, change).Outcome, apiv1.Outcome_OUTCOME_CONFLICT)
	s.Apply(2, submitText("x", textWithRoutes(5, ""), 0, true))
	assert.Equal(t, s.Apply(3, change).Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
	s.Apply(4, submitText("y", textWithRoutes(11, ""), 9, true))
	again := s.Apply(5, change)
	assert.Equal(t, again.Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
	assert.Equal(t, again.Revision, uint64(9))
	assert.Equal(t, s.Revision(), uint64(11))
}

// The document that an estate text was translated from must be returned unchanged,
// also after a snapshot was restored.
func TestSourceSurvivesSnapshot(t *testing.T) {
	s := NewState()
	change := submitText("a", textWithRoutes(3, `"r": {"pathPrefix": "/", "kind": "safe", "service": "a"}`), 0, true)
	change.GetSubmit().SourceGzip = Gzip([]byte(`{"odd": true}`))
	s.Apply(1, change)
	restored := NewState()
	restored.Restore(s.Snapshot())
	source, err := Gunzip(restored.Document("site").SourceGzip)
	assert.NilError(t, err)
	assert.Equal(t, string(source), `{"odd": true}`)
	assert.Equal(t, len(restored.Records().Routes()), 1)
	assert.Equal(t, restored.Apply(2, change).Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
}
