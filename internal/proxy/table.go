// Package proxy implements the callers' side of a node: it maps a request to a service,
// selects an endpoint, makes attempts with retries and hedging, and returns one final
// response to the caller.
package proxy

import (
	"net"
	"net/http"
	"sort"
	"strings"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/internal/hop"
)

// Table maps hosts and path prefixes to services and routes, and keys to client accounts. It
// is immutable.
type Table struct {
	byHost       map[string][]tableEntry
	serviceNames map[string]bool
	routes       map[string]*Route
	accounts     *accounts
}

type tableEntry struct {
	prefix string
	target Target
}

// NewTable builds a table from routes, service records, partial ones included, and client
// accounts. An unchanged route is reused from previous, which may be nil, so that it keeps
// the state of its traffic split.
func NewTable(records []*apiv1.ServiceRecord, routes []*apiv1.RouteRecord, accountRecords []*apiv1.AccountRecord, previous *Table) *Table {
	if previous == nil {
		previous = &Table{accounts: &accounts{}}
	}
	t := &Table{byHost: map[string][]tableEntry{}, serviceNames: map[string]bool{}, routes: map[string]*Route{}, accounts: newAccounts(accountRecords, previous.accounts)}
	for _, r := range records {
		t.serviceNames[r.Name] = true
		t.addService(r)
	}
	for _, r := range routes {
		t.addRoute(r, previous)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].prefix) > len(routes[j].prefix) })
	}
	return t
}

func (t *Table) addService(r *apiv1.ServiceRecord) {
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
			t.byHost[h] = append(t.byHost[h], tableEntry{p, Target{Service: r.Name}})
		}
	}
}

func (t *Table) addRoute(r *apiv1.RouteRecord, previous *Table) {
	key := r.Institution + "\x00" + r.Name
	compiled := (*Route)(nil)
	if previous.routes[key] != nil && previous.routes[key].Revision == r.ChangedAt {
		compiled = previous.routes[key]
	} else {
		compiled = newRoute(r)
	}
	t.routes[key] = compiled
	t.byHost[r.Spec.Host] = append(t.byHost[r.Spec.Host], tableEntry{r.Spec.PathPrefix, Target{Route: compiled}})
}

// Services returns the sorted names of the services that the routes refer to.
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

// Find returns the target of a request: by the Cactus-Service header if present, otherwise
// by its host and the longest matching path prefix.
func (t *Table) Find(r *http.Request) (target Target, ok bool) {
	if name := r.Header.Get(hop.ServiceHeader); name != "" {
		return Target{Service: name}, t.serviceNames[name]
	}
	host := strings.ToLower(r.Host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if target, ok := matchPath(t.byHost[host], r.URL.Path); ok {
		return target, true
	}
	return matchPath(t.byHost[""], r.URL.Path)
}

func matchPath(routes []tableEntry, path string) (Target, bool) {
	for _, r := range routes {
		if hasPathPrefix(path, r.prefix) {
			return r.target, true
		}
	}
	return Target{}, false
}

// hasPathPrefix reports whether path starts with prefix, compared by whole path segments:
// /snags matches /snags/7 but not /snagsold.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
