package gate

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuspath/core/measure"
	"cactuspath/core/mechanism"
)

// The gates of one service bind late: a request that would wait here, or that
// a sibling would finish far sooner, moves before it runs. The gate answers
// "not run" and names the sibling; the caller's node sends it there. The gate
// never has custody of a request that it moves.
//
// Gates learn of each other by reports that each sends to its siblings when its
// load changes, within the institution's measuring budget. What a gate knows so
// does not depend on how many callers share the traffic.
// docs/design/late-binding.md has the other ways that were weighed.
const (
	// reportLife is how long a sibling's report bears on decisions. It may be
	// long, since a change is reported as it happens.
	reportLife = time.Second
	// refreshAfter is when an unchanged load is reported again.
	refreshAfter = reportLife / 2
	// changeRatio is the change in expected finish that is worth a report.
	changeRatio = 1.4
	// gainWaiting and gainFree are how many times sooner a sibling must be
	// expected to finish a request that would wait here, or that could start.
	// Lower values move on noise; higher ones leave requests at slow servers.
	gainWaiting = 1.6
	gainFree    = 1.7
	// gainTold is gainWaiting where the servers tell how slow they are: what gates
	// expect of each other is then no guess from completions.
	gainTold = 1.3
	// herdFactor stands for the other gates that move requests to the same sibling
	// at the same time and whose moves are not seen here: each own move since
	// the sibling's report counts that often. With 1 the gates herd.
	herdFactor = 3
	// maxSiblings bounds the gates that one gate knows, and so its memory, in a
	// service of hundreds of endpoints.
	maxSiblings = 16
	// fanout is how many siblings a gate reports to. More would learn each
	// change later under the same budget, and need not know it: a request can
	// move twice.
	fanout = 5
	// awayCost and bulkyCost are what it takes to leave the caller's data centre:
	// an answer of 5 KB is worth a fifteenth of its request, an upload of 60 KB a
	// third, by the users' prices.
	awayCost  = 15 * time.Millisecond
	bulkyCost = 150 * time.Millisecond
	// scanInterval is how often waiting requests are looked at again.
	scanInterval = 2 * time.Millisecond
	scanParts    = 16
	// defaultDistance is assumed for a sibling not measured yet.
	defaultDistance = time.Millisecond
	// ReportBytes is what one report costs of the measuring budget, in bytes: the
	// largest datagram that carries one, with its UDP and IP headers.
	ReportBytes = 160
)

// Load is a gate's state as it tells others.
type Load struct {
	Running, Waiting, Slots int
	// Service is the estimated service time of one request.
	Service time.Duration
	// Draining: no new work here. Full: hardly any room to wait.
	Draining, Full bool
	// FailRatio is the share of recent answers that were failures. Failing is
	// the gate's own verdict that its siblings do markedly better.
	FailRatio float64
	Failing   bool
	// Crowd is how many times longer work was found to take when nearly all slots
	// are taken; 0 if that is not known.
	Crowd float64
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

// Report is one gate's load.
type Report struct {
	Host string
	// Incarnation and Sequence order a host's reports.
	Incarnation, Sequence uint64
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
	// DataCenter is where it is.
	DataCenter string
}

type sibling struct {
	Sibling
	report Report
	// taken is when the report was taken, by this gate's clock and the distance.
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
	// fanout are the siblings that this gate reports to.
	fanout []*sibling
	// reported is the load that siblings were last told, and when.
	reported   Load
	reportedAt time.Duration
}

func newSiblings(self string) siblings {
	return siblings{self: self, budget: measure.NewBudget(0, 0), byHost: map[string]*sibling{}}
}

// SetSiblings replaces the list of the service's other gates. Of many it keeps
// those with the highest weight for the pair: both gates of a pair compute the
// same weight, so that those who report to this gate are mostly among them.
func (g *Gate) SetSiblings(list []Sibling) {
	s := &g.siblings
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
		s.list = append(s.list, held)
	}
	sort.Slice(s.list, func(i, j int) bool {
		return pairWeight(s.self, s.list[i].Host) > pairWeight(s.self, s.list[j].Host)
	})
	s.list = s.list[:min(maxSiblings, len(s.list))]
	s.fanout = s.list[:min(fanout, len(s.list))]
	s.byHost = map[string]*sibling{}
	for _, sib := range s.list {
		s.byHost[sib.Host] = sib
	}
	g.weighCrowd()
}

func pairWeight(a, b string) uint64 { return xxhash.Sum64String(min(a, b) + "\x00" + max(a, b)) }

// Learn takes in a sibling's report. An older one than is held changes nothing.
func (g *Gate) Learn(now time.Duration, r Report) {
	sib := g.siblings.byHost[r.Host]
	if sib == nil || sib.known && !r.Newer(sib.report) {
		return
	}
	sib.report, sib.taken, sib.known = r, now-sib.Distance, true
	g.weighCrowd()
	sib.forgetMoves()
}

// forgetMoves drops the moves that the report must have in it already: those
// made early enough for the request to be there when it was taken.
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

// announce reports this gate's load to its siblings when it changed, as often
// as the measuring budget allows. Reports are spaced evenly, since a budget
// spent at the start of a second would leave the rest of it in the dark.
func (g *Gate) announce(now time.Duration) {
	s := &g.siblings
	if !g.config.Siblings || len(s.list) == 0 {
		return
	}
	since := now - s.reportedAt
	if since < g.reportSpacing() {
		return
	}
	load := g.Load(now)
	if since < refreshAfter && !load.differs(s.reported) {
		return
	}
	s.reported, s.reportedAt = load, now
	for _, sib := range s.fanout {
		if !s.budget.Allow(now, ReportBytes) {
			return
		}
		s.sequence++
		g.emit(Event{Kind: Send, To: sib.Host, Report: Report{Host: s.self, Sequence: s.sequence, Load: load}})
	}
}

