package node

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the node reaches the backend server.
	Address string `json:"address"`
	// Slots is how many requests it runs at once; the estate's number if 0.
	Slots uint32 `json:"slots,omitempty"`
	// Instance names the backend server, if its requests name
	// the instance that is to run them.
	Instance string `json:"instance,omitempty"`
	// StartedAt is when the backend server started, in Unix milliseconds; 0 if it does
	// not tell. A server may start again as the same instance: the later start knows
	// nothing of what the earlier one was sent, and its sequence begins anew.
	StartedAt int64 `json:"startedAt,omitempty"`
	// Sequence orders the announcements of one start of an instance or, if no instance
	// is named, of one address; one that comes late is left out. 0 means that they have
	// no order.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdFor is how long the server stays cold; the estate's slow start if 0.
	ColdFor  time.Duration `json:"coldFor,omitempty"`
	Draining bool          `json:"draining,omitempty"`
	// Cold: the server is cold now, since it has just started or lost its caches.
	Cold bool `json:"cold,omitempty"`
}

// Announce takes in an announcement or its renewal. When it returns, a drain
// that it asks for holds: the gate starts no request any more.
func (n *Node) Announce(a Announcement) error {
	if problem := a.check(); problem != "" {
		return errors.New(problem)
	}
	if !n.mayServe(a.Service) {
		return errors.Newf("service %q is not in the estate at revision %d; add it there, or announce the service by the estate's name", a.Service, n.Revision())
	}
	return n.announce(a)
}

// mayServe tells whether the estate has the service, as far as this node knows.
func (n *Node) mayServe(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	record := n.records.Service(service)
	return n.records.Revision() == 0 || record != nil && !record.Removed
}

// Withdraw ends the announcement of an instance; one of an earlier instance is
// over already.
func (n *Node) Withdraw(instance, why string) {
	n.mu.Lock()
	current := n.server != nil && n.server.instance == instance
	n.mu.Unlock()
	if current {
		n.withdraw(why)
	}
}

// announce takes in an announcement or its renewal.
func (n *Node) announce(a Announcement) error {
	n.mu.Lock()
	if why := n.outdated(a); why != "" {
		n.mu.Unlock()
		klog.InfoS("Announcement left out", "host", n.options.Host, "instance", a.Instance, "startedAt", a.StartedAt, "sequence", a.Sequence, "why", why)
		return nil
	}
	if n.server != nil && n.server.service != a.Service {
		n.mu.Unlock()
		return errOtherService
	}
	s := n.server
	fresh := s == nil
	if fresh {
		s = n.newServer(a)
		n.server = s
	}
	moved := s.address != a.Address || s.instance != a.Instance
	restarted := !moved && s.startedAt > 0 && a.StartedAt > s.startedAt
	changed := fresh || moved || restarted || s.slots != a.Slots || s.draining != a.Draining
	if s.instance != "" && s.instance != a.Instance {
		n.retired.add(s.instance, s.startedAt)
	}
	s.take(a)
	if changed {
		n.sequence++
	}
	n.mu.Unlock()
	if moved {
		s.endpoint.SetOtherServer(a.Instance, a.Address)
	}
	if restarted {
		s.endpoint.SetRestarted(a.Address)
	}
	if a.Cold {
		// Also in a renewal: a server may turn cold at any moment.
		s.endpoint.SetCold(a.ColdFor)
	}
	if changed {
		klog.InfoS("Backend server announced", "host", n.options.Host, "service", a.Service, "address", a.Address, "instance", a.Instance, "startedAt", a.StartedAt,
			"restarted", restarted, "draining", a.Draining)
		n.apply()
		n.member.kick()
	}
	return nil
}

// take keeps what an announcement says; the caller holds the node's lock.
func (s *server) take(a Announcement) {
	if a.StartedAt > 0 || s.instance != a.Instance {
		s.startedAt = a.StartedAt
	}
	s.address, s.slots, s.draining, s.instance, s.sequence = a.Address, a.Slots, a.Draining, a.Instance, a.Sequence
	s.expires = time.Now().Add(serverLease)
}

// outdated tells why an announcement is older than what is known, or "". One
// that was held up on its way could end a drain, after which requests would
// reach a backend server that is leaving, or bring back one that has ended.
func (n *Node) outdated(a Announcement) string {
	switch {
	case a.Instance != "" && n.retired.has(a.Instance, a.StartedAt):
		return "this instance has ended"
	case n.server != nil && n.server.startedAfter(a):
		return "the backend server has started again since"
	case n.server != nil && n.server.earlier(a):
		return "a later one was taken in already"
	}
	return ""
}

// startedAfter tells whether the known backend server started after the one that an
// announcement speaks of. Sequences begin anew with each start: going by them alone,
// a node left out all that a restarted server said until its lease ran out, and never
// served it again.
func (s *server) startedAfter(a Announcement) bool {
	return a.StartedAt > 0 && a.StartedAt < s.startedAt && s.address == a.Address
}

// earlier tells whether an announcement was made before the one that is known, by the
// same start of the backend server.
func (s *server) earlier(a Announcement) bool {
	if s.instance != a.Instance || a.Sequence >= s.sequence {
		return false
	}
	if a.StartedAt > 0 && s.startedAt > 0 && a.StartedAt != s.startedAt {
		return false
	}
	return a.Instance != "" || s.address == a.Address && a.Sequence > 0
}

// retiredKept is how many ended instances a node remembers: far more than one
// host sees within the time that an announcement can be held up.
const retiredKept = 64

// ended is a start of an instance that has ended.
type ended struct {
	instance  string
	startedAt int64
}

// retired are the newest starts that ended.
type retired struct{ starts []ended }

// has tells whether this start of the instance, or a later one, has ended.
func (r *retired) has(instance string, startedAt int64) bool {
	return slices.ContainsFunc(r.starts, func(e ended) bool { return e.instance == instance && startedAt <= e.startedAt })
}

func (r *retired) add(instance string, startedAt int64) {
	r.starts = append(r.starts, ended{instance, startedAt})
	if len(r.starts) > retiredKept {
		r.starts = r.starts[1:]
	}
}
