package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// increasePerSecond and decreasePerSecond are the rates at which the integral term of
	// the refused share changes. It rises faster than it falls, because refusing too few
	// requests delays every request, while refusing too many affects only the refused ones.
	increasePerSecond = 0.5
	decreasePerSecond = 0.1
	// maxStep limits the change of the integral term after a window that ended late.
	maxStep = 400 * time.Millisecond
	// maxShare is the largest share of requests to refuse. A few requests are always
	// admitted, since the delay while they are served shows when the overload has ended.
	maxShare = 0.98
	// fullSheddingDelay is the delay above the threshold at which nearly all requests are
	// refused, so that the backlog is cleared first.
	fullSheddingDelay = 200 * time.Millisecond
	// maxRanks limits the number of ranks tracked per origin. Requests of further ranks are
	// not refused.
	maxRanks = 64
	// minRecent is the decayed number of recent arrivals below which a rank is no longer
	// tracked.
	minRecent = 1e-3
	// arrivalsDecay is the factor by which the weight of past arrivals decreases with each
	// window.
	arrivalsDecay = 0.8
)

// Origin is the kind of sender of a request.
type Origin int

// Origins of requests: a caller, or another node. Refusing a request of another node wastes
// the processor time that it has already used there.
const (
	FromCaller Origin = iota
	FromNode
)

// Rank orders requests for shedding. Requests of a lower priority (a higher number; 0 is
// the highest priority) are refused first, and within a priority those with a longer aim.
// Calls that backend servers make while they run a request have the shortest aims; refusing
// one wastes the work done for the request that it belongs to.
type Rank struct {
	Priority int
	Aim      time.Duration
}

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Priority, other.Priority), cmp.Compare(r.Aim, other.Aim))
}

// Shedder selects the requests to refuse during an overload. A proportional-integral
// controller derives the refused share from the scheduling delay, since neither the cost of
// a request nor the available processor time is known. Callers' requests are refused first,
// lowest rank first. Requests of other nodes are refused only if refusing callers' requests
// is not enough.
type Shedder struct {
	Detector
	lastWindow time.Duration
	// integral is the integral term of the share of callers' requests to refuse. If it
	// exceeds 1, the excess is the share of other nodes' requests to refuse.
	integral float64
	origins  [2]originState
}

// originState holds the refused share of the requests of one origin.
type originState struct {
	share float64
	// ranks is sorted, highest rank first.
	ranks []*rankState
}

// rankState holds the refused share of the requests of one rank.
type rankState struct {
	rank Rank
	// arrivals counts requests in the current window; recentArrivals is the decayed sum
	// over completed windows.
	arrivals, recentArrivals float64
	// share is the share of requests to refuse. It is added to pending for each request;
	// each time pending reaches 1, one request is refused.
	share, pending float64
}

// Observe records that the process was not scheduled for the given delay, which ended now.
// It reports whether this completed an averaging window, after which the refused shares are
// updated.
func (s *Shedder) Observe(now, delay time.Duration) bool {
	if !s.Detector.Observe(now, delay) {
		return false
	}
	step := min(now-s.lastWindow, maxStep).Seconds()
	s.lastWindow = now
	proportional := 0.0
	switch {
	case s.Overloaded():
		proportional = float64(s.Delay()-delayThreshold) / float64(fullSheddingDelay)
		s.integral = min(1+maxShare, s.integral+increasePerSecond*step)
	case s.Delay() <= delayThreshold:
		s.integral = max(0, s.integral-decreasePerSecond*step)
	}
	s.origins[FromCaller].setShare(min(maxShare, s.integral+proportional))
	s.origins[FromNode].setShare(max(0, s.integral-1))
	return true
}

// setShare distributes the share to refuse over the ranks, lowest rank first.
func (o *originState) setShare(share float64) {
	o.share = share
	total := 0.0
	for _, r := range o.ranks {
		r.recentArrivals = r.recentArrivals*arrivalsDecay + r.arrivals
		r.arrivals = 0
		total += r.recentArrivals
	}
	o.ranks = slices.DeleteFunc(o.ranks, func(r *rankState) bool { return r.recentArrivals < minRecent })
	remaining := share * total
	for _, r := range slices.Backward(o.ranks) {
		r.share = max(0, min(remaining/r.recentArrivals, 1))
		remaining -= r.recentArrivals
	}
}

// Admit counts a request and reports whether to serve it rather than refuse it.
func (s *Shedder) Admit(from Origin, rank Rank) bool {
	r := s.origins[from].stateOf(rank)
	if r == nil {
		return true
	}
	r.arrivals++
	r.pending += r.share
	if r.pending < 1 {
		return true
	}
	r.pending--
	return false
}

// stateOf returns the state of a rank, adding it if needed, or nil if there are already
// maxRanks others.
func (o *originState) stateOf(rank Rank) *rankState {
	i, found := slices.BinarySearchFunc(o.ranks, rank, func(r *rankState, rank Rank) int { return r.rank.compare(rank) })
	if found {
		return o.ranks[i]
	}
	if len(o.ranks) >= maxRanks {
		return nil
	}
	r := &rankState{rank: rank}
	o.ranks = slices.Insert(o.ranks, i, r)
	return r
}

// Share returns the share of callers' requests to refuse, between 0 and 1.
func (s *Shedder) Share() float64 { return s.origins[FromCaller].share }
