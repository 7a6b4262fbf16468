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

// leading is the view of a leader with id 1 of a group that tolerates two losses.
func leading(members ...*apiv1.Member) consensus.Status {
	return consensus.Status{ID: 1, Role: consensus.Leader, ConfigCommitted: true, LastIndex: 10, Membership: &apiv1.Membership{Members: members},
		Match: map[uint64]uint64{}, Silent: map[uint64]int{}}
}

func voters(ids ...uint64) []*apiv1.Member {
	var list []*apiv1.Member
	for _, id := range ids {
		list = append(list, &apiv1.Member{Id: id, Name: string(rune('a' + id))})
	}
	return list
}

func learner(id uint64) *apiv1.Member { return &apiv1.Member{Id: id, Name: "new", Learner: true} }

// The leader's choice of the next change of members. A lost voter is taken out
// only after another votes in its place: the other way round, one more loss in
// between would stop the group for good.
func TestPlanMembers(t *testing.T) {
	const wanted = 5
	cases := []struct {
		desc    string
		status  func() consensus.Status
		joiners []*apiv1.Member
		want    *memberChange
	}{
		{"three founders admit who asks", func() consensus.Status { return leading(voters(1, 2, 3)...) }, voters(4),
			&memberChange{action: admit, member: voters(4)[0]}},
		{"a learner that has caught up votes while there are too few", func() consensus.Status {
			s := leading(append(voters(1, 2, 3), learner(4))...)
			s.Match[4] = 10
			return s
		}, nil, &memberChange{action: promote, member: learner(4)}},
		{"one that has nothing yet does not", func() consensus.Status { return leading(append(voters(1, 2, 3), learner(4))...) }, nil, nil},
		{"a learner waits while all voters answer", func() consensus.Status {
			s := leading(append(voters(1, 2, 3, 4, 5), learner(6))...)
			s.Match[6] = 10
			return s
		}, nil, nil},
		{"it stands in for a silent voter", func() consensus.Status {
			s := leading(append(voters(1, 2, 3, 4, 5), learner(6))...)
			s.Match[6], s.Silent[3] = 10, ticks(2*time.Second)
			return s
		}, nil, &memberChange{action: promote, member: learner(6)}},
		{"the silent voter goes after that", func() consensus.Status {
			s := leading(voters(1, 2, 3, 4, 5, 6)...)
			s.Silent[3] = ticks(2 * time.Second)
			return s
		}, nil, &memberChange{action: remove, member: voters(3)[0]}},
		{"of two silent ones the longer", func() consensus.Status {
			s := leading(voters(1, 2, 3, 4, 5, 6)...)
			s.Silent[3], s.Silent[4] = ticks(2*time.Second), ticks(3*time.Second)
			return s
		}, nil, &memberChange{action: remove, member: voters(4)[0]}},
		{"a silent voter stays while nobody stands in", func() consensus.Status {
			s := leading(voters(1, 2, 3, 4, 5)...)
			s.Silent[3] = ticks(time.Minute)
			return s
		}, nil, nil},
		{"one change at a time", func() consensus.Status {
			s := leading(voters(1, 2, 3)...)
			s.ConfigCommitted = false
			return s
		}, voters(4), nil},
		{"a follower changes nothing", func() consensus.Status {
			s := leading(voters(1, 2, 3)...)
			s.Role = consensus.Follower
			return s
		}, voters(4), nil},
		{"a learner that is gone for long is forgotten", func() consensus.Status {
			s := leading(append(voters(1, 2, 3, 4, 5), learner(6))...)
			s.Silent[6] = ticks(time.Minute)
			return s
		}, nil, &memberChange{action: remove, member: learner(6)}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			got := planMembers(c.status(), c.joiners, wanted, tick)
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

func TestPresenceKeepsTheNewestClaimAndDropsWhoLeft(t *testing.T) {
	p := newPresence()
	claim := func(sequence uint64, state apiv1.EndpointState) *apiv1.Entry {
		return &apiv1.Entry{Host: "h", Incarnation: 1, Sequence: sequence, State: state}
	}
	p.put(claim(2, apiv1.EndpointState_ENDPOINT_STATE_SERVING))
	p.put(claim(1, apiv1.EndpointState_ENDPOINT_STATE_DRAINING))
	assert.Equal(t, all(p)[0].Sequence, uint64(2))
	p.put(claim(3, apiv1.EndpointState_ENDPOINT_STATE_DEPARTED))
	assert.Equal(t, len(all(p)), 0)
	p.put(nil)
}

// all are the claims that a node hears of that has heard of none.
func all(p *presence) []*apiv1.Entry {
	list, _ := p.since(nil)
	return list
}
