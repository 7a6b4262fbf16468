package directory

import (
	"sort"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// View is what a node knows of the services it needs. It follows one relay's
// stream of changes at a time.
type View struct {
	entries map[string]*apiv1.Entry
	cursor  *apiv1.Cursor
	// answered are the services that the cursor stands for.
	answered map[string]bool
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[string]*apiv1.Entry{}, answered: map[string]bool{}}
}

// Cursor is the view's place in its relay's stream.
func (v *View) Cursor() *apiv1.Cursor { return v.cursor }

// Covers tells whether the view stands for all the services. If not, the next
// answer must be complete: changes since the cursor would leave out whatever was
// there before the service was asked for.
func (v *View) Covers(services []string) bool {
	for _, s := range services {
		if !v.answered[s] {
			return false
		}
	}
	return true
}

// Answered tells whether a relay has answered for a service.
func (v *View) Answered(service string) bool { return v.answered[service] }

// Apply takes in a relay's answer to a request for services and reports whether
// anything changed. An answer without a cursor is none: the relay is not ready,
// and what was asked for must be asked for again. A complete answer drops
// entries that it does not hold.
func (v *View) Apply(services []string, entries []*apiv1.Entry, cursor *apiv1.Cursor, complete bool) bool {
	if cursor == nil {
		return false
	}
	changed := false
	if complete {
		named := map[string]bool{}
		for _, e := range entries {
			named[e.Host] = true
		}
		for host := range v.entries {
			if !named[host] {
				delete(v.entries, host)
				changed = true
			}
		}
	}
	for _, e := range entries {
		if Newer(e, v.entries[e.Host]) {
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

// Following tells whether a relay answers for this view.
func (v *View) Following() bool { return v.cursor != nil }

// Provisional takes in claims that no relay vouches for, while none answers. It
// reports whether anything changed. The first relay's answer replaces them.
func (v *View) Provisional(entries []*apiv1.Entry) bool {
	if v.cursor != nil {
		return false
	}
	changed := false
	for _, e := range entries {
		if Newer(e, v.entries[e.Host]) {
			v.entries[e.Host] = e
			changed = true
		}
	}
	return changed
}

// Reset drops the cursor, so that the next answer is complete.
func (v *View) Reset() { v.cursor = nil }

// ByService groups the entries that are not gone, ordered by host.
func (v *View) ByService() map[string][]*apiv1.Entry {
	out := map[string][]*apiv1.Entry{}
	for _, e := range v.entries {
		if !Gone(e) && e.Service != "" {
			out[e.Service] = append(out[e.Service], e)
		}
	}
	for _, list := range out {
		sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	}
	return out
}
