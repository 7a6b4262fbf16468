// Package fault defines the kinds of failures that cross a process boundary, so that
// callers and scripts can distinguish them without parsing messages.
//
// Callers receive a fault as an HTTP response with the header Cactus-Fault and a JSON
// body. Between cactuspath processes, a fault is a Connect error with the same header.
// Messages name the remedy.
package fault

import (
	"errors"

	"connectrpc.com/connect"
)

// Kind identifies a kind of failure. Its value is the text that is sent.
type Kind string

// Kinds that a caller of a service may receive.
const (
	// NotRun means that the request did not run on any backend server. It is safe to
	// repeat.
	NotRun Kind = "not-run"
	// Overloaded means that the request did not run because every gate that was tried was
	// full. Retry-After says when to retry.
	Overloaded Kind = "overloaded"
	// OutcomeUnknown means that the request may have run. Repeat it only if it is
	// idempotent.
	OutcomeUnknown Kind = "outcome-unknown"
	// Interrupted means that the response ended early. The request ran at least in part.
	Interrupted Kind = "interrupted"
	// NoSuchService means that no service matches the host and path. The request did not
	// run.
	NoSuchService Kind = "no-such-service"
	// NoEndpoint means that the service has no reachable endpoint. The request did not run.
	NoEndpoint Kind = "no-endpoint"
	// DeadlinePassed means that the request could not have finished before its deadline. It
	// did not run.
	DeadlinePassed Kind = "deadline-passed"
	// Quarantined means that backend servers crashed while they ran requests with this
	// content, so it is sent to no other one for a while. The request did not run.
	Quarantined Kind = "quarantined"
	// Malformed means that the request is not acceptable HTTP. It did not run.
	Malformed Kind = "malformed"
	// TooLarge means that the body exceeds the limit of the service.
	TooLarge Kind = "too-large"
	// NotReady means that the node has no configuration yet, or none that was confirmed recently
	// enough to refuse the request for good. The request did not run.
	NotReady Kind = "not-ready"
	// Stopping means that the node is being stopped and the request could outlast it. The request
	// did not run.
	Stopping Kind = "stopping"
)

// Kinds that concern the client account of a request. It did not run.
const (
	// UnknownKey means that the request needs the key of a client account and has no valid
	// one.
	UnknownKey Kind = "unknown-key"
	// CapReached means that the client account has reached its usage cap. Retry-After says
	// when to retry.
	CapReached Kind = "cap-reached"
)

// Kinds that are used between cactuspath processes and towards operators.
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
	// Header carries the kind in responses to callers and in Connect errors.
	Header = "Cactus-Fault"
	// LeaderHeader carries the leader's address in a NotLeader error.
	LeaderHeader = "Cactus-Leader"
)

// MayHaveRun reports whether a request that failed with this kind may have run.
func (k Kind) MayHaveRun() bool { return k == OutcomeUnknown || k == Interrupted }

// New returns a Connect error of the given kind.
func New(kind Kind, err error) *connect.Error {
	e := connect.NewError(connectCode(kind), err)
	e.Meta().Set(Header, string(kind))
	return e
}

// NotLeaderAt returns the error of a replica that is not the leader. The address is that
// of the leader.
func NotLeaderAt(address string) *connect.Error {
	e := New(NotLeader, errors.New("this control replica is not the leader; ask the leader, or wait a second if there is none"))
	e.Meta().Set(LeaderHeader, address)
	return e
}

// KindOf returns the kind of an error received from another process, and the leader's
// address if it carries one. Errors without a kind are Unavailable.
func KindOf(err error) (kind Kind, leader string) {
	var e *connect.Error
	if !errors.As(err, &e) {
		return Unavailable, ""
	}
	if k := e.Meta().Get(Header); k != "" {
		return Kind(k), e.Meta().Get(LeaderHeader)
	}
	return Unavailable, ""
}

func connectCode(kind Kind) connect.Code {
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
