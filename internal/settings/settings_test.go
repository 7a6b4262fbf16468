package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/core/mechanism"
)

const validSettings = `{
  "host": "h1", "dataCenter": "dc", "region": "r",
  "controlReplicas": ["10.0.0.1:7000"],
  "node": {"callers": "0.0.0.0:8080", "peer": "127.0.0.1:7070", "admin": "127.0.0.1:7071"},
  "control": {"name": "c1", "address": "127.0.0.1:7000", "dataFolder": "/d", "founders": {"c1": "127.0.0.1:7000"},
    "operators": [{"name": "mai", "tokenSha256": "` + "0123456789012345678901234567890123456789012345678901234567890123" + `", "institutions": ["a"]}]},
}`

func TestParseAccepts(t *testing.T) {
	s, problems := Parse([]byte(validSettings))
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, s.Node.PeerAddress, "127.0.0.1:7070")
	assert.Equal(t, s.Control.Listen, "127.0.0.1:7000")
	assert.Equal(t, s.Control.Operators[0].Name, "mai")
}

func TestMechanismsAreDisabledByName(t *testing.T) {
	s, problems := Parse([]byte(strings.Replace(validSettings, `"host": "h1"`, `"policy": {"disable": ["hints", "moves"]}, "host": "h1"`, 1)))
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, s.Disabled, mechanism.Hints|mechanism.Moves)
}

// TestScarceResourcesAreOffByDefault guards against a deployment that is served differently though
// its settings do not ask for it.
func TestScarceResourcesAreOffByDefault(t *testing.T) {
	s, problems := Parse([]byte(validSettings))
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, s.LinkMbps, 0.0)
	assert.Assert(t, !s.LearnedProfiles)
	assert.Equal(t, s.RetryOrder, RetryFirstCome)
	s, problems = Parse([]byte(strings.Replace(validSettings, `"host": "h1"`, `"linkMbps": 4.2, "learnedProfiles": true, "retryOrder": "by-need", "host": "h1"`, 1)))
	assert.Equal(t, len(problems), 0)
	assert.Equal(t, s.LinkMbps, 4.2)
	assert.Assert(t, s.LearnedProfiles)
	assert.Equal(t, s.RetryOrder, RetryByNeed)
}

func TestParseRefuses(t *testing.T) {
	cases := []struct{ desc, old, new, want string }{
		{"no role", `"node"`, `"nodes"`, `unknown field "nodes"`},
		{"host name for address", `127.0.0.1:7070`, `localhost:7070`, "not an IP address with a port"},
		{"admin not on loopback", `127.0.0.1:7071`, `0.0.0.0:7071`, "is not on loopback"},
		{"peer reachable from other hosts without TLS", `127.0.0.1:7070`, `10.0.0.9:7070`, "can be reached from other hosts without TLS"},
		{"founders without itself", `{"c1": "127`, `{"c2": "127`, "founders does not list this replica"},
		{"short digest", `0123456789012`, `1`, "not a SHA-256 digest"},
		{"unknown mechanism", `"host": "h1"`, `"policy": {"disable": ["moves", "luck"]}, "host": "h1"`, "no such mechanism: \"luck\""},
		{"negative bandwidth", `"host": "h1"`, `"linkMbps": -1, "host": "h1"`, "is out of range"},
		{"unknown order of retries", `"host": "h1"`, `"retryOrder": "random", "host": "h1"`, "no such order of retries"},
		{"no replicas", `["10.0.0.1:7000"]`, `[]`, "no control replica is named"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, problems := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
			var all []string
			for _, p := range problems {
				all = append(all, p.String())
			}
			assert.Assert(t, strings.Contains(strings.Join(all, "\n"), c.want), "%q", all)
		})
	}
}
