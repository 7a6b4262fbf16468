// Package proxy is the callers' side of a node: it finds the service that a
// request names, picks an endpoint, follows the attempt to its end, and gives
// the caller one final answer.
package proxy

import (
	"net"
	"net/http"
	"sort"
	"strings"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/hop"
)

// Table finds services by host and path. It is immutable.
type Table struct {
	byHost map[string][]route
	names  map[string]bool
	routes map[string]*Route
}

type route struct {
	prefix string
	target Target
}

// NewTable builds a table from routes and service records, partial ones
// included. A route whose spec did not change is taken over from old, which may
// be nil, with its place in the sequence of its shares.
func NewTable(records []*apiv1.ServiceRecord, routes []*apiv1.RouteRecord, old *Table) *Table {
	t := &Table{byHost: map[string][]route{}, names: map[string]bool{}, routes: map[string]*Route{}}
	for _, r := range records {
		t.names[r.Name] = true
		t.add(r)
	}
	for _, r := range routes {
		t.addRoute(r, old)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].prefix) > len(routes[j].prefix) })
	}
	return t
}

func (t *Table) add(r *apiv1.ServiceRecord) {
	hosts, prefixes := r.Spec.GetHosts(), r.Spec.GetPathPrefixes()
	if len(hosts) == 0 && len(prefixes) == 0 {
		return
	}
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	if len(prefixes) == 0 {
		prefixes = []string{"/"}
	}
	for _, h := range hosts {
		for _, p := range prefixes {
			t.byHost[h] = append(t.byHost[h], route{p, Target{Service: r.Name}})
		}
	}
}

func (t *Table) addRoute(r *apiv1.RouteRecord, old *Table) {
	key := r.Institution + "\x00" + r.Name
	compiled := (*Route)(nil)
	if old != nil && old.routes[key] != nil && old.routes[key].Revision == r.ChangedAt {
		compiled = old.routes[key]
	} else {
		compiled = newRoute(r)
	}
	t.routes[key] = compiled
	t.byHost[r.Spec.Host] = append(t.byHost[r.Spec.Host], route{r.Spec.PathPrefix, Target{Route: compiled}})
}

// Services names the services that the routes lead to.
func (t *Table) Services() []string {
	seen := map[string]bool{}
	var list []string
	for _, r := range t.routes {
		for _, share := range r.Spec.Shares {
			if !seen[share.Service] {
				seen[share.Service] = true
				list = append(list, share.Service)
			}
		}
	}
	sort.Strings(list)
	return list
}

// Find returns the target that a request names: by the Cactus-Service header,
// or by its host and the longest matching path prefix.
func (t *Table) Find(r *http.Request) (target Target, ok bool) {
	if name := r.Header.Get(hop.ServiceHeader); name != "" {
		return Target{Service: name}, t.names[name]
	}
	host := strings.ToLower(r.Host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if target, ok := match(t.byHost[host], r.URL.Path); ok {
		return target, true
	}
	return match(t.byHost[""], r.URL.Path)
}

func match(routes []route, path string) (Target, bool) {
	for _, r := range routes {
		if underPrefix(path, r.prefix) {
			return r.target, true
		}
	}
	return Target{}, false
}

// underPrefix matches whole path segments: /snags covers /snags/7, not /snagsold.
func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
