package gate

// What the gate knows of how much work requests take, class by class, on the work clock.

const (
	// demandGain moves the mean demand, per completion: some thirty completions.
	demandGain = 1.0 / 30
	// maxClasses bounds the classes of requests whose demand is kept apart.
	maxClasses = 64
	// aimOverWork is how many times the usual work an aim allows, where no request of
	// the class has completed yet: 2.6 to 4 in the users' deployments.
	aimOverWork = 3
	// classSamples is how many completions a class needs before its mean replaces
	// the guess from its aim: the first to complete are the shortest.
	classSamples = 5
)

// mean is a moving mean of demands in nanoseconds at the usual speed.
type mean struct {
	value float64
	seen  int
}

func (m *mean) add(v float64) {
	m.seen++
	m.value += (v - m.value) * max(demandGain, 1/float64(m.seen))
}

// class is what is known of the demands of one class of requests.
type class struct {
	mean
	// roomy is the mean of those that ran outside a crowd.
	roomy mean
}

// compare takes a demand in to find out what a crowd costs. Its measure is the mean of
// those that ran outside a crowd: the mean of all follows the crowd on a server that
// stays full, which then looked as if a crowd cost nothing, and was filled further.
func (s *slowdown) compare(c *class, demand float64, crowding crowding) {
	if crowding == roomy {
		c.roomy.add(demand)
	}
	if c.roomy.seen > 0 {
		s.crowd.add(demand/max(c.roomy.value, 1), crowding)
	}
}

// class is what is known of the class with a name; nil if too many are kept already.
func (s *slowdown) class(name string) *class {
	m := s.classes[name]
	if m == nil && len(s.classes) < maxClasses {
		m = &class{}
		s.classes[name] = m
	}
	return m
}

// guessSamples is how many completions the mean demand needs before it replaces
// the guess from aims: the first to complete are the shortest.
const guessSamples = 20

// usual is the mean demand of all requests.
func (s *slowdown) usual() float64 {
	if s.demand.seen < guessSamples && s.guess > 0 {
		return s.guess
	}
	return s.demand.value
}

// expect lets the aims of what arrives stand for the mean demand at first.
func (s *slowdown) expect(r Request) {
	if r.Aim == 0 || s.demand.seen >= guessSamples {
		return
	}
	demand := s.demandOf(r)
	if s.guess == 0 {
		s.guess = demand
	}
	s.guess += (demand - s.guess) / guessSamples
}

// demandOf is the demand of a request's class. Before one of it completed, its
// aim tells: operators set aims to a few times of the usual work.
func (s *slowdown) demandOf(r Request) float64 {
	if m := s.classes[r.Class]; m != nil && (m.seen >= classSamples || m.seen > 0 && r.Aim == 0) {
		return m.value
	}
	if r.Aim > 0 {
		return float64(r.Aim) / aimOverWork
	}
	return s.demand.value
}
