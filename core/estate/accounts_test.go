package estate

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func digestText(key string) string {
	digest := KeyDigest(key)
	return hex.EncodeToString(digest[:])
}

func accountsText(accounts string) []byte {
	return []byte(`{"institution": "a", "services": {"x": {"slots": 1}}, "accounts": {` + accounts + `}}`)
}

func TestParseAccounts(t *testing.T) {
	doc, problems := Parse(accountsText(fmt.Sprintf(`"club": {"keyDigests": [%q, %q], "requestsPerSecond": 2.5, "burst": 4, "priority": 0}, "open": {}`, digestText("k1"), digestText("k2"))))
	assert.Equal(t, len(problems), 0, "%v", problems)
	club, open := doc.Accounts["club"], doc.Accounts["open"]
	assert.Equal(t, len(club.KeyDigests), 2)
	assert.Equal(t, club.RequestsPerSecond, 2.5)
	assert.Equal(t, club.Burst, 4.0)
	assert.Assert(t, club.Priority != nil && *club.Priority == 0)
	assert.Assert(t, open.Priority == nil, "an omitted priority leaves that of the route")
}

func TestParseRefusesAccounts(t *testing.T) {
	cases := []struct{ desc, accounts, want string }{
		{"two accounts with the same key", fmt.Sprintf(`"a": {"keyDigests": [%q]}, "b": {"keyDigests": [%[1]q]}`, digestText("k")), `accounts "a" and "b" have the same key`},
		{"a key in place of its digest", `"a": {"keyDigests": ["secret-key"]}`, "not the digest of a key"},
		{"a negative cap", `"a": {"requestsPerSecond": -1}`, "out of range"},
		{"a name that cannot stand in a header", `"a b": {}`, "not a valid account name"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, problems := Parse(accountsText(c.accounts))
			assert.Assert(t, len(problems) > 0)
			text := fmt.Sprint(problems)
			assert.Assert(t, strings.Contains(text, c.want), "%s", text)
			assert.Assert(t, !strings.Contains(text, "secret-key"), "a problem repeats a key")
		})
	}
}

// An account that is removed from the text must disappear from the records, and a node
// that was away must learn of it.
func TestRemovedAccountReachesNodes(t *testing.T) {
	s := NewState()
	submit := func(base uint64, accounts string) {
		record := s.Apply(base+1, &apiv1.Change{Id: fmt.Sprint(base), Kind: &apiv1.Change_Submit{Submit: &apiv1.SubmitChange{
			Institution: "a", BaseRevision: base, TextGzip: Gzip(accountsText(accounts))}}})
		assert.Equal(t, record.Outcome, apiv1.Outcome_OUTCOME_ACCEPTED)
	}
	submit(0, `"club": {"requestsPerSecond": 1}, "guild": {}`)
	assert.Equal(t, len(s.Records().Accounts()), 2)
	submit(1, `"guild": {}`)
	assert.Equal(t, len(s.Records().Accounts()), 1)
	delta := s.Records().DeltaFor(1, nil, nil, "host")
	assert.Equal(t, len(delta.Accounts), 1)
	assert.Assert(t, delta.Accounts[0].Removed && delta.Accounts[0].Name == "club")

	restored := NewState()
	restored.Restore(s.Snapshot())
	assert.Equal(t, len(restored.Records().Accounts()), 1)
}
