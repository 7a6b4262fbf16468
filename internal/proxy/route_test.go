package proxy

import (
	"fmt"
	"math"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func record(name, host, prefix string, changed uint64, shares ...*apiv1.RouteShare) *apiv1.RouteRecord {
	return &apiv1.RouteRecord{Name: name, Institution: "site", ChangedAt: changed, Spec: &apiv1.RouteSpec{Host: host, PathPrefix: prefix, Shares: shares, MaxAttempts: 2}}
}

func share(service string, weight uint32) *apiv1.RouteShare {
	return &apiv1.RouteShare{Service: service, Weight: weight}
}

func TestLongestPrefixWins(t *testing.T) {
	table := NewTable(nil, []*apiv1.RouteRecord{record("wide", "a.example", "/x/", 1, share("one", 1)), record("deep", "a.example", "/x/y/", 1, share("two", 1)),
		record("other", "b.example", "/x/", 1, share("three", 1))}, nil, nil)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "wide"}, {"a.example", "/x/y/1", "deep"}, {"A.EXAMPLE:80", "/x/y/", "deep"}, {"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""}, {"a.example", "/xy/1", ""}, {"c.example", "/x/1", ""},
	} {
		target, ok := table.Find(httptest.NewRequest("GET", "http://"+c.host+c.path, nil))
		assert.Equal(t, ok, c.want != "", "%+v", c)
		if ok {
			assert.Equal(t, target.Route.Name, c.want)
		}
	}
	assert.DeepEqual(t, table.Services(), []string{"one", "three", "two"})
}

// Each node distributes its own requests by weight, also over few requests; a share of
// weight 0 gets none.
func TestTrafficSplitFollowsWeights(t *testing.T) {
	for _, weights := range [][]uint32{{90, 10}, {1, 1, 1}, {70, 0, 30}, {99, 1}} {
		t.Run(fmt.Sprint(weights), func(t *testing.T) {
			var shares []*apiv1.RouteShare
			total := 0.0
			for i, w := range weights {
				shares = append(shares, share(fmt.Sprint(i), w))
				total += float64(w)
			}
			route := newRoute(record("r", "a", "/", 1, shares...))
			got := map[string]int{}
			const calls = 200
			for range calls {
				got[route.Pick()]++
			}
			for i, w := range weights {
				assert.Assert(t, math.Abs(float64(got[fmt.Sprint(i)])-calls*float64(w)/total) <= 2, "%v", got)
			}
		})
	}
}

// Guards against restarting a route's traffic split on each configuration change that
// does not concern it.
func TestUnchangedRouteKeepsSplitState(t *testing.T) {
	r := record("r", "a", "/", 1, share("x", 99), share("y", 1))
	before := NewTable(nil, []*apiv1.RouteRecord{r}, nil, nil)
	after := NewTable(nil, []*apiv1.RouteRecord{r, record("s", "b", "/", 2, share("x", 1))}, nil, before)
	request := httptest.NewRequest("GET", "http://a/", nil)
	old, _ := before.Find(request)
	kept, _ := after.Find(request)
	assert.Assert(t, old.Route == kept.Route)
}
