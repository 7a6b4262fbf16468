package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Handle identifies a request at its gate; the driver chooses it.
type Handle uint64

// Reason is why a request was refused before it ran.
type Reason int

// Reasons for a refusal.
const (
	// QueueFull: the queue has no room.
	QueueFull Reason = iota + 1
	// TooLate: the request could not finish before its deadline.
	TooLate
	// Draining: the server is shutting down.
	Draining
	// Down: the backend server is unreachable.
	Down
	// Fenced: the caller revoked this attempt before it arrived.
	Fenced
	// Revoked: the caller revoked the attempt while it waited.
	Revoked
	// Duplicate: the gate has already received this attempt.
	Duplicate
	// Canceled: the caller disconnected or gave up.
	Canceled
	// Quarantined: backend servers have crashed while they ran requests with this
	// content.
	Quarantined
	// Evacuated: the operator has evacuated the server's data centre.
	Evacuated
	// Overloaded: the gate's process is short of processor time.
	Overloaded
)

// String returns the name of the reason.
func (r Reason) String() string {
	return [...]string{"none", "queue-full", "too-late", "draining", "down", "fenced", "revoked", "duplicate", "canceled", "quarantined", "evacuated", "short-of-processor-time"}[r]
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// Started: run the request now.
	Started EventKind = iota + 1
	// Refused: answer "not run", with Reason and RetryAfter.
	Refused
	// Moved: answer "not run", with To as the sibling to use instead.
	Moved
	// Send: send Report to the sibling To.
	Send
	// Hint: the request is running, but the sibling To would finish a second attempt
	// sooner.
	Hint
)

// Event is a decision for the driver to carry out.
type Event struct {
	Kind       EventKind
	Handle     Handle
	Reason     Reason
	RetryAfter time.Duration
	// SiblingsFull: the siblings are as full, so that another attempt is pointless.
	SiblingsFull bool
	// To is the sibling's host.
	To string
	// Report is the load report to send.
	Report Report
}

// Request describes an arriving request.
type Request struct {
	Handle   Handle
	ID       AttemptID
	Caller   string
	Deadline time.Duration
	// Movable is false for a request that has moved as often as allowed: without a
	// limit, two slow gates could move a request back and forth.
	Movable bool
	// From is the data centre where the request originated; LargeBody is set if it has
	// a large body.
	From      string
	LargeBody bool
	// Repeatable: the request may run twice, so that a hint is useful.
	Repeatable bool
	// Class groups requests with similar demand, such as those of one route.
	Class string
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// Aim is the target latency, measured from the start of the caller's first attempt;
	// AimAt is when it ends. An answer after that is worth less. Both are 0 without a
	// target.
	Aim, AimAt time.Duration
}

// Config holds the settings of the service.
type Config struct {
	Slots int
	Queue int
	// SlowStart is the cold period of a cold server that does not report one.
	SlowStart time.Duration
	// ColdStarts is how many requests per second a cold server can handle; 0 means no
	// limit.
	ColdStarts int
	// Siblings enables late binding: moving requests to siblings.
	Siblings bool
	// ReportsPerSecond and BytesPerSecond are this gate's share of the measuring
	// budget.
	ReportsPerSecond, BytesPerSecond int
	// Disabled is the set of mechanisms that are switched off.
	Disabled mechanism.Set
}

// Outcome is how a running request ended.
type Outcome int

// Outcomes of a running request.
const (
	// Completed: the backend server answered.
	Completed Outcome = iota
	// Failed: the backend server answered with a server error or broke the connection;
	// the duration says nothing about its speed.
	Failed
	// Abandoned: the caller disconnected or gave up.
	Abandoned
	// NeverReached: no connection to the backend server could be made, so the request
	// did not run.
	NeverReached
)
