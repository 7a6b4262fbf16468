// Package profile keeps what the gates of each service have learned of the program that
// their backend servers run, so that gates which start again need not learn it anew.
//
// A Store does no I/O and is not safe for concurrent use. Its contents are estimates: a
// lost or outdated store costs speed until the gates have measured again.
package profile

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactuspath/core/gate"
)

// The bounds limit the memory of a control replica, whatever nodes report. Beyond them,
// what was reported longest ago is removed.
const (
	// MaxHosts is the number of hosts per service. The median of 64 estimates is hardly
	// improved by further ones.
	MaxHosts = 64
	// MaxClasses is the number of classes per service; a gate tracks no more either.
	MaxClasses = 64
	// MaxServices is the number of services.
	MaxServices = 1000
	// maxClassRecords is the number of classes of all hosts together. The other bounds alone
	// would allow four million.
	maxClassRecords = 50_000
	// maxNameBytes limits the names of hosts, services and classes. Reports with longer
	// service or host names, and classes with longer names, are ignored.
	maxNameBytes = 256
	// maxDemand limits the demand of a class. No request may run for longer.
	maxDemand = 24 * time.Hour
	// maxContention limits the contention factor, like gates do.
	maxContention = 4
)

// Store keeps what hosts have reported, by service.
type Store struct {
	services map[string]*service
	// reports counts the reports; it orders them by age.
	reports uint64
	// version counts the changes.
	version uint64
	// classRecords is the number of classes of all hosts together.
	classRecords int
}

type service struct {
	hosts map[string]*host
	// classes holds when each class was last reported by any host.
	classes map[string]uint64
	// reported is when any host last reported.
	reported uint64
}

type host struct {
	learned  gate.Learned
	reported uint64
}

// NewStore returns an empty Store.
func NewStore() *Store { return &Store{services: map[string]*service{}} }

// Services is the number of services with a profile.
func (s *Store) Services() int { return len(s.services) }

// Version changes whenever the contents change.
func (s *Store) Version() uint64 { return s.version }

// Observe stores what the gate of a host has learned. What the gate does not know keeps
// the value that the host reported earlier: a gate that has restarted knows less, and its
// program is usually the same.
func (s *Store) Observe(hostName, serviceName string, l gate.Learned) {
	l = valid(l)
	if l.IsEmpty() || !validName(hostName) || !validName(serviceName) {
		return
	}
	s.reports++
	sv := s.services[serviceName]
	if sv == nil {
		sv = &service{hosts: map[string]*host{}, classes: map[string]uint64{}}
		s.services[serviceName] = sv
	}
	before := sv.classRecords()
	if sv.observe(s.reports, hostName, l) {
		s.version++
	}
	s.classRecords += sv.classRecords() - before
	if len(s.services) > MaxServices {
		s.removeService(oldestOf(s.services, (*service).reportedAt))
	}
	for s.classRecords > maxClassRecords {
		s.removeOldestHost()
	}
}

func (s *Store) removeService(name string) {
	s.classRecords -= s.services[name].classRecords()
	delete(s.services, name)
}

// removeOldestHost removes the host that reported longest ago of the service that did.
func (s *Store) removeOldestHost() {
	name := oldestOf(s.services, (*service).reportedAt)
	sv := s.services[name]
	s.classRecords -= len(sv.removeOldestHost().Classes)
	if len(sv.hosts) == 0 {
		delete(s.services, name)
	}
}

func (sv *service) reportedAt() uint64 { return sv.reported }

func (h *host) reportedAt() uint64 { return h.reported }

// removeOldestHost removes the host that reported longest ago and returns what it learned.
func (sv *service) removeOldestHost() gate.Learned {
	name := oldestOf(sv.hosts, (*host).reportedAt)
	learned := sv.hosts[name].learned
	delete(sv.hosts, name)
	return learned
}

// classRecords returns the number of classes of all hosts of the service together.
func (sv *service) classRecords() (n int) {
	for _, h := range sv.hosts {
		n += len(h.learned.Classes)
	}
	return n
}

// observe stores a report of a host and reports whether it changed anything but ages.
func (sv *service) observe(at uint64, name string, l gate.Learned) (changed bool) {
	h := sv.hosts[name]
	if h == nil {
		h = &host{learned: gate.Learned{Classes: map[string]gate.ClassLearned{}}}
		sv.hosts[name] = h
		changed = true
	}
	sv.reported, h.reported = at, at
	changed = h.update(l) || changed
	for class := range l.Classes {
		sv.classes[class] = at
	}
	if len(sv.hosts) > MaxHosts {
		sv.removeOldestHost()
	}
	for len(sv.classes) > MaxClasses {
		sv.removeClass(oldestOf(sv.classes, func(at uint64) uint64 { return at }))
	}
	return changed
}

