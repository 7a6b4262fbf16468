package directory

import (
	"sort"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// View is a node's copy of the entries of the services that it needs. It receives their
// changes from one relay at a time.
type View struct {
	entries map[string]*apiv1.Entry
	cursor  *apiv1.Cursor
	// answered is the set of services whose entries up to the cursor are in the view.
	answered map[string]bool
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[string]*apiv1.Entry{}, answered: map[string]bool{}}
}

// Cursor returns the view's position in its relay's sequence of changes, or nil if the view
// follows no relay.
func (v *View) Cursor() *apiv1.Cursor { return v.cursor }

// Covers reports whether a relay has answered for all the given services. If not, the next
// answer must be complete: the changes since the cursor would not include entries of a
// newly requested service that have not changed since.
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

// Apply processes a relay's answer to a request for the entries of services. It reports
// whether the entries or the covered services changed. An answer without a cursor is
// ignored: the relay is not ready and the services must be requested again. If complete is
// set, entries that the answer does not contain are removed.
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

// FollowsRelay reports whether the view holds the position in a relay's changes, so that it
// needs only later ones from that relay.
func (v *View) FollowsRelay() bool { return v.cursor != nil }

// ApplyProvisional merges entries that no relay has confirmed. It has no effect if the view
// follows a relay. It reports whether anything changed. The first answer of a relay replaces
// these entries.
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

// Reset discards the cursor, so that the next answer of a relay is complete. The entries
// remain until then.
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
