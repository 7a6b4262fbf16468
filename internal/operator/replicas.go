package operator

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/consensus"
	"cactuspath/internal/controlclient"
)

const memberPollInterval = 200 * time.Millisecond

// AddReplica admits the replica that waits at an address to the control group: first as
// a learner, and as a voter once it has caught up with the log.
func (c *Client) AddReplica(ctx context.Context, address string) (*apiv1.Membership, error) {
	waiting, err := c.waitingReplica(ctx, address)
	if err != nil {
		return nil, err
	}
	members, err := c.changeReplica(ctx, &apiv1.ChangeReplicaRequest{Action: apiv1.ChangeReplicaRequest_ACTION_ADD_LEARNER,
		MemberId: waiting.MemberId, Name: waiting.Name, Address: address})
	if err != nil {
		return nil, err
	}
	if m := consensus.FindMember(members, waiting.MemberId); m != nil && !m.Learner {
		return members, nil
	}
	return c.changeReplica(ctx, &apiv1.ChangeReplicaRequest{Action: apiv1.ChangeReplicaRequest_ACTION_PROMOTE, MemberId: waiting.MemberId})
}

// ReplaceReplica admits the replica that waits at an address and then removes the lost
// replica with the given name. The new replica becomes a voter before the old one is
// removed, so that the number of failures that the group tolerates never decreases.
func (c *Client) ReplaceReplica(ctx context.Context, name, address string) (*apiv1.Membership, error) {
	lost, err := c.findMemberID(ctx, name, address)
	if err != nil {
		return nil, err
	}
	if _, err := c.AddReplica(ctx, address); err != nil {
		return nil, err
	}
	return c.changeReplica(ctx, &apiv1.ChangeReplicaRequest{Action: apiv1.ChangeReplicaRequest_ACTION_REMOVE, MemberId: lost})
}

// RemoveReplica removes a replica by name.
func (c *Client) RemoveReplica(ctx context.Context, name string) (*apiv1.Membership, error) {
	id, err := c.findMemberID(ctx, name, "")
	if err != nil {
		return nil, err
	}
	return c.changeReplica(ctx, &apiv1.ChangeReplicaRequest{Action: apiv1.ChangeReplicaRequest_ACTION_REMOVE, MemberId: id})
}

func (c *Client) waitingReplica(ctx context.Context, address string) (*apiv1.LogStatusResponse, error) {
	resp, err := c.Control.At(address).Log.LogStatus(ctx, connect.NewRequest(&apiv1.LogStatusRequest{}))
	if err != nil {
		return nil, &OutcomeError{ExitUnreachable, fmt.Sprintf("cannot reach the replica at %s: %s; start it with an empty data folder first", address, errorMessage(err))}
	}
	return resp.Msg, nil
}

// findMemberID returns the id of the member with the given name. If two members have
// the name because a replacement was only half finished, it returns the one that is not
// the replica at address.
func (c *Client) findMemberID(ctx context.Context, name, address string) (uint64, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return 0, err
	}
	newID := uint64(0)
	if address != "" {
		waiting, err := c.waitingReplica(ctx, address)
		if err != nil {
			return 0, err
		}
		newID = waiting.MemberId
	}
	for _, m := range s.Log.Membership.GetMembers() {
		if m.Name == name && m.Id != newID {
			return m.Id, nil
		}
	}
	return 0, &OutcomeError{ExitRefused, fmt.Sprintf("no member is named %s; `cactusctl status` lists them", name)}
}

// changeReplica repeats a membership change until it is done, since the leader refuses
// it while another one is in progress or a learner is catching up.
func (c *Client) changeReplica(ctx context.Context, req *apiv1.ChangeReplicaRequest) (*apiv1.Membership, error) {
	req.Operator = c.Name
	for {
		var members *apiv1.Membership
		err := c.Control.CallWithRetry(ctx, func(ctx context.Context, r *controlclient.Replica) error {
			resp, err := r.Command.ChangeReplica(ctx, connect.NewRequest(req))
			if err == nil {
				members = resp.Msg.Membership
			}
			return err
		})
		if err == nil {
			return members, nil
		}
		if done, members := c.alreadyDone(ctx, req); done {
			return members, nil
		}
		kind, _ := fault.KindOf(err)
		if kind != fault.NotCaughtUp && kind != fault.ChangePending {
			return nil, &OutcomeError{ExitRefused, "refused: " + errorMessage(err)}
		}
		select {
		case <-ctx.Done():
			return nil, &OutcomeError{ExitUnknown, "timed out: " + errorMessage(err) + "; run the same command again"}
		case <-time.After(memberPollInterval):
		}
	}
}

// alreadyDone reports whether the membership is already as requested, as after an
// earlier try that was accepted but whose response was lost.
func (c *Client) alreadyDone(ctx context.Context, req *apiv1.ChangeReplicaRequest) (bool, *apiv1.Membership) {
	s, err := c.Status(ctx)
	if err != nil {
		return false, nil
	}
	members := s.Log.Membership
	m := consensus.FindMember(members, req.MemberId)
	switch req.Action {
	case apiv1.ChangeReplicaRequest_ACTION_ADD_LEARNER:
		return m != nil, members
	case apiv1.ChangeReplicaRequest_ACTION_PROMOTE:
		return m != nil && !m.Learner, members
	case apiv1.ChangeReplicaRequest_ACTION_REMOVE:
		return m == nil, members
	}
	return false, nil
}
