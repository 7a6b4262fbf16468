package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// increasePerSecond and decreasePerSecond are the rates at which the integral term
	// changes. It rises faster than it falls, because refusing too few delays every
	// request, while refusing too many affects only the refused ones.
	increasePerSecond = 0.5
	decreasePerSecond = 0.1
	// maxStep limits the change of the integral term after a window that ended late.
	maxStep = 400 * time.Millisecond
	// maxShare is the largest share to refuse. The few admitted requests show by their
	// cost when the overload has ended.
	maxShare = 0.98
	// fullSheddingDelay is the delay above the threshold at which nearly all requests are
	// refused, so that the backlog is cleared first.
	fullSheddingDelay = 200 * time.Millisecond
	// maxRanks limits the number of ranks tracked per origin.
	maxRanks = 64
	// minRecent is the number of recent arrivals below which a rank is dropped.
	minRecent = 1e-3
	// arrivalsDecay is the weight of a window's arrivals relative to the next window's.
	arrivalsDecay = 0.8
)

// Origin is the kind of sender of a request.
type Origin int

// Origins. A request from another node has already used processor time there.
const (
	FromCaller Origin = iota
	FromNode
)

// Rank orders requests for shedding: lower priorities are refused first (0 is the
// highest), and within a priority longer aims. Calls that backend servers make while they
// run a request have the shortest aims; refusing one wastes the work done for its parent.
type Rank struct {
	Priority int
	Aim      time.Duration
}

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Priority, other.Priority), cmp.Compare(r.Aim, other.Aim))
}

// Shedder selects the requests to refuse during an overload. It controls the refused
// share by feedback, since neither the cost of a request nor the available processor
// time is known. Callers' requests are refused first, lowest rank first; those of other
// nodes only if refusing callers' requests is not enough.
type Shedder struct {
	Detector
	lastWindow time.Duration
	// integral is the integral term of the share of callers' requests to refuse. Its
	// excess over 1 is the share of other nodes' requests.
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
	// share is the share to refuse; pending accumulates it per request, and one request is
	// refused each time it reaches 1.
	share, pending float64
}

// Observe records a period of the given length in which the process was not scheduled.
// It reports whether this completed a window.
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

// Admit reports whether to serve a request.
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

// Share returns the share of callers' requests that are refused.
func (s *Shedder) Share() float64 { return s.origins[FromCaller].share }
