// Package operator runs operators' commands and queries against the control replicas.
// cactusctl and the project's demonstration, the tour, use it.
package operator

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	apiv1 "cactuspath/api/cactuspath/v1"
	"cactuspath/api/fault"
	"cactuspath/internal/controlclient"
)

// Client calls the control replicas on an operator's behalf.
type Client struct {
	Control *controlclient.Client
	// Name is the operator's name. The replicas use it only if no operators are
	// configured; otherwise the token identifies the operator.
	Name string
}

// NewChangeID returns a unique id for a change. If the outcome of a change is unknown,
// send it again with the same id: it is applied at most once, and the response is the
// result of the first time.
func NewChangeID() string { return ulid.Make().String() }

// Exit codes of cactusctl, for scripts.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnknown     = 5
	ExitUnreachable = 6
)

// OutcomeError is the error of a command that did not succeed. It holds the exit code
// of cactusctl and a message for the operator.
type OutcomeError struct {
	Code    int
	Message string
}

// Error returns the message for the operator.
func (e *OutcomeError) Error() string { return e.Message }

// ExitCode returns the exit code of cactusctl for a command that returned err.
func ExitCode(err error) int {
	var outcome *OutcomeError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &outcome):
		return outcome.Code
	}
	return ExitFailed
}

// Submit submits an estate text. It resends it with the same id until a response
// arrives or ctx ends, so that a lost response does not leave the outcome unknown.
func (c *Client) Submit(ctx context.Context, text []byte, base uint64, changeID string) (*apiv1.AuditRecord, error) {
	req := &apiv1.SubmitRequest{ChangeId: changeID, Operator: c.Name, BaseRevision: base, Text: text}
	return c.submitChange(ctx, changeID, func(ctx context.Context, r *controlclient.Replica) (*apiv1.AuditRecord, error) {
		resp, err := r.Command.Submit(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return resp.Msg.Record, nil
	})
}

// Drain announces a planned stop of a host, or cancels it if draining is false. Like
// Submit, it resends the change until a response arrives or ctx ends.
func (c *Client) Drain(ctx context.Context, host string, draining bool, changeID string) (*apiv1.AuditRecord, error) {
	req := &apiv1.DrainRequest{ChangeId: changeID, Operator: c.Name, Host: host, Draining: draining}
	return c.submitChange(ctx, changeID, func(ctx context.Context, r *controlclient.Replica) (*apiv1.AuditRecord, error) {
		resp, err := r.Command.Drain(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return resp.Msg.Record, nil
	})
}

// Evacuate evacuates a data centre, or cancels its evacuation if evacuated is false.
// Like Submit, it resends the change until a response arrives or ctx ends.
func (c *Client) Evacuate(ctx context.Context, dataCenter string, evacuated bool, changeID string) (*apiv1.AuditRecord, error) {
	req := &apiv1.EvacuateRequest{ChangeId: changeID, Operator: c.Name, DataCenter: dataCenter, Evacuated: evacuated}
	return c.submitChange(ctx, changeID, func(ctx context.Context, r *controlclient.Replica) (*apiv1.AuditRecord, error) {
		resp, err := r.Command.Evacuate(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return resp.Msg.Record, nil
	})
}

// submitChange sends a change repeatedly until it is accepted or rejected or ctx ends.
func (c *Client) submitChange(ctx context.Context, changeID string, send func(context.Context, *controlclient.Replica) (*apiv1.AuditRecord, error)) (*apiv1.AuditRecord, error) {
	var record *apiv1.AuditRecord
	err := c.Control.CallWithRetry(ctx, func(ctx context.Context, r *controlclient.Replica) error {
		answer, err := send(ctx, r)
		if err == nil {
			record = answer
		}
		return err
	})
	if err != nil {
		return nil, changeError(err, changeID)
	}
	return record, outcomeError(record)
}

// changeError converts the error of a change to an OutcomeError. The message says
// whether the change may have been accepted: it cannot have been if it was not allowed
// or there was no leader to receive it.
func changeError(err error, changeID string) error {
	switch kind, _ := fault.KindOf(err); kind {
	case fault.Unauthorized, fault.Invalid:
		return &OutcomeError{ExitRefused, "refused: " + errorMessage(err)}
	case fault.NotLeader:
		return &OutcomeError{ExitUnreachable, "no leader: a majority of the control replicas must run and reach each other; nothing was changed"}
	}
	if errors.Is(err, controlclient.ErrUnreachable) || connect.CodeOf(err) == connect.CodeUnavailable {
		return &OutcomeError{ExitUnreachable, "cannot reach the control replicas: " + errorMessage(err) +
			"; if a response was lost, the change may have been accepted; check with `cactusctl audit --change " + changeID + "`"}
	}
	return &OutcomeError{ExitUnknown, "outcome unknown: the change may or may not have been accepted; check with `cactusctl audit --change " + changeID +
		"`, or run the same command again with --change-id " + changeID}
}

func errorMessage(err error) string {
	var e *connect.Error
	if errors.As(err, &e) {
		return e.Message()
	}
	return err.Error()
}

func outcomeError(r *apiv1.AuditRecord) error {
	switch r.Outcome {
	case apiv1.Outcome_OUTCOME_ACCEPTED:
		return nil
	case apiv1.Outcome_OUTCOME_CONFLICT:
		return &OutcomeError{ExitConflict, fmt.Sprintf("conflict: the newest revision is %d, not the one this change is based on; nothing was changed. "+
			"See what came between with `cactusctl diff FILE`, then submit with --base %d", r.Revision, r.Revision)}
	case apiv1.Outcome_OUTCOME_ID_REUSED:
		return &OutcomeError{ExitRefused, "refused: this change id was used for another change; nothing was changed. Use a new id"}
	}
	return &OutcomeError{ExitRefused, "refused, nothing was changed:\n" + FormatProblems(r.Problems)}
}

// FormatProblems formats the errors in an estate text, one per line.
func FormatProblems(problems []*apiv1.Problem) string {
	var b strings.Builder
	for _, p := range problems {
		fmt.Fprintf(&b, "  line %d, column %d", p.Line, p.Column)
		if p.Field != "" {
			fmt.Fprintf(&b, ", field %s", p.Field)
		}
		fmt.Fprintf(&b, ": %s; %s\n", p.Message, p.Remedy)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// query calls the leader until it responds or ctx ends.
func query[T any](ctx context.Context, c *Client, call func(context.Context, *controlclient.Replica) (*connect.Response[T], error)) (*T, error) {
	var answer *T
	err := c.Control.CallWithRetry(ctx, func(ctx context.Context, r *controlclient.Replica) error {
		resp, err := call(ctx, r)
		if err == nil {
			answer = resp.Msg
		}
		return err
	})
	if err != nil {
		return nil, &OutcomeError{ExitUnreachable, "cannot reach the leader of the control replicas: " + errorMessage(err) + "; check that a majority of them runs"}
	}
	return answer, nil
}

// Status returns the newest revision, the number of nodes on which it is in force, and
// the state of hosts, data centres, relays and control replicas.
func (c *Client) Status(ctx context.Context) (*apiv1.StatusResponse, error) {
	return query(ctx, c, func(ctx context.Context, r *controlclient.Replica) (*connect.Response[apiv1.StatusResponse], error) {
		return r.Query.Status(ctx, connect.NewRequest(&apiv1.StatusRequest{}))
	})
}

// Show returns an institution's newest estate text.
func (c *Client) Show(ctx context.Context, institution string) (*apiv1.ShowResponse, error) {
	return query(ctx, c, func(ctx context.Context, r *controlclient.Replica) (*connect.Response[apiv1.ShowResponse], error) {
		return r.Query.Show(ctx, connect.NewRequest(&apiv1.ShowRequest{Institution: institution}))
	})
}

// Audit returns up to limit audit records of decided changes that follow the log index
// after or, if changeID is not empty, the record of that change.
func (c *Client) Audit(ctx context.Context, after uint64, changeID string, limit uint32) ([]*apiv1.AuditRecord, error) {
	resp, err := query(ctx, c, func(ctx context.Context, r *controlclient.Replica) (*connect.Response[apiv1.AuditResponse], error) {
		return r.Query.Audit(ctx, connect.NewRequest(&apiv1.AuditRequest{AfterIndex: after, ChangeId: changeID, Limit: limit}))
	})
	if err != nil {
		return nil, err
	}
	return resp.Records, nil
}

const pollInterval = 100 * time.Millisecond

// WaitInForce polls until the leader knows at least the given number of nodes, and at
// least one, and the revision is in force on all of them. The minimum is needed because
// a leader that was just elected does not know any nodes yet.
func (c *Client) WaitInForce(ctx context.Context, revision uint64, nodes int) (*apiv1.StatusResponse, error) {
	for {
		s, err := c.Status(ctx)
		if err != nil {
			return nil, err
		}
		if s.Revision >= revision && int(s.Nodes) >= max(1, nodes) && s.InForce == s.Nodes {
			return s, nil
		}
		if !waitForPoll(ctx) {
			return s, &OutcomeError{ExitFailed, fmt.Sprintf("revision %d is in force on %d of %d nodes only; see `cactusctl status`", revision, s.InForce, s.Nodes)}
		}
	}
}

// WaitDrained polls until the host reports that it is safe to stop.
func (c *Client) WaitDrained(ctx context.Context, host string) error {
	for {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		for _, n := range s.Draining {
			if n.Host == host && n.Drained {
				return nil
			}
		}
		if !waitForPoll(ctx) {
			return &OutcomeError{ExitFailed, fmt.Sprintf("the drain of %s is announced but not finished; see `cactusctl status`, or wait longer with --timeout", host)}
		}
	}
}

func waitForPoll(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pollInterval):
		return true
	}
}

// OutcomeText returns the words that describe the outcome of a change to operators.
func OutcomeText(o apiv1.Outcome) string {
	switch o {
	case apiv1.Outcome_OUTCOME_ACCEPTED:
		return "accepted"
	case apiv1.Outcome_OUTCOME_CONFLICT:
		return "conflict"
	case apiv1.Outcome_OUTCOME_ID_REUSED:
		return "refused (id used before)"
	}
	return "refused"
}
