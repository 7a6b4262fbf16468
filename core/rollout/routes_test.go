package rollout

import (
	"testing"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
)

func route(prefix string) *apiv1.RouteSpec { return &apiv1.RouteSpec{PathPrefix: prefix} }

// A delta must contain the routes that changed after the receiver's revision, including
// removed ones. The receiver must ignore an older delta.
func TestDeltaContainsChangedRoutes(t *testing.T) {
	source, node := NewRecords(), NewRecords()
	source.Replace("a", Contents{Routes: map[string]*apiv1.RouteSpec{"x": route("/x"), "y": route("/y")}, Limits: &apiv1.CallerLimits{MaxHeaderBytes: 100}}, 1)
	first := source.DeltaFor(0, nil, nil, "host")
	assert.Assert(t, node.Apply(first))
	assert.Equal(t, len(node.Routes()), 2)
	assert.Equal(t, node.Limits().MaxHeaderBytes, uint32(100))

	source.Replace("a", Contents{Routes: map[string]*apiv1.RouteSpec{"x": route("/x"), "z": route("/z")}, Limits: &apiv1.CallerLimits{MaxHeaderBytes: 100}}, 4)
	second := source.DeltaFor(1, nil, nil, "host")
	assert.Equal(t, len(second.Routes), 2, "the removed and the added route")
	assert.Equal(t, len(second.Limits), 0)
	assert.Assert(t, node.Apply(second))
	assert.Assert(t, !node.Apply(first), "the node applied an older delta")
	assert.Equal(t, node.Routes()[1].Name, "z")
}

// Two institutions may have routes of the same name. The routes of one must not replace
// those of the other.
func TestInstitutionsMayShareRouteNames(t *testing.T) {
	r := NewRecords()
	r.Replace("a", Contents{Routes: map[string]*apiv1.RouteSpec{"x": route("/a")}, Limits: &apiv1.CallerLimits{MaxBodyBytes: 10}}, 1)
	r.Replace("b", Contents{Routes: map[string]*apiv1.RouteSpec{"x": route("/b")}, Limits: &apiv1.CallerLimits{MaxBodyBytes: 5}}, 2)
	assert.Equal(t, len(r.Routes()), 2)
	assert.Equal(t, r.Limits().MaxBodyBytes, uint64(5), "the smallest limit applies")
	r.Replace("b", Contents{}, 3)
	assert.Equal(t, len(r.Routes()), 1)
	assert.Equal(t, r.Limits().MaxBodyBytes, uint64(10))
}
