package replica

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/cactuspath/v1/apiv1connect"
	"cactuspath/api/fault"
)

// Handler serves everything a control replica offers over HTTP.
func (r *Replica) Handler() http.Handler {
	m := http.NewServeMux()
	m.Handle(apiv1connect.NewReplicaServiceHandler(logService{r}))
	m.Handle(apiv1connect.NewControlServiceHandler(control{r}))
	m.Handle(apiv1connect.NewOperatorCommandServiceHandler(commands{r}))
	m.Handle(apiv1connect.NewOperatorQueryServiceHandler(queries{r}))
	return m
}

// logService serves apiv1connect.ReplicaServiceHandler.
type logService struct{ r *Replica }

// Step takes in messages from another replica.
func (s logService) Step(ctx context.Context, req *connect.Request[apiv1.StepRequest]) (*connect.Response[apiv1.StepResponse], error) {
	s.r.peers.hear(req.Msg.From, req.Msg.FromAddress)
	select {
	case s.r.inbox <- req.Msg.Messages:
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, ctx.Err())
	case <-s.r.done:
		return nil, fault.New(fault.Unavailable, errStopped)
	}
	return connect.NewResponse(&apiv1.StepResponse{}), nil
}

// LogStatus tells which member this replica is and how far its log goes.
func (s logService) LogStatus(context.Context, *connect.Request[apiv1.LogStatusRequest]) (*connect.Response[apiv1.LogStatusResponse], error) {
	return connect.NewResponse(s.r.logStatus()), nil
}

// control serves apiv1connect.ControlServiceHandler.
type control struct{ r *Replica }

// FindRelays answers a node that has no relay. Only the leader answers, so
// that one replica counts a data centre's relays.
func (c control) FindRelays(_ context.Context, req *connect.Request[apiv1.FindRelaysRequest]) (*connect.Response[apiv1.FindRelaysResponse], error) {
	if err := c.leading(); err != nil {
		return nil, err
	}
	c.r.counters.findRelays.Add(1)
	return connect.NewResponse(c.r.relays.find(req.Msg)), nil
}

// Quarantine exchanges what a node and this replica know of servers that ended.
func (c control) Quarantine(_ context.Context, req *connect.Request[apiv1.QuarantineExchange]) (*connect.Response[apiv1.QuarantineExchange], error) {
	return connect.NewResponse(&apiv1.QuarantineExchange{Messages: c.r.quarantine.Answer(req.Msg.Messages)}), nil
}

// RelaySync gives a relay what changed since its revision, confirmed.
func (c control) RelaySync(ctx context.Context, req *connect.Request[apiv1.RelaySyncRequest]) (*connect.Response[apiv1.RelaySyncResponse], error) {
	if err := c.r.confirm(ctx); err != nil {
		return nil, err
	}
	c.r.counters.relaySyncs.Add(1)
	list, digest, advice := c.r.relays.sync(req.Msg)
	resp := &apiv1.RelaySyncResponse{StepDown: advice.stepDown, MoreRelays: advice.more}
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

func (c control) leading() error {
	if s := c.r.Status(); s.Leader != s.ID {
		return fault.NotLeaderAt(c.r.leaderAddress())
	}
	return nil
}
