// Package consensus is a replicated log: the Raft algorithm with pre-vote,
// check-quorum, confirmed reads, snapshots, learners and one-at-a-time changes
// of members. Names are those of the Raft paper and thesis.
//
// A Raft is a pure state machine: messages, ticks and proposals go in; Ready
// returns a batch of work (what to sync, what to send, what to apply). The
// caller does that work in the order Ready documents and then calls Advance.
// A Raft is not safe for concurrent use.
package consensus

import (
	"errors"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// Role is what a replica does in its term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors of proposals. Their messages name the remedy.
var (
	ErrNotLeader      = errors.New("this replica is not the leader; ask the leader")
	ErrChangePending  = errors.New("another change of members is under way; try again when it is done")
	ErrNotReady       = errors.New("the leader has not committed an entry of its term yet; try again in a second")
	ErrNotCaughtUp    = errors.New("the learner has not caught up with the log; try again when it has")
	ErrUnknownMember  = errors.New("no member has this id; look at the members in status")
	ErrLastVoter      = errors.New("the last voter cannot be removed; add another voter first")
	ErrAlreadyMember  = errors.New("a member has this id already; nothing to add")
	ErrTooManyEntries = errors.New("too many proposals wait for agreement; try again in a second")
)

const (
	maxEntriesPerAppend = 64
	maxBytesPerAppend   = 1 << 20
	maxUncommitted      = 4096
	// CatchUpSlack is how many entries a learner may lack when it is promoted.
	CatchUpSlack = 64
	// forcedCampaign in a vote's Hint marks a transfer the leader asked for, so
	// that voters do not hold the election off on the leader's behalf.
	forcedCampaign = 1
)

// Config sets up a Raft.
type Config struct {
	ID uint64
	// ElectionTicks is the shortest election timeout; the timeout drawn is
	// between one and two of it. HeartbeatTicks must be well below.
	ElectionTicks, HeartbeatTicks int
	Rand                          *rand.Rand
}

// Restored is what a replica finds on its disk.
type Restored struct {
	HardState *apiv1.HardState
	Snapshot  *apiv1.Snapshot
	Entries   []*apiv1.LogEntry
	// Founders is the first membership; used only when no snapshot and no
	// entry names one.
	Founders *apiv1.Membership
}

type progress struct {
	match, next uint64
	// active: the member answered since the last check-quorum.
	active bool
	// probing: one append at a time until the logs are known to agree.
	probing, paused bool
	// pendingSnapshot is the index of a snapshot on its way, or 0.
	pendingSnapshot uint64
	snapshotTicks   int
	round           uint64
	// silent counts the ticks since the member last answered.
	silent int
}

type pendingRead struct {
	context, index, round uint64
}

// Raft is one replica's state.
type Raft struct {
	id                            uint64
	electionTicks, heartbeatTicks int
	random                        *rand.Rand

	term, vote uint64
	saved      apiv1.HardState
	log        raftLog
	snapshot   *apiv1.Snapshot

	membership *apiv1.Membership
	base       *apiv1.Membership
	// configIndex is where the newest change of members stands in the log.
	configIndex uint64

	role             Role
	leader           uint64
	electionElapsed  int
	heartbeatElapsed int
	timeout          int
	votes            map[uint64]bool
	progress         map[uint64]*progress
	transferee       uint64

	round      uint64
	wantRound  bool
	unsentRead []pendingRead
	reads      []pendingRead
	readyReads []Read

	messages        []*apiv1.RaftMessage
	restoreSnapshot *apiv1.Snapshot
	inReady         Ready
}

// New restores a replica.
func New(c Config, from Restored) *Raft {
	r := &Raft{id: c.ID, electionTicks: c.ElectionTicks, heartbeatTicks: c.HeartbeatTicks, random: c.Rand}
	r.base = cloneMembership(from.Founders)
	if s := from.Snapshot; s != nil {
		r.log.reset(s.Index, s.Term)
		r.base = cloneMembership(s.Membership)
		r.snapshot = s
	}
	r.log.append(from.Entries...)
	r.log.stable = r.log.lastIndex()
	if h := from.HardState; h != nil {
		r.term, r.vote = h.Term, h.Vote
		r.log.committed = max(r.log.committed, min(h.Commit, r.log.lastIndex()))
	}
	r.saved = apiv1.HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
	r.loadMembership()
	r.becomeFollower(r.term, 0)
	// After a restart of all replicas nobody leads, and a full timeout would be
	// waited for nothing. Where a leader lives, the pre-vote fails and disturbs
	// nobody.
	r.timeout = 1 + r.random.IntN(r.electionTicks)
	return r
}

// Status is a view of the replica for operators and drivers.
type Status struct {
	ID, Term, Leader           uint64
	Role                       Role
	Commit, Applied, LastIndex uint64
	SnapshotIndex              uint64
	Membership                 *apiv1.Membership
	// Match is each member's replicated index; leader only.
	Match map[uint64]uint64
	// Silent is how many ticks ago each member last answered; leader only.
	Silent map[uint64]int
	// LeaderSilent is how many ticks ago a follower last heard its leader.
	LeaderSilent int
	// ConfigCommitted: the newest change of members is agreed.
	ConfigCommitted bool
}

// Voters counts the members that vote.
func (s Status) Voters() int {
	voters := 0
	for _, m := range s.Membership.GetMembers() {
		if !m.Learner {
			voters++
		}
	}
	return voters
}

// Status returns the replica's view.
func (r *Raft) Status() Status {
	s := Status{ID: r.id, Term: r.term, Leader: r.leader, Role: r.role, Commit: r.log.committed, Applied: r.log.applied,
		LastIndex: r.log.lastIndex(), SnapshotIndex: r.log.snapIndex, Membership: r.membership,
		LeaderSilent: r.electionElapsed, ConfigCommitted: r.configIndex <= r.log.committed}
	if r.role == Leader {
		s.Match, s.Silent, s.LeaderSilent = map[uint64]uint64{}, map[uint64]int{}, 0
		for id, p := range r.progress {
			s.Match[id] = p.match
			if id != r.id {
				s.Silent[id] = p.silent
			}
		}
	}
	return s
}

// Tick advances the replica's clock by one tick.
func (r *Raft) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.timeout {
		r.electionElapsed = 0
		r.campaign(true, false)
	}
}

// tickSnapshot gives a snapshot up when no answer came, so that a lost message
// does not leave the member without updates for ever.
func (r *Raft) tickSnapshot(p *progress) {
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
	for _, p := range append(r.unsentRead, r.reads...) {
		r.readyReads = append(r.readyReads, Read{Context: p.context, Failed: true})
	}
	r.unsentRead, r.reads, r.wantRound = nil, nil, false
}

// syncProgress makes progress cover exactly the members.
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

// Propose appends data to the leader's log and returns where. The entry is
// agreed on only when it comes back in Ready.Committed with the same term.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader || r.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	if r.log.lastIndex()-r.log.committed >= maxUncommitted {
		return 0, 0, ErrTooManyEntries
	}
	e := r.appendEntry(apiv1.EntryKind_ENTRY_KIND_CHANGE, data)
	r.broadcastAppend()
	return e.Index, e.Term, nil
}

// Read asks for a confirmed read. The answer comes in Ready.Reads.
func (r *Raft) Read(context uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if term, _ := r.log.term(r.log.committed); term != r.term {
		// Until an entry of its own term commits, a new leader does not know
		// how far the log was committed and could answer with the past.
		return ErrNotReady
	}
	r.unsentRead = append(r.unsentRead, pendingRead{context: context, index: r.log.committed})
	r.wantRound = true
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
