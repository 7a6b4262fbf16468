package gate

import (
	"sort"
	"time"

	"cactuspath/core/measure"
)

// The gates of one service bind late: a request that would wait here, or that
// a sibling would finish far sooner, moves before it runs. The gate answers
// "not run" and names the sibling; the caller's node sends it there. The gate
// never has custody of a request that it moves.
//
// Gates learn of each other without messages of their own: a gate's report
// rides on its answers, and callers carry the reports they hold to the other
// gates on their next calls. docs/design/late-binding.md has the other ways
// that were weighed, with their figures.
const (
	// reportLife is how long a sibling's report bears on decisions.
	reportLife = 100 * time.Millisecond
	// gainWaiting and gainFree are how many times sooner a sibling must be
	// expected to finish a request that would wait here, or that could start.
	// Lower values move on noise; higher ones leave requests at slow servers.
	gainWaiting = 1.6
	gainFree    = 3.0
	// crowd stands for the other gates that move requests to the same sibling
	// at the same time and whose moves are not seen here: each own move since
	// the sibling's report counts that often. With 1 the gates herd.
	crowd = 4
	// scanInterval is how often waiting requests are looked at again.
	scanInterval = time.Millisecond
	// defaultDistance is assumed for a sibling not measured yet.
	defaultDistance = time.Millisecond
	// reportBytes is what one report costs of the measuring budget on the wire.
	reportBytes = 64
)

// Load is a gate's state as it tells others.
type Load struct {
	Running, Waiting, Slots int
	// Service is the estimated service time of one request.
	Service time.Duration
	// Draining: no new work here.
	Draining bool
	// FailRatio is the share of recent answers that were failures. Failing is
	// the gate's own verdict that its siblings do markedly better.
	FailRatio float64
	Failing   bool
}

// finishIn estimates how long a request would take that arrives when extra
// others have arrived since the load was taken.
func (l Load) finishIn(extra int) time.Duration {
	ahead := l.Running + l.Waiting + extra
	if ahead < l.Slots || l.Slots == 0 {
		return l.Service
	}
	turns := float64(ahead-l.Slots+1) / float64(l.Slots)
	return l.Service + time.Duration(turns*float64(l.Service))
}

// Report is one gate's load and how old it is. Ages are relative, so that no
// two clocks need to agree.
type Report struct {
	Host string
	// Incarnation and Sequence order a host's reports.
	Incarnation, Sequence uint64
	Age                   time.Duration
	Load                  Load
}

// Newer tells whether the report supersedes another of the same host.
func (r Report) Newer(than Report) bool {
	if r.Incarnation != than.Incarnation {
		return r.Incarnation > than.Incarnation
	}
	return r.Sequence > than.Sequence
}

// Sibling is another gate of the same service.
type Sibling struct {
	Host string
	// Distance is the one-way delay to it.
	Distance time.Duration
}

type sibling struct {
	Sibling
	report Report
	// taken is when the report was taken, by this gate's clock.
	taken time.Duration
	known bool
	// sent are the times of moves there that its report cannot show yet.
	sent []time.Duration
}

func (s *sibling) fresh(now time.Duration) bool { return s.known && now-s.taken <= reportLife }

type siblings struct {
	self     string
	sequence uint64
	budget   *measure.Budget
	list     []*sibling
	byHost   map[string]*sibling
	moves    uint64
}

func newSiblings(self string) siblings {
	return siblings{self: self, budget: measure.NewBudget(0, 0), byHost: map[string]*sibling{}}
}

// SetSiblings replaces the list of the service's other gates.
func (g *Gate) SetSiblings(list []Sibling) {
	s := &g.siblings
	byHost := map[string]*sibling{}
	s.list = nil
	for _, info := range list {
		if info.Host == s.self {
			continue
		}
		if info.Distance == 0 {
			info.Distance = defaultDistance
		}
		held := s.byHost[info.Host]
		if held == nil {
			held = &sibling{}
		}
		held.Sibling = info
		byHost[info.Host] = held
		s.list = append(s.list, held)
	}
	s.byHost = byHost
	sort.Slice(s.list, func(i, j int) bool { return s.list[i].Host < s.list[j].Host })
}

