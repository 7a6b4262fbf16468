package proxy

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/hop"
)

func TestTable(t *testing.T) {
	spec := func(hosts, prefixes []string) *apiv1.ServiceSpec {
		return &apiv1.ServiceSpec{Hosts: hosts, PathPrefixes: prefixes}
	}
	table := NewTable([]*apiv1.ServiceRecord{
		{Name: "site", Spec: spec([]string{"a.example"}, nil)},
		{Name: "snags", Spec: spec([]string{"a.example"}, []string{"/snags"})},
		{Name: "deep", Spec: spec([]string{"a.example"}, []string{"/snags/deep/"})},
		{Name: "anywhere", Spec: spec(nil, []string{"/any"})},
		{Name: "unrouted", Spec: spec(nil, nil)},
	}, nil, nil, nil)
	cases := []struct{ host, path, named, want string }{
		{"a.example", "/", "", "site"},
		{"A.example:8080", "/x", "", "site"},
		{"a.example", "/snags", "", "snags"},
		{"a.example", "/snags/1", "", "snags"},
		{"a.example", "/snagsold", "", "site"},
		{"a.example", "/snags/deep/1", "", "deep"},
		{"b.example", "/any/1", "", "anywhere"},
		{"b.example", "/", "", ""},
		{"b.example", "/", "unrouted", "unrouted"},
		{"a.example", "/", "nobody", ""},
	}
	for _, c := range cases {
		r := httptest.NewRequest("GET", "http://"+c.host+c.path, nil)
		if c.named != "" {
			r.Header.Set(hop.ServiceHeader, c.named)
		}
		got, ok := table.Find(r)
		assert.Equal(t, ok, c.want != "", "%+v", c)
		if ok {
			assert.Equal(t, got.Service, c.want, "%+v", c)
		}
	}
}
