package replica

import (
	"cmp"
	"slices"
	"time"
)

// expiringMap holds values that others report repeatedly. A value expires ttl after it was last
// put. It is not safe for concurrent use.
type expiringMap[K cmp.Ordered, V any] struct {
	ttl   time.Duration
	byKey map[K]timedValue[V]
}

type timedValue[V any] struct {
	value   V
	updated time.Time
}

func newExpiringMap[K cmp.Ordered, V any](ttl time.Duration) expiringMap[K, V] {
	return expiringMap[K, V]{ttl: ttl, byKey: map[K]timedValue[V]{}}
}

func (r expiringMap[K, V]) put(key K, value V) { r.byKey[key] = timedValue[V]{value, time.Now()} }

// latest returns the last value of a key, even if it has expired but has not been deleted yet.
func (r expiringMap[K, V]) latest(key K) (value V, found bool) {
	s, found := r.byKey[key]
	return s.value, found
}

// list returns the valid values for which include returns true, sorted by key, and deletes expired
// values. It sorts only the included keys, because usually few or none of hundreds are included.
func (r expiringMap[K, V]) list(include func(V) bool) []V {
	var keys []K
	for key, s := range r.byKey {
		switch {
		case time.Since(s.updated) > r.ttl:
			delete(r.byKey, key)
		case include(s.value):
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var list []V
	for _, key := range keys {
		list = append(list, r.byKey[key].value)
	}
	return list
}
