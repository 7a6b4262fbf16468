package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/consensus"
	"cactuspath/internal/controlclient"
)

// A group can manage its own membership. The founders are the replicas at the addresses that every
// process receives at the first start. Other replicas, and those that lost their disk, request to
// join. The leader maintains 2 × Tolerate + 1 voters: it admits a replica as a learner, promotes it
// once it has caught up, and removes a silent voter once another has replaced it. The new member
// votes before the silent one is removed, so that the number of tolerated failures never decreases.
const (
	// joinInterval is the interval at which a replica that is not a member requests to join. A
	// replica with an empty disk has to be a voter within seconds, and a request has only a few
	// hundred bytes.
	joinInterval = 200 * time.Millisecond
	joinTimeout  = time.Second
	// membershipInterval is the interval at which the leader checks the members.
	membershipInterval = 100 * time.Millisecond
	// silenceTimeout is the silence after which a voter counts as lost, so that the leader replaces
	// it. It is five missed heartbeats, and less than twice the shortest election timeout.
	silenceTimeout = time.Second
	// learnerRemovalTimeout is the silence after which a learner is removed. A learner does not
	// vote, so keeping it costs nothing but messages.
	learnerRemovalTimeout = 30 * time.Second
	// maxMembers limits the size of the group. The leader sends a copy of each entry to each
	// member, and no deployment needs more than nine voters.
	maxMembers = 15
)

// Group makes the replicas manage their membership themselves. If it is nil, operators do so with
// `cactusctl replica`.
type Group struct {
	// Tolerate is the number of members that may fail at the same time.
	Tolerate int
	// Control connects to the other replicas.
	Control *controlclient.Client
}

func (g *Group) voters() int { return 2*g.Tolerate + 1 }

var errGroupIncomplete = errors.New("the control group is incomplete: it has too few voters to tolerate the number of failures in the settings; retry in a second")

// complete reports whether a leader with status s may accept changes. Until the group has all its
// voters, a committed entry may be stored on too few disks to survive the loss of Tolerate members.
// A membership change affects at most one voter. If there is one voter more than needed, the latest
// membership change therefore need not be committed yet.
func (g *Group) complete(s consensus.Status) bool {
	if g == nil {
		return true
	}
	voters := s.Voters()
	return voters > g.voters() || voters == g.voters() && s.ConfigCommitted
}

// manageMembership requests to join the group while this replica is not a member. While it is the
// leader, it proposes the membership changes that the group needs.
func (r *Replica) manageMembership(ctx context.Context) {
	if r.options.Group == nil {
		return
	}
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	lastJoin := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s := r.Status()
		switch {
		case s.Role == consensus.Leader:
			r.reconcileMembers(ctx)
			r.voterLog.logSilent(s, r.options.Tick)
		case r.mayNeedToJoin(s) && time.Since(lastJoin) >= joinInterval:
			lastJoin = time.Now()
			r.requestJoin(ctx)
		}
	}
}

// mayNeedToJoin reports whether this replica is not a member, or may have been removed while it was
// disconnected. In the latter case, no other replica sends it the membership change.
func (r *Replica) mayNeedToJoin(s consensus.Status) bool {
	if consensus.FindMember(s.Membership, s.ID) == nil {
		return true
	}
	return time.Duration(s.TicksSinceLeader)*r.options.Tick > 2*silenceTimeout
}

func (r *Replica) requestJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	req := &apiv1.JoinRequest{MemberId: r.identity.MemberID, Name: r.options.Name, Address: r.options.Address}
	// The replicas at the configured addresses may all have been replaced.
	known := memberAddresses(r.Status().Membership)
	err := r.options.Group.Control.CallAmong(ctx, known, func(ctx context.Context, c *controlclient.Replica) error {
		if c.Address == r.options.Address {
			return fault.NotLeaderAt("")
		}
		_, err := c.Log.Join(ctx, connect.NewRequest(req))
		return err
	})
	r.joinLog.logResult(err)
}

// silentVoters returns the names of the voters that a leader with status s counts as lost.
func silentVoters(s consensus.Status, tick time.Duration) []string {
	var names []string
	for _, m := range s.Membership.GetMembers() {
		if isSilentVoter(s, m, tick) {
			names = append(names, m.Name)
		}
	}
	return names
}

// isSilentVoter reports whether a leader with status s counts a member as a voter that is lost.
func isSilentVoter(s consensus.Status, m *apiv1.Member, tick time.Duration) bool {
	return !m.Learner && m.Id != s.ID && silence(s, m, tick) >= silenceTimeout
}

// silence returns how long ago a member last replied to the leader.
func silence(s consensus.Status, m *apiv1.Member, tick time.Duration) time.Duration {
	return time.Duration(s.TicksSinceReply[m.Id]) * tick
}

