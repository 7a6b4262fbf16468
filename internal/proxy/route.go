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

// Target is what a request's host and path lead to.
type Target struct {
	// Service is the service of a request that names it without a route.
	Service string
	// Route is nil where a service claims the host and path itself.
	Route *Route
}

// rank returns the rank of the target's requests for shedding. Requests without a route
// have the lowest priority.
func (t Target) rank() coreoverload.Rank {
	if t.Route == nil {
		return coreoverload.Rank{Priority: math.MaxInt32}
	}
	return coreoverload.Rank{Priority: int(t.Route.Spec.Priority), Aim: t.Route.aim()}
}

// Route is a compiled route. Safe for concurrent use.
type Route struct {
	Name     string
	Revision uint64
	Spec     *apiv1.RouteSpec

	mu sync.Mutex
	// credit is each share's claim to the next request.
	credit []float64
	total  float64
}

func newRoute(r *apiv1.RouteRecord) *Route {
	route := &Route{Name: r.Name, Revision: r.ChangedAt, Spec: r.Spec, credit: make([]float64, len(r.Spec.Shares))}
	for i, share := range r.Spec.Shares {
		route.total += float64(share.Weight)
		// Each node starts elsewhere in the sequence; with the same start all
		// first requests of all nodes would go to the heaviest share.
		route.credit[i] = rand.Float64() * float64(share.Weight)
	}
	return route
}

// Pick chooses the service of the next request: the share with the largest
// credit, so that a few requests are already spread as the weights say. What
// does not fit a share's service stays with it; moving it would change the split.
func (r *Route) Pick() string {
	shares := r.Spec.Shares
	if len(shares) == 1 {
		return shares[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	for i, share := range shares {
		r.credit[i] += float64(share.Weight)
		if share.Weight > 0 && (best < 0 || r.credit[i] > r.credit[best]) {
			best = i
		}
	}
	r.credit[best] -= r.total
	return shares[best].Service
}

// rules are the retry rules of one request on the route.
func (r *Route) rules() retry.Request {
	return retry.Request{Idempotent: r.Spec.Kind == apiv1.RouteKind_ROUTE_KIND_SAFE, MaxAttempts: int(max(1, r.Spec.MaxAttempts))}
}

// aim is 0 without one.
func (r *Route) aim() time.Duration { return time.Duration(r.Spec.AimMs) * time.Millisecond }

func (r *Route) timeout() time.Duration { return time.Duration(r.Spec.TimeoutMs) * time.Millisecond }
