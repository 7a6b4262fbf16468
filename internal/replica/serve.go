package replica

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/api/fault"
	"cactuspath/internal/transport"
)

// maxStepBytes limits the messages of another replica. A snapshot holds the whole state.
const maxStepBytes = 256 << 20

// Handler returns the handler for all services of a control replica.
func (r *Replica) Handler() http.Handler {
	m := http.NewServeMux()
	limit := transport.ReadLimit()
	m.Handle(apiv1connect.NewReplicaServiceHandler(replicaService{r}, connect.WithReadMaxBytes(maxStepBytes)))
	m.Handle(apiv1connect.NewControlServiceHandler(controlService{r}, limit))
	m.Handle(apiv1connect.NewOperatorCommandServiceHandler(commandService{r}, limit))
	m.Handle(apiv1connect.NewOperatorQueryServiceHandler(queryService{r}, limit))
	return m
}

// replicaService implements apiv1connect.ReplicaServiceHandler.
type replicaService struct{ r *Replica }

// Step queues messages from another replica.
func (s replicaService) Step(ctx context.Context, req *connect.Request[apiv1.StepRequest]) (*connect.Response[apiv1.StepResponse], error) {
	s.r.peers.heard(req.Msg.From, req.Msg.FromAddress, time.Now())
	select {
	case s.r.inbox <- req.Msg.Messages:
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, ctx.Err())
	case <-s.r.done:
		return nil, fault.New(fault.Unavailable, errStopped)
	}
	return connect.NewResponse(&apiv1.StepResponse{}), nil
}

// LogStatus returns the member ID of this replica and the progress of its log.
func (s replicaService) LogStatus(context.Context, *connect.Request[apiv1.LogStatusRequest]) (*connect.Response[apiv1.LogStatusResponse], error) {
	return connect.NewResponse(s.r.logStatus()), nil
}

// controlService implements apiv1connect.ControlServiceHandler.
type controlService struct{ r *Replica }

// FindRelays returns relays to a node that has none. Only the leader does so, because the relays of
// a data centre must be counted in one place.
func (c controlService) FindRelays(_ context.Context, req *connect.Request[apiv1.FindRelaysRequest]) (*connect.Response[apiv1.FindRelaysResponse], error) {
	if err := c.requireLeader(); err != nil {
		return nil, err
	}
	c.r.counters.findRelays.Add(1)
	return connect.NewResponse(c.r.relays.assign(req.Msg)), nil
}

// Quarantine processes the messages of a node about servers that crashed, and returns the replies
// to it.
func (c controlService) Quarantine(_ context.Context, req *connect.Request[apiv1.QuarantineExchange]) (*connect.Response[apiv1.QuarantineExchange], error) {
	return connect.NewResponse(&apiv1.QuarantineExchange{Messages: c.r.quarantine.Answer(req.Msg.Messages)}), nil
}

// RelaySync stores the report of a relay and returns the changes since its revision. It calls
// readBarrier first, so that the relay knows that it has the newest revision.
func (c controlService) RelaySync(ctx context.Context, req *connect.Request[apiv1.RelaySyncRequest]) (*connect.Response[apiv1.RelaySyncResponse], error) {
	if err := c.r.readBarrier(ctx); err != nil {
		return nil, err
	}
	c.r.counters.relaySyncs.Add(1)
	list, digest, advice := c.r.relays.sync(req.Msg)
	resp := &apiv1.RelaySyncResponse{StepDown: advice.stepDown, MoreRelays: advice.moreRelays}
	if digest == req.Msg.RelaysDigest {
		resp.RelaysUnchanged = true
	} else {
		resp.Relays = list
	}
	c.r.mu.RLock()
	resp.Delta = c.r.state.Records().Delta(req.Msg.Revision)
	c.r.mu.RUnlock()
	return connect.NewResponse(resp), nil
}

func (c controlService) requireLeader() error {
	if s := c.r.Status(); s.Leader != s.ID {
		return fault.NotLeaderAt(c.r.leaderAddress())
	}
	return nil
}
