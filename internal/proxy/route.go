package proxy

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
	coreoverload "cactuspath/core/overload"
	"cactuspath/core/retry"
)

// Target is the result of a table lookup: a service or a route.
type Target struct {
	// Service is set if the request matches a service directly, without a route.
	Service string
	// Route is nil if the request matches a service directly.
	Route *Route
}

// rank returns the rank of the target's requests of an account, which may be nil, for
// shedding. The account's priority precedes that of the route. Requests with neither have
// the lowest priority.
func (t Target) rank(account *Account) coreoverload.Rank {
	r := coreoverload.Rank{Priority: math.MaxInt32}
	if t.Route != nil {
		r = coreoverload.Rank{Priority: int(t.Route.Spec.Priority), Aim: t.Route.aim()}
	}
	if account != nil && account.Spec.Priority != nil {
		r.Priority = int(*account.Spec.Priority)
	}
	return r
}

// public reports whether the target's requests need no key.
func (t Target) public() bool { return t.Route != nil && t.Route.Spec.Public }

// routeName returns the name of the route, or "" if there is none.
func (t Target) routeName() string {
	if t.Route == nil {
		return ""
	}
	return t.Route.Name
}

// Route is a configured route with the state of its traffic split. Safe for concurrent
// use.
type Route struct {
	Name     string
	Revision uint64
	Spec     *apiv1.RouteSpec

	mu sync.Mutex
	// currentWeights holds the current weight of each share in the smooth weighted
	// round-robin.
	currentWeights []float64
	totalWeight    float64
}

func newRoute(r *apiv1.RouteRecord) *Route {
	route := &Route{Name: r.Name, Revision: r.ChangedAt, Spec: r.Spec, currentWeights: make([]float64, len(r.Spec.Shares))}
	for i, share := range r.Spec.Shares {
		route.totalWeight += float64(share.Weight)
		// Each node starts at a random position in the sequence; otherwise the first
		// requests of all nodes would go to the share with the largest weight.
		route.currentWeights[i] = rand.Float64() * float64(share.Weight)
	}
	return route
}

// Pick chooses the service of the next request by smooth weighted round-robin, so that even a
// few requests are distributed by weight. A request for a service without free capacity is
// not given to another share's service, since that would change the split.
func (r *Route) Pick() string {
	shares := r.Spec.Shares
	if len(shares) == 1 {
		return shares[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	for i, share := range shares {
		r.currentWeights[i] += float64(share.Weight)
		if share.Weight > 0 && (best < 0 || r.currentWeights[i] > r.currentWeights[best]) {
			best = i
		}
	}
	r.currentWeights[best] -= r.totalWeight
	return shares[best].Service
}

// rules returns the retry rules of one request on the route.
func (r *Route) rules() retry.Request {
	return retry.Request{Idempotent: r.idempotent(), MaxAttempts: int(max(1, r.Spec.MaxAttempts))}
}

// idempotent reports whether a request on the route may run more than once.
func (r *Route) idempotent() bool {
	return r.Spec.Kind == apiv1.RouteKind_ROUTE_KIND_SAFE || r.Spec.Kind == apiv1.RouteKind_ROUTE_KIND_DOWNLOAD
}

// aim returns the route's latency target, or 0 if it has none.
func (r *Route) aim() time.Duration { return time.Duration(r.Spec.AimMs) * time.Millisecond }

func (r *Route) timeout() time.Duration { return time.Duration(r.Spec.TimeoutMs) * time.Millisecond }
