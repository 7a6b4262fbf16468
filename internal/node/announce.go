package node

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// Announcement is the message with which a backend server registers at the node of its
// host and renews the registration.
type Announcement struct {
	Service string `json:"service"`
	// Address is the address at which the node reaches the backend server.
	Address string `json:"address"`
	// Slots is the number of requests that the backend server runs concurrently; 0
	// means the number in the estate.
	Slots uint32 `json:"slots,omitempty"`
	// Instance identifies the backend server if requests to it name the instance that
	// must run them; otherwise it is empty.
	Instance string `json:"instance,omitempty"`
	// StartedAt is the start time of the backend server in Unix milliseconds, or 0 if
	// unknown. It distinguishes two processes of the same instance: after a restart,
	// the server has no record of earlier requests and its Sequence begins again.
	StartedAt int64 `json:"startedAt,omitempty"`
	// Sequence increases with each announcement that one process of an instance (or, if
	// Instance is empty, one address) sends. An announcement with a lower sequence than
	// the last one arrived late and is ignored. 0 means that the announcements are
	// unordered.
	Sequence uint64 `json:"sequence,omitempty"`
	// ColdFor is how long a cold server stays cold; 0 means the slow start time in the
	// estate.
	ColdFor  time.Duration `json:"coldFor,omitempty"`
	Draining bool          `json:"draining,omitempty"`
	// Cold is set if the server is cold now, because it has just started or lost its
	// caches.
	Cold bool `json:"cold,omitempty"`
}

// Announce registers the backend server or renews its registration. If the announcement
// says that the server is draining, the gate sends it no more requests once Announce
// returns.
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

// Withdraw ends the registration of an instance, also if its lease has expired. It does nothing if
// another instance is registered.
func (n *Node) Withdraw(instance, why string) {
	n.mu.Lock()
	current := n.server != nil && n.server.instance == instance
	if n.expired != nil && n.expired.instance == instance {
		n.endedProcesses.add(n.expired.instance, n.expired.startedAt)
		n.expired = nil
	}
	n.mu.Unlock()
	if current {
		n.withdraw(why)
	}
}

// announce registers the backend server or renews its registration.
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
		n.endedProcesses.add(s.instance, s.startedAt)
	}
	if n.expired != nil && n.expired.instance != a.Instance {
		// The server has been replaced.
		n.endedProcesses.add(n.expired.instance, n.expired.startedAt)
	}
	n.expired = nil
	s.update(a)
	if changed {
		n.sequence++
	}
	n.mu.Unlock()
	if fresh {
		n.profiles.serverAnnounced()
	}
	if moved {
		s.endpoint.ReplaceServer(a.Instance, a.Address)
	}
	if restarted {
		s.endpoint.ServerRestarted(a.Address)
	}
	if a.Cold {
		// This also applies to renewals: a server may become cold at any time.
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
// not. If a delayed announcement were applied, it could cancel a drain, so that
// requests reach a backend server that is shutting down, or register a server that has
// ended.
func (n *Node) staleReason(a Announcement) string {
	switch {
	case a.Instance != "" && n.endedProcesses.has(a.Instance, a.StartedAt):
		return "this instance has ended"
	case n.expired.sentAfter(a):
		return "a later announcement was applied before the lease expired"
	case n.server != nil && n.server.startedAfter(a):
		return "the backend server has restarted since"
	case n.server != nil && n.server.olderSequence(a):
		return "a later announcement was already applied"
	}
	return ""
}

// startedAfter reports whether the known backend server started after the announced
// one. The sequence alone does not suffice to order announcements, because it begins
// again when the server restarts: the node would ignore the announcements of a
// restarted server until the lease of the earlier process expires, and would never
// accept the server again.
func (s *server) startedAfter(a Announcement) bool {
	return a.StartedAt > 0 && a.StartedAt < s.startedAt && s.address == a.Address
}

// olderSequence reports whether an announcement was sent before the last applied one by
// the same process of the backend server.
func (s *server) olderSequence(a Announcement) bool {
	if s.instance != a.Instance || a.Sequence >= s.sequence {
		return false
	}
	if a.StartedAt > 0 && s.startedAt > 0 && a.StartedAt != s.startedAt {
		return false
	}
	return a.Instance != "" || s.address == a.Address && a.Sequence > 0
}

// maxEndedProcesses is the number of ended server processes that a node remembers. It is
// far more than end on one host within the maximum delay of an announcement.
const maxEndedProcesses = 64

// instanceProcess identifies one process of an instance by its start time.
type instanceProcess struct {
	instance  string
	startedAt int64
}

// expiredServer is a backend server whose lease has expired, with the sequence of the last
// announcement that was applied.
type expiredServer struct {
	instanceProcess
	sequence uint64
}

// sentAfter reports whether the last announcement of the server was sent after a. The lease of a
// server that has ended expires as well, and its delayed announcements must not register it again.
func (e *expiredServer) sentAfter(a Announcement) bool {
	if e == nil || a.Instance != e.instance || a.StartedAt > e.startedAt {
		return false
	}
	return a.StartedAt < e.startedAt && a.StartedAt > 0 || a.Sequence > 0 && a.Sequence <= e.sequence
}

// endedProcesses holds the server processes that ended most recently, at most
// maxEndedProcesses of them.
type endedProcesses struct{ processes []instanceProcess }

// has reports whether this process of the instance, or one that started later, has
// ended.
func (r *endedProcesses) has(instance string, startedAt int64) bool {
	return slices.ContainsFunc(r.processes, func(e instanceProcess) bool { return e.instance == instance && startedAt <= e.startedAt })
}

func (r *endedProcesses) add(instance string, startedAt int64) {
	r.processes = append(r.processes, instanceProcess{instance, startedAt})
	if len(r.processes) > maxEndedProcesses {
		r.processes = r.processes[1:]
	}
}
