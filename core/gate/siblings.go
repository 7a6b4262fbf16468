package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuspath/core/measure"
)

// The gates of a service use late binding: a request that would wait here, or that a
// sibling would finish far sooner, moves before it runs. The gate answers "not run" and
// names the sibling; the caller's node sends the request there. The gate never forwards
// a request itself.
//
// Each gate reports its load to its siblings when the load changes, within the
// institution's measuring budget. So what a gate knows of its siblings does not depend
// on how many callers share the traffic. docs/design/late-binding.md describes the
// alternatives considered.
const (
	// maxNear and maxFar limit how many siblings a gate knows in its own data centre
	// and elsewhere, and so the gate's memory, in a service of hundreds of endpoints.
	// Near siblings come first: a move inside the data centre costs a fifth of a
	// millisecond and no traffic on long links, and among a few dozen siblings some are
	// fast and free at any moment. The far ones are for times when the data centre
	// itself is short of capacity.
	maxNear = 24
	maxFar  = 8
	// minKnownSiblings is how many siblings a gate knows at least, if there are that
	// many: where near ones are few, it knows more than maxFar far ones.
	minKnownSiblings = 16
	// minFanout is the minimum number of siblings that a gate reports to, if there are
	// that many. A gate reports to all near siblings that it knows, and to few far
	// ones: with more recipients, the same budget would allow fewer reports to each, so
	// that changes would arrive later. It is not necessary either, since a request can
	// move twice.
	minFanout = 5
	// minFarFanout is the minimum number of far siblings that a gate reports to.
	minFarFanout = 2
	// defaultDistance is assumed for a sibling whose distance has not been measured.
	defaultDistance = time.Millisecond
)

// Sibling is another gate of the same service.
type Sibling struct {
	Host string
	// Distance is the one-way network delay to it.
	Distance time.Duration
	// DataCenter is its data centre; Near is set if that is also this gate's data
	// centre.
	DataCenter string
	Near       bool
}

// sibling is a known sibling gate with its last report.
type sibling struct {
	Sibling
	report Report
	// takenAt is when the report was made, by this gate's clock: the time of its
	// arrival minus the distance.
	takenAt time.Duration
	known   bool
	// unreportedMoves are the requests that this gate moved to the sibling and that the
	// sibling's last report cannot include yet.
	unreportedMoves []unreportedMove
}

// unreportedMove is the time of a move, and the expected size of the response if it is
// large.
type unreportedMove struct {
	at    time.Duration
	bytes int64
}

// recordMove counts a request that goes to the sibling.
func (s *sibling) recordMove(now time.Duration, it *item) {
	m := unreportedMove{at: now}
	if it.hasLargeResponse() {
		m.bytes = it.responseBytes
	}
	s.unreportedMoves = append(s.unreportedMoves, m)
}

func (s *sibling) fresh(now time.Duration) bool { return s.known && now-s.takenAt <= reportTTL }

// siblings holds the known sibling gates and the state of the reports to them.
type siblings struct {
	self     string
	sequence uint64
	budget   *measure.Budget
	list     []*sibling
	byHost   map[string]*sibling
	// fanout lists the siblings that this gate reports to.
	fanout []*sibling
	// reported is the load last reported to siblings, at reportedAt.
	reported   Load
	reportedAt time.Duration
}

func newSiblings(self string) siblings {
	return siblings{self: self, budget: measure.NewBudget(0, 0), byHost: map[string]*sibling{}}
}

// SetSiblings replaces the list of the service's other gates. If there are many, it
// keeps those of its own data centre first, and within each group those with the
// highest pair weight: both gates of a pair compute the same weight, so that the
// siblings kept are mostly those that report to this gate.
func (g *Gate) SetSiblings(list []Sibling) {
	s := &g.siblings
	var near, far []weightedSibling
	for _, info := range list {
		if info.Host == s.self {
			continue
		}
		if info.Distance == 0 {
			info.Distance = defaultDistance
		}
		entry := weightedSibling{info, pairWeight(s.self, info.Host)}
		if info.Near {
			near = append(near, entry)
		} else {
			far = append(far, entry)
		}
	}
	s.selectSiblings(near, far)
	g.updateContention()
}

// weightedSibling is a gate that may become a known sibling, with its pair weight.
type weightedSibling struct {
	Sibling
	weight uint64
}

// selectSiblings selects the near and far siblings to keep, and those to report to.
func (s *siblings) selectSiblings(near, far []weightedSibling) {
	near = heaviest(near, maxNear)
	far = heaviest(far, max(maxFar, minKnownSiblings-len(near)))
	kept := slices.Concat(near, far)
	byHost := make(map[string]*sibling, len(kept))
	s.list = make([]*sibling, 0, len(kept))
	for _, info := range kept {
		entry := s.byHost[info.Host]
		if entry == nil {
			entry = &sibling{}
		}
		entry.Sibling = info.Sibling
		byHost[info.Host] = entry
		s.list = append(s.list, entry)
	}
	s.byHost = byHost
	recipients := min(max(minFarFanout, minFanout-len(near)), len(far))
	s.fanout = s.list[:len(near)+recipients]
}

// heaviest returns the siblings with the largest weights, at most n of them, the largest
// first.
func heaviest(list []weightedSibling, n int) []weightedSibling {
	slices.SortFunc(list, func(a, b weightedSibling) int { return cmp.Compare(b.weight, a.weight) })
	return list[:min(n, len(list))]
}

func pairWeight(a, b string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(min(a, b))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(max(a, b))
	return digest.Sum64()
}

// ApplyReport applies a sibling's report, unless a newer one is known.
func (g *Gate) ApplyReport(now time.Duration, r Report) {
	sib := g.siblings.byHost[r.Host]
	if sib == nil || sib.known && !r.Newer(sib.report) {
		return
	}
	sib.report, sib.takenAt, sib.known = r, now-sib.Distance, true
	g.updateContention()
	sib.dropReportedMoves()
}

// dropReportedMoves drops the moves that the report must already include: those made
// early enough for the request to have arrived before the report.
func (s *sibling) dropReportedMoves() {
	horizon := s.takenAt - 2*s.Distance
	kept := s.unreportedMoves[:0]
	for _, m := range s.unreportedMoves {
		if m.at > horizon {
			kept = append(kept, m)
		}
	}
	s.unreportedMoves = kept
}
