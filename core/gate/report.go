package gate

import (
	"math"
	"time"
)

// Load reports: what a gate reports to its siblings about its load, and when.

const (
	// reportTTL is how long a sibling's report is used. It may be long, since changes
	// are reported immediately.
	reportTTL = time.Second
	// refreshInterval is the time after which an unchanged load is reported again.
	refreshInterval = reportTTL / 2
	// changeRatio is the ratio of the current expected finish time or slowdown to the
	// last reported one, or its inverse, from which the change is reported.
	changeRatio = 1.4
	// ReportBytes is how many bytes one report counts against the measuring budget: the
	// size of the largest datagram that carries a report, with its UDP and IP headers.
	ReportBytes = 160
)

// Load is the state that a gate reports to others.
type Load struct {
	Running, Waiting, Slots int
	// Service is the estimated service time of one request.
	Service time.Duration
	// Draining: the gate accepts no new requests. Full: its queue is nearly full.
	Draining, Full bool
	// FailRatio is the share of recent requests that failed. Failing: the backend
	// server fails markedly more often than those of the sibling gates.
	FailRatio float64
	Failing   bool
	// Slowdown is how many times longer than normal a request that starts now takes,
	// and Wait is the expected wait; both are 0 if the server does not report its
	// slowdown.
	Slowdown float64
	Wait     time.Duration
	// ColdStarts is how many requests per second the server can handle while it is
	// cold, 0 if it is warm or has no limit; StartsLeft is how many of them may start
	// now.
	ColdStarts, StartsLeft int
	// Contention is the contention factor: how many times longer requests were measured
	// to take when nearly all slots are in use; 0 if it is not known. The tag keeps the
	// key that the metric gate_load writes.
	Contention float64 `json:"Crowd"`
	// LinkWait is how long the link of the gate's host needs for the large responses
	// that are under way or expected; 0 if it is not known.
	LinkWait time.Duration `json:",omitempty"`
}

// estimateFinish estimates the total time, wait and service, of a request that arrives
// at the reporting gate now. extra is the number of requests assumed to have arrived
// there since the load was measured.
func (l Load) estimateFinish(extra int) time.Duration {
	if cold := l.estimateColdWait(extra); cold > 0 {
		return cold + l.Service
	}
	ahead := l.Running + l.Waiting + extra
	if ahead < l.Slots || l.Slots == 0 {
		return l.Service
	}
	turns := float64(ahead-l.Slots+1) / float64(l.Slots)
	return l.Service + time.Duration(turns*float64(l.Service))
}

// estimateWait estimates the wait of a request that arrives at the reporting gate now.
// extra is the number of requests assumed to have arrived there since the load was
// measured.
func (l Load) estimateWait(extra int) time.Duration {
	if cold := l.estimateColdWait(extra); cold > 0 {
		return cold
	}
	taken := l.Running + l.Waiting
	if taken+extra < l.Slots || l.Slots == 0 {
		return 0
	}
	more := min(extra, taken+extra-l.Slots+1)
	return l.Wait + time.Duration(float64(more)/float64(l.Slots)*float64(l.Service))
}

// estimateColdWait is how long the cold-start limit delays a request that arrives at
// the reporting gate now. extra is the number of requests assumed to have arrived there
// since the load was measured.
func (l Load) estimateColdWait(extra int) time.Duration {
	missing := l.Waiting + extra + 1 - l.StartsLeft
	if l.ColdStarts == 0 || missing <= 0 {
		return 0
	}
	return time.Duration(missing) * coldWindow / time.Duration(l.ColdStarts)
}

// Report carries the load of one gate to other gates and to callers.
type Report struct {
	Host string
	// Incarnation and Sequence order the reports of a host: the report with the higher
	// Incarnation is newer, and with equal ones that with the higher Sequence.
	Incarnation, Sequence uint64
	Load                  Load
}

// Newer reports whether the report supersedes another one of the same host.
func (r Report) Newer(than Report) bool {
	if r.Incarnation != than.Incarnation {
		return r.Incarnation > than.Incarnation
	}
	return r.Sequence > than.Sequence
}

// announce reports a changed load to the siblings, as often as the measuring budget
// allows. Reports are spaced evenly: a budget spent at the start of a second would
// leave the siblings without reports for the rest of it.
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
	recipients := g.reportRecipients(now, load)
	switch {
	case load.urgentChangeFrom(s.reported):
	case since < g.reportSpacing(len(recipients)):
		return
	case since < refreshInterval && !load.differsFrom(s.reported) && (since < linkReportInterval || !load.linkDiffersFrom(s.reported)):
		return
	}
	s.reported, s.reportedAt = load, now
	for _, sib := range recipients {
		if !s.budget.Allow(now, ReportBytes) {
			return
		}
		s.sequence++
		g.emit(Event{Kind: Send, To: sib.Host, Report: Report{Host: s.self, Sequence: s.sequence, Load: load}})
	}
}

// urgentSpacing is the minimum time between two rounds of reports. It limits how fast a
// server with a rapidly changing speed can spend the budget.
const urgentSpacing = 20 * time.Millisecond

// urgentChangeFrom reports whether the load differs so much from the last reported one
// that it is reported ahead of schedule: the server turned slow or fast, cold or warm,
// or the gate began or stopped accepting requests. A growing queue is not urgent. A
// server that turned slow is: requests that siblings send to it before they know are
// late. The budget applies to urgent reports as well.
func (l Load) urgentChangeFrom(from Load) bool {
	return l.acceptsRequests() != from.acceptsRequests() || l.ColdStarts != from.ColdStarts || l.Slowdown > changeRatio*from.Slowdown || from.Slowdown > changeRatio*l.Slowdown
}

// reportSpacing is the time between two rounds of reports that the budget allows.
func (g *Gate) reportSpacing(recipients int) time.Duration {
	perSecond := min(g.config.ReportsPerSecond, g.config.BytesPerSecond/ReportBytes)
	return time.Second * time.Duration(recipients) / time.Duration(max(1, perSecond))
}

// recipientsPerArrival is the number of siblings that a gate reports to for each request a
// second that arrives at it.
const recipientsPerArrival = 5

// reportRecipients returns the siblings to report a load to: in proportion to the requests
// that arrive here, since a sibling uses a report only when it has a request to move, and
// requests are spread over the gates of a service. Whether the gate accepts requests is
// reported to all.
func (g *Gate) reportRecipients(now time.Duration, load Load) []*sibling {
	s := &g.siblings
	if load.acceptsRequests() != s.reported.acceptsRequests() {
		return s.fanout
	}
	n := max(minFanout, int(math.Ceil(recipientsPerArrival*g.arrivals.perSecond(now))))
	return s.fanout[:min(n, len(s.fanout))]
}

// differsFrom reports whether a load differs enough from another one to be reported.
func (l Load) differsFrom(from Load) bool {
	if l.acceptsRequests() != from.acceptsRequests() {
		return true
	}
	a, b := float64(l.estimateFinish(0)), float64(from.estimateFinish(0))
	return a > b*changeRatio || b > a*changeRatio
}

// acceptsRequests reports whether siblings may move requests here.
func (l Load) acceptsRequests() bool { return !l.Draining && !l.Full && !l.Failing }
