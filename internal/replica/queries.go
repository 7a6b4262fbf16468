package replica

import (
	"context"

	"connectrpc.com/connect"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/core/consensus"
	"cactuspath/core/estate"
)

// queryService implements apiv1connect.OperatorQueryServiceHandler. Queries for the newest state
// first call readBarrier, so that they do not return an outdated state.
type queryService struct{ r *Replica }

const maxAuditRecords = 1000

// Check validates an estate text and returns its problems. It changes nothing.
func (q queryService) Check(_ context.Context, req *connect.Request[apiv1.CheckRequest]) (*connect.Response[apiv1.CheckResponse], error) {
	_, problems := estate.Parse(req.Msg.Text)
	return connect.NewResponse(&apiv1.CheckResponse{Problems: estate.ProblemsToProto(problems)}), nil
}

// Status returns the newest revision, on how many nodes it is in force and which nodes do not have
// it, and the state of hosts, data centres and relays.
func (q queryService) Status(ctx context.Context, _ *connect.Request[apiv1.StatusRequest]) (*connect.Response[apiv1.StatusResponse], error) {
	if err := q.r.readBarrier(ctx); err != nil {
		return nil, err
	}
	resp := &apiv1.StatusResponse{Log: q.r.logStatus()}
	q.r.mu.RLock()
	resp.Revision = q.r.state.Revision()
	resp.Hosts = q.r.state.Records().Hosts()
	resp.DataCenters = q.r.state.Records().DataCenters()
	resp.Accounts = accountStatus(q.r.state.Records().Accounts())
	q.r.mu.RUnlock()
	q.r.relays.summarize(resp.Revision, resp)
	return connect.NewResponse(resp), nil
}

// accountStatus returns the accounts without their keys.
func accountStatus(accounts []*apiv1.AccountRecord) []*apiv1.AccountStatus {
	var list []*apiv1.AccountStatus
	for _, a := range accounts {
		list = append(list, &apiv1.AccountStatus{Name: a.Name, Institution: a.Institution, ChangedAt: a.ChangedAt, Keys: uint32(len(a.Spec.GetKeyDigests())),
			RequestsPerSecond: a.Spec.GetRequestsPerSecond(), Burst: a.Spec.GetBurst()})
	}
	return list
}

// Show returns the newest accepted text of an institution.
func (q queryService) Show(ctx context.Context, req *connect.Request[apiv1.ShowRequest]) (*connect.Response[apiv1.ShowResponse], error) {
	if err := q.r.readBarrier(ctx); err != nil {
		return nil, err
	}
	q.r.mu.RLock()
	defer q.r.mu.RUnlock()
	resp := &apiv1.ShowResponse{Institutions: q.r.state.Institutions()}
	if doc := q.r.state.Document(req.Msg.Institution); doc != nil {
		text, err := estate.Gunzip(doc.TextGzip)
		if err != nil {
			return nil, fault.New(fault.Unavailable, err)
		}
		resp.Revision, resp.Text = doc.Revision, text
	}
	return connect.NewResponse(resp), nil
}

// Audit returns the records of decided changes, oldest first.
func (q queryService) Audit(ctx context.Context, req *connect.Request[apiv1.AuditRequest]) (*connect.Response[apiv1.AuditResponse], error) {
	if err := q.r.readBarrier(ctx); err != nil {
		return nil, err
	}
	limit := int(req.Msg.Limit)
	if limit == 0 || limit > maxAuditRecords {
		limit = maxAuditRecords
	}
	q.r.mu.RLock()
	defer q.r.mu.RUnlock()
	if req.Msg.ChangeId != "" {
		resp := &apiv1.AuditResponse{}
		if record := q.r.state.Outcome(req.Msg.ChangeId); record != nil {
			resp.Records = append(resp.Records, record)
		}
		return connect.NewResponse(resp), nil
	}
	return connect.NewResponse(&apiv1.AuditResponse{Records: q.r.state.Audit(req.Msg.AfterIndex, limit)}), nil
}

func (r *Replica) logStatus() *apiv1.LogStatusResponse {
	s := r.Status()
	resp := &apiv1.LogStatusResponse{
		MemberId: s.ID, Name: r.options.Name, Term: s.Term, Commit: s.Commit, Applied: s.Applied,
		LeaderId: s.Leader, Admitted: consensus.FindMember(s.Membership, s.ID) != nil, Membership: s.Membership,
	}
	if m := consensus.FindMember(s.Membership, s.Leader); m != nil {
		resp.LeaderAddress = m.Address
	}
	return resp
}
