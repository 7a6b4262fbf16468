package replica

import (
	"cmp"
	"slices"
	"time"
)

// recent holds what others said of themselves lately: each counts for a while after
// it was last said. It is not safe for concurrent use.
type recent[K cmp.Ordered, V any] struct {
	life  time.Duration
	byKey map[K]said[V]
}

type said[V any] struct {
	what V
	at   time.Time
}

func newRecent[K cmp.Ordered, V any](life time.Duration) recent[K, V] {
	return recent[K, V]{life: life, byKey: map[K]said[V]{}}
}

func (r recent[K, V]) put(key K, what V) { r.byKey[key] = said[V]{what, time.Now()} }

// held is what was said last, also if it counts no more and was not taken out yet.
func (r recent[K, V]) held(key K) (what V, known bool) {
	s, known := r.byKey[key]
	return s.what, known
}

// list gives, by key, what still counts and is wanted, and takes out what counts no
// more. Only what is wanted is sorted: of hundreds often nothing is.
func (r recent[K, V]) list(wanted func(V) bool) []V {
	var keys []K
	for key, s := range r.byKey {
		switch {
		case time.Since(s.at) > r.life:
			delete(r.byKey, key)
		case wanted(s.what):
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var list []V
	for _, key := range keys {
		list = append(list, r.byKey[key].what)
	}
	return list
}
