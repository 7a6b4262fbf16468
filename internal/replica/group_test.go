package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/core/consensus"
)

const tick = 50 * time.Millisecond

func ticks(d time.Duration) int { return int(d / tick) }

// newLeaderStatus returns the status of member 1 as the leader of a group with the given members.
func newLeaderStatus(members ...*apiv1.Member) consensus.Status {
	return consensus.Status{ID: 1, Role: consensus.Leader, ConfigCommitted: true, LastIndex: 10, Membership: &apiv1.Membership{Members: members},
		Match: map[uint64]uint64{}, TicksSinceReply: map[uint64]int{}}
}

func voters(ids ...uint64) []*apiv1.Member {
	var list []*apiv1.Member
	for _, id := range ids {
		list = append(list, &apiv1.Member{Id: id, Name: string(rune('a' + id))})
	}
	return list
}

func learner(id uint64) *apiv1.Member { return &apiv1.Member{Id: id, Name: "new", Learner: true} }

// Guards against wrong membership changes. In particular, a silent voter must not be removed before
// another votes in its place: one more loss in between would stop the group permanently.
func TestPlanMembers(t *testing.T) {
	const wanted = 5
	cases := []struct {
		desc         string
		status       func() consensus.Status
		joinRequests []*apiv1.Member
		want         *memberChange
	}{
		{"three founders admit a replica that requests to join", func() consensus.Status { return newLeaderStatus(voters(1, 2, 3)...) }, voters(4),
			&memberChange{action: admit, member: voters(4)[0]}},
		{"learner that has caught up is promoted if there are too few voters", func() consensus.Status {
			s := newLeaderStatus(append(voters(1, 2, 3), learner(4))...)
			s.Match[4] = 10
			return s
		}, nil, &memberChange{action: promote, member: learner(4)}},
		{"learner without entries is not promoted", func() consensus.Status { return newLeaderStatus(append(voters(1, 2, 3), learner(4))...) }, nil, nil},
		{"learner is not promoted if all voters respond", func() consensus.Status {
			s := newLeaderStatus(append(voters(1, 2, 3, 4, 5), learner(6))...)
			s.Match[6] = 10
			return s
		}, nil, nil},
		{"learner replaces a silent voter", func() consensus.Status {
			s := newLeaderStatus(append(voters(1, 2, 3, 4, 5), learner(6))...)
			s.Match[6], s.TicksSinceReply[3] = 10, ticks(2*time.Second)
			return s
		}, nil, &memberChange{action: promote, member: learner(6)}},
		{"replaced silent voter is removed", func() consensus.Status {
			s := newLeaderStatus(voters(1, 2, 3, 4, 5, 6)...)
			s.TicksSinceReply[3] = ticks(2 * time.Second)
			return s
		}, nil, &memberChange{action: remove, member: voters(3)[0]}},
		{"of two silent voters, the one with the longer silence is removed", func() consensus.Status {
			s := newLeaderStatus(voters(1, 2, 3, 4, 5, 6)...)
			s.TicksSinceReply[3], s.TicksSinceReply[4] = ticks(2*time.Second), ticks(3*time.Second)
			return s
		}, nil, &memberChange{action: remove, member: voters(4)[0]}},
		{"silent voter stays if there is no replacement", func() consensus.Status {
			s := newLeaderStatus(voters(1, 2, 3, 4, 5)...)
			s.TicksSinceReply[3] = ticks(time.Minute)
			return s
		}, nil, nil},
		{"no change before the last one is committed", func() consensus.Status {
			s := newLeaderStatus(voters(1, 2, 3)...)
			s.ConfigCommitted = false
			return s
		}, voters(4), nil},
		{"follower makes no changes", func() consensus.Status {
			s := newLeaderStatus(voters(1, 2, 3)...)
			s.Role = consensus.Follower
			return s
		}, voters(4), nil},
		{"learner with a long silence is removed", func() consensus.Status {
			s := newLeaderStatus(append(voters(1, 2, 3, 4, 5), learner(6))...)
			s.TicksSinceReply[6] = ticks(time.Minute)
			return s
		}, nil, &memberChange{action: remove, member: learner(6)}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			got := planMembers(c.status(), c.joinRequests, wanted, tick)
			if c.want == nil {
				assert.Assert(t, got == nil, "%+v", got)
				return
			}
			assert.Assert(t, got != nil)
			assert.Equal(t, got.action, c.want.action)
			assert.Equal(t, got.member.Id, c.want.member.Id)
		})
	}
}

func TestPresenceKeepsNewestEntryAndDropsDeparted(t *testing.T) {
	p := newPresence()
	newEntry := func(sequence uint64, state apiv1.EndpointState) *apiv1.Entry {
		return &apiv1.Entry{Host: "h", Incarnation: 1, Sequence: sequence, State: state}
	}
	p.put(newEntry(2, apiv1.EndpointState_ENDPOINT_STATE_SERVING))
	p.put(newEntry(1, apiv1.EndpointState_ENDPOINT_STATE_DRAINING))
	assert.Equal(t, allEntries(p)[0].Sequence, uint64(2))
	p.put(newEntry(3, apiv1.EndpointState_ENDPOINT_STATE_DEPARTED))
	assert.Equal(t, len(allEntries(p)), 0)
	p.put(nil)
}

// allEntries returns the entries that a node without a cursor receives.
func allEntries(p *presence) []*apiv1.Entry {
	list, _ := p.changedSince(nil)
	return list
}
