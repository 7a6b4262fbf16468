package estate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/jsonc"
)

// Limits on the routes and caller limits of a text. Some are exported for adapters
// that clamp values of other formats.
const (
	// maxRoutes prevents one text from exhausting the memory of every node. A route
	// takes about 300 bytes on each node.
	maxRoutes         = 20_000
	maxSharesPerRoute = 1000
	MaxWeight         = 1_000_000
	// MaxRouteTimeout is the maximum time that a caller may wait for a response.
	MaxRouteTimeout  = 10 * time.Minute
	MaxPriority      = 1_000_000
	MaxRouteAttempts = 100
	MaxHeaderBytes   = 1 << 20
	MaxBodyBytes     = 1 << 40
	MaxCallerTimeout = 24 * time.Hour
)

var routeKinds = map[string]apiv1.RouteKind{
	"safe":   apiv1.RouteKind_ROUTE_KIND_SAFE,
	"unsafe": apiv1.RouteKind_ROUTE_KIND_UNSAFE,
	"upload": apiv1.RouteKind_ROUTE_KIND_UPLOAD,
	// A download is idempotent and has a large response.
	"download": apiv1.RouteKind_ROUTE_KIND_DOWNLOAD,
}

// readRoutes reads the routes into doc and stores the JSON node of each in routeNodes,
// so that later checks can report its position.
func readRoutes(n jsonc.Node, doc *Document, routeNodes map[string]jsonc.Node) {
	members := n.Members()
	if len(members) > maxRoutes {
		n.Fail(fmt.Sprintf("%d routes, more than the %d allowed", len(members), maxRoutes), "split the institution's text")
		return
	}
	for _, m := range members {
		if m.Name == "" {
			m.Key.Fail("a route has an empty name", "name the route")
			continue
		}
		routeNodes[m.Name] = m.Value
		doc.Routes[m.Name] = readRoute(m.Value)
	}
}

func readRoute(n jsonc.Node) *apiv1.RouteSpec {
	spec := &apiv1.RouteSpec{TimeoutMs: uint32(defaultTimeout.Milliseconds()), MaxAttempts: defaultAttempts}
	n.Object(map[string]func(jsonc.Node){
		"host":        func(n jsonc.Node) { spec.Host = strings.ToLower(n.String()) },
		"pathPrefix":  func(n jsonc.Node) { spec.PathPrefix = readPathPrefix(n) },
		"kind":        func(n jsonc.Node) { spec.Kind = routeKinds[n.OneOf("safe", "unsafe", "upload", "download")] },
		"timeout":     func(n jsonc.Node) { spec.TimeoutMs = readMillis(n, time.Millisecond, MaxRouteTimeout) },
		"aim":         func(n jsonc.Node) { spec.AimMs = readMillis(n, 0, MaxRouteTimeout) },
		"priority":    func(n jsonc.Node) { spec.Priority = uint32(n.Uint(0, MaxPriority)) },
		"maxAttempts": func(n jsonc.Node) { spec.MaxAttempts = uint32(n.Uint(1, MaxRouteAttempts)) },
		"service": func(n jsonc.Node) {
			spec.Shares = []*apiv1.RouteShare{{Service: readName(n), Weight: 1}}
		},
		"split":  func(n jsonc.Node) { spec.Shares = readShares(n) },
		"public": func(n jsonc.Node) { spec.Public = n.Bool() },
	}, "pathPrefix", "kind")
	if len(spec.Shares) == 0 {
		n.Fail("the route leads to no service", `add "service": "…" or "split": […]`)
	}
	return spec
}

// readPathPrefix reads a path prefix, which must start with a slash.
func readPathPrefix(n jsonc.Node) string {
	s := n.String()
	if !strings.HasPrefix(s, "/") {
		n.Fail(fmt.Sprintf("path prefix %q does not start with a slash", s), `write "/…"`)
	}
	return s
}

// readShares reads the weighted services of a route. At least one weight must be
// above 0.
func readShares(n jsonc.Node) []*apiv1.RouteShare {
	elements := n.Elements()
	if len(elements) > maxSharesPerRoute {
		n.Fail(fmt.Sprintf("%d shares, more than the %d allowed", len(elements), maxSharesPerRoute), "shorten the list")
		return nil
	}
	var list []*apiv1.RouteShare
	total := uint32(0)
	for _, e := range elements {
		share := &apiv1.RouteShare{}
		e.Object(map[string]func(jsonc.Node){
			"service": func(n jsonc.Node) { share.Service = readName(n) },
			"weight":  func(n jsonc.Node) { share.Weight = uint32(n.Uint(0, MaxWeight)) },
		}, "service", "weight")
		total += share.Weight
		list = append(list, share)
	}
	if total == 0 {
		n.Fail("the weights add up to 0, so no request could be served", "give at least one service a weight above 0")
	}
	return list
}

// checkRouteTargets reports routes to services that are not in the text, and
// routes with the same host and path prefix.
func checkRouteTargets(doc *Document, routeNodes map[string]jsonc.Node) {
	owners := map[string]string{}
	for _, route := range slices.Sorted(maps.Keys(doc.Routes)) {
		spec := doc.Routes[route]
		for _, share := range spec.Shares {
			if doc.Services[share.Service] == nil {
				routeNodes[route].Fail(fmt.Sprintf("route %q leads to service %q, which is not in this text", route, share.Service), "add the service or change the route")
			}
		}
		hostAndPrefix := spec.Host + spec.PathPrefix
		if other, exists := owners[hostAndPrefix]; exists {
			routeNodes[route].Fail(fmt.Sprintf("routes %q and %q have the same host and path prefix %q", other, route, hostAndPrefix), "change the host or the prefix of one of them")
			continue
		}
		owners[hostAndPrefix] = route
	}
}

func readLimits(n jsonc.Node) *apiv1.CallerLimits {
	limits := &apiv1.CallerLimits{}
	n.Object(map[string]func(jsonc.Node){
		"maxHeaderBytes": func(n jsonc.Node) { limits.MaxHeaderBytes = uint32(n.Uint(0, MaxHeaderBytes)) },
		"maxBodyBytes":   func(n jsonc.Node) { limits.MaxBodyBytes = n.Uint(0, MaxBodyBytes) },
		"headerTimeout":  func(n jsonc.Node) { limits.HeaderTimeoutMs = readMillis(n, 0, MaxCallerTimeout) },
		"idleTimeout":    func(n jsonc.Node) { limits.IdleTimeoutMs = readMillis(n, 0, MaxCallerTimeout) },
	})
	return limits
}
