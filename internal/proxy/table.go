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
}

type route struct {
	prefix, service string
}

// NewTable builds a table from service records, partial ones included.
func NewTable(records []*apiv1.ServiceRecord) *Table {
	t := &Table{byHost: map[string][]route{}, names: map[string]bool{}}
	for _, r := range records {
		t.names[r.Name] = true
		t.add(r)
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
			t.byHost[h] = append(t.byHost[h], route{p, r.Name})
		}
	}
}

// Find returns the service that a request names: by the Cactus-Service header,
// or by its host and the longest matching path prefix.
func (t *Table) Find(r *http.Request) (service string, ok bool) {
	if name := r.Header.Get(hop.ServiceHeader); name != "" {
		return name, t.names[name]
	}
	host := strings.ToLower(r.Host)
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if service, ok := match(t.byHost[host], r.URL.Path); ok {
		return service, true
	}
	return match(t.byHost[""], r.URL.Path)
}

func match(routes []route, path string) (string, bool) {
	for _, r := range routes {
		if underPrefix(path, r.prefix) {
			return r.service, true
		}
	}
	return "", false
}

// underPrefix matches whole path segments: /snags covers /snags/7, not /snagsold.
func underPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
