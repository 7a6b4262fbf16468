package node

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// Announcement describes a backend server to its node.
type Announcement struct {
	Service string `json:"service"`
	// Address is the address at which the node reaches the backend server.
	Address string `json:"address"`
	// Slots is the number of requests it runs concurrently; 0 means the number in the
	// estate.
	Slots uint32 `json:"slots,omitempty"`
	// Instance identifies the backend server, if its requests name the instance that
	// must run them.
	Instance string `json:"instance,omitempty"`
	// StartedAt is the start time of the backend server in Unix milliseconds, or 0 if
	// unknown. A server may restart as the same instance: the later start knows nothing
	// of what was sent to the earlier one, and its sequence restarts.
	StartedAt int64 `json:"startedAt,omitempty"`
	// Sequence orders the announcements of one start of an instance or, if no instance
	// is named, of one address; late ones are ignored. 0 means that the announcements
	// are unordered.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdFor is how long the server stays cold; 0 means the slow start time in the
	// estate.
	ColdFor  time.Duration `json:"coldFor,omitempty"`
	Draining bool          `json:"draining,omitempty"`
	// Cold is set if the server is cold now, because it has just started or lost its
	// caches.
	Cold bool `json:"cold,omitempty"`
}

// Announce registers or renews an announcement. If it asks for a drain, the gate starts
// no more requests once Announce returns.
func (n *Node) Announce(a Announcement) error {
	if problem := a.validate(); problem != "" {
		return errors.New(problem)
	}
	if !n.serviceConfigured(a.Service) {
		return errors.Newf("service %q is not in the estate at revision %d; add it there, or announce the service by the estate's name", a.Service, n.Revision())
	}
	return n.announce(a)
}

// serviceConfigured reports whether the estate has the service, as far as this node
// knows.
func (n *Node) serviceConfigured(service string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	record := n.records.Service(service)
	return n.records.Revision() == 0 || record != nil && !record.Removed
}

// Withdraw ends the announcement of an instance. It does nothing for an earlier
// instance, whose announcement has already ended.
func (n *Node) Withdraw(instance, why string) {
	n.mu.Lock()
	current := n.server != nil && n.server.instance == instance
	n.mu.Unlock()
	if current {
		n.withdraw(why)
	}
}

// announce registers or renews an announcement.
func (n *Node) announce(a Announcement) error {
	n.mu.Lock()
	if why := n.staleReason(a); why != "" {
		n.mu.Unlock()
		klog.InfoS("Announcement left out", "host", n.options.Host, "instance", a.Instance, "startedAt", a.StartedAt, "sequence", a.Sequence, "why", why)
		return nil
	}
	if n.server != nil && n.server.service != a.Service {
		n.mu.Unlock()
		return errServiceMismatch
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
		n.endedStarts.add(s.instance, s.startedAt)
	}
	s.update(a)
	if changed {
		n.sequence++
	}
	n.mu.Unlock()
	if moved {
		s.endpoint.ReplaceServer(a.Instance, a.Address)
	}
	if restarted {
		s.endpoint.ServerRestarted(a.Address)
	}
	if a.Cold {
		// Renewals count as well: a server may become cold at any time.
		s.endpoint.SetCold(a.ColdFor)
	}
	if changed {
		klog.InfoS("Backend server announced", "host", n.options.Host, "service", a.Service, "address", a.Address, "instance", a.Instance, "startedAt", a.StartedAt,
			"restarted", restarted, "draining", a.Draining)
		n.apply()
		n.member.requestSync()
	}
	return nil
}

// update stores the contents of an announcement. The caller holds the node's lock.
func (s *server) update(a Announcement) {
	if a.StartedAt > 0 || s.instance != a.Instance {
		s.startedAt = a.StartedAt
	}
	s.address, s.slots, s.draining, s.instance, s.sequence = a.Address, a.Slots, a.Draining, a.Instance, a.Sequence
	s.expires = time.Now().Add(serverLease)
}

// staleReason returns why an announcement is older than the known state, or "" if it is
// not. A delayed announcement could end a drain, after which requests would reach a
// backend server that is leaving, or restore one that has ended.
func (n *Node) staleReason(a Announcement) string {
	switch {
	case a.Instance != "" && n.endedStarts.has(a.Instance, a.StartedAt):
		return "this instance has ended"
	case n.server != nil && n.server.startedAfter(a):
		return "the backend server has restarted since"
	case n.server != nil && n.server.olderSequence(a):
		return "a later announcement was already applied"
	}
	return ""
}

// startedAfter reports whether the known backend server started after the announced
// one. Sequences restart with each start: when ordered by sequence alone, a node
// ignored every announcement of a restarted server until its lease expired, and never
// served it again.
func (s *server) startedAfter(a Announcement) bool {
	return a.StartedAt > 0 && a.StartedAt < s.startedAt && s.address == a.Address
}

// olderSequence reports whether an announcement was made before the known one, by the
// same start of the backend server.
func (s *server) olderSequence(a Announcement) bool {
	if s.instance != a.Instance || a.Sequence >= s.sequence {
		return false
	}
	if a.StartedAt > 0 && s.startedAt > 0 && a.StartedAt != s.startedAt {
		return false
	}
	return a.Instance != "" || s.address == a.Address && a.Sequence > 0
}

// maxEndedStarts is how many ended instances a node remembers: far more than one host
// sees within the time by which an announcement can be delayed.
const maxEndedStarts = 64

// instanceStart identifies a start of an instance that has ended.
type instanceStart struct {
	instance  string
	startedAt int64
}

// endedStarts holds the most recent starts that have ended.
type endedStarts struct{ starts []instanceStart }

// has reports whether this start of the instance, or a later one, has ended.
func (r *endedStarts) has(instance string, startedAt int64) bool {
	return slices.ContainsFunc(r.starts, func(e instanceStart) bool { return e.instance == instance && startedAt <= e.startedAt })
}

func (r *endedStarts) add(instance string, startedAt int64) {
	r.starts = append(r.starts, instanceStart{instance, startedAt})
	if len(r.starts) > maxEndedStarts {
		r.starts = r.starts[1:]
	}
}
