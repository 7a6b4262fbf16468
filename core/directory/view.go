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
}

// NewView returns an empty view.
func NewView() *View { return &View{entries: map[string]*apiv1.Entry{}} }

// Cursor is the view's place in its relay's stream.
func (v *View) Cursor() *apiv1.Cursor { return v.cursor }

// Apply takes in a relay's answer and reports whether anything changed. A
// complete answer drops entries it does not hold, but for those whose newer
// claim this node has from elsewhere.
func (v *View) Apply(entries []*apiv1.Entry, cursor *apiv1.Cursor, complete bool) bool {
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
