// Package fault names every kind of failure that crosses a process boundary,
// so that callers and scripts can tell them apart without reading prose.
//
// On the callers' side a fault is an HTTP answer with the header Cactus-Fault
// and a JSON body; between our processes it is a connect error with the same
// header. Messages name the remedy.
package fault

import (
	"errors"

	"connectrpc.com/connect"
)

// Kind is one kind of failure.
type Kind string

// Kinds that a caller of a service may receive.
const (
	// NotRun: the request did not run at any backend server. Safe to repeat.
	NotRun Kind = "not-run"
	// Overloaded: not run, since every gate asked was full. Retry-After tells when to come back.
	Overloaded Kind = "overloaded"
	// OutcomeUnknown: the request may have run. Repeat only if it is idempotent.
	OutcomeUnknown Kind = "outcome-unknown"
	// Interrupted: the answer ended early; the request ran at least in part.
	Interrupted Kind = "interrupted"
	// NoSuchService: no service claims this host and path. Not run.
	NoSuchService Kind = "no-such-service"
	// NoEndpoint: the service has no endpoint that can be reached. Not run.
	NoEndpoint Kind = "no-endpoint"
	// DeadlinePassed: the request could not have ended before its deadline. Not run.
	DeadlinePassed Kind = "deadline-passed"
	// Quarantined: backend servers have ended under requests with this content, so that no
	// other one gets it for a while. Not run.
	Quarantined Kind = "quarantined"
	// Malformed: the request is not acceptable HTTP. Not run.
	Malformed Kind = "malformed"
	// TooLarge: the body exceeds the service's limit.
	TooLarge Kind = "too-large"
	// NotReady: this node has no configuration yet. Not run.
	NotReady Kind = "not-ready"
)

// Kinds between our processes and towards operators.
const (
	NotLeader     Kind = "not-leader"
	Unknown       Kind = "unknown"
	Unauthorized  Kind = "unauthorized"
	Invalid       Kind = "invalid"
	Unavailable   Kind = "unavailable"
	NotCaughtUp   Kind = "not-caught-up"
	ChangePending Kind = "change-pending"
)

const (
	// Header carries the kind, on answers to callers and on connect errors.
	Header = "Cactus-Fault"
	// LeaderHeader carries the leader's address on a NotLeader error.
	LeaderHeader = "Cactus-Leader"
)

// Ran tells whether a request that ended with this kind may have run.
func (k Kind) Ran() bool { return k == OutcomeUnknown || k == Interrupted }

// New returns a connect error of the kind.
func New(kind Kind, err error) *connect.Error {
	e := connect.NewError(code(kind), err)
	e.Meta().Set(Header, string(kind))
	return e
}

// NotLeaderAt returns the error of a replica that is not the leader.
func NotLeaderAt(address string) *connect.Error {
	e := New(NotLeader, errors.New("this control replica is not the leader; ask the leader, or wait a second if there is none"))
	e.Meta().Set(LeaderHeader, address)
	return e
}

// Of returns the kind of an error that came over the wire, and the leader's
// address if it carries one. Errors without a kind are Unavailable.
func Of(err error) (kind Kind, leader string) {
	var e *connect.Error
	if !errors.As(err, &e) {
		return Unavailable, ""
	}
	if k := e.Meta().Get(Header); k != "" {
		return Kind(k), e.Meta().Get(LeaderHeader)
	}
	return Unavailable, ""
}

func code(kind Kind) connect.Code {
	switch kind {
	case NotLeader, NotCaughtUp, ChangePending:
		return connect.CodeFailedPrecondition
	case Unauthorized:
		return connect.CodePermissionDenied
	case Invalid:
		return connect.CodeInvalidArgument
	case Unknown:
		return connect.CodeDeadlineExceeded
	}
	return connect.CodeUnavailable
}
