package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// quarantineThreshold is the number of servers that a request may crash before it
	// is quarantined. A harmless request may run beside the cause of one or two
	// crashes.
	quarantineThreshold = 3
	// crashRetention is how long a crash counts. A quarantined request is admitted
	// again once its crashes are that old, and one more crash quarantines it again.
	crashRetention = 10 * time.Minute
	// completionWindow is how long before a crash a request with the same content may
	// have completed to be cleared of that crash. Requests that servers run all the
	// time are recorded with most crashes, and servers may crash faster than such a
	// request is answered anywhere.
	completionWindow = 30 * time.Second
	// expiryMargin is how long before its expiry a crash is no longer accepted from
	// other nodes. Nodes that expire it at slightly different times would otherwise
	// send it to each other forever.
	expiryMargin = 10 * time.Second
	// maxCrashes limits the number of recorded crashes, and maxContents the contents of
	// each, above the number of slots of a server. Together they take at most 1 MB.
	maxCrashes  = 256
	maxContents = 128
	// maxCompletions limits the completions that are kept for crashes not yet known.
	maxCompletions = 4096
)

// CrashID identifies one crash of one backend server.
type CrashID uint64

// Crash describes what was running on a backend server when it crashed.
type Crash struct {
	ID CrashID
	// Age is the time since the crash.
	Age      time.Duration
	Contents []Content
	// Paths are those of requests with streamed bodies. For requests with these paths
	// the beginning of the body is read before a server gets them.
	Paths []Key
}

// Completion records that a request with this key was answered in full.
type Completion struct {
	Key Key
	// Age is the time since the answer.
	Age time.Duration
}

// News is the information that ledgers exchange. Applying it repeatedly or in any order
// gives the same result.
type News struct {
	Crashes     []Crash
	Completions []Completion
}

// Empty reports whether the news has no entries.
func (n News) Empty() bool { return len(n.Crashes) == 0 && len(n.Completions) == 0 }

// crash records a crash with the contents that are still suspected of it.
type crash struct {
	id       CrashID
	at       time.Duration
	contents []Content
	paths    []Key
	// hash covers the whole record, and keys holds the distinct keys of its contents.
	// Both are updated by refresh; dirty is set if they are out of date.
	hash  uint64
	keys  []Key
	dirty bool
}

// Ledger records the crashes that one node knows of and the requests suspected of them.
// All ledgers with the same information derive the same quarantine, regardless of the
// order in which they received it. Times are durations since an arbitrary fixed start
// and must not decrease.
type Ledger struct {
	// crashes is in the order in which they became known.
	crashes []*crash
	// completed is the time at which a request with the key was last known to be
	// answered in full by any server. recentCompletions holds those of this node's own
	// server.
	completed         map[Key]time.Duration
	recentCompletions recentCompletions
	// changed is set if the crashes have changed since the last call of evaluate, which
	// derives the fields below: the number of crashes for each key, the paths of
	// streamed requests, the end of each quarantine, and a hash of all crashes.
	changed          bool
	crashCounts      map[Key]int
	paths            map[Key]bool
	quarantinedUntil map[Key]time.Duration
	digest           uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{completed: map[Key]time.Duration{}, crashCounts: map[Key]int{}, paths: map[Key]bool{}, quarantinedUntil: map[Key]time.Duration{}}
}

// QuarantinedFor returns the remaining quarantine time of a content, or 0 if it is not
// quarantined.
func (l *Ledger) QuarantinedFor(now time.Duration, c Content) time.Duration {
	if len(l.quarantinedUntil) == 0 {
		return 0
	}
	return max(0, l.quarantinedUntil[c.Exact]-now, l.quarantinedUntil[c.Alike]-now)
}

// Suspected reports whether a server crashed while running a request with this path and
// a streamed body.
func (l *Ledger) Suspected(path Key) bool { return l.paths[path] }

// RecordCrash records a crash of this node's server and returns the news for other
// nodes.
func (l *Ledger) RecordCrash(now time.Duration, e Crash) News {
	forward, _ := l.Learn(now, News{Crashes: []Crash{e}})
	return forward
}

// Completed records that this node's server answered a request in full. It returns the
// news for other nodes, which is empty unless the content is suspected.
func (l *Ledger) Completed(now time.Duration, c Content) News {
	if !c.Known() {
		return News{}
	}
	var news News
	for _, k := range [...]Key{c.Exact, c.Alike} {
		l.recentCompletions.record(now, k)
		if l.crashCounts[k] > 0 && l.applyCompletion(k, now) {
			news.Completions = append(news.Completions, Completion{Key: k})
		}
	}
	l.applyChanges(now)
	return news
}

// Learn applies news from another node. It returns the part that was new here and is to
// be forwarded, and completions that show the sender that a suspicion of its own is
// unfounded.
func (l *Ledger) Learn(now time.Duration, news News) (forward, correction News) {
	for _, c := range news.Completions {
		if c.Key != 0 && l.learnCompletion(now, c) {
			forward.Completions = append(forward.Completions, c)
		}
	}
	for _, e := range news.Crashes {
		if e.Age >= crashRetention-expiryMargin {
			continue
		}
		added, shared, local := l.learnCrash(now, e)
		if len(added.Contents) > 0 || len(added.Paths) > 0 {
			forward.Crashes = append(forward.Crashes, added)
		}
		correction.Completions = append(correction.Completions, shared...)
		forward.Completions = append(forward.Completions, local...)
	}
	l.applyChanges(now)
	return forward, correction
}

// learnCompletion reports whether the completion is worth forwarding: it clears a
// content, or may do so later. A completion that returns through other nodes seems
// slightly younger each time, because the transit time is not included in its age.
func (l *Ledger) learnCompletion(now time.Duration, c Completion) bool {
	heard := now - c.Age
	at, known := l.completed[c.Key]
	return l.applyCompletion(c.Key, heard) || !known || heard > at+completionWindow/2
}

