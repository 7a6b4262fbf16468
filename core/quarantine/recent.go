package quarantine

import "time"

const (
	// maxRecentCompletions is the number of keys whose last completion a node remembers.
	// They take 64 KB and cover about a minute at a busy server. The key of a frequent
	// request is soon recorded again if another key has replaced it.
	maxRecentCompletions = 4096
	recentResolution     = time.Millisecond
)

// recentCompletions remembers when requests recently completed on this host, by key. It is
// a hash table of fixed size: a key replaces another one in the same entry.
type recentCompletions struct {
	entries []recentEntry
}

type recentEntry struct {
	key Key
	// at is in units of recentResolution, plus one: 0 marks an empty entry.
	at uint64
}

// record notes a completion at the given time.
func (r *recentCompletions) record(now time.Duration, k Key) {
	if r.entries == nil {
		r.entries = make([]recentEntry, maxRecentCompletions)
	}
	r.entries[k%maxRecentCompletions] = recentEntry{key: k, at: uint64(now/recentResolution) + 1}
}

// last returns the time at which the content last completed, if it is remembered.
func (r *recentCompletions) last(k Key) (at time.Duration, ok bool) {
	if r.entries == nil {
		return 0, false
	}
	entry := r.entries[k%maxRecentCompletions]
	return time.Duration(entry.at-1) * recentResolution, entry.at > 0 && entry.key == k
}
