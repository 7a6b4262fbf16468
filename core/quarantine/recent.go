package quarantine

import "time"

const (
	// maxRecentCompletions is the number of contents whose last completion a node
	// remembers, in 64 KB: those of about a minute at a busy server. A frequent content
	// is recorded again each time, even if another one has replaced it meanwhile.
	maxRecentCompletions = 4096
	recentResolution     = time.Millisecond
)

// recentCompletions remembers which contents completed on this host lately. Contents
// with the same remainder of their keys replace each other.
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
