package quarantine

import (
	"math/bits"
	"slices"
	"time"
)

// Which contents are to blame. A server that ends takes with it all that it was running,
// so that harmless requests stand on ends as well. What was answered in whole anywhere
// at about that time is cleared beforehand. Of the rest, one that stands on endsToBar
// ends is kept away, unless each of its ends has another one on it that stands on more:
// then it was the other one's company. Should it end servers itself, the next end
// without the other one tells.

// conclude works out what follows from the ends.
func (l *Ledger) conclude(now time.Duration) {
	clear(l.accused)
	clear(l.paths)
	clear(l.barred)
	l.digest = 0
	for _, e := range l.ends {
		e.refresh()
		for _, k := range e.keys {
			l.accused[k]++
		}
		for _, p := range e.paths {
			l.paths[p] = true
		}
		l.digest ^= e.mark
	}
	for k, ends := range l.accused {
		if ends < endsToBar {
			continue
		}
		if until, ok := l.verdict(k); ok && until > now {
			l.barred[k] = until
		}
	}
}

// Barred is a content that is kept away.
type Barred struct {
	Key Key
	// Ends is on how many ends it stands, Left for how long it is kept away.
	Ends int
	Left time.Duration
}

// AllBarred are the contents that are kept away at the moment.
func (l *Ledger) AllBarred(now time.Duration) []Barred {
	var list []Barred
	for k, until := range l.barred {
		if until > now {
			list = append(list, Barred{Key: k, Ends: l.accused[k], Left: until - now})
		}
	}
	return list
}

// sum sums an end up with all that it holds, in whatever order.
func (e *end) sum() uint64 {
	sum := uint64(0)
	for _, p := range e.paths {
		sum ^= mix(uint64(e.id), uint64(p))
	}
	for _, c := range e.contents {
		sum ^= mix(mix(uint64(e.id), uint64(c.Exact)), uint64(c.Alike))
	}
	return sum
}

// refresh brings up to date what follows from the end alone.
func (e *end) refresh() {
	if !e.dirty {
		return
	}
	e.dirty = false
	e.mark = e.sum()
	e.keys = e.keys[:0]
	for _, c := range e.contents {
		e.keys = append(e.keys, c.Exact)
		if c.Alike != 0 {
			e.keys = append(e.keys, c.Alike)
		}
	}
	slices.Sort(e.keys)
	e.keys = slices.Compact(e.keys)
}

// verdict tells until when a key that stands on enough ends is kept away. The wider key
// counts only if the narrower ones differ: as long as the same request came each time,
// others like it are not blamed for it.
func (l *Ledger) verdict(k Key) (until time.Duration, ok bool) {
	var ends []time.Duration
	var exact []Key
	unexplained := false
	for _, e := range l.ends {
		on := false
		for _, c := range e.contents {
			if c.Exact == k || c.Alike == k {
				on = true
				exact = append(exact, c.Exact)
			}
		}
		if on {
			ends = append(ends, e.at)
			unexplained = unexplained || !l.explained(e, k)
		}
	}
	slices.Sort(exact)
	isWider := !slices.Contains(exact, k)
	if !unexplained || isWider && len(slices.Compact(exact)) < 2 {
		return 0, false
	}
	slices.Sort(ends)
	return ends[len(ends)-endsToBar] + keepEnds, true
}

// explained tells whether an end has another content on it that stands on more ends.
func (l *Ledger) explained(e *end, k Key) bool {
	return slices.ContainsFunc(e.contents, func(c Content) bool {
		return c.Exact != k && c.Alike != k && max(l.accused[c.Exact], l.accused[c.Alike]) > l.accused[k]
	})
}

// mix sums two numbers up so that their order and each bit count.
func mix(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	x := bits.RotateLeft64(a*odd, 31) ^ b
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return x * odd
}
