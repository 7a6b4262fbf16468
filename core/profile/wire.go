package profile

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/gate"
)

// ToMessage returns the message for what gates of a service have learned.
func ToMessage(service string, l gate.Learned) *apiv1.ServiceLearned {
	m := &apiv1.ServiceLearned{Service: service, ContentionPercent: uint32(math.Round(100 * l.Contention)), ContentionGates: uint32(l.ContentionGates)}
	for _, name := range slices.Sorted(maps.Keys(l.Classes)) {
		c := l.Classes[name]
		m.Classes = append(m.Classes, &apiv1.ClassLearned{Name: name, DemandUs: uint64(c.Demand.Microseconds()), ResponseBytes: uint64(c.ResponseBytes), Samples: uint32(c.Samples)})
	}
	return m
}

// FromMessage returns what a message holds, the first MaxClasses classes of it; nothing for a
// nil message.
func FromMessage(m *apiv1.ServiceLearned) gate.Learned {
	l := gate.Learned{Contention: float64(m.GetContentionPercent()) / 100, ContentionGates: int(m.GetContentionGates()), Classes: map[string]gate.ClassLearned{}}
	classes := m.GetClasses()
	for _, c := range classes[:min(len(classes), MaxClasses)] {
		// Values too large for the types become values that are out of bounds.
		demand := time.Duration(min(c.DemandUs, uint64(math.MaxInt64/time.Microsecond))) * time.Microsecond
		l.Classes[c.Name] = gate.ClassLearned{Demand: demand, ResponseBytes: int64(c.ResponseBytes), Samples: int(min(c.Samples, math.MaxInt32))}
	}
	return l
}

// checksumBytes is the length of the checksum before the message. A damaged message often
// still parses, to other figures.
const checksumBytes = 8

// Snapshot is a copy of what a store holds. It may be encoded while the store is in use.
type Snapshot struct {
	records []record
}

// record is what a host reported of a service.
type record struct {
	hostName, serviceName string
	reported              uint64
	learned               gate.Learned
}

// Snapshot returns a copy of the contents of the store.
func (s *Store) Snapshot() Snapshot {
	var c Snapshot
	for serviceName, sv := range s.services {
		for hostName, h := range sv.hosts {
			learned := h.learned
			learned.Classes = maps.Clone(learned.Classes)
			c.records = append(c.records, record{hostName, serviceName, h.reported, learned})
		}
	}
	return c
}

// Marshal returns the contents of the file for the store.
func (s *Store) Marshal() ([]byte, error) { return s.Snapshot().Marshal() }

// Marshal returns the contents of the file for the store that was copied.
func (c Snapshot) Marshal() ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&apiv1.StoredProfiles{Hosts: c.storedHosts()})
	if err != nil {
		return nil, err
	}
	return withChecksum(data), nil
}

func withChecksum(data []byte) []byte {
	file := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(data)), xxhash.Sum64(data))
	return append(file, data...)
}

// storedHosts lists what the hosts reported, the oldest reports first, in which order
// Unmarshal observes them again.
func (c Snapshot) storedHosts() []*apiv1.HostLearned {
	slices.SortFunc(c.records, func(a, b record) int { return cmp.Compare(a.reported, b.reported) })
	list := make([]*apiv1.HostLearned, 0, len(c.records))
	for _, r := range c.records {
		list = append(list, &apiv1.HostLearned{Host: r.hostName, Learned: ToMessage(r.serviceName, r.learned)})
	}
	return list
}

// ErrDamaged is wrapped by the errors of Unmarshal.
var ErrDamaged = errors.New("the file of service profiles is empty or damaged")

// Unmarshal returns the store that Marshal wrote. Fields that only later versions know are
// ignored.
func Unmarshal(file []byte) (*Store, error) {
	if len(file) < checksumBytes {
		return nil, errors.Wrapf(ErrDamaged, "%d bytes", len(file))
	}
	data := file[checksumBytes:]
	if binary.BigEndian.Uint64(file) != xxhash.Sum64(data) {
		return nil, errors.Wrap(ErrDamaged, "its checksum does not match")
	}
	stored := &apiv1.StoredProfiles{}
	if err := proto.Unmarshal(data, stored); err != nil {
		return nil, errors.Wrap(ErrDamaged, err.Error())
	}
	s := NewStore()
	for _, h := range stored.Hosts {
		s.Observe(h.Host, h.Learned.GetService(), FromMessage(h.Learned))
	}
	return s, nil
}
