package quarantine

import (
	"math/bits"
	"slices"
	"time"
)

// This file decides which contents to quarantine. A crashed server takes down every
// request that it was running, so harmless requests are recorded with crashes as well.
// A content for which some server sent a complete response at about the time of a crash
// is not suspected of that crash. Any other content that is recorded with
// quarantineThreshold crashes is quarantined, unless each of these crashes also has
// another content that is recorded with more crashes: then the crashes are attributed to
// that other content. If the first content causes crashes by itself as well, it is
// quarantined after its next crash without the other content.

// evaluate derives the suspected and quarantined contents from the recorded crashes.
func (l *Ledger) evaluate(now time.Duration) {
	clear(l.crashCounts)
	clear(l.paths)
	clear(l.quarantinedUntil)
	l.digest = 0
	for _, e := range l.crashes {
		e.refresh()
		for _, k := range e.keys {
			l.crashCounts[k]++
		}
		for _, p := range e.paths {
			l.paths[p] = true
		}
		l.digest ^= e.hash
	}
	for k, crashes := range l.crashCounts {
		if crashes < quarantineThreshold {
			continue
		}
		if until, ok := l.quarantineExpiry(k); ok && until > now {
			l.quarantinedUntil[k] = until
		}
	}
}

// Quarantined describes a quarantined content.
type Quarantined struct {
	Key Key
	// Crashes is the number of recorded crashes during which the content was running.
	// Left is the remaining quarantine time.
	Crashes int
	Left    time.Duration
}

// AllQuarantined returns the contents that are quarantined at the given time.
func (l *Ledger) AllQuarantined(now time.Duration) []Quarantined {
	var list []Quarantined
	for k, until := range l.quarantinedUntil {
		if until > now {
			list = append(list, Quarantined{Key: k, Crashes: l.crashCounts[k], Left: until - now})
		}
	}
	return list
}

// digest returns a hash of the crash with its contents and paths. It does not depend on
// the order of the contents and paths.
func (e *crash) digest() uint64 {
	digest := uint64(0)
	for _, p := range e.paths {
		digest ^= mix(uint64(e.id), uint64(p))
	}
	for _, c := range e.contents {
		digest ^= mix(mix(uint64(e.id), uint64(c.Exact)), uint64(c.Alike))
	}
	return digest
}

// refresh recomputes the hash and the keys if the crash has changed.
func (e *crash) refresh() {
	if !e.dirty {
		return
	}
	e.dirty = false
	e.hash = e.digest()
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

// quarantineExpiry returns the time until which a key that is recorded with enough
// crashes is quarantined; ok is false if the key is not to be quarantined. An Alike key
// is quarantined only if at least two requests with different Exact keys are recorded
// with it: if each crash has the same request, similar ones are not suspected.
func (l *Ledger) quarantineExpiry(k Key) (until time.Duration, ok bool) {
	var crashes []time.Duration
	var exact []Key
	unattributed := false
	for _, e := range l.crashes {
		found := false
		for _, c := range e.contents {
			if c.Exact == k || c.Alike == k {
				found = true
				exact = append(exact, c.Exact)
			}
		}
		if found {
			crashes = append(crashes, e.at)
			unattributed = unattributed || !l.attributedToOther(e, k)
		}
	}
	slices.Sort(exact)
	isAlike := !slices.Contains(exact, k)
	if !unattributed || isAlike && len(slices.Compact(exact)) < 2 {
		return 0, false
	}
	slices.Sort(crashes)
	return crashes[len(crashes)-quarantineThreshold] + crashRetention, true
}

// attributedToOther reports whether a crash has another content that is recorded with
// more crashes than key k.
func (l *Ledger) attributedToOther(e *crash, k Key) bool {
	return slices.ContainsFunc(e.contents, func(c Content) bool {
		return c.Exact != k && c.Alike != k && max(l.crashCounts[c.Exact], l.crashCounts[c.Alike]) > l.crashCounts[k]
	})
}

// mix returns a hash of two numbers, which depends on their order.
func mix(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	x := bits.RotateLeft64(a*odd, 31) ^ b
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return x * odd
}
