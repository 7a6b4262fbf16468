package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// quarantineThreshold is the number of crashes after which a request that was running
	// in all of them is quarantined. In one or two of them, a harmless request may by
	// chance be running on the same server as the request that causes the crash.
	quarantineThreshold = 3
	// crashRetention is how long a crash counts. A quarantined request is admitted
	// again once its crashes are that old, and one more crash quarantines it again.
	crashRetention = 10 * time.Minute
	// completionWindow is how long before a crash a request may have completed, on any
	// server, to clear its content of that crash. It protects frequent requests: servers
	// run them all the time, so they are recorded with most crashes, and several servers
	// may crash before such a request completes again.
	completionWindow = 30 * time.Second
	// expiryMargin is how long before its expiry a crash is no longer accepted from
	// other nodes. Nodes expire it at slightly different times; without the margin, a node
	// that has expired it would receive it again from one that has not, and so on forever.
	expiryMargin = 10 * time.Second
	// maxCrashes limits the number of recorded crashes. maxContents limits the contents
	// of each crash; it exceeds the number of requests that a server runs at a time.
	// Together they limit the ledger's memory to 1 MB.
	maxCrashes  = 256
	maxContents = 128
	// maxCompletions limits the completions that are kept in case they clear contents of
	// crashes that this node does not know of yet.
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
	// Paths are the paths of running requests whose bodies were streamed, so that their
	// contents were not known. A later request with such a path is sent to a server only
	// after the beginning of its body has been read.
	Paths []Key
}

// Completion records that a server sent the complete response to a request with this
// key, and thus survived it.
type Completion struct {
	Key Key
	// Age is the time since the end of the response.
	Age time.Duration
}

// News is the information that ledgers exchange. The order in which a ledger receives
// news, and repetitions of it, do not affect the result.
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
	// completed holds the time of the latest completion of each key on any server, as far
	// as it concerns a crash or was received from another node. recentCompletions holds
	// all recent completions on this node's own server.
	completed         map[Key]time.Duration
	recentCompletions recentCompletions
	// changed is set if the crashes have changed since the last call of evaluate, which
	// derives the fields below: the number of crashes for each key, the paths of
	// requests with streamed bodies, the end of each quarantine, and a hash of all
	// crashes.
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

// Completed records that this node's server sent the complete response to a request. It
// returns the news for other nodes, which is empty unless this clears the content of a
// recorded crash.
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

// Learn applies news from another node. forward is the part that was new to this node and
// should be sent on to others. correction holds the completions to send back: they clear
// contents that the sender still suspects.
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

// learnCompletion applies a completion and reports whether to forward it: it clears a
// content now, or may clear one later that the known completion does not. A completion
// must be much later than the known one to be forwarded for the second reason: one that
// returns through other nodes seems slightly later each time, because its age does not
// include the transit time.
func (l *Ledger) learnCompletion(now time.Duration, c Completion) bool {
	heard := now - c.Age
	at, known := l.completed[c.Key]
	return l.applyCompletion(c.Key, heard) || !known || heard > at+completionWindow/2
}

// applyCompletion records a completion and removes its key from the crashes of which the
// completion clears it. It reports whether there were any.
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

// learnCrash records a crash, or adds to it if parts of it are known already. added is
// the part that was new. shared holds the completions that clear contents of the crash
// and are known to other nodes, and local those that only this node knows of.
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

// completion returns the time of a completion that clears a key of a crash at crashedAt;
// ok is false if there is none. localOnly is set if only this node knew of it.
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

// applyChanges enforces the limits on the ledger's size. If the crashes have changed, it
// also removes those without suspected contents and recomputes the quarantine.
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

// Digest returns a hash of the recorded crashes. It is equal for ledgers that suspect the
// same contents and paths of the same crashes, and 0 if no crash is recorded.
func (l *Ledger) Digest() uint64 { return l.digest }
