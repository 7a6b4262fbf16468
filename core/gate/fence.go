package gate

import "time"

const (
	// maxFinished is how many finished attempts a gate remembers.
	maxFinished = 8192
	// maxFences limits the number of fences. A fence is a record of a revoked attempt,
	// which is refused if it arrives later. When the limit is reached, Revoke returns
	// RevokeUnknown.
	maxFences = 65536
	// fenceTTL is how long a fence is kept: longer than a request can be delayed in
	// transit.
	fenceTTL = 5 * time.Minute
	// revokeTransitSlack allows for the time that the revoke itself was in transit.
	revokeTransitSlack = 2 * time.Second
)

// AttemptID identifies one attempt of one request.
type AttemptID struct {
	Request [2]uint64
	Attempt uint32
}

// RevokeAnswer is the state of an attempt whose response was lost.
type RevokeAnswer int

// Answers to a revoke.
const (
	// RevokeUnknown: the gate cannot tell; the attempt may have run.
	RevokeUnknown RevokeAnswer = iota
	// RevokeNeverStarted: the attempt has not run and will not run, since the gate
	// refuses it if it arrives later.
	RevokeNeverStarted
	// RevokeRunning: the attempt is running.
	RevokeRunning
	// RevokeFinished: the attempt has finished.
	RevokeFinished
)

// String returns the name of the answer.
func (a RevokeAnswer) String() string {
	return [...]string{"unknown", "never-started", "running", "finished"}[a]
}

// history is the gate's record of attempts, from which it answers revokes.
type history struct {
	fences        map[AttemptID]time.Duration
	finished      map[AttemptID]time.Duration
	finishedOrder []AttemptID
	// forgottenUpTo is the latest arrival among the finished attempts evicted to limit
	// memory, or the time set by StartHistoryAt. For attempts sent no later than that,
	// the gate cannot tell whether they ran.
	forgottenUpTo time.Duration
	anyForgotten  bool
}

func newHistory() history {
	return history{fences: map[AttemptID]time.Duration{}, finished: map[AttemptID]time.Duration{}}
}

func (h *history) finish(id AttemptID, arrived time.Duration) {
	if len(h.finishedOrder) >= maxFinished {
		oldest := h.finishedOrder[0]
		h.finishedOrder = h.finishedOrder[1:]
		h.forgottenUpTo = max(h.forgottenUpTo, h.finished[oldest])
		h.anyForgotten = true
		delete(h.finished, oldest)
	}
	h.finished[id] = arrived
	h.finishedOrder = append(h.finishedOrder, id)
}

func (h *history) fenced(now time.Duration, id AttemptID) bool {
	until, ok := h.fences[id]
	return ok && now < until
}

// fence ensures that an attempt which has not arrived never runs.
func (h *history) fence(now time.Duration, id AttemptID) bool {
	if len(h.fences) >= maxFences {
		for old, until := range h.fences {
			if now >= until {
				delete(h.fences, old)
			}
		}
	}
	if len(h.fences) >= maxFences {
		return false
	}
	h.fences[id] = now + fenceTTL
	return true
}

// neverArrived reports whether an unrecorded attempt, sent the given time ago,
// certainly never arrived.
func (h *history) neverArrived(now, sentAgo time.Duration) bool {
	return !h.anyForgotten || h.forgottenUpTo < now-sentAgo-revokeTransitSlack
}

// Revoke returns the state of an attempt whose response was lost and that the caller
// sent sentAgo before now. An attempt that has not started is removed from the queue
// and fenced: if it arrives late, it is refused. Without the fence, the caller would
// run the request elsewhere and the late attempt would run it a second time.
func (g *Gate) Revoke(now time.Duration, id AttemptID, sentAgo time.Duration) (RevokeAnswer, []Event) {
	g.beginEvents(now)
	if it := g.byID[id]; it != nil {
		if it.state == stateRunning {
			return RevokeRunning, g.takeEvents()
		}
		if !g.history.fence(now, id) {
			return RevokeUnknown, g.takeEvents()
		}
		g.drop(it, Revoked, 0)
		return RevokeNeverStarted, g.takeEvents()
	}
	if _, ok := g.history.finished[id]; ok {
		return RevokeFinished, g.takeEvents()
	}
	if !g.history.neverArrived(now, sentAgo) || !g.history.fence(now, id) {
		return RevokeUnknown, g.takeEvents()
	}
	return RevokeNeverStarted, g.takeEvents()
}