// applyCompletion records a completion and removes its key from the crashes that it
// clears the key of. It reports whether there were any.
func (l *Ledger) applyCompletion(k Key, at time.Duration) (cleared bool) {
	if known, ok := l.completed[k]; !ok || at > known {
		l.completed[k] = at
	}
	for _, e := range l.crashes {
		if e.at <= at+completionWindow && e.hasKey(k) {
			e.contents = removeKey(e.contents, k)
			e.dirty, cleared, l.changed = true, true, true
		}
	}
	return cleared
}

func (e *crash) hasKey(k Key) bool {
	return slices.ContainsFunc(e.contents, func(c Content) bool { return c.Exact == k || c.Alike == k })
}

// removeKey removes a key from contents. A content whose Exact key is cleared is not
// suspected at all; one whose Alike key is cleared may still be suspected by its Exact
// key.
func removeKey(contents []Content, k Key) []Content {
	kept := contents[:0]
	for _, c := range contents {
		if c = withoutKey(c, k); c.Known() {
			kept = append(kept, c)
		}
	}
	return kept
}

// withoutKey returns the content without a cleared key.
func withoutKey(c Content, k Key) Content {
	switch k {
	case c.Exact:
		return Content{}
	case c.Alike:
		c.Alike = 0
	}
	return c
}

// learnCrash records a crash, or adds to it if parts of it are known already. shared
// holds the completions that clear contents of the crash and are known to other nodes,
// and local those that only this node knows of.
func (l *Ledger) learnCrash(now time.Duration, e Crash) (added Crash, shared, local []Completion) {
	held := l.crash(e.ID)
	isNew := held == nil
	if isNew {
		held = &crash{id: e.ID, at: now - e.Age}
	}
	added = Crash{ID: e.ID, Age: e.Age}
	for _, c := range e.Contents {
		for _, k := range [...]Key{c.Exact, c.Alike} {
			if k == 0 {
				continue
			}
			at, localOnly, ok := l.completion(k, held.at)
			switch {
			case !ok:
				continue
			case localOnly:
				local = append(local, Completion{Key: k, Age: now - at})
			default:
				shared = append(shared, Completion{Key: k, Age: now - at})
			}
			c = withoutKey(c, k)
		}
		if c.Known() && !held.hasKey(c.Exact) {
			added.Contents = append(added.Contents, c)
		}
	}
	for _, p := range e.Paths {
		if !slices.Contains(held.paths, p) {
			added.Paths = append(added.Paths, p)
		}
	}
	if len(added.Contents) == 0 && len(added.Paths) == 0 {
		return added, shared, local
	}
	if isNew {
		l.crashes = append(l.crashes, held)
	}
	held.contents = truncate(append(held.contents, added.Contents...), maxContents)
	held.paths = truncate(append(held.paths, added.Paths...), maxContents)
	held.dirty, l.changed = true, true
	return added, shared, local
}

func truncate[T any](list []T, limit int) []T { return list[:min(len(list), limit)] }

// completion returns the time of a completion that clears a key of a crash at the given
// time. localOnly is set if only this node knew of it.
func (l *Ledger) completion(k Key, crashedAt time.Duration) (at time.Duration, localOnly, ok bool) {
	if at, ok := l.completed[k]; ok && crashedAt <= at+completionWindow {
		return at, false, true
	}
	if at, ok := l.recentCompletions.last(k); ok && crashedAt <= at+completionWindow {
		l.applyCompletion(k, at)
		return at, true, true
	}
	return 0, false, false
}

func (l *Ledger) crash(id CrashID) *crash {
	for _, e := range l.crashes {
		if e.id == id {
			return e
		}
	}
	return nil
}

// Tick removes expired records.
func (l *Ledger) Tick(now time.Duration) {
	before := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(e *crash) bool { return now-e.at >= crashRetention })
	l.changed = l.changed || before != len(l.crashes)
	maps.DeleteFunc(l.completed, func(_ Key, at time.Duration) bool { return now-at >= crashRetention })
	l.applyChanges(now)
}

// applyChanges enforces the limits, removes crashes without suspects and, after
// changes, derives the quarantine anew.
func (l *Ledger) applyChanges(now time.Duration) {
	for k := range l.completed {
		if len(l.completed) <= maxCompletions {
			break
		}
		delete(l.completed, k)
	}
	if !l.changed {
		return
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(e *crash) bool { return len(e.contents) == 0 && len(e.paths) == 0 })
	l.crashes = l.crashes[max(0, len(l.crashes)-maxCrashes):]
	l.evaluate(now)
	l.changed = false
}

// SelectCrashes returns the recorded crashes whose hashes are wanted.
func (l *Ledger) SelectCrashes(now time.Duration, wanted func(hash uint64) bool) []Crash {
	var list []Crash
	for _, e := range l.crashes {
		if wanted(e.hash) {
			list = append(list, Crash{ID: e.id, Age: now - e.at, Contents: slices.Clone(e.contents), Paths: slices.Clone(e.paths)})
		}
	}
	return list
}

// hashes returns the sorted hashes of all crashes. Two ledgers have equal hashes for a
// crash if they record the same contents and paths for it.
func (l *Ledger) hashes() []uint64 {
	list := make([]uint64, 0, len(l.crashes))
	for _, e := range l.crashes {
		list = append(list, e.hash)
	}
	slices.Sort(list)
	return list
}

// Digest returns a hash of the ledger, which is equal for ledgers that suspect the same
// contents of the same crashes. It is 0 for ledgers without suspects.
func (l *Ledger) Digest() uint64 { return l.digest }
