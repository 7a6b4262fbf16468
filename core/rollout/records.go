// Package rollout stores the compiled estate and computes the deltas that distribute it.
// It keeps one record for each service, route, client account, host and data centre, and one for the
// limits of each institution. A record's ChangedAt is the revision that last changed
// it. A receiver at revision R lacks exactly the records with ChangedAt above R, so no
// history of deltas is kept and a receiver may be any number of revisions behind.
//
// A published record is replaced and never modified. The type Records is not safe for
// concurrent use.
package rollout

import (
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Records is the compiled estate at a given revision.
type Records struct {
	revision   uint64
	generation uint64
	services   map[string]*apiv1.ServiceRecord
	hosts      map[string]*apiv1.HostRecord
	routes     map[string]*apiv1.RouteRecord
	accounts   map[string]*apiv1.AccountRecord
	limits     map[string]*apiv1.LimitsRecord
	// dataCenters has a record for each data centre that was ever evacuated.
	dataCenters map[string]*apiv1.DataCenterRecord
}

// Contents is the compiled estate text of one institution.
type Contents struct {
	Services map[string]*apiv1.ServiceSpec
	Routes   map[string]*apiv1.RouteSpec
	// Accounts is nil if the institution does not use client accounts; an empty table accepts no key.
	Accounts map[string]*apiv1.AccountSpec
	Limits   *apiv1.CallerLimits
}

// NewRecords returns empty Records at revision 0.
func NewRecords() *Records {
	return &Records{services: map[string]*apiv1.ServiceRecord{}, hosts: map[string]*apiv1.HostRecord{},
		routes: map[string]*apiv1.RouteRecord{}, accounts: map[string]*apiv1.AccountRecord{}, limits: map[string]*apiv1.LimitsRecord{}, dataCenters: map[string]*apiv1.DataCenterRecord{}}
}

// Revision returns the newest revision that was applied.
func (r *Records) Revision() uint64 { return r.revision }

// Service returns the record of a service, or nil if it is unknown. The record of
// a removed service has Removed set.
func (r *Records) Service(name string) *apiv1.ServiceRecord { return r.services[name] }

// Services returns the records of all services that are not removed, sorted by
// name.
func (r *Records) Services() []*apiv1.ServiceRecord { return notRemoved(r.services) }

// Draining reports whether an operator announced a planned stop of the host.
func (r *Records) Draining(host string) bool { return r.hosts[host].GetDraining() }

// Evacuated reports whether an operator evacuated the data centre.
func (r *Records) Evacuated(dataCenter string) bool { return r.dataCenters[dataCenter].GetEvacuated() }

// DataCenters returns all data centre records, sorted by name.
func (r *Records) DataCenters() []*apiv1.DataCenterRecord { return sortedByKey(r.dataCenters) }

// Hosts returns all host records, sorted by name.
func (r *Records) Hosts() []*apiv1.HostRecord { return sortedByKey(r.hosts) }

// Replace replaces the services, routes, client accounts and limits of an institution at the given
// revision. Unchanged records keep their ChangedAt, so they are not sent again.
func (r *Records) Replace(institution string, contents Contents, revision uint64) {
	r.ApplyDifference(r.Difference(institution, contents), revision)
}

// Difference returns the records to store for the contents of an institution to become the given
// ones. Their ChangedAt is not set. A service that another institution has is always among them.
func (r *Records) Difference(institution string, contents Contents) *apiv1.EstateDelta {
	d := &apiv1.EstateDelta{Services: r.serviceDifference(institution, contents.Services)}
	d.Routes = r.routeDifference(institution, contents.Routes)
	d.Accounts = r.accountDifference(institution, contents.Accounts)
	if current := r.limits[institution]; (current != nil || contents.Limits != nil) && !proto.Equal(current.GetLimits(), contents.Limits) {
		d.Limits = append(d.Limits, &apiv1.LimitsRecord{Institution: institution, Limits: contents.Limits})
	}
	return d
}

func (r *Records) serviceDifference(institution string, specs map[string]*apiv1.ServiceSpec) []*apiv1.ServiceRecord {
	var list []*apiv1.ServiceRecord
	for name, current := range r.services {
		if _, kept := specs[name]; !kept && current.Institution == institution && !current.Removed {
			list = append(list, &apiv1.ServiceRecord{Name: name, Institution: institution, Removed: true})
		}
	}
	for name, spec := range specs {
		current := r.services[name]
		if current != nil && !current.Removed && current.Institution == institution && proto.Equal(current.Spec, spec) {
			continue
		}
		list = append(list, &apiv1.ServiceRecord{Name: name, Institution: institution, Spec: spec})
	}
	return list
}

func (r *Records) routeDifference(institution string, specs map[string]*apiv1.RouteSpec) []*apiv1.RouteRecord {
	var list []*apiv1.RouteRecord
	for _, current := range r.routes {
		if _, kept := specs[current.Name]; !kept && current.Institution == institution && !current.Removed {
			list = append(list, &apiv1.RouteRecord{Name: current.Name, Institution: institution, Removed: true})
		}
	}
	for name, spec := range specs {
		current := r.routes[qualifiedName(institution, name)]
		if current != nil && !current.Removed && proto.Equal(current.Spec, spec) {
			continue
		}
		list = append(list, &apiv1.RouteRecord{Name: name, Institution: institution, Spec: spec})
	}
	return list
}

func (r *Records) accountDifference(institution string, specs map[string]*apiv1.AccountSpec) []*apiv1.AccountRecord {
	if specs != nil {
		specs = maps.Clone(specs)
		specs[keysRequiredName] = &apiv1.AccountSpec{}
	}
	var list []*apiv1.AccountRecord
	for _, current := range r.accounts {
		if _, kept := specs[current.Name]; !kept && current.Institution == institution && !current.Removed {
			list = append(list, &apiv1.AccountRecord{Name: current.Name, Institution: institution, Removed: true})
		}
	}
	for name, spec := range specs {
		current := r.accounts[qualifiedName(institution, name)]
		if current != nil && !current.Removed && proto.Equal(current.Spec, spec) {
			continue
		}
		list = append(list, &apiv1.AccountRecord{Name: name, Institution: institution, Spec: spec})
	}
	return list
}

// ApplyDifference stores the records of a difference at the given revision. It keeps and modifies
// them, so the caller must not use them any more.
func (r *Records) ApplyDifference(d *apiv1.EstateDelta, revision uint64) {
	for _, s := range d.GetServices() {
		s.ChangedAt = revision
		r.services[s.Name] = s
	}
	for _, route := range d.GetRoutes() {
		route.ChangedAt = revision
		r.routes[routeRecordKey(route)] = route
	}
	for _, a := range d.GetAccounts() {
		a.ChangedAt = revision
		r.accounts[accountRecordKey(a)] = a
	}
	for _, l := range d.GetLimits() {
		l.ChangedAt = revision
		r.limits[l.Institution] = l
	}
	r.revision = revision
}

// keysRequiredName is the name of the account record which states that an institution uses client
// accounts, so that requests need a key also while it has none. No account can have this name. Nodes
// that do not know this record take it for an account without keys, and require a key as well.
const keysRequiredName = ""

// RequiresKeys reports whether the record states that requests need a key, instead of describing an
// account.
func RequiresKeys(r *apiv1.AccountRecord) bool { return r.Name == keysRequiredName }

// Accounts returns the client accounts that are not removed, sorted by institution and
// name.
func (r *Records) Accounts() []*apiv1.AccountRecord {
	return slices.DeleteFunc(r.AccountRecords(), RequiresKeys)
}

// AccountRecords returns the client accounts that are not removed, and the records for which
// RequiresKeys returns true.
func (r *Records) AccountRecords() []*apiv1.AccountRecord { return notRemoved(r.accounts) }

// qualifiedName returns the key of a route or client account. It includes the institution
// because two institutions may use the same name.
func qualifiedName(institution, name string) string { return institution + "\x00" + name }

func routeRecordKey(r *apiv1.RouteRecord) string { return qualifiedName(r.Institution, r.Name) }

func accountRecordKey(r *apiv1.AccountRecord) string { return qualifiedName(r.Institution, r.Name) }

// Routes returns the routes that are not removed, sorted by institution and name.
func (r *Records) Routes() []*apiv1.RouteRecord { return notRemoved(r.routes) }

// Limits returns the smallest of the institutions' limits for each field. A value
// of 0 means that no institution sets the limit.
func (r *Records) Limits() *apiv1.CallerLimits {
	out := &apiv1.CallerLimits{}
	for _, record := range r.limits {
		l := record.Limits
		out.MaxHeaderBytes = minLimit(out.MaxHeaderBytes, l.GetMaxHeaderBytes())
		out.MaxBodyBytes = minLimit(out.MaxBodyBytes, l.GetMaxBodyBytes())
		out.HeaderTimeoutMs = minLimit(out.HeaderTimeoutMs, l.GetHeaderTimeoutMs())
		out.IdleTimeoutMs = minLimit(out.IdleTimeoutMs, l.GetIdleTimeoutMs())
	}
	return out
}

// minLimit returns the smaller of two limits, where 0 means no limit.
func minLimit[T uint32 | uint64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// SetHost records at the given revision that a planned stop of a host begins (draining)
// or ends.
func (r *Records) SetHost(host string, draining bool, revision uint64) {
	r.hosts[host] = &apiv1.HostRecord{Host: host, ChangedAt: revision, Draining: draining}
	r.revision = revision
}

// SetDataCenter records at the given revision that the evacuation of a data centre
// begins (evacuated) or ends.
func (r *Records) SetDataCenter(dataCenter string, evacuated bool, revision uint64) {
	r.dataCenters[dataCenter] = &apiv1.DataCenterRecord{DataCenter: dataCenter, ChangedAt: revision, Evacuated: evacuated}
	r.revision = revision
}

// Delta returns all records that changed after revision since.
func (r *Records) Delta(since uint64) *apiv1.EstateDelta {
	delta := &apiv1.EstateDelta{Since: since, Revision: r.revision, Complete: since == 0}
	r.addAll(since, delta)
	return delta
}

// DeltaFor returns the delta for a node on the given host at revision since. needed
// lists the services that the node needs in full; of other changed services, the delta
// contains only the hosts and path prefixes. added lists the needed services that the
// node did not need before; the delta contains them in full even if they have not
// changed. Of the host records, it contains only that of the node's own host.
func (r *Records) DeltaFor(since uint64, needed, added []string, host string) *apiv1.EstateDelta {
	delta := &apiv1.EstateDelta{Since: since, Revision: r.revision, Complete: since == 0}
	if since >= r.revision && len(added) == 0 {
		// Nothing has changed, as is the case for most heartbeats. Scanning all services
		// would be most of the cost of a heartbeat.
		return delta
	}
	want := map[string]bool{}
	for _, name := range needed {
		want[name] = true
	}
	for _, name := range added {
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

// addCommon adds the records that every node needs, as far as they changed after
// revision since: limits, evacuations, and all routes and client accounts, since a request
// for any route and of any account may reach any node.
func (r *Records) addCommon(since uint64, delta *apiv1.EstateDelta) {
	delta.Routes, delta.Limits, delta.DataCenters = changedSince(r.routes, since), changedSince(r.limits, since), changedSince(r.dataCenters, since)
	delta.Accounts = changedSince(r.accounts, since)
}

// routesOnly returns a partial record that contains only the hosts and path
// prefixes of a service.
func routesOnly(s *apiv1.ServiceRecord) *apiv1.ServiceRecord {
	spec := &apiv1.ServiceSpec{Hosts: s.Spec.GetHosts(), PathPrefixes: s.Spec.GetPathPrefixes()}
	return &apiv1.ServiceRecord{Name: s.Name, Institution: s.Institution, ChangedAt: s.ChangedAt, Spec: spec, Partial: true}
}

// addAll adds all records that changed after revision since.
func (r *Records) addAll(since uint64, delta *apiv1.EstateDelta) {
	delta.Services, delta.Hosts = changedSince(r.services, since), changedSince(r.hosts, since)
	r.addCommon(since, delta)
}

// Apply applies a delta and reports whether anything changed.
//
// A delta whose Revision is below the current revision is ignored, since it would
// revert the receiver to a superseded configuration. A delta whose Since is above
// the current revision is ignored, since the changes between the two would be missing.
// Each record is also compared by its ChangedAt, so that a delayed delta of the
// same revision cannot restore an older record.
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
	changed = applyNewer(r.accounts, delta.Accounts, accountRecordKey) || changed
	changed = applyNewer(r.limits, delta.Limits, (*apiv1.LimitsRecord).GetInstitution) || changed
	changed = applyNewer(r.dataCenters, delta.DataCenters, (*apiv1.DataCenterRecord).GetDataCenter) || changed
	r.revision = delta.Revision
	if changed {
		r.generation++
	}
	return changed
}

// Generation returns a number that grows whenever Apply changes the records.
func (r *Records) Generation() uint64 { return r.generation }

// applyNewer stores each record in current whose key is missing there or has an
// older ChangedAt, and reports whether it stored any.
func applyNewer[R interface{ GetChangedAt() uint64 }](current map[string]R, records []R, key func(R) string) bool {
	changed := false
	for _, record := range records {
		k := key(record)
		if old, ok := current[k]; !ok || old.GetChangedAt() < record.GetChangedAt() {
			current[k] = record
			changed = true
		}
	}
	return changed
}

// supersedes reports whether s replaces current: s is newer, or it is the full record and
// current is a partial one with the same ChangedAt.
func supersedes(s, current *apiv1.ServiceRecord) bool {
	if current == nil || current.ChangedAt < s.ChangedAt {
		return true
	}
	return current.ChangedAt == s.ChangedAt && current.Partial && !s.Partial
}

// Snapshot returns all records, sorted by key.
func (r *Records) Snapshot() *apiv1.EstateSnapshot {
	return &apiv1.EstateSnapshot{Revision: r.revision, Services: sortedByKey(r.services), Hosts: r.Hosts(), Routes: sortedByKey(r.routes), Limits: sortedByKey(r.limits),
		Accounts: sortedByKey(r.accounts), DataCenters: r.DataCenters()}
}

// Restore replaces all records with those of a snapshot.
func (r *Records) Restore(snap *apiv1.EstateSnapshot) {
	*r = *NewRecords()
	r.revision = snap.Revision
	applyNewer(r.services, snap.Services, (*apiv1.ServiceRecord).GetName)
	applyNewer(r.hosts, snap.Hosts, (*apiv1.HostRecord).GetHost)
	applyNewer(r.routes, snap.Routes, routeRecordKey)
	applyNewer(r.accounts, snap.Accounts, accountRecordKey)
	applyNewer(r.limits, snap.Limits, (*apiv1.LimitsRecord).GetInstitution)
	applyNewer(r.dataCenters, snap.DataCenters, (*apiv1.DataCenterRecord).GetDataCenter)
}

// sortedByKey returns the records of a map, sorted by key.
func sortedByKey[R any](records map[string]R) []R {
	list := make([]R, 0, len(records))
	for _, key := range slices.Sorted(maps.Keys(records)) {
		list = append(list, records[key])
	}
	return list
}

// notRemoved returns the records of a map that are not removed, sorted by key.
func notRemoved[R interface{ GetRemoved() bool }](records map[string]R) []R {
	return slices.DeleteFunc(sortedByKey(records), R.GetRemoved)
}

// changedSince returns the records with ChangedAt above since, sorted by key. There are few of them in
// most cases, so they are picked out before they are sorted.
func changedSince[R interface{ GetChangedAt() uint64 }](records map[string]R, since uint64) []R {
	var keys []string
	for key, record := range records {
		if record.GetChangedAt() > since {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var list []R
	for _, key := range keys {
		list = append(list, records[key])
	}
	return list
}
