package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// endsToBar is under how many servers a request may end before no other server gets
	// it. One or two ends befall what merely ran beside the cause.
	endsToBar = 3
	// keepEnds is how long an end counts. A request that is kept away is let through
	// once its ends are that old, and one more end keeps it away again.
	keepEnds = 10 * time.Minute
	// clearedBy is how long before an end a request with the same content may have run to
	// its end to be cleared of it. What servers run all the time is on most of those that
	// end, and servers may end faster than it is answered anywhere.
	clearedBy = 30 * time.Second
	// lastEcho is how much sooner than it is forgotten an end is not learned any more:
	// nodes that forget it at slightly different times would tell each other for ever.
	lastEcho = 10 * time.Second
	// mostEnds bounds the ends that are kept, and mostContents those of one end: more than
	// servers have slots. Together 1 MB at the most.
	mostEnds     = 256
	mostContents = 128
	// mostCompletions bounds the completions that are kept for ends still to be heard of.
	mostCompletions = 4096
)

// EndID names one end of one backend server.
type EndID uint64

// End tells what was running on a backend server when it ended.
type End struct {
	ID EndID
	// Age is how long ago that was.
	Age      time.Duration
	Contents []Content
	// Paths are those of requests whose bodies were streamed. They tell where bodies
	// have to be looked at before a server gets them.
	Paths []Key
}

// Completion tells that a request with this key was answered in whole.
type Completion struct {
	Key Key
	// Age is how long ago that was.
	Age time.Duration
}

// News is what ledgers tell each other. It may be told again and in any order.
type News struct {
	Ends        []End
	Completions []Completion
}

// Empty tells whether there is nothing in the news.
func (n News) Empty() bool { return len(n.Ends) == 0 && len(n.Completions) == 0 }

// end is an end with the contents that are not cleared of it.
type end struct {
	id       EndID
	at       time.Duration
	contents []Content
	paths    []Key
	// mark sums them up, and keys are those of the contents, each once; both as of when
	// conclude last looked. dirty: they are out of date.
	mark  uint64
	keys  []Key
	dirty bool
}

// Ledger is what one node knows of servers that ended and of the requests under which
// they did. All ledgers that heard the same come to the same conclusions, in whatever
// order they heard it. Time is a duration since any fixed start and must not go back.
type Ledger struct {
	// ends are in the order in which they were heard of.
	ends []*end
	// completed is when a request with the key was last known to be answered in whole, by
	// any server; recent remembers what the server beside this node answered.
	completed map[Key]time.Duration
	recent    recent
	// changed: ends have changed since conclude last worked out what follows from them,
	// which is the rest: on how many ends a key stands, the paths of streamed bodies on
	// them, until when a key is kept away, and a sum of all ends.
	changed bool
	accused map[Key]int
	paths   map[Key]bool
	barred  map[Key]time.Duration
	digest  uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{completed: map[Key]time.Duration{}, accused: map[Key]int{}, paths: map[Key]bool{}, barred: map[Key]time.Duration{}}
}

// Barred tells for how long requests with the content are kept away from servers; 0 if
// they are not.
func (l *Ledger) Barred(now time.Duration, c Content) time.Duration {
	if len(l.barred) == 0 {
		return 0
	}
	return max(0, l.barred[c.Exact]-now, l.barred[c.Alike]-now)
}

// Suspected tells whether a server ended under a request with this path whose body was
// streamed.
func (l *Ledger) Suspected(path Key) bool { return l.paths[path] }

// Ended takes in the end of the server beside this node and returns what others have to
// know of it.
func (l *Ledger) Ended(now time.Duration, e End) News {
	spread, _ := l.Learn(now, News{Ends: []End{e}})
	return spread
}

// Completed takes in that a request was answered in whole by the server beside this
// node, and returns what others have to know of it: nothing unless somebody suspects it.
func (l *Ledger) Completed(now time.Duration, c Content) News {
	if !c.Known() {
		return News{}
	}
	var news News
	for _, k := range [...]Key{c.Exact, c.Alike} {
		l.recent.note(now, k)
		if l.accused[k] > 0 && l.clear(k, now) {
			news.Completions = append(news.Completions, Completion{Key: k})
		}
	}
	l.settle(now)
	return news
}

// Learn takes in news. Spread is what was new here and others have to know; correction
// is what shows that the sender suspects somebody without need.
func (l *Ledger) Learn(now time.Duration, news News) (spread, correction News) {
	for _, c := range news.Completions {
		if c.Key != 0 && l.learnCompletion(now, c) {
			spread.Completions = append(spread.Completions, c)
		}
	}
	for _, e := range news.Ends {
		if e.Age >= keepEnds-lastEcho {
			continue
		}
		added, known, found := l.learnEnd(now, e)
		if len(added.Contents) > 0 || len(added.Paths) > 0 {
			spread.Ends = append(spread.Ends, added)
		}
		correction.Completions = append(correction.Completions, known...)
		spread.Completions = append(spread.Completions, found...)
	}
	l.settle(now)
	return spread, correction
}

// learnCompletion tells whether the completion is worth passing on: it clears somebody,
// or may yet. The same one comes round again, each time a little younger by what it
// spent on its way.
func (l *Ledger) learnCompletion(now time.Duration, c Completion) bool {
	heard := now - c.Age
	at, known := l.completed[c.Key]
	return l.clear(c.Key, heard) || !known || heard > at+clearedBy/2
}