// Learn takes in a sibling's report that a caller carried here. An older one
// than is held changes nothing.
func (g *Gate) Learn(now time.Duration, r Report) {
	sib := g.siblings.byHost[r.Host]
	if sib == nil || r.Age > reportLife || sib.known && !r.Newer(sib.report) {
		return
	}
	sib.report, sib.taken, sib.known = r, now-r.Age, true
	sib.forgetMoves()
}

// forgetMoves drops the moves that the report must have in it already.
func (s *sibling) forgetMoves() {
	horizon := s.taken - 2*s.Distance
	kept := s.sent[:0]
	for _, at := range s.sent {
		if at > horizon {
			kept = append(kept, at)
		}
	}
	s.sent = kept
}

// Report returns this gate's load for an answer to carry. Ok is false when the
// gate's share of the measuring budget is spent; the answer then carries none.
func (g *Gate) Report(now time.Duration) (r Report, ok bool) {
	if !g.siblings.budget.Allow(now, reportBytes) {
		return Report{}, false
	}
	g.siblings.sequence++
	return Report{Host: g.siblings.self, Sequence: g.siblings.sequence, Load: g.Load(now)}, true
}

// soonest is the sibling expected to finish a request first, travel included.
func (s *siblings) soonest(now time.Duration) (best *sibling, finish time.Duration) {
	for _, sib := range s.list {
		if !sib.fresh(now) || sib.report.Load.Draining || sib.report.Load.Failing {
			continue
		}
		f := sib.report.Load.finishIn(crowd*len(sib.sent)) + 2*sib.Distance
		if best == nil || f < finish {
			best, finish = sib, f
		}
	}
	return best, finish
}

// rebind moves a request when a sibling is expected to finish it gain times
// sooner. A server that fails where its siblings do not moves all but a trial.
func (g *Gate) rebind(now time.Duration, it *item, gain float64) bool {
	if !g.config.Siblings || !it.Movable {
		return false
	}
	sib, there := g.siblings.soonest(now)
	if sib == nil {
		return false
	}
	forced := g.failing(now) && !g.standing.trial(now)
	if !forced && float64(there)*gain > float64(g.finishIn(now)) {
		return false
	}
	sib.sent = append(sib.sent, now)
	g.siblings.moves++
	g.forget(it)
	g.emit(Event{Kind: Moved, Handle: it.Handle, To: sib.Host})
	return true
}

// rescan looks at the waiting requests again, oldest first, since a sibling may
// have become free or this server slow since they came.
func (g *Gate) rescan(now time.Duration) {
	g.lastScan = now
	for _, it := range g.oldestFirst() {
		if now >= it.Deadline {
			g.drop(it, TooLate, g.retryAfter(now))
			continue
		}
		if !g.rebind(now, it, gainWaiting) {
			return
		}
	}
}

func (g *Gate) oldestFirst() []*item {
	list := make([]*item, 0, g.queue.size)
	g.queue.each(func(it *item) { list = append(list, it) })
	sort.Slice(list, func(i, j int) bool { return list[i].Handle < list[j].Handle })
	return list
}

// Tick looks at the waiting requests again. The driver calls it when NextTimer
// says so.
func (g *Gate) Tick(now time.Duration) []Event {
	g.begin(now)
	g.rescan(now)
	g.fill(now)
	return g.take()
}

// NextTimer tells when Tick is due; ok is false while nothing waits.
func (g *Gate) NextTimer() (at time.Duration, ok bool) {
	return g.lastScan + scanInterval, g.queue.size > 0
}

// Reported counts the reports given out and their bytes.
func (g *Gate) Reported() (reports, bytes uint64) {
	return g.siblings.budget.Admitted, g.siblings.budget.AdmittedBytes
}

// Moves counts the requests this gate moved to a sibling.
func (g *Gate) Moves() uint64 { return g.siblings.moves }
