package gate

import (
	"time"

	"cactuspath/core/mechanism"
)

// Handle names a request at its gate, as the driver chose it.
type Handle uint64

// Reason tells why a request was refused before it ran.
type Reason int

// Reasons.
const (
	// QueueFull: no room to wait.
	QueueFull Reason = iota + 1
	// TooLate: it could not finish before its deadline.
	TooLate
	// Draining: the server is leaving.
	Draining
	// Down: the backend server cannot be reached.
	Down
	// Fenced: the caller revoked this attempt.
	Fenced
	// Revoked: the caller revoked it while it waited.
	Revoked
	// Duplicate: this attempt is known here already.
	Duplicate
	// Canceled: the caller went away.
	Canceled
	// Quarantined: servers have ended under requests with this content.
	Quarantined
	// Evacuated: the operator has emptied the server's data centre.
	Evacuated
	// Overloaded: the gate's process is short of processor time.
	Overloaded
)

// String names the reason.
func (r Reason) String() string {
	return [...]string{"none", "queue-full", "too-late", "draining", "down", "fenced", "revoked", "duplicate", "canceled", "quarantined", "evacuated", "short-of-processor-time"}[r]
}

// EventKind tells what happened to a request.
type EventKind int

// Kinds of events.
const (
	// Started: run it now.
	Started EventKind = iota + 1
	// Refused: answer "not run", with Reason and RetryAfter.
	Refused
	// Moved: answer "not run", with the sibling to use instead.
	Moved
	// Send: send Report to the sibling To.
	Send
	// Hint: the request runs, and the sibling To would run it anew sooner than it
	// ends here.
	Hint
)

// Event is one outcome for the driver to carry out.
type Event struct {
	Kind       EventKind
	Handle     Handle
	Reason     Reason
	RetryAfter time.Duration
	// Everywhere: the siblings are as full, so another attempt is pointless.
	Everywhere bool
	// To is the sibling's host.
	To string
	// Report is the load to send.
	Report Report
}

// Request is what the gate needs to know of an arriving request.
type Request struct {
	Handle   Handle
	ID       AttemptID
	Caller   string
	Deadline time.Duration
	// Movable is false for a request that moved as often as is allowed: without
	// a limit two slow gates could pass a request back and forth.
	Movable bool
	// From is the data centre where the request began; Bulky marks one with a
	// large body.
	From  string
	Bulky bool
	// Repeatable: it may run twice, so that a hint is of use.
	Repeatable bool
	// Class groups requests of like demand, such as those of one route.
	Class string
	// Priority ranks requests that wait; 0 is served first.
	Priority int
	// Aim is the time within which an answer is worth most, from the start of the
	// caller's first attempt on, and AimAt when it ends. Both are 0 without an aim.
	Aim, AimAt time.Duration
}

// Config is what the estate says of the service.
type Config struct {
	Slots int
	Queue int
	// SlowStart is how long a cold server that does not say so stays cold.
	SlowStart time.Duration
	// ColdStarts is how many requests a second a cold server bears; 0 for any number.
	ColdStarts int
	// Siblings turns late binding on.
	Siblings bool
	// ReportsPerSecond and BytesPerSecond are this gate's share of the budget.
	ReportsPerSecond, BytesPerSecond int
	// Off are the mechanisms that are switched off.
	Off mechanism.Set
}

// Outcome tells how a request ended.
type Outcome int

// Outcomes.
const (
	// Completed: the backend server answered.
	Completed Outcome = iota
	// Failed: the backend server answered with a server error or broke off; the
	// time taken says nothing about its speed.
	Failed
	// Abandoned: the caller went away.
	Abandoned
	// NeverReached: no connection to the backend server could be made, so the
	// request did not run.
	NeverReached
)