// reportSpacing is the time that the budget leaves between two rounds.
func (g *Gate) reportSpacing() time.Duration {
	perSecond := min(g.config.ReportsPerSecond, g.config.BytesPerSecond/ReportBytes)
	return time.Second * time.Duration(len(g.siblings.fanout)) / time.Duration(max(1, perSecond))
}

// differs tells whether a load is worth a report after another one.
func (l Load) differs(from Load) bool {
	if l.open() != from.open() {
		return true
	}
	a, b := float64(l.finishIn(0)), float64(from.finishIn(0))
	return a > b*changeRatio || b > a*changeRatio
}

// open tells whether a sibling may send requests here.
func (l Load) open() bool { return !l.Draining && !l.Full && !l.Failing }

// cost stands for the bytes that a request and its answer take between data
// centres, as a time: what a caller gains by less than that is not worth them.
func (s *siblings) cost(sib *sibling, it *item) time.Duration {
	if it == nil || it.From == "" || sib.DataCenter == "" || sib.DataCenter == it.From {
		return 0
	}
	if it.Bulky {
		return bulkyCost
	}
	return awayCost
}

// soonest is the sibling expected to finish a request first, travel included.
func (s *siblings) soonest(now time.Duration, it *item) (best *sibling, finish time.Duration) {
	for _, sib := range s.list {
		if !sib.fresh(now) || !sib.report.Load.open() {
			continue
		}
		f := sib.report.Load.finishIn(herdFactor*len(sib.sent)) + 2*sib.Distance + s.cost(sib, it)
		if best == nil || f < finish {
			best, finish = sib, f
		}
	}
	return best, finish
}

// waitingGain is how many times sooner a sibling must finish a request that waits.
func (g *Gate) waitingGain(now time.Duration) float64 {
	if g.told(now) {
		return gainTold
	}
	return gainWaiting
}

// rebind moves a request when a sibling is expected to finish it gain times
// sooner. A server that is leaving or cannot be reached moves everything, one
// that fails where its siblings do not all but a trial.
func (g *Gate) rebind(now time.Duration, it *item, gain float64) bool {
	if !g.config.Siblings || !it.Movable {
		return false
	}
	sib, there := g.siblings.soonest(now, it)
	if sib == nil {
		return false
	}
	forced := g.draining || g.down || g.failing(now) && !g.outlier.trial(now)
	if !forced && g.off(mechanism.Moves) {
		return false
	}
	if !forced && float64(there)*gain > float64(g.finishIn(now, it)) {
		return false
	}
	sib.sent = append(sib.sent, now)
	g.forget(it)
	g.emit(Event{Kind: Moved, Handle: it.Handle, To: sib.Host})
	return true
}

// rescan looks at the waiting requests again, oldest first, since a sibling may
// have become free or this server slow since they came.
func (g *Gate) rescan(now time.Duration) {
	g.lastScan = now
	for _, it := range g.oldestFirst() {
		if now >= it.Deadline || g.hopeless(now, it) {
			g.drop(it, TooLate, g.retryAfter(now))
			continue
		}
		if !g.rebind(now, it, g.waitingGain(now)) {
			break
		}
	}
	g.demoteLate(now)
}

// demoteLate looks for waiting requests that no longer make their aim.
func (g *Gate) demoteLate(now time.Duration) {
	var late []*item
	g.queue.each(func(it *item) {
		if g.missesAim(now, it) {
			late = append(late, it)
		}
	})
	for _, it := range late {
		g.demote(now, it)
	}
}

func (g *Gate) oldestFirst() []*item {
	list := make([]*item, 0, g.queue.size)
	g.queue.each(func(it *item) { list = append(list, it) })
	sort.Slice(list, func(i, j int) bool { return list[i].Handle < list[j].Handle })
	return list
}

// Tick looks at the waiting requests again and reports a change that no request
// brought up. The driver calls it when NextTimer says so.
func (g *Gate) Tick(now time.Duration) []Event {
	g.begin(now)
	g.rescan(now)
	g.fill(now)
	g.announce(now)
	return g.take()
}

// NextTimer tells when Tick is due; ok is false when nothing waits for it.
func (g *Gate) NextTimer() (at time.Duration, ok bool) {
	if !g.config.Siblings || len(g.siblings.list) == 0 {
		return g.lastScan + g.scanEvery(), g.queue.size > 0
	}
	refresh := g.siblings.reportedAt + max(refreshAfter, g.reportSpacing())
	if g.queue.size > 0 {
		return min(refresh, g.lastScan+g.scanEvery()), true
	}
	return refresh, true
}

// scanEvery spaces the looks at waiting requests: a small part of what one takes,
// since a service of long requests gains nothing from more.
func (g *Gate) scanEvery() time.Duration {
	if !g.slow.known {
		return scanInterval
	}
	return max(scanInterval, time.Duration(g.slow.demand.value)/scanParts)
}

// fullEverywhere tells whether the siblings that this gate knows of are as busy
// as it is, so that trying one of them would only add to the load.
func (g *Gate) fullEverywhere(now time.Duration) bool {
	if g.off(mechanism.Everywhere) {
		return false
	}
	known := false
	for _, sib := range g.siblings.list {
		known = known || sib.fresh(now)
	}
	sib, there := g.siblings.soonest(now, nil)
	return known && (sib == nil || float64(there)*g.waitingGain(now) > float64(g.wait(now)+g.service(now)))
}
