package gate

import "time"

// Reports: what gates tell each other of their load, and when.

const (
	// reportLife is how long a sibling's report bears on decisions. It may be
	// long, since a change is reported as it happens.
	reportLife = time.Second
	// refreshAfter is when an unchanged load is reported again.
	refreshAfter = reportLife / 2
	// changeRatio is the change in expected finish that is worth a report.
	changeRatio = 1.4
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
	// Slowdown is how many times longer than usual the work of a request takes that
	// starts now, and Wait for how long it would wait; 0 where the server does not tell
	// its speed.
	Slowdown float64
	Wait     time.Duration
	// ColdStarts is how many requests a second the server bears while it is cold, 0 if
	// it is warm or bears any number; StartsLeft is how many of them may start now.
	ColdStarts, StartsLeft int
	// Crowd is how many times longer work was found to take when nearly all slots
	// are taken; 0 if that is not known.
	Crowd float64
}

// finishIn estimates how long a request would take that arrives when extra
// others have arrived since the load was taken.
func (l Load) finishIn(extra int) time.Duration {
	if cold := l.coldWaitIn(extra); cold > 0 {
		return cold + l.Service
	}
	ahead := l.Running + l.Waiting + extra
	if ahead < l.Slots || l.Slots == 0 {
		return l.Service
	}
	turns := float64(ahead-l.Slots+1) / float64(l.Slots)
	return l.Service + time.Duration(turns*float64(l.Service))
}

// waitIn estimates how long a request would wait that arrives when extra others have
// arrived since the load was taken.
func (l Load) waitIn(extra int) time.Duration {
	if cold := l.coldWaitIn(extra); cold > 0 {
		return cold
	}
	taken := l.Running + l.Waiting
	if taken+extra < l.Slots || l.Slots == 0 {
		return 0
	}
	more := min(extra, taken+extra-l.Slots+1)
	return l.Wait + time.Duration(float64(more)/float64(l.Slots)*float64(l.Service))
}

// coldWaitIn is how long the limit of a cold server keeps a request waiting that
// arrives when extra others have arrived since the load was taken.
func (l Load) coldWaitIn(extra int) time.Duration {
	missing := l.Waiting + extra + 1 - l.StartsLeft
	if l.ColdStarts == 0 || missing <= 0 {
		return 0
	}
	return time.Duration(missing) * coldSpan / time.Duration(l.ColdStarts)
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

// announce reports this gate's load to its siblings when it changed, as often
// as the measuring budget allows. Reports are spaced evenly, since a budget
// spent at the start of a second would leave the rest of it in the dark.
func (g *Gate) announce(now time.Duration) {
	s := &g.siblings
	if !g.config.Siblings || len(s.list) == 0 {
		return
	}
	since := now - s.reportedAt
	if since < urgentSpacing {
		return
	}
	load := g.Load(now)
	switch {
	case load.urgent(s.reported):
	case since < g.reportSpacing():
		return
	case since < refreshAfter && !load.differs(s.reported):
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

// urgentSpacing is the least time between two rounds of reports. It bounds what a
// server whose speed jumps about can spend of the budget at once.
const urgentSpacing = 20 * time.Millisecond

// urgent tells whether a load is worth a report before its turn: the server turned slow
// or fast, cold or warm, or opened or closed. A queue that grows can wait; what siblings
// send in the meantime to a server that turned slow is late, and the budget holds all the
// same.
func (l Load) urgent(from Load) bool {
	return l.open() != from.open() || l.ColdStarts != from.ColdStarts || l.Slowdown > changeRatio*from.Slowdown || from.Slowdown > changeRatio*l.Slowdown
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
