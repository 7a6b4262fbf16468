// Package rollout holds the compiled estate as one record per service, per route,
// per host, per data centre and per institution's limits, each stamped with the revision that last changed it. What a receiver
// at revision R lacks is every record stamped after R, so no history of deltas
// is kept and a receiver may be any number of revisions behind.
//
// Records are never modified once published. Records (the type) is not safe
// for concurrent use.
package rollout

import (
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Records is the compiled estate at one revision.
type Records struct {
	revision uint64
	services map[string]*apiv1.ServiceRecord
	hosts    map[string]*apiv1.HostRecord
	routes   map[string]*apiv1.RouteRecord
	limits   map[string]*apiv1.LimitsRecord
	// dataCenters are those that were ever evacuated.
	dataCenters map[string]*apiv1.DataCenterRecord
}

// Contents is what an institution's text says, compiled.
type Contents struct {
	Services map[string]*apiv1.ServiceSpec
	Routes   map[string]*apiv1.RouteSpec
	Limits   *apiv1.CallerLimits
}

// NewRecords returns the records before the first revision.
func NewRecords() *Records {
	return &Records{services: map[string]*apiv1.ServiceRecord{}, hosts: map[string]*apiv1.HostRecord{},
		routes: map[string]*apiv1.RouteRecord{}, limits: map[string]*apiv1.LimitsRecord{}, dataCenters: map[string]*apiv1.DataCenterRecord{}}
}

// Revision is the newest revision held.
func (r *Records) Revision() uint64 { return r.revision }

// Service returns a service's record, or nil. A removed service is returned
// with Removed set.
func (r *Records) Service(name string) *apiv1.ServiceRecord { return r.services[name] }

// Services returns the records of all services that are not removed, by name.
func (r *Records) Services() []*apiv1.ServiceRecord {
	var list []*apiv1.ServiceRecord
	for _, s := range byKey(r.services) {
		if !s.Removed {
			list = append(list, s)
		}
	}
	return list
}

// Draining tells whether an operator announced a planned stop of the host.
func (r *Records) Draining(host string) bool { return r.hosts[host].GetDraining() }

// Evacuated tells whether an operator evacuated the data centre.
func (r *Records) Evacuated(dataCenter string) bool { return r.dataCenters[dataCenter].GetEvacuated() }

// DataCenters returns every data centre's record, by name.
func (r *Records) DataCenters() []*apiv1.DataCenterRecord { return byKey(r.dataCenters) }

// Hosts returns every host record, by name.
func (r *Records) Hosts() []*apiv1.HostRecord { return byKey(r.hosts) }

// Replace sets an institution's contents as of revision. Records whose spec is
// unchanged keep their stamp, so they do not travel.
func (r *Records) Replace(institution string, contents Contents, revision uint64) {
	r.replaceServices(institution, contents.Services, revision)
	r.replaceRoutes(institution, contents.Routes, revision)
	if held := r.limits[institution]; (held != nil || contents.Limits != nil) && !proto.Equal(held.GetLimits(), contents.Limits) {
		r.limits[institution] = &apiv1.LimitsRecord{Institution: institution, ChangedAt: revision, Limits: contents.Limits}
	}
	r.revision = revision
}

func (r *Records) replaceServices(institution string, specs map[string]*apiv1.ServiceSpec, revision uint64) {
	for name, held := range r.services {
		if _, kept := specs[name]; !kept && held.Institution == institution && !held.Removed {
			r.services[name] = &apiv1.ServiceRecord{Name: name, Institution: institution, ChangedAt: revision, Removed: true}
		}
	}
	for name, spec := range specs {
		held := r.services[name]
		if held != nil && !held.Removed && proto.Equal(held.Spec, spec) {
			continue
		}
		r.services[name] = &apiv1.ServiceRecord{Name: name, Institution: institution, ChangedAt: revision, Spec: spec}
	}
}

func (r *Records) replaceRoutes(institution string, specs map[string]*apiv1.RouteSpec, revision uint64) {
	for key, held := range r.routes {
		if _, kept := specs[held.Name]; !kept && held.Institution == institution && !held.Removed {
			r.routes[key] = &apiv1.RouteRecord{Name: held.Name, Institution: institution, ChangedAt: revision, Removed: true}
		}
	}
	for name, spec := range specs {
		key := routeKey(institution, name)
		held := r.routes[key]
		if held != nil && !held.Removed && proto.Equal(held.Spec, spec) {
			continue
		}
		r.routes[key] = &apiv1.RouteRecord{Name: name, Institution: institution, ChangedAt: revision, Spec: spec}
	}
}

// routeKey keeps the routes of two institutions apart that have the same name.
func routeKey(institution, name string) string { return institution + "\x00" + name }

func routeRecordKey(r *apiv1.RouteRecord) string { return routeKey(r.Institution, r.Name) }

// Routes returns the routes that are not removed, by institution and name.
func (r *Records) Routes() []*apiv1.RouteRecord {
	var list []*apiv1.RouteRecord
	for _, route := range byKey(r.routes) {
		if !route.Removed {
			list = append(list, route)
		}
	}
	return list
}

// Limits returns the tightest of the institutions' limits; a value of 0 means
// that none sets it.
func (r *Records) Limits() *apiv1.CallerLimits {
	out := &apiv1.CallerLimits{}
	for _, record := range r.limits {
		l := record.Limits
		out.MaxHeaderBytes = tighter(out.MaxHeaderBytes, l.GetMaxHeaderBytes())
		out.MaxBodyBytes = tighter(out.MaxBodyBytes, l.GetMaxBodyBytes())
		out.HeaderTimeoutMs = tighter(out.HeaderTimeoutMs, l.GetHeaderTimeoutMs())
		out.IdleTimeoutMs = tighter(out.IdleTimeoutMs, l.GetIdleTimeoutMs())
	}
	return out
}

// tighter is the smaller of two limits, where 0 stands for none.
func tighter[T uint32 | uint64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// SetHost records a planned stop, or its end, as of revision.
func (r *Records) SetHost(host string, draining bool, revision uint64) {
	r.hosts[host] = &apiv1.HostRecord{Host: host, ChangedAt: revision, Draining: draining}
	r.revision = revision
}

// SetDataCenter records an evacuation, or its end, as of revision.
func (r *Records) SetDataCenter(dataCenter string, evacuated bool, revision uint64) {
	r.dataCenters[dataCenter] = &apiv1.DataCenterRecord{DataCenter: dataCenter, ChangedAt: revision, Evacuated: evacuated}
	r.revision = revision
}

// Delta returns everything that a receiver at revision since lacks.
func (r *Records) Delta(since uint64) *apiv1.EstateDelta {
	delta := &apiv1.EstateDelta{Since: since, Revision: r.revision, Complete: since == 0}
	r.unfiltered(since, delta)
	return delta
}

// DeltaFor returns what a node at revision since lacks: changed services in
// full if it needs them, otherwise their routes alone; services it needs anew
// whatever their stamp; and its own host's record.
func (r *Records) DeltaFor(since uint64, needed, anew []string, host string) *apiv1.EstateDelta {
	delta := &apiv1.EstateDelta{Since: since, Revision: r.revision, Complete: since == 0}
	if since >= r.revision && len(anew) == 0 {
		// The usual heartbeat: nothing changed, and looking through every service
		// would be most of what it costs.
		return delta
	}
	want := map[string]bool{}
	for _, name := range needed {
		want[name] = true
	}
	for _, name := range anew {
		if s := r.services[name]; s != nil && s.ChangedAt <= since {
			delta.Services = append(delta.Services, s)
		}
	}
	for _, s := range r.services {
		switch {
		case s.ChangedAt <= since:
		case want[s.Name] || s.Removed:
			delta.Services = append(delta.Services, s)
		default:
			delta.Services = append(delta.Services, routesOnly(s))
		}
	}
	sort.Slice(delta.Services, func(i, j int) bool { return delta.Services[i].Name < delta.Services[j].Name })
	if h := r.hosts[host]; h != nil && h.ChangedAt > since {
		delta.Hosts = append(delta.Hosts, h)
	}
	r.addCommon(since, delta)
	return delta
}

// addCommon adds what changed of what every node needs: all routes, since a request
// for any of them may come to it, limits, and evacuations.
func (r *Records) addCommon(since uint64, delta *apiv1.EstateDelta) {
	delta.Routes, delta.Limits, delta.DataCenters = changed(r.routes, since), changed(r.limits, since), changed(r.dataCenters, since)
}

func routesOnly(s *apiv1.ServiceRecord) *apiv1.ServiceRecord {
	spec := &apiv1.ServiceSpec{Hosts: s.Spec.GetHosts(), PathPrefixes: s.Spec.GetPathPrefixes()}
	return &apiv1.ServiceRecord{Name: s.Name, Institution: s.Institution, ChangedAt: s.ChangedAt, Spec: spec, Partial: true}
}

func (r *Records) unfiltered(since uint64, delta *apiv1.EstateDelta) {
	delta.Services, delta.Hosts = changed(r.services, since), changed(r.hosts, since)
	r.addCommon(since, delta)
}

// Apply takes in a delta and reports whether anything changed.
//
// A delta that is older than what is held, or that starts after it, is left
// out whole: the first would move the receiver back to a superseded
// configuration, the second would skip the records in between. Each record is
// also compared by its own stamp, so a delayed delta of equal revision cannot
// bring back an older record either.
func (r *Records) Apply(delta *apiv1.EstateDelta) bool {
	if delta == nil || delta.Revision < r.revision || delta.Since > r.revision {
		return false
	}
	changed := delta.Revision > r.revision
	for _, s := range delta.Services {
		if supersedes(s, r.services[s.Name]) {
			r.services[s.Name] = s
			changed = true
		}
	}
	changed = applyNewer(r.hosts, delta.Hosts, (*apiv1.HostRecord).GetHost) || changed
	changed = applyNewer(r.routes, delta.Routes, routeRecordKey) || changed
	changed = applyNewer(r.limits, delta.Limits, (*apiv1.LimitsRecord).GetInstitution) || changed
	changed = applyNewer(r.dataCenters, delta.DataCenters, (*apiv1.DataCenterRecord).GetDataCenter) || changed
	r.revision = delta.Revision
	return changed
}

// applyNewer stores each record whose key is not held yet or is held with an older
// ChangedAt, and reports whether it stored any.
func applyNewer[R interface{ GetChangedAt() uint64 }](held map[string]R, records []R, key func(R) string) bool {
	changed := false
	for _, record := range records {
		k := key(record)
		if old, ok := held[k]; !ok || old.GetChangedAt() < record.GetChangedAt() {
			held[k] = record
			changed = true
		}
	}
	return changed
}

// supersedes tells whether a record is newer than the held one, or fills in what
// a partial one of the same stamp lacks.
func supersedes(s, held *apiv1.ServiceRecord) bool {
	if held == nil || held.ChangedAt < s.ChangedAt {
		return true
	}
	return held.ChangedAt == s.ChangedAt && held.Partial && !s.Partial
}

// Snapshot returns all records by name.
func (r *Records) Snapshot() *apiv1.EstateSnapshot {
	return &apiv1.EstateSnapshot{Revision: r.revision, Services: byKey(r.services), Hosts: r.Hosts(), Routes: byKey(r.routes), Limits: byKey(r.limits),
		DataCenters: r.DataCenters()}
}

// Restore replaces the records by a snapshot's.
func (r *Records) Restore(snap *apiv1.EstateSnapshot) {
	*r = *NewRecords()
	r.revision = snap.Revision
	applyNewer(r.services, snap.Services, (*apiv1.ServiceRecord).GetName)
	applyNewer(r.hosts, snap.Hosts, (*apiv1.HostRecord).GetHost)
	applyNewer(r.routes, snap.Routes, routeRecordKey)
	applyNewer(r.limits, snap.Limits, (*apiv1.LimitsRecord).GetInstitution)
	applyNewer(r.dataCenters, snap.DataCenters, (*apiv1.DataCenterRecord).GetDataCenter)
}

// byKey lists the records of one kind, by the key that they are held under.
func byKey[R any](held map[string]R) []R {
	list := make([]R, 0, len(held))
	for _, key := range slices.Sorted(maps.Keys(held)) {
		list = append(list, held[key])
	}
	return list
}

// changed lists the records of one kind that changed after a revision, by key.
func changed[R interface{ GetChangedAt() uint64 }](held map[string]R, since uint64) []R {
	var list []R
	for _, record := range byKey(held) {
		if record.GetChangedAt() > since {
			list = append(list, record)
		}
	}
	return list
}
