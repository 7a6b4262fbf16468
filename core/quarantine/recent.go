package quarantine

import "time"

const (
	// recentSlots is for how many contents a node remembers their last complete answer,
	// in 64 KB: those of a minute at a busy server. One that comes often is noted again
	// each time, whoever took its place meanwhile.
	recentSlots = 4096
	recentUnit  = time.Millisecond
)

// recent remembers which contents ran to their end on this host lately.
type recent struct {
	slots []completedAt
}

type completedAt struct {
	key Key
	// at is in recentUnits, plus one: 0 is an empty slot.
	at uint64
}

// note takes in a completion now.
func (r *recent) note(now time.Duration, k Key) {
	if r.slots == nil {
		r.slots = make([]completedAt, recentSlots)
	}
	r.slots[k%recentSlots] = completedAt{key: k, at: uint64(now/recentUnit) + 1}
}

// last is when the content last ran to its end, if that is remembered.
func (r *recent) last(k Key) (at time.Duration, ok bool) {
	if r.slots == nil {
		return 0, false
	}
	s := r.slots[k%recentSlots]
	return time.Duration(s.at-1) * recentUnit, s.at > 0 && s.key == k
}
