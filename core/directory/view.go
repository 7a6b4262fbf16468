package directory

import (
	"cmp"
	"slices"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// retention is how long a view keeps an entry that a relay's complete answer lacks. A relay
// that has just started may not have received the entry yet, and an answer to a request from
// before this node needed a service contains none of the service's entries.
const retention = 5 * HeartbeatInterval

// View is a node's copy of the entries of the services that it needs. It receives their
// changes from one relay at a time.
type View struct {
	entries map[string]*apiv1.Entry
	// services holds the live entries of each service, ordered by host.
	services map[string]*serviceEntries
	cursor   *apiv1.Cursor
	// answered is the set of services whose entries up to the cursor are in the view.
	answered map[string]bool
	// retained holds the hosts whose entries a relay's complete answer lacked, with the time
	// until which the entries are kept.
	retained map[string]time.Duration
}

// serviceEntries is a list that is copied before the first change after it was given out.
type serviceEntries struct {
	list     []*apiv1.Entry
	givenOut bool
}

// own makes the list safe to modify.
func (s *serviceEntries) own() {
	if s.givenOut {
		s.list, s.givenOut = slices.Clone(s.list), false
	}
}

func (s *serviceEntries) find(host string) (i int, found bool) {
	return slices.BinarySearchFunc(s.list, host, func(e *apiv1.Entry, host string) int { return cmp.Compare(e.Host, host) })
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: map[string]*apiv1.Entry{}, services: map[string]*serviceEntries{}, answered: map[string]bool{}, retained: map[string]time.Duration{}}
}

// set stores an entry unless a newer one is known. It reports whether this changes anything
// that requests depend on: a node that only reports to another relay gets a new entry, too,
// and in a large fleet every node would rebuild its tables for each of them.
func (v *View) set(e *apiv1.Entry) (changed bool) {
	delete(v.retained, e.Host)
	before := v.entries[e.Host]
	if !Supersedes(e, before) {
		return false
	}
	v.entries[e.Host] = e
	if before != nil && sameForRequests(e, before) {
		return false
	}
	v.unlist(before)
	v.list(e)
	return true
}

// sameForRequests reports whether two entries of a host differ in nothing that requests
// depend on.
func sameForRequests(a, b *apiv1.Entry) bool {
	return a.Service == b.Service && a.PeerAddress == b.PeerAddress && a.Incarnation == b.Incarnation && a.State == b.State && a.Slots == b.Slots &&
		a.DataCenter == b.DataCenter && a.Region == b.Region
}

func (v *View) remove(host string) {
	v.unlist(v.entries[host])
	delete(v.entries, host)
	delete(v.retained, host)
}

// list adds a live entry to the list of its service.
func (v *View) list(e *apiv1.Entry) {
	if IsTombstone(e) || e.Service == "" {
		return
	}
	s := v.services[e.Service]
	if s == nil {
		s = &serviceEntries{}
		v.services[e.Service] = s
	}
	s.own()
	i, _ := s.find(e.Host)
	s.list = slices.Insert(s.list, i, e)
}

// unlist removes an entry, which may be nil, from the list of its service.
func (v *View) unlist(e *apiv1.Entry) {
	if e == nil {
		return
	}
	s := v.services[e.Service]
	if s == nil {
		return
	}
	if i, found := s.find(e.Host); found {
		s.own()
		s.list = slices.Delete(s.list, i, i+1)
	}
	if len(s.list) == 0 {
		delete(v.services, e.Service)
	}
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
// set, entries that the answer does not contain are removed after retention.
func (v *View) Apply(now time.Duration, services []string, entries []*apiv1.Entry, cursor *apiv1.Cursor, complete bool) bool {
	if cursor == nil {
		return false
	}
	changed := false
	for _, e := range entries {
		changed = v.set(e) || changed
	}
	if complete {
		v.retainOthers(now, entries)
	}
	changed = v.expire(now) || changed
	v.cursor = cursor
	changed = changed || !v.Covers(services)
	v.answered = map[string]bool{}
	for _, s := range services {
		v.answered[s] = true
	}
	return changed
}

// retainOthers limits the time for which entries are kept that a complete answer does not
// contain.
func (v *View) retainOthers(now time.Duration, entries []*apiv1.Entry) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Host] = true
	}
	for host := range v.entries {
		if _, retained := v.retained[host]; !retained && !present[host] {
			v.retained[host] = now + retention
		}
	}
}

// expire removes the entries whose retention has ended.
func (v *View) expire(now time.Duration) (changed bool) {
	for host, until := range v.retained {
		if now >= until {
			v.remove(host)
			changed = true
		}
	}
	return changed
}

// FollowsRelay reports whether the view holds the position in a relay's changes, so that it
// needs only later ones from that relay.
func (v *View) FollowsRelay() bool { return v.cursor != nil }

// ApplyProvisional merges entries that no relay has confirmed. It has no effect if the view
// follows a relay. It reports whether anything changed.
func (v *View) ApplyProvisional(entries []*apiv1.Entry) bool {
	if v.cursor != nil {
		return false
	}
	changed := false
	for _, e := range entries {
		changed = v.set(e) || changed
	}
	return changed
}

// Reset discards the cursor, so that the next answer of a relay is complete. The entries
// remain until then, and for retention if that answer does not contain them.
func (v *View) Reset() { v.cursor = nil }

// ByService returns the entries by service, without tombstones and ordered by host. A list
// that has not changed is the same slice as before.
func (v *View) ByService() map[string][]*apiv1.Entry {
	out := make(map[string][]*apiv1.Entry, len(v.services))
	for name, s := range v.services {
		s.givenOut = true
		out[name] = s.list
	}
	return out
}
