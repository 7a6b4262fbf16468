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

func TestAuthority(t *testing.T) {
	listed := &Replica{options: Options{Operators: []Operator{
		{Name: "mai", TokenSHA256: digestOf("mai's"), Institutions: []string{"sao-khue"}},
		{Name: "root", TokenSHA256: digestOf("root's"), Institutions: []string{"*"}, Hosts: true},
	}}}
	open := &Replica{}
	cases := []struct {
		desc, token, institution string
		replica                  *Replica
		name                     string
		known, may               bool
	}{
		{"her own institution", "mai's", "sao-khue", listed, "mai", true, true},
		{"another institution", "mai's", "alder-finch", listed, "mai", true, false},
		{"every institution", "root's", "alder-finch", listed, "root", true, true},
		{"a wrong token", "guess", "sao-khue", listed, "", false, false},
		{"no token", "", "sao-khue", listed, "", false, false},
		{"nobody is listed", "", "sao-khue", open, "claimed", true, true},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			header := http.Header{}
			if c.token != "" {
				header.Set("Authorization", "Bearer "+c.token)
			}
			who, err := c.replica.operator(header, "claimed")
			assert.Equal(t, err == nil, c.known)
			if !c.known {
				kind, _ := fault.Of(err)
				assert.Equal(t, kind, fault.Unauthorized)
				return
			}
			assert.Equal(t, who.Name, c.name)
			assert.Equal(t, c.replica.mayChange(who, c.institution) == nil, c.may)
		})
	}
}

// Who may change an estate may not by that change hosts and replicas.
func TestOnlyOperatorsOfHostsChangeHosts(t *testing.T) {
	r := &Replica{options: Options{Operators: []Operator{
		{Name: "mai", TokenSHA256: digestOf("mai's"), Institutions: []string{"sao-khue"}},
		{Name: "root", TokenSHA256: digestOf("root's"), Hosts: true},
	}}}
	for token, may := range map[string]bool{"mai's": false, "root's": true, "guess": false} {
		_, err := r.hostOperator(http.Header{"Authorization": {"Bearer " + token}}, "claimed")
		assert.Equal(t, err == nil, may, token)
		if !may {
			kind, _ := fault.Of(err)
			assert.Equal(t, kind, fault.Unauthorized)
		}
	}
}