// voterLogger logs when the number of silent voters changes. A group with a silent voter that no
// learner replaces tolerates one failure less.
type voterLogger struct{ silent int }

func (l *voterLogger) logSilent(s consensus.Status, tick time.Duration) {
	silent := silentVoters(s, tick)
	if len(silent) == l.silent {
		return
	}
	l.silent = len(silent)
	klog.InfoS("Silent voters of the control group", "voters", s.Voters(), "silent", silent)
}

// joinLogger logs the first of consecutive failures and the first success after them.
type joinLogger struct{ failing bool }

func (j *joinLogger) logResult(err error) {
	if (err != nil) == j.failing {
		return
	}
	j.failing = err != nil
	if err != nil {
		klog.InfoS("Waiting to be admitted to the control group", "err", err)
		return
	}
	klog.InfoS("Requested to be admitted to the control group")
}

// Join registers a replica that requests to join the group.
func (s replicaService) Join(_ context.Context, req *connect.Request[apiv1.JoinRequest]) (*connect.Response[apiv1.JoinResponse], error) {
	r, m := s.r, req.Msg
	if r.options.Group == nil {
		return nil, fault.New(fault.Invalid, errors.New("operators manage the members of this group; run `cactusctl replica add`"))
	}
	if err := (controlService{r}).requireLeader(); err != nil {
		return nil, err
	}
	if consensus.FindMember(r.Status().Membership, m.MemberId) != nil {
		return connect.NewResponse(&apiv1.JoinResponse{Member: true}), nil
	}
	r.joinRequests.put(&apiv1.Member{Id: m.MemberId, Name: m.Name, Address: m.Address})
	return connect.NewResponse(&apiv1.JoinResponse{}), nil
}

// reconcileMembers proposes the membership change that planMembers returns, if any.
func (r *Replica) reconcileMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, membershipInterval)
	defer cancel()
	_ = r.runInLoop(ctx, func() {
		change := planMembers(r.raft.Status(), r.joinRequests.pending(), r.options.Group.voters(), r.options.Tick)
		if change == nil {
			return
		}
		_, _, err := change.propose(r.raft)
		klog.InfoS("Change of control members", "replica", r.options.Name, "action", change.action.String(), "member", change.member.Name,
			"address", change.member.Address, "why", change.reason, "err", err)
	})
}

type memberAction int

const (
	admit memberAction = iota
	promote
	remove
)

func (a memberAction) String() string { return [...]string{"admit", "promote", "remove"}[a] }

type memberChange struct {
	action memberAction
	member *apiv1.Member
	reason string
}

func (c *memberChange) propose(raft *consensus.Raft) (index, term uint64, err error) {
	switch c.action {
	case admit:
		return raft.AddLearner(c.member.Id, c.member.Name, c.member.Address)
	case promote:
		return raft.Promote(c.member.Id)
	default:
		return raft.Remove(c.member.Id)
	}
}

// planMembers returns the next membership change, or nil if none is needed. It depends only on its
// arguments, the status of the leader and the pending requests to join, so that each rule can be
// tested separately.
func planMembers(s consensus.Status, joinRequests []*apiv1.Member, wanted int, tick time.Duration) *memberChange {
	if s.Role != consensus.Leader || !s.ConfigCommitted {
		return nil
	}
	var silentVoter, learner *apiv1.Member
	for _, m := range s.Membership.GetMembers() {
		switch {
		case m.Learner && silence(s, m, tick) > learnerRemovalTimeout:
			return &memberChange{remove, m, "the learner does not respond"}
		case m.Learner:
			if caughtUp(s, m) && silence(s, m, tick) < silenceTimeout && learner == nil {
				learner = m
			}
		case isSilentVoter(s, m, tick) && (silentVoter == nil || silence(s, m, tick) > silence(s, silentVoter, tick)):
			silentVoter = m
		}
	}
	if s.Voters() > wanted && silentVoter != nil {
		return &memberChange{remove, silentVoter, "silent, and replaced by another voter"}
	}
	if learner != nil && s.Voters() < wanted {
		return &memberChange{promote, learner, "too few voters"}
	}
	if learner != nil && silentVoter != nil && s.Voters() == wanted {
		return &memberChange{promote, learner, "replaces the silent voter " + silentVoter.Name}
	}
	for _, m := range joinRequests {
		if consensus.FindMember(s.Membership, m.Id) == nil && len(s.Membership.GetMembers()) < maxMembers {
			return &memberChange{admit, m, "requested to join"}
		}
	}
	return nil
}

// caughtUp reports whether a learner lacks at most a few entries. The consensus core checks this
// again on promotion.
func caughtUp(s consensus.Status, m *apiv1.Member) bool {
	return s.Match[m.Id] > 0 && s.Match[m.Id]+consensus.MaxPromotionLag >= s.LastIndex
}
