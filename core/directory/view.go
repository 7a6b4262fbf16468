package directory

import (
	"sort"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// View is a node's copy of the entries of the services it needs. It follows the
// change stream of one relay at a time.
type View struct {
	entries map[string]*apiv1.Entry
	cursor  *apiv1.Cursor
	// answered are the services covered by the cursor.
	answered map[string]bool
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[string]*apiv1.Entry{}, answered: map[string]bool{}}
}

// Cursor returns the view's position in its relay's change stream.
func (v *View) Cursor() *apiv1.Cursor { return v.cursor }

// Covers reports whether the view covers all the services. If not, the next answer
// must be complete: changes since the cursor would omit entries that existed before
// the service was requested.
func (v *View) Covers(services []string) bool {
	for _, s := range services {
		if !v.answered[s] {
			return false
		}
	}
	return true
}

// Answered reports whether a relay has answered for a service.
func (v *View) Answered(service string) bool { return v.answered[service] }

// Apply processes a relay's answer to a request for services and reports whether
// anything changed. An answer without a cursor is ignored: the relay is not ready
// and the services must be requested again. A complete answer removes the entries
// that it does not contain.
func (v *View) Apply(services []string, entries []*apiv1.Entry, cursor *apiv1.Cursor, complete bool) bool {
	if cursor == nil {
		return false
	}
	changed := false
	if complete {
		present := map[string]bool{}
		for _, e := range entries {
			present[e.Host] = true
		}
		for host := range v.entries {
			if !present[host] {
				delete(v.entries, host)
				changed = true
			}
		}
	}
	for _, e := range entries {
		if Supersedes(e, v.entries[e.Host]) {
			v.entries[e.Host] = e
			changed = true
		}
	}
	v.cursor = cursor
	changed = changed || !v.Covers(services)
	v.answered = map[string]bool{}
	for _, s := range services {
		v.answered[s] = true
	}
	return changed
}

// FollowsRelay reports whether the view follows a relay.
func (v *View) FollowsRelay() bool { return v.cursor != nil }

// ApplyProvisional merges entries that were not confirmed by a relay, as long as
// the view follows none. It reports whether anything changed. The first answer of a
// relay replaces them.
func (v *View) ApplyProvisional(entries []*apiv1.Entry) bool {
	if v.cursor != nil {
		return false
	}
	changed := false
	for _, e := range entries {
		if Supersedes(e, v.entries[e.Host]) {
			v.entries[e.Host] = e
			changed = true
		}
	}
	return changed
}

// Reset discards the cursor, so that the next answer is complete.
func (v *View) Reset() { v.cursor = nil }

// ByService returns the entries by service, without tombstones and ordered by host.
func (v *View) ByService() map[string][]*apiv1.Entry {
	out := map[string][]*apiv1.Entry{}
	for _, e := range v.entries {
		if !IsTombstone(e) && e.Service != "" {
			out[e.Service] = append(out[e.Service], e)
		}
	}
	for _, list := range out {
		sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	}
	return out
}
