// Package shutdown divides the time of a planned stop: which requests a stopping process still
// accepts, how long these may take, and when each stage of the stop ends.
//
// Invariant: a request has at least half of the stop to finish if it is accepted in the first part
// of it. One that is accepted later has its final response before the process closes its
// connections.
package shutdown

import "time"

const (
	// maxAcceptAll is how long a stopping process accepts requests whatever their deadlines are, at
	// most for half of the stop: callers need about this long to switch to other processes, and few
	// requests use up their deadlines.
	maxAcceptAll = 3 * time.Second
	// maxGateOpen is how long a stopping node keeps its gate open. It has to run for about two more
	// seconds anyway, until its callers see that it is not ready. Closing the gate immediately would
	// leave the backend server unused for all of that time.
	maxGateOpen = time.Second
	// maxResponseReserve is the time that is reserved at the end for returning the last responses
	// and closing the connections.
	maxResponseReserve = 250 * time.Millisecond

	// In a short stop, a single stage takes a fifth of it and the reserve a tenth.
	stageDivisor   = 5
	reserveDivisor = 10
)

// Schedule is the schedule of a planned stop. It never changes. A nil Schedule means that no stop
// has begun.
type Schedule struct {
	acceptAllUntil, gateOpenUntil, lastResponse, end time.Time
	// longestStage bounds the time that is kept free for a single stage.
	longestStage time.Duration
}

// New returns the schedule of a stop that begins at the given time and closes all connections after
// timeout.
func New(began time.Time, timeout time.Duration) *Schedule {
	end := began.Add(timeout)
	return &Schedule{
		acceptAllUntil: began.Add(min(maxAcceptAll, timeout/2)),
		gateOpenUntil:  began.Add(min(maxGateOpen, timeout/stageDivisor)),
		lastResponse:   end.Add(-min(maxResponseReserve, timeout/reserveDivisor)),
		end:            end,
		longestStage:   timeout / stageDivisor,
	}
}

// Accepts reports whether the process accepts a request that arrives now and has the given deadline.
func (s *Schedule) Accepts(now, deadline time.Time) bool {
	return s == nil || now.Before(s.acceptAllUntil) || !deadline.After(s.lastResponse)
}

// Limit returns the given deadline or, if that is earlier, LastResponse: a later response might not
// reach the caller any more.
func (s *Schedule) Limit(deadline time.Time) time.Time {
	if s == nil || deadline.Before(s.lastResponse) {
		return deadline
	}
	return s.lastResponse
}

// GateOpenUntil returns the time at which the gate of the node's own backend server closes.
func (s *Schedule) GateOpenUntil() time.Time { return s.gateOpenUntil }

// LastResponse returns the time by which all responses are due, and all listeners are closed.
func (s *Schedule) LastResponse() time.Time { return s.lastResponse }

// End returns the time at which all connections are closed.
func (s *Schedule) End() time.Time { return s.end }

// LatestStart returns the time by which a stage must begin that takes d, or a fifth of the stop if
// that is shorter, and ends before LastResponse.
func (s *Schedule) LatestStart(d time.Duration) time.Time {
	return s.lastResponse.Add(-min(d, s.longestStage))
}
