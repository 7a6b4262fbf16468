package gate

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuspath/core/measure"
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
	// maxNear and maxFar bound the gates that one gate knows in its own data centre and
	// elsewhere, and so its memory, in a service of hundreds of endpoints. Near ones
	// come first: a move inside the data centre costs a fifth of a millisecond and no
	// bytes on long links, and of a few dozen some are fast and free at any moment. The
	// far ones are for times when the data centre itself is short.
	maxNear = 24
	maxFar  = 8
	// fewSiblings is how many gates may be known where they are few, wherever they are.
	fewSiblings = 16
	// leastFanout is how many siblings a gate reports to at least, if there are that
	// many. More than all near ones would learn each change later under the same
	// budget, and need not know it: a request can move twice.
	leastFanout = 5
	// farFanout is how many siblings elsewhere it reports to at least.
	farFanout = 2
	// defaultDistance is assumed for a sibling not measured yet.
	defaultDistance = time.Millisecond
)

// Sibling is another gate of the same service.
type Sibling struct {
	Host string
	// Distance is the one-way delay to it.
	Distance time.Duration
	// DataCenter is where it is; Near tells that this gate is there too.
	DataCenter string
	Near       bool
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

// SetSiblings replaces the list of the service's other gates. Of many it keeps those
// of its own data centre first, and of each kind those with the highest weight for the
// pair: both gates of a pair compute the same weight, so that those who report to this
// gate are mostly among them.
func (g *Gate) SetSiblings(list []Sibling) {
	s := &g.siblings
	var near, far []*sibling
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
		if info.Near {
			near = append(near, held)
		} else {
			far = append(far, held)
		}
	}
	s.choose(near, far)
	s.byHost = map[string]*sibling{}
	for _, sib := range s.list {
		s.byHost[sib.Host] = sib
	}
	g.weighCrowd()
}

// choose keeps some of the near and far siblings, and those that are told of the load.
func (s *siblings) choose(near, far []*sibling) {
	s.byWeight(near)
	s.byWeight(far)
	near = near[:min(maxNear, len(near))]
	far = far[:min(max(maxFar, fewSiblings-len(near)), len(far))]
	s.list = slices.Concat(near, far)
	told := min(max(farFanout, leastFanout-len(near)), len(far))
	s.fanout = slices.Concat(near, far[:told])
}

func (s *siblings) byWeight(list []*sibling) {
	sort.Slice(list, func(i, j int) bool { return pairWeight(s.self, list[i].Host) > pairWeight(s.self, list[j].Host) })
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
