package gate

import "time"

const (
	// finishedKept is how many finished attempts a gate remembers.
	finishedKept = 8192
	// maxFences bounds the fences; when it is reached, revoke answers Unknown.
	maxFences = 65536
	// fenceLife is how long a fence stands: longer than a connection can hold
	// a request back before it delivers it.
	fenceLife = 5 * time.Minute
	// travelSlack covers the time that a revoke itself was on its way.
	travelSlack = 2 * time.Second
)

// AttemptID names one attempt of one request.
type AttemptID struct {
	Request [2]uint64
	Attempt uint32
}

// RevokeAnswer tells what became of an attempt whose answer was lost.
type RevokeAnswer int

// Answers to a revoke.
const (
	// RevokeUnknown: the gate cannot tell; the attempt may have run.
	RevokeUnknown RevokeAnswer = iota
	// RevokeNeverStarted: it did not run, and will not: it is fenced.
	RevokeNeverStarted
	// RevokeRunning: it runs now.
	RevokeRunning
	// RevokeFinished: it ran to its end.
	RevokeFinished
)

// String names the answer.
func (a RevokeAnswer) String() string {
	return [...]string{"unknown", "never-started", "running", "finished"}[a]
}

// memory is what a gate remembers of attempts, to answer revokes truthfully.
type memory struct {
	fences   map[AttemptID]time.Duration
	finished map[AttemptID]time.Duration
	order    []AttemptID
	// forgotten is the newest arrival among the finished attempts that were
	// dropped for space. Of attempts as old as that the gate cannot tell.
	forgotten    time.Duration
	anyForgotten bool
}

func newMemory() memory {
	return memory{fences: map[AttemptID]time.Duration{}, finished: map[AttemptID]time.Duration{}}
}

func (m *memory) finish(id AttemptID, arrived time.Duration) {
	if len(m.order) >= finishedKept {
		oldest := m.order[0]
		m.order = m.order[1:]
		m.forgotten = max(m.forgotten, m.finished[oldest])
		m.anyForgotten = true
		delete(m.finished, oldest)
	}
	m.finished[id] = arrived
	m.order = append(m.order, id)
}

func (m *memory) fenced(now time.Duration, id AttemptID) bool {
	until, ok := m.fences[id]
	return ok && now < until
}

// fence makes sure that an attempt which has not arrived never runs.
func (m *memory) fence(now time.Duration, id AttemptID) bool {
	if len(m.fences) >= maxFences {
		for old, until := range m.fences {
			if now >= until {
				delete(m.fences, old)
			}
		}
	}
	if len(m.fences) >= maxFences {
		return false
	}
	m.fences[id] = now + fenceLife
	return true
}

// absent tells whether an attempt sent the given time ago surely never arrived.
func (m *memory) absent(now, sentAgo time.Duration) bool {
	return !m.anyForgotten || m.forgotten < now-sentAgo-travelSlack
}

// Revoke answers for an attempt whose answer was lost and that the caller sent
// sentAgo before. An attempt that has not started is taken out of the queue
// and fenced: should it arrive late, it is refused. Without the fence the
// caller would run the request elsewhere and the late attempt would run it a
// second time.
func (g *Gate) Revoke(now time.Duration, id AttemptID, sentAgo time.Duration) (RevokeAnswer, []Event) {
	g.begin(now)
	if it := g.byID[id]; it != nil {
		if it.state == stateRunning {
			return RevokeRunning, g.take()
		}
		if !g.memory.fence(now, id) {
			return RevokeUnknown, g.take()
		}
		g.drop(it, Revoked, 0)
		return RevokeNeverStarted, g.take()
	}
	if _, ok := g.memory.finished[id]; ok {
		return RevokeFinished, g.take()
	}
	if !g.memory.absent(now, sentAgo) || !g.memory.fence(now, id) {
		return RevokeUnknown, g.take()
	}
	return RevokeNeverStarted, g.take()
}
