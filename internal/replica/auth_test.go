package replica

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cactuspath/api/fault"
)

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func TestOperatorAuthorization(t *testing.T) {
	listed := &Replica{options: Options{Operators: []Operator{
		{Name: "mai", TokenSHA256: digestOf("mai's"), Institutions: []string{"sao-khue"}},
		{Name: "root", TokenSHA256: digestOf("root's"), Institutions: []string{"*"}, Hosts: true},
	}}}
	open := &Replica{}
	cases := []struct {
		desc, token, institution  string
		replica                   *Replica
		name                      string
		authenticated, authorized bool
	}{
		{"own institution", "mai's", "sao-khue", listed, "mai", true, true},
		{"other institution", "mai's", "alder-finch", listed, "mai", true, false},
		{"all institutions", "root's", "alder-finch", listed, "root", true, true},
		{"wrong token", "guess", "sao-khue", listed, "", false, false},
		{"no token", "", "sao-khue", listed, "", false, false},
		{"no operators configured", "", "sao-khue", open, "claimed", true, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			header := http.Header{}
			if c.token != "" {
				header.Set("Authorization", "Bearer "+c.token)
			}
			operator, err := c.replica.authenticate(header, "claimed")
			assert.Equal(t, err == nil, c.authenticated)
			if !c.authenticated {
				kind, _ := fault.KindOf(err)
				assert.Equal(t, kind, fault.Unauthorized)
				return
			}
			assert.Equal(t, operator.Name, c.name)
			assert.Equal(t, c.replica.authorize(operator, c.institution) == nil, c.authorized)
		})
	}
}

// Guards against operators who may change an estate also being able to change hosts and replicas.
func TestOnlyHostOperatorsChangeHosts(t *testing.T) {
	r := &Replica{options: Options{Operators: []Operator{
		{Name: "mai", TokenSHA256: digestOf("mai's"), Institutions: []string{"sao-khue"}},
		{Name: "root", TokenSHA256: digestOf("root's"), Hosts: true},
	}}}
	for token, authorized := range map[string]bool{"mai's": false, "root's": true, "guess": false} {
		_, err := r.hostOperator(http.Header{"Authorization": {"Bearer " + token}}, "claimed")
		assert.Equal(t, err == nil, authorized, token)
		if !authorized {
			kind, _ := fault.KindOf(err)
			assert.Equal(t, kind, fault.Unauthorized)
		}
	}
}
