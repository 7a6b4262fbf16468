package replica

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/estate"
)

// commandService implements apiv1connect.OperatorCommandServiceHandler.
type commandService struct{ r *Replica }

// Submit commits an institution's text. If the text has problems, it returns them and changes
// nothing.
func (c commandService) Submit(ctx context.Context, req *connect.Request[apiv1.SubmitRequest]) (*connect.Response[apiv1.SubmitResponse], error) {
	operator, err := c.r.authenticate(req.Header(), req.Msg.Operator)
	if err != nil {
		return nil, err
	}
	if err := requireChangeID(req.Msg.ChangeId); err != nil {
		return nil, err
	}
	record, err := c.r.submit(ctx, operator, Submission{ID: req.Msg.ChangeId, BaseRevision: req.Msg.BaseRevision, Text: req.Msg.Text})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&apiv1.SubmitResponse{Record: record}), nil
}

func (r *Replica) submit(ctx context.Context, operator Operator, s Submission) (*apiv1.AuditRecord, error) {
	doc, problems := estate.Parse(s.Text)
	if len(problems) > 0 {
		return &apiv1.AuditRecord{Id: s.ID, Operator: operator.Name, What: "submit", Outcome: apiv1.Outcome_OUTCOME_REFUSED, Problems: estate.ProblemsToProto(problems)}, nil
	}
	if err := r.authorize(operator, doc.Institution); err != nil {
		return nil, err
	}
	change := newChange(s.ID, operator.Name)
	submit := &apiv1.SubmitChange{Institution: doc.Institution, BaseRevision: s.BaseRevision, TextGzip: estate.Gzip(s.Text), ContentId: s.ContentID}
	if len(s.Source) > 0 {
		submit.SourceGzip = estate.Gzip(s.Source)
	}
	change.Kind = &apiv1.Change_Submit{Submit: submit}
	r.mu.RLock()
	submit.Compiled = r.state.Compile(change, doc)
	r.mu.RUnlock()
	return r.propose(ctx, change)
}

// Drain announces the start or end of a host's planned stop.
func (c commandService) Drain(ctx context.Context, req *connect.Request[apiv1.DrainRequest]) (*connect.Response[apiv1.DrainResponse], error) {
	operator, err := c.r.hostOperator(req.Header(), req.Msg.Operator)
	if err != nil {
		return nil, err
	}
	if err := requireChangeID(req.Msg.ChangeId); err != nil {
		return nil, err
	}
	if req.Msg.Host == "" {
		return nil, fault.New(fault.Invalid, errors.New("no host is given; specify the host to drain"))
	}
	change := newChange(req.Msg.ChangeId, operator.Name)
	change.Kind = &apiv1.Change_Host{Host: &apiv1.HostChange{Host: req.Msg.Host, Draining: req.Msg.Draining}}
	record, err := c.r.propose(ctx, change)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&apiv1.DrainResponse{Record: record}), nil
}

// Evacuate starts or ends the evacuation of a data centre.
func (c commandService) Evacuate(ctx context.Context, req *connect.Request[apiv1.EvacuateRequest]) (*connect.Response[apiv1.EvacuateResponse], error) {
	operator, err := c.r.hostOperator(req.Header(), req.Msg.Operator)
	if err != nil {
		return nil, err
	}
	record, err := c.r.evacuate(ctx, operator, Evacuation{ID: req.Msg.ChangeId, DataCenter: req.Msg.DataCenter, Evacuated: req.Msg.Evacuated})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&apiv1.EvacuateResponse{Record: record}), nil
}

func (r *Replica) evacuate(ctx context.Context, operator Operator, e Evacuation) (*apiv1.AuditRecord, error) {
	if err := requireChangeID(e.ID); err != nil {
		return nil, err
	}
	if err := r.checkDataCenter(e.DataCenter); err != nil {
		return nil, fault.New(fault.Invalid, err)
	}
	change := newChange(e.ID, operator.Name)
	change.Kind = &apiv1.Change_DataCenter{DataCenter: &apiv1.DataCenterChange{DataCenter: e.DataCenter, Evacuated: e.Evacuated}}
	return r.propose(ctx, change)
}

// checkDataCenter rejects unknown data centres. Otherwise, an evacuation with a misspelled name
// would be acknowledged but have no effect.
func (r *Replica) checkDataCenter(name string) error {
	known := r.options.DataCenters
	switch {
	case slices.Contains(known, name):
		return nil
	case len(known) > 0:
		return errors.Newf("no data centre is named %q; use one of %s, or add it to dataCenters in the control replicas' settings", name, strings.Join(known, ", "))
	case !estate.ValidName(name):
		return errors.Newf("%q is no name of a data centre; %s", name, estate.NameRemedy)
	}
	return nil
}

// ChangeReplica adds, promotes or removes one member.
func (c commandService) ChangeReplica(ctx context.Context, req *connect.Request[apiv1.ChangeReplicaRequest]) (*connect.Response[apiv1.ChangeReplicaResponse], error) {
	if _, err := c.r.hostOperator(req.Header(), req.Msg.Operator); err != nil {
		return nil, err
	}
	if err := c.r.changeMember(ctx, req.Msg); err != nil {
		return nil, err
	}
	return connect.NewResponse(&apiv1.ChangeReplicaResponse{Membership: c.r.Status().Membership}), nil
}

func (r *Replica) changeMember(ctx context.Context, m *apiv1.ChangeReplicaRequest) error {
	var index uint64
	var changeErr error
	err := r.runInLoop(ctx, func() {
		switch m.Action {
		case apiv1.ChangeReplicaRequest_ACTION_ADD_LEARNER:
			index, _, changeErr = r.raft.AddLearner(m.MemberId, m.Name, m.Address)
		case apiv1.ChangeReplicaRequest_ACTION_PROMOTE:
			index, _, changeErr = r.raft.Promote(m.MemberId)
		case apiv1.ChangeReplicaRequest_ACTION_REMOVE:
			index, _, changeErr = r.raft.Remove(m.MemberId)
		default:
			changeErr = fault.New(fault.Invalid, errors.New("no action is given; use add, promote or remove"))
		}
	})
	if err == nil {
		err = changeErr
	}
	if err != nil {
		return r.toFault(err)
	}
	return r.waitApplied(ctx, index)
}

func requireChangeID(id string) error {
	if id == "" {
		return fault.New(fault.Invalid, errors.New("the change has no id; set one, so that the change can be retried safely"))
	}
	return nil
}

func newChange(id, operator string) *apiv1.Change {
	return &apiv1.Change{Id: id, Operator: operator, UnixMs: time.Now().UnixMilli()}
}