// clear notes a completion and takes its key out of the ends that it clears it of. It
// reports whether there were any.
func (l *Ledger) clear(k Key, at time.Duration) (any bool) {
	if known, ok := l.completed[k]; !ok || at > known {
		l.completed[k] = at
	}
	for _, e := range l.ends {
		if e.at <= at+clearedBy && e.has(k) {
			e.contents = without(e.contents, k)
			e.dirty, any, l.changed = true, true, true
		}
	}
	return any
}

func (e *end) has(k Key) bool {
	return slices.ContainsFunc(e.contents, func(c Content) bool { return c.Exact == k || c.Alike == k })
}

// without leaves a key out of contents. A content whose narrower key is cleared is not
// suspected at all; one whose wider key is cleared may be suspected by the narrower.
func without(contents []Content, k Key) []Content {
	kept := contents[:0]
	for _, c := range contents {
		if c = cleared(c, k); c.Known() {
			kept = append(kept, c)
		}
	}
	return kept
}

// cleared is the content without a key that is cleared.
func cleared(c Content, k Key) Content {
	switch k {
	case c.Exact:
		return Content{}
	case c.Alike:
		c.Alike = 0
	}
	return c
}

// learnEnd takes in an end; a part of one that is known adds to it. Known are the
// completions that clear its contents, found those of them which others do not know.
func (l *Ledger) learnEnd(now time.Duration, e End) (added End, known, found []Completion) {
	held := l.end(e.ID)
	isNew := held == nil
	if isNew {
		held = &end{id: e.ID, at: now - e.Age}
	}
	added = End{ID: e.ID, Age: e.Age}
	for _, c := range e.Contents {
		for _, k := range [...]Key{c.Exact, c.Alike} {
			if k == 0 {
				continue
			}
			at, unheard, ok := l.completion(k, held.at)
			switch {
			case !ok:
				continue
			case unheard:
				found = append(found, Completion{Key: k, Age: now - at})
			default:
				known = append(known, Completion{Key: k, Age: now - at})
			}
			c = cleared(c, k)
		}
		if c.Known() && !held.has(c.Exact) {
			added.Contents = append(added.Contents, c)
		}
	}
	for _, p := range e.Paths {
		if !slices.Contains(held.paths, p) {
			added.Paths = append(added.Paths, p)
		}
	}
	if len(added.Contents) == 0 && len(added.Paths) == 0 {
		return added, known, found
	}
	if isNew {
		l.ends = append(l.ends, held)
	}
	held.contents = atMost(append(held.contents, added.Contents...), mostContents)
	held.paths = atMost(append(held.paths, added.Paths...), mostContents)
	held.dirty, l.changed = true, true
	return added, known, found
}

func atMost[T any](list []T, most int) []T { return list[:min(len(list), most)] }

// completion is one that clears a key of an end at that time; unheard tells that only
// this node knew of it.
func (l *Ledger) completion(k Key, end time.Duration) (at time.Duration, unheard, ok bool) {
	if at, ok := l.completed[k]; ok && end <= at+clearedBy {
		return at, false, true
	}
	if at, ok := l.recent.last(k); ok && end <= at+clearedBy {
		l.clear(k, at)
		return at, true, true
	}
	return 0, false, false
}

func (l *Ledger) end(id EndID) *end {
	for _, e := range l.ends {
		if e.id == id {
			return e
		}
	}
	return nil
}

// Tick forgets what is old.
func (l *Ledger) Tick(now time.Duration) {
	before := len(l.ends)
	l.ends = slices.DeleteFunc(l.ends, func(e *end) bool { return now-e.at >= keepEnds })
	l.changed = l.changed || before != len(l.ends)
	maps.DeleteFunc(l.completed, func(_ Key, at time.Duration) bool { return now-at >= keepEnds })
	l.settle(now)
}

// settle works out what follows from what has changed, and drops what nothing follows
// from or is too much.
func (l *Ledger) settle(now time.Duration) {
	for k := range l.completed {
		if len(l.completed) <= mostCompletions {
			break
		}
		delete(l.completed, k)
	}
	if !l.changed {
		return
	}
	l.ends = slices.DeleteFunc(l.ends, func(e *end) bool { return len(e.contents) == 0 && len(e.paths) == 0 })
	l.ends = l.ends[max(0, len(l.ends)-mostEnds):]
	l.conclude(now)
	l.changed = false
}

// Held are the ends that the ledger holds and whose marks are wanted.
func (l *Ledger) Held(now time.Duration, wanted func(mark uint64) bool) []End {
	var list []End
	for _, e := range l.ends {
		if wanted(e.mark) {
			list = append(list, End{ID: e.id, Age: now - e.at, Contents: slices.Clone(e.contents), Paths: slices.Clone(e.paths)})
		}
	}
	return list
}

// marks are those of all ends, in order. A mark is equal for ends of which two ledgers
// hold the same.
func (l *Ledger) marks() []uint64 {
	list := make([]uint64, 0, len(l.ends))
	for _, e := range l.ends {
		list = append(list, e.mark)
	}
	slices.Sort(list)
	return list
}

// Digest is equal for ledgers that suspect the same for the same ends. It is 0 for
// those that suspect nobody.
func (l *Ledger) Digest() uint64 { return l.digest }
