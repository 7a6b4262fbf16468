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

// A group that forms by itself: the founders are the addresses that every
// process was given at the first start; the others, and those that lost their
// disk, ask to join. The leader keeps 2 × tolerate + 1 voters: it admits who
// asks as a learner, lets it vote once it has caught up, and takes out a voter
// that is silent once another stands in for it. The newcomer votes before the
// lost one goes, so that the losses that can be borne never fall below what
// they were.
const (
	// joinInterval is how often a replica that is no member asks again. An empty
	// one has to be a voter within seconds, and one question is a few hundred bytes.
	joinInterval = 200 * time.Millisecond
	joinTimeout  = time.Second
	// groupInterval is how often the leader looks at its members.
	groupInterval = 100 * time.Millisecond
	// silentAfter is when a voter counts as lost for the choice who stands in for
	// it: five missed heartbeats, below the shortest election timeout's double.
	silentAfter = time.Second
	// forgetLearnerAfter is when a learner that stopped answering is taken out; it
	// costs only messages until then.
	forgetLearnerAfter = 30 * time.Second
	// maxMembers bounds the group: each member is one more copy that the leader
	// sends, and no deployment asks for more than nine voters.
	maxMembers = 15
)

// Group makes a replica form its group by itself; nil leaves the members to
// operators (`cactusctl replica`).
type Group struct {
	// Tolerate is how many members may be lost at once.
	Tolerate int
	// Control reaches the other replicas.
	Control *controlclient.Client
}

func (g *Group) voters() int { return 2*g.Tolerate + 1 }

var errGroupForming = errors.New("the control group is not complete yet: it has too few voters to bear the losses that the settings name; ask again in a second")

// complete reports whether a leader with status s may accept changes. Until the
// group has all its voters, a committed entry may be stored on too few disks to
// survive the loss of Tolerate members. A membership change affects at most one
// voter, so with an extra voter the latest one need not be committed yet.
func (g *Group) complete(s consensus.Status) bool {
	if g == nil {
		return true
	}
	voters := s.Voters()
	return voters > g.voters() || voters == g.voters() && s.ConfigCommitted
}

// runGroup asks to join while this replica is no member, and keeps the members
// as they should be while it leads.
func (r *Replica) runGroup(ctx context.Context) {
	if r.options.Group == nil {
		return
	}
	ticker := time.NewTicker(groupInterval)
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
			r.keepMembers(ctx)
		case r.outside(s) && time.Since(lastJoin) >= joinInterval:
			lastJoin = time.Now()
			r.askToJoin(ctx)
		}
	}
}

// outside tells whether this replica is no member, or may have been taken out
// while it was away: then nobody sends it the change that says so.
func (r *Replica) outside(s consensus.Status) bool {
	if consensus.FindMember(s.Membership, s.ID) == nil {
		return true
	}
	return time.Duration(s.LeaderSilent)*r.options.Tick > 2*silentAfter
}

func (r *Replica) askToJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	req := &apiv1.JoinRequest{MemberId: r.identity.MemberID, Name: r.options.Name, Address: r.options.Address}
	err := r.options.Group.Control.Once(ctx, func(ctx context.Context, c *controlclient.Replica) error {
		if c.Address == r.options.Address {
			return fault.NotLeaderAt("")
		}
		_, err := c.Log.Join(ctx, connect.NewRequest(req))
		return err
	})
	r.joinState.report(err)
}

// joinReporter logs the first failure in a row and the success after it.
type joinReporter struct{ failing bool }

func (j *joinReporter) report(err error) {
	if (err != nil) == j.failing {
		return
	}
	j.failing = err != nil
	if err != nil {
		klog.InfoS("Waiting to be admitted to the control group", "err", err)
		return
	}
	klog.InfoS("Asked to be admitted to the control group")
}

// Join takes in a replica that wants to be a member.
func (s logService) Join(_ context.Context, req *connect.Request[apiv1.JoinRequest]) (*connect.Response[apiv1.JoinResponse], error) {
	r, m := s.r, req.Msg
	if r.options.Group == nil {
		return nil, fault.New(fault.Invalid, errors.New("members of this group are chosen by operators; run `cactusctl replica add`"))
	}
	if err := (control{r}).leading(); err != nil {
		return nil, err
	}
	if consensus.FindMember(r.Status().Membership, m.MemberId) != nil {
		return connect.NewResponse(&apiv1.JoinResponse{Member: true}), nil
	}
	r.joiners.put(&apiv1.Member{Id: m.MemberId, Name: m.Name, Address: m.Address})
	return connect.NewResponse(&apiv1.JoinResponse{}), nil
}

// keepMembers makes at most one change of members.
func (r *Replica) keepMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, groupInterval)
	defer cancel()
	_ = r.inLoop(ctx, func() {
		change := planMembers(r.raft.Status(), r.joiners.waiting(), r.options.Group.voters(), r.options.Tick)
		if change == nil {
			return
		}
		_, _, err := change.propose(r.raft)
		klog.InfoS("Change of control members", "replica", r.options.Name, "action", change.action.String(), "member", change.member.Name,
			"address", change.member.Address, "why", change.why, "err", err)
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
	why    string
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

// planMembers decides on the next change of members, or nil. It is a function
// of the leader's view only, so that each rule can be tested by itself.
func planMembers(s consensus.Status, joiners []*apiv1.Member, wanted int, tick time.Duration) *memberChange {
	if s.Role != consensus.Leader || !s.ConfigCommitted {
		return nil
	}
	silent := func(m *apiv1.Member) time.Duration { return time.Duration(s.Silent[m.Id]) * tick }
	var lost, learner *apiv1.Member
	for _, m := range s.Membership.GetMembers() {
		switch {
		case m.Learner && silent(m) > forgetLearnerAfter:
			return &memberChange{remove, m, "a learner that does not answer"}
		case m.Learner:
			if caughtUp(s, m) && silent(m) < silentAfter && learner == nil {
				learner = m
			}
		case m.Id != s.ID && silent(m) >= silentAfter && (lost == nil || silent(m) > silent(lost)):
			lost = m
		}
	}
	if s.Voters() > wanted && lost != nil {
		return &memberChange{remove, lost, "silent, and another votes in its place"}
	}
	if learner != nil && s.Voters() < wanted {
		return &memberChange{promote, learner, "too few voters"}
	}
	if learner != nil && lost != nil && s.Voters() == wanted {
		return &memberChange{promote, learner, "stands in for " + lost.Name}
	}
	for _, m := range joiners {
		if consensus.FindMember(s.Membership, m.Id) == nil && len(s.Membership.GetMembers()) < maxMembers {
			return &memberChange{admit, m, "asked to join"}
		}
	}
	return nil
}

// caughtUp: the learner holds all but a few entries. The core checks it again.
func caughtUp(s consensus.Status, m *apiv1.Member) bool {
	return s.Match[m.Id] > 0 && s.Match[m.Id]+consensus.CatchUpSlack >= s.LastIndex
}