// update stores what a report of the host contains and reports whether it is new.
func (h *host) update(l gate.Learned) (changed bool) {
	known := &h.learned
	if l.Contention > 0 {
		changed = known.Contention != l.Contention || known.ContentionGates != l.ContentionGates
		known.Contention, known.ContentionGates = l.Contention, l.ContentionGates
	}
	for class, c := range l.Classes {
		if c.ResponseBytes == 0 {
			c.ResponseBytes = known.Classes[class].ResponseBytes
		}
		changed = changed || known.Classes[class] != c
		known.Classes[class] = c
	}
	return changed
}

func (sv *service) removeClass(class string) {
	delete(sv.classes, class)
	for _, h := range sv.hosts {
		delete(h.learned.Classes, class)
	}
}

// oldestOf returns the key of the entry that was reported first. Of entries with the same
// value, it is the one with the first key, so that the result does not depend on the order of
// the map.
func oldestOf[V any](m map[string]V, reported func(V) uint64) string {
	oldest, found := "", false
	for key, value := range m {
		if !found || cmp.Or(cmp.Compare(reported(value), reported(m[oldest])), cmp.Compare(key, oldest)) < 0 {
			oldest, found = key, true
		}
	}
	return oldest
}

// valid returns the usable values of a report. Values outside the bounds are ignored, as
// are those of an undetected damage to the file. Of a report with more than MaxClasses names,
// the others are not looked at.
func valid(l gate.Learned) gate.Learned {
	v := gate.Learned{Classes: map[string]gate.ClassLearned{}}
	if l.Contention > 0 && l.ContentionGates > 0 && !math.IsNaN(l.Contention) {
		v.Contention, v.ContentionGates = min(maxContention, max(1, l.Contention)), l.ContentionGates
	}
	seen := 0
	for name, c := range l.Classes {
		if seen++; seen > MaxClasses {
			break
		}
		if c.Demand > 0 && c.Demand <= maxDemand && c.Samples > 0 && c.ResponseBytes >= 0 && len(name) <= maxNameBytes {
			v.Classes[name] = c
		}
	}
	return v
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// Profile returns the profile of a service: the medians of what its hosts have learned. It
// is empty if nothing is known. The contention factor is included only if enough gates have
// measured it (see gate.MinContentionGates).
func (s *Store) Profile(serviceName string) gate.Learned {
	sv := s.services[serviceName]
	if sv == nil {
		return gate.Learned{}
	}
	p := gate.Learned{Classes: make(map[string]gate.ClassLearned, len(sv.classes))}
	p.Contention, p.ContentionGates = sv.contention()
	for class := range sv.classes {
		if c := sv.class(class); c.Samples > 0 {
			p.Classes[class] = c
		}
	}
	return p
}

// contention is the median contention factor and the number of gates that have measured it.
// A report includes what the gate's siblings have measured, so that the replica knows of
// enough gates even if few of them report to it.
func (sv *service) contention() (factor float64, gates int) {
	var factors []float64
	for _, h := range sv.hosts {
		if h.learned.Contention > 0 {
			factors = append(factors, h.learned.Contention)
			gates = max(gates, h.learned.ContentionGates)
		}
	}
	gates = max(gates, len(factors))
	if len(factors) == 0 || gates < min(gate.MinContentionGates, len(sv.hosts)) {
		return 0, 0
	}
	return median(factors), gates
}

// class returns the medians of a class.
func (sv *service) class(name string) gate.ClassLearned {
	var demands []time.Duration
	var sizes []int64
	samples := 0
	for _, h := range sv.hosts {
		c, known := h.learned.Classes[name]
		if !known {
			continue
		}
		demands = append(demands, c.Demand)
		samples = min(samples+c.Samples, math.MaxInt32)
		if c.ResponseBytes > 0 {
			sizes = append(sizes, c.ResponseBytes)
		}
	}
	return gate.ClassLearned{Demand: median(demands), ResponseBytes: median(sizes), Samples: samples}
}

// median returns the median of a list, the upper one of an even number, or 0 of none.
func median[T cmp.Ordered](list []T) (value T) {
	if len(list) == 0 {
		return value
	}
	slices.Sort(list)
	return list[len(list)/2]
}
