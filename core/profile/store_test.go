package profile

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/gate"
)

const ms = time.Millisecond

func learned(contention float64, gates int, demand time.Duration) gate.Learned {
	return gate.Learned{Contention: contention, ContentionGates: gates, Classes: map[string]gate.ClassLearned{"work": {Demand: demand, Samples: 10}}}
}

// Guards against a single outlier in the profile: a gate measures 1.0 to 2.2 where the true
// contention factor is 1.7.
func TestProfileIsMedianOfHosts(t *testing.T) {
	s := NewStore()
	for i, l := range []gate.Learned{learned(1.0, 1, 90*ms), learned(1.7, 1, 100*ms), learned(2.2, 1, 900*ms)} {
		s.Observe(fmt.Sprint(i), "pay", l)
	}
	sized := learned(0, 0, 100*ms)
	sized.Classes["work"] = gate.ClassLearned{Demand: 100 * ms, ResponseBytes: 5000, Samples: 10}
	s.Observe("3", "pay", sized)
	assert.DeepEqual(t, s.Profile("pay"), gate.Learned{Contention: 1.7, ContentionGates: 3,
		Classes: map[string]gate.ClassLearned{"work": {Demand: 100 * ms, ResponseBytes: 5000, Samples: 40}}})
	assert.Assert(t, s.Profile("other").IsEmpty())
}

// Guards against trusting too few measurements: three hosts must have measured contention,
// or all of a smaller service. A report that rests on enough gates suffices, since a
// replica hears from few hosts of a service.
func TestContentionNeedsEnoughGates(t *testing.T) {
	for _, c := range []struct {
		hosts, measured, gates int
		known                  bool
	}{{5, 1, 1, false}, {5, 2, 2, false}, {5, 3, 1, true}, {2, 1, 1, false}, {2, 2, 1, true}, {1, 1, 1, true}, {5, 1, 3, true}} {
		s := NewStore()
		for i := range c.hosts {
			l := learned(0, 0, 100*ms)
			if i < c.measured {
				l = learned(1.5, c.gates, 100*ms)
			}
			s.Observe(fmt.Sprint(i), "pay", l)
		}
		assert.Equal(t, s.Profile("pay").Contention > 0, c.known, "%+v", c)
	}
}

// Guards against losing the profile in a restart: a gate that has restarted reports only
// classes at first, and must not remove the contention factor that it measured before.
func TestUnknownValuesKeepEarlierOnes(t *testing.T) {
	s := NewStore()
	first := learned(1.5, 3, 100*ms)
	first.Classes["work"] = gate.ClassLearned{Demand: 100 * ms, ResponseBytes: 5000, Samples: 10}
	s.Observe("a", "pay", first)
	s.Observe("a", "pay", learned(0, 0, 120*ms))
	p := s.Profile("pay")
	assert.Equal(t, p.Contention, 1.5)
	assert.Equal(t, p.Classes["work"], gate.ClassLearned{Demand: 120 * ms, ResponseBytes: 5000, Samples: 10})
}

// Guards against a replica that runs out of memory, whatever nodes report. What was
// reported longest ago is removed first.
func TestBoundsRemoveOldest(t *testing.T) {
	s := NewStore()
	for i := range MaxServices + 1 {
		s.Observe("a", fmt.Sprint("service-", i), learned(1, 1, ms))
	}
	assert.Equal(t, s.Services(), MaxServices)
	assert.Assert(t, s.Profile("service-0").IsEmpty())
	assert.Assert(t, !s.Profile("service-1").IsEmpty())

	s = NewStore()
	for i := range MaxHosts + 1 {
		s.Observe(fmt.Sprint(i), "pay", learned(1, 1, ms))
		s.Observe("renewed", "pay", learned(1, 1, ms))
	}
	hosts := s.services["pay"].hosts
	assert.Equal(t, len(hosts), MaxHosts)
	assert.Assert(t, hosts["0"] == nil && hosts["renewed"] != nil)

	s = NewStore()
	for i := range MaxClasses + 1 {
		s.Observe(fmt.Sprint(i%2), "pay", gate.Learned{Classes: map[string]gate.ClassLearned{fmt.Sprint("class-", i): {Demand: ms, Samples: 1}}})
	}
	classes := s.Profile("pay").Classes
	assert.Equal(t, len(classes), MaxClasses)
	_, known := classes["class-0"]
	assert.Assert(t, !known)
}

// Guards against figures that no gate can have measured, and names without limit.
func TestInvalidReportsAreIgnored(t *testing.T) {
	s := NewStore()
	long := strings.Repeat("x", maxNameBytes+1)
	s.Observe("", "pay", learned(1, 1, ms))
	s.Observe("a", "", learned(1, 1, ms))
	s.Observe(long, "pay", learned(1, 1, ms))
	s.Observe("a", long, learned(1, 1, ms))
	s.Observe("a", "pay", gate.Learned{})
	s.Observe("a", "pay", gate.Learned{Contention: math.NaN(), ContentionGates: 1, Classes: map[string]gate.ClassLearned{
		"none": {Samples: 1}, "negative": {Demand: -ms, Samples: 1}, "long": {Demand: 48 * time.Hour, Samples: 1}, "size": {Demand: ms, ResponseBytes: -1, Samples: 1}, "samples": {Demand: ms}, long: {Demand: ms, Samples: 1}}})
	assert.Equal(t, s.Services(), 0)
	assert.Equal(t, s.Version(), uint64(0), "nothing is to be stored")
	s.Observe("a", "pay", FromMessage(&apiv1.ServiceLearned{ContentionPercent: math.MaxUint32, ContentionGates: 1, Classes: []*apiv1.ClassLearned{{Name: "c", DemandUs: math.MaxUint64, Samples: 1}, {Name: "d", DemandUs: 1, ResponseBytes: math.MaxUint64, Samples: 1}}}))
	p := s.Profile("pay")
	assert.Equal(t, p.Contention, float64(maxContention))
	assert.Equal(t, len(p.Classes), 0)
}

