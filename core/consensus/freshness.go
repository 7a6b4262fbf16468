package consensus

import (
	"slices"
)

// NeverCaughtUp is the least value of Status.TicksSinceCaughtUp for a replica that has not caught up
// since its start.
const NeverCaughtUp = 1 << 30

// freshness tells since when the applied state may lack committed entries. A replica in contact with
// a leader may lack some: a message was lost, or it has not applied them yet.
type freshness struct {
	// now counts the ticks since the start, and caughtUpAt is the last one at which the applied state is
	// known to have held everything that was committed.
	now, caughtUpAt int
	// bound, unless it is 0, is an index above the applied ones that no entry exceeded that was
	// committed at tick boundAt.
	bound   uint64
	boundAt int
}

func newFreshness() freshness { return freshness{caughtUpAt: -NeverCaughtUp} }

// observe records that no entry above bound was committed at a tick.
func (f *freshness) observe(bound uint64, at int, applied uint64) {
	if bound <= applied {
		f.caughtUpAt, f.bound = max(f.caughtUpAt, at), 0
		return
	}
	// The first bound is kept until it is reached: later ones would never be while changes come in
	// quick succession. A new leader may name a lower one.
	if f.bound == 0 || bound < f.bound {
		f.bound, f.boundAt = bound, at
	}
}

// reached records that the state is applied up to an index.
func (f *freshness) reached(applied uint64) {
	if f.bound != 0 && f.bound <= applied {
		f.caughtUpAt, f.bound = max(f.caughtUpAt, f.boundAt), 0
	}
}

// commitBound returns an index that no entry exceeds that is committed in the term of this leader.
// Until it has committed an entry of its own term, any entry of its log may be (section 5.4.2 of the
// Raft paper), but none that it lacks.
func (r *Raft) commitBound() uint64 {
	if term, _ := r.log.term(r.log.committed); term == r.term {
		return r.log.committed
	}
	return r.log.lastIndex()
}

// observeLeaderCommit records what a message of the leader says of the commit index, once the message
// has been processed.
func (r *Raft) observeLeaderCommit(bound uint64) {
	if bound == 0 {
		// The leader is of an earlier release.
		bound = r.log.committed
	}
	r.lastBound = bound
	r.freshness.observe(bound, r.freshness.now, r.log.applied)
}

// observeOwnCommit is observeLeaderCommit for the leader itself, as of the last replies of a majority.
func (r *Raft) observeOwnCommit() {
	r.lastBound = r.commitBound()
	r.freshness.observe(r.lastBound, r.freshness.now-r.Status().ticksSinceContact(), r.log.applied)
}

// TicksSinceConfirmed is the number of ticks for which the applied state may have lacked committed
// entries.
func (s Status) TicksSinceConfirmed() int { return max(s.ticksSinceContact(), s.TicksSinceCaughtUp) }

// ticksSinceContact is the number of ticks since a follower last received a message from its leader,
// and on the leader since a majority of the voters last replied.
func (s Status) ticksSinceContact() int {
	if s.Role != Leader {
		return s.TicksSinceLeader
	}
	var silences []int
	for _, m := range s.Membership.GetMembers() {
		if !m.Learner && m.Id != s.ID {
			silences = append(silences, s.TicksSinceReply[m.Id])
		}
	}
	slices.Sort(silences)
	// The leader and as many others as this are a majority.
	others := s.Voters() / 2
	if others == 0 || others > len(silences) {
		return 0
	}
	return silences[others-1]
}
