// Package consensus implements a replicated log using the Raft algorithm with
// pre-vote, check-quorum, linearizable reads, snapshots, learners and
// single-server membership changes. Names follow the Raft paper and thesis.
//
// A Raft is a pure state machine: its inputs are messages, ticks and proposals,
// and Ready returns a batch of work (what to write to disk, send and apply). The caller
// processes the batch in the order documented on the type Ready and then calls Advance.
// A Raft is not safe for concurrent use.
package consensus

import (
	"errors"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Role is the role of a replica in its current term.
type Role int

// Roles. A PreCandidate asks whether it could win an election before it becomes a Candidate
// in a new term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors returned by proposals and reads. Each message tells the caller what to
// do about it.
var (
	ErrNotLeader      = errors.New("this replica is not the leader; ask the leader")
	ErrChangePending  = errors.New("another membership change is in progress; try again when it has completed")
	ErrNotReady       = errors.New("the leader has not committed an entry in its term yet; try again in a second")
	ErrNotCaughtUp    = errors.New("the learner has not caught up with the log; try again once it has")
	ErrUnknownMember  = errors.New("no member has this id; check the member list in status")
	ErrLastVoter      = errors.New("the last voter cannot be removed; add another voter first")
	ErrAlreadyMember  = errors.New("a member with this id already exists; nothing to add")
	ErrTooManyEntries = errors.New("too many uncommitted proposals; try again in a second")
)

const (
	maxEntriesPerAppend   = 64
	maxBytesPerAppend     = 1 << 20
	maxUncommittedEntries = 4096
	// MaxPromotionLag is the maximum number of log entries by which a learner may
	// lag behind the leader when it is promoted.
	MaxPromotionLag = 64
	// forcedCampaign, in the Hint of a vote request, marks an election that the leader
	// itself requested to transfer its leadership. Voters consider such a request although
	// they still receive messages from the leader.
	forcedCampaign = 1
)

// Config holds the parameters of a Raft.
type Config struct {
	ID uint64
	// ElectionTicks is the minimum election timeout, in ticks. The actual timeout is drawn
	// at random between one and two times this value. HeartbeatTicks is the interval
	// between a leader's heartbeats and must be much smaller.
	ElectionTicks, HeartbeatTicks int
	Rand                          *rand.Rand
}

// PersistentState is the persistent state that a replica reads from disk at
// startup. The caller has applied its snapshot.
type PersistentState struct {
	HardState *apiv1.HardState
	Snapshot  *apiv1.Snapshot
	Entries   []*apiv1.LogEntry
	// Founders is the initial membership, used only when neither the snapshot
	// nor a log entry contains one.
	Founders *apiv1.Membership
}

// progress is the leader's view of one member's replication state.
type progress struct {
	match, next uint64
	// active is set when the member has replied since the last quorum check.
	active bool
	// probing limits the leader to one append message at a time, until it knows up to
	// which entry the member's log matches its own. paused is set while it waits for the
	// reply to that message.
	probing, paused bool
	// pendingSnapshot is the index of the snapshot being sent, or 0.
	pendingSnapshot uint64
	snapshotTicks   int
	round           uint64
	// ticksSinceReply counts the ticks since the member's last reply.
	ticksSinceReply int
}

type pendingRead struct {
	context, index, round uint64
}

// Raft is the state of one replica.
type Raft struct {
	id                            uint64
	electionTicks, heartbeatTicks int
	random                        *rand.Rand

	term, vote uint64
	saved      apiv1.HardState
	log        raftLog
	snapshot   *apiv1.Snapshot

	membership     *apiv1.Membership
	baseMembership *apiv1.Membership
	// configIndex is the log index of the latest membership change.
	configIndex uint64

	role   Role
	leader uint64
	// electionElapsed counts the ticks since the election timer was last reset, which each campaign
	// and each granted vote does.
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// ticksSinceLeader counts the ticks since the last contact with a leader. In contrast to
	// electionElapsed, only a message of the leader resets it: a replica that was removed
	// or is cut off campaigns again and again and would otherwise never notice.
	ticksSinceLeader int
	freshness        freshness
	// lastBound is the newest bound of the commit index that is known.
	lastBound  uint64
	votes      map[uint64]bool
	progress   map[uint64]*progress
	transferee uint64

	round          uint64
	roundRequested bool
	unsentReads    []pendingRead
	reads          []pendingRead
	readyReads     []Read

	messages        []*apiv1.RaftMessage
	restoreSnapshot *apiv1.Snapshot
	pendingReady    Ready
}

// New creates a replica from its persistent state.
func New(c Config, restored PersistentState) *Raft {
	r := &Raft{id: c.ID, electionTicks: c.ElectionTicks, heartbeatTicks: c.HeartbeatTicks, random: c.Rand, freshness: newFreshness()}
	r.baseMembership = cloneMembership(restored.Founders)
	if s := restored.Snapshot; s != nil {
		r.log.reset(s.Index, s.Term)
		r.log.applied = s.Index
		r.baseMembership = cloneMembership(s.Membership)
		r.snapshot = s
	}
	r.log.append(restored.Entries...)
	r.log.stable = r.log.lastIndex()
	if h := restored.HardState; h != nil {
		r.term, r.vote = h.Term, h.Vote
		r.log.committed = max(r.log.committed, min(h.Commit, r.log.lastIndex()))
	}
	r.saved = apiv1.HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
	r.loadMembership()
	r.becomeFollower(r.term, 0)
	// The first timeout is shorter than a normal election timeout: after a restart of all
	// replicas there is no leader to wait for. If there is a leader, the pre-vote fails
	// without disturbing it.
	r.electionTimeout = 1 + r.random.IntN(r.electionTicks)
	return r
}

// Status is a snapshot of the replica's state for operators and callers.
type Status struct {
	ID, Term, Leader           uint64
	Role                       Role
	Commit, Applied, LastIndex uint64
	SnapshotIndex              uint64
	Membership                 *apiv1.Membership
	// Match is the highest log index known to be replicated on each member; set
	// only on the leader.
	Match map[uint64]uint64
	// TicksSinceReply is the number of ticks since each member last replied; set
	// only on the leader.
	TicksSinceReply map[uint64]int
	// TicksSinceLeader is the number of ticks since this replica last received a message from a
	// leader, or was one in contact with a majority; since its start if it never did.
	TicksSinceLeader int
	// CommitBound is an index that no entry exceeded that was committed when the leader last said so.
	// It is above Applied while the state may lack committed entries.
	CommitBound uint64
	// TicksSinceCaughtUp is the number of ticks since the applied state held everything that was
	// committed, and at least NeverCaughtUp if it never did since the start of this replica.
	TicksSinceCaughtUp int
	// ConfigCommitted reports whether the latest membership change is committed.
	ConfigCommitted bool
}

// Voters returns the number of voting members.
func (s Status) Voters() int {
	voters := 0
	for _, m := range s.Membership.GetMembers() {
		if !m.Learner {
			voters++
		}
	}
	return voters
}

// Status returns the current state of the replica.
func (r *Raft) Status() Status {
	s := Status{ID: r.id, Term: r.term, Leader: r.leader, Role: r.role, Commit: r.log.committed, Applied: r.log.applied,
		LastIndex: r.log.lastIndex(), SnapshotIndex: r.log.snapIndex, CommitBound: r.lastBound, TicksSinceCaughtUp: r.freshness.now - r.freshness.caughtUpAt, Membership: r.membership,
		TicksSinceLeader: r.ticksSinceLeader, ConfigCommitted: r.configIndex <= r.log.committed}
	if r.role == Leader {
		s.Match, s.TicksSinceReply = map[uint64]uint64{}, map[uint64]int{}
		for id, p := range r.progress {
			s.Match[id] = p.match
			if id != r.id {
				s.TicksSinceReply[id] = p.ticksSinceReply
			}
		}
	}
	return s
}

// Tick advances the replica's logical clock by one tick.
func (r *Raft) Tick() {
	r.freshness.now++
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	r.ticksSinceLeader++
	if r.electionElapsed >= r.electionTimeout {
		r.electionElapsed = 0
		r.campaign(true, false)
	}
}

// expireSnapshot abandons a snapshot transfer that has not been acknowledged in
// time, so that a lost message does not block replication to the member forever.
func (r *Raft) expireSnapshot(p *progress) {
	if p.pendingSnapshot == 0 {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks > 4*r.electionTicks {
		p.pendingSnapshot = 0
		p.probing, p.paused = true, false
	}
}

func (r *Raft) failReads() {
	for _, p := range append(r.unsentReads, r.reads...) {
		r.readyReads = append(r.readyReads, Read{Context: p.context, Failed: true})
	}
	r.unsentReads, r.reads, r.roundRequested = nil, nil, false
}

// syncProgress adds and removes progress records to match the membership.
func (r *Raft) syncProgress() {
	for id := range r.progress {
		if FindMember(r.membership, id) == nil {
			delete(r.progress, id)
		}
	}
	for _, m := range r.membership.Members {
		if r.progress[m.Id] == nil {
			r.progress[m.Id] = &progress{next: r.log.lastIndex() + 1, active: true, probing: true}
		}
	}
	if p := r.progress[r.id]; p != nil {
		p.match = r.log.stable
	}
}

func (r *Raft) appendEntry(kind apiv1.EntryKind, data []byte) *apiv1.LogEntry {
	e := &apiv1.LogEntry{Term: r.term, Index: r.log.lastIndex() + 1, Kind: kind, Data: data}
	r.log.append(e)
	return e
}

// Propose appends data to the leader's log and returns its index and term. The
// entry is committed only once it is returned in Ready.Committed with that term.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader || r.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	if r.log.lastIndex()-r.log.committed >= maxUncommittedEntries {
		return 0, 0, ErrTooManyEntries
	}
	e := r.appendEntry(apiv1.EntryKind_ENTRY_KIND_CHANGE, data)
	r.broadcastAppend()
	return e.Index, e.Term, nil
}

// Read requests a linearizable read, identified by context. The result is returned in
// Ready.Reads once a majority has confirmed that this replica is still the leader.
func (r *Raft) Read(context uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if term, _ := r.log.term(r.log.committed); term != r.term {
		// Until it has committed an entry of its own term, a new leader does not know
		// up to which entry the log is committed and could return stale data.
		return ErrNotReady
	}
	r.unsentReads = append(r.unsentReads, pendingRead{context: context, index: r.log.committed})
	r.roundRequested = true
	return nil
}

func (r *Raft) send(m *apiv1.RaftMessage) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}

func (r *Raft) snapshotMessage(to uint64) *apiv1.RaftMessage {
	if r.snapshot == nil {
		return nil
	}
	s, _ := proto.Clone(r.snapshot).(*apiv1.Snapshot)
	return &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, To: to, Snapshot: s}
}