func filledStore() *Store {
	s := NewStore()
	for i := range 5 {
		s.Observe(fmt.Sprint("host-", i), fmt.Sprint("service-", i%2), learned(1.5, 3, time.Duration(100+i)*ms))
	}
	return s
}

// A replica that restarts has the profiles that it stored, and removes in the same order.
func TestStoreIsTheSameAfterRestart(t *testing.T) {
	s := filledStore()
	file, err := s.Marshal()
	assert.NilError(t, err)
	loaded, err := Unmarshal(file)
	assert.NilError(t, err)
	for _, service := range []string{"service-0", "service-1"} {
		assert.DeepEqual(t, loaded.Profile(service), s.Profile(service))
	}
	again, err := loaded.Marshal()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, file)
	empty, err := NewStore().Marshal()
	assert.NilError(t, err)
	loaded, err = Unmarshal(empty)
	assert.NilError(t, err)
	assert.Equal(t, loaded.Services(), 0)
}

// Guards against figures from a damaged file: each torn write and each changed bit must be
// detected, since a damaged message often still parses.
func TestDamagedFileIsDetected(t *testing.T) {
	file, err := filledStore().Marshal()
	assert.NilError(t, err)
	for n := range len(file) {
		_, err := Unmarshal(file[:n])
		assert.Assert(t, errors.Is(err, ErrDamaged), "torn after %d bytes", n)
	}
	for i := range 8 * len(file) {
		damaged := append([]byte{}, file...)
		damaged[i/8] ^= 1 << (i % 8)
		_, err := Unmarshal(damaged)
		assert.Assert(t, errors.Is(err, ErrDamaged), "bit %d", i)
	}
}

// A later version may have added fields. A replica of this version must still read the file
// after a downgrade.
func TestFileOfLaterVersionIsRead(t *testing.T) {
	file, err := filledStore().Marshal()
	assert.NilError(t, err)
	data := protowire.AppendTag(file[checksumBytes:], 99, protowire.BytesType)
	data = protowire.AppendBytes(data, []byte("unknown"))
	loaded, err := Unmarshal(withChecksum(data))
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded.Profile("service-0"), filledStore().Profile("service-0"))
}

// Guards against a write of the file for each repeated report: the version changes only with
// the contents.
func TestRepeatedReportIsNoChange(t *testing.T) {
	s := filledStore()
	version := s.Version()
	s.Observe("host-0", "service-0", learned(1.5, 3, 100*ms))
	s.Observe("host-0", "service-0", learned(0, 0, 100*ms))
	assert.Equal(t, s.Version(), version)
	for i, l := range []gate.Learned{learned(1.5, 3, 120*ms), learned(1.6, 3, 120*ms), learned(1.6, 4, 120*ms)} {
		s.Observe("host-0", "service-0", l)
		assert.Equal(t, s.Version(), version+uint64(i)+1)
	}
	s.Observe("new", "service-0", learned(1.6, 4, 120*ms))
	assert.Equal(t, s.Version(), version+4)
}

func manyClasses(n int) gate.Learned {
	l := gate.Learned{Classes: map[string]gate.ClassLearned{}}
	for i := range n {
		l.Classes[fmt.Sprint("class-", i)] = gate.ClassLearned{Demand: ms, Samples: 1}
	}
	return l
}

// Guards against a replica that runs out of memory although each service is within its bounds.
func TestClassesOfAllHostsAreBounded(t *testing.T) {
	s := NewStore()
	l := manyClasses(MaxClasses)
	for i := range 20 {
		for j := range MaxHosts {
			s.Observe(fmt.Sprint(j), fmt.Sprint("service-", i), l)
		}
	}
	records := 0
	for _, sv := range s.services {
		records += sv.classRecords()
		assert.Assert(t, len(sv.hosts) > 0)
	}
	assert.Equal(t, records, s.classRecords)
	assert.Assert(t, records <= maxClassRecords && records > maxClassRecords-MaxClasses, "%d", records)
	assert.Assert(t, s.Profile("service-0").IsEmpty())
	assert.Equal(t, len(s.Profile("service-19").Classes), MaxClasses)

	// What bounds of hosts, classes and services remove is not counted any more.
	for i := range MaxServices + 1 {
		s.Observe("a", fmt.Sprint("other-", i), manyClasses(1))
	}
	assert.Equal(t, s.classRecords, MaxServices)
	for i := range 3 {
		for j := range MaxHosts + 3 {
			s.Observe(fmt.Sprint(j), "pay", gate.Learned{Classes: map[string]gate.ClassLearned{fmt.Sprint(i, "-", j): {Demand: ms, Samples: 1}}})
		}
	}
	assert.Equal(t, s.classRecords, MaxServices-1+s.services["pay"].classRecords())
}

// Guards against work on a report with any number of names.
func TestLongReportsAreCut(t *testing.T) {
	assert.Equal(t, len(valid(manyClasses(MaxClasses+1)).Classes), MaxClasses)
	assert.Equal(t, len(FromMessage(ToMessage("pay", manyClasses(MaxClasses+1))).Classes), MaxClasses)
}

// Guards against a file that mixes two states: the store changes while a copy is encoded.
func TestSnapshotIsACopy(t *testing.T) {
	s := filledStore()
	want, err := s.Marshal()
	assert.NilError(t, err)
	copied := s.Snapshot()
	s.Observe("host-0", "service-0", learned(1.5, 3, 400*ms))
	got, err := copied.Marshal()
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}
