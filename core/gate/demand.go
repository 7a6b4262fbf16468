package gate

// Service demand: how long the requests of each class take at normal speed, measured on
// the work clock (see speedTracker).

const (
	// demandGain is the weight of one completion in the mean demand, which thus
	// averages about thirty completions.
	demandGain = 1.0 / 30
	// maxClasses limits the number of request classes whose demand is tracked
	// separately.
	maxClasses = 64
	// aimToWorkRatio is the assumed ratio of a class's aim to its mean demand while too
	// few requests of the class have completed. In the users' deployments the ratio is
	// 2.6 to 4.
	aimToWorkRatio = 3
	// minClassSamples is how many completions a class needs before its mean replaces
	// the estimate from its aim: the shortest requests complete first.
	minClassSamples = 5
)

// movingMean is a moving mean of the demands of requests, in nanoseconds at normal speed,
// or of the sizes of their responses, in bytes.
type movingMean struct {
	value float64
	seen  int
}

func (m *movingMean) add(v float64) {
	m.seen++
	m.value += (v - m.value) * max(demandGain, 1/float64(m.seen))
}

// class holds the demand statistics of one class of requests.
type class struct {
	movingMean
	// lowOccupancy is the mean of the requests that ran at low occupancy.
	lowOccupancy movingMean
	// responseSize is the mean size of the responses in bytes.
	responseSize movingMean
}

// addContentionSample adds a demand to the contention estimate, relative to the class's
// mean at low occupancy. The mean of all requests would rise with the contention on a
// server that stays full; contention would then seem to cost nothing, and the server
// would be filled further.
func (s *speedTracker) addContentionSample(c *class, demand float64, occupancy occupancy) {
	if occupancy == lowOccupancy {
		c.lowOccupancy.add(demand)
	}
	if c.lowOccupancy.seen > 0 {
		s.contention.add(demand/max(c.lowOccupancy.value, 1), occupancy)
	}
}

// class returns the statistics of the named class; nil if the maximum number of classes
// is reached.
func (s *speedTracker) class(name string) *class {
	m := s.classes[name]
	if m == nil && len(s.classes) < maxClasses {
		m = &class{}
		s.classes[name] = m
	}
	return m
}

// minDemandSamples is how many completions the mean demand needs before it replaces the
// estimate from aims: the shortest requests complete first.
const minDemandSamples = 20

// meanDemand is the mean demand of all requests.
func (s *speedTracker) meanDemand() float64 {
	if s.demand.seen < minDemandSamples && s.initialDemand > 0 {
		return s.initialDemand
	}
	return s.demand.value
}

// seedDemand derives the initial estimate of the mean demand from the aims of arriving
// requests or the demands of their classes in the service's profile.
func (s *speedTracker) seedDemand(r Request) {
	if r.Aim == 0 && s.seededDemand(r.Class) == 0 || s.demand.seen >= minDemandSamples {
		return
	}
	demand := s.demandOf(r)
	if s.initialDemand == 0 {
		s.initialDemand = demand
	}
	s.initialDemand += (demand - s.initialDemand) / minDemandSamples
}

// demandOf is the demand of a request's class. Before enough requests of the class have
// completed, it is that of the service's profile, or estimated from the aim: operators set
// aims to a few times the mean demand.
func (s *speedTracker) demandOf(r Request) float64 {
	m := s.classes[r.Class]
	if m != nil && m.seen >= minClassSamples {
		return m.value
	}
	if seeded := s.seededDemand(r.Class); seeded > 0 {
		return seeded
	}
	if m != nil && m.seen > 0 && r.Aim == 0 {
		return m.value
	}
	if r.Aim > 0 {
		return float64(r.Aim) / aimToWorkRatio
	}
	return s.demand.value
}
