package gate

// Some backend servers slow down as a whole when nearly all of their slots are
// taken: six requests then take longer than four and two after them. The gate
// learns whether its server does, and by how much, from the demands of requests
// that ran in a crowd and of those that did not.
const (
	// crowdShare of the slots taken is a crowd.
	crowdShare = 0.8
	// crowdQuantile is which part of the demands is compared. Requests that wait for
	// calls of their own take longer in any crowd; the shorter ones make none.
	crowdQuantile = 0.3
	// crowdStep moves the quantiles, as a share of the usual demand.
	crowdStep = 0.05
	// crowdSamples is how many demands of each kind are needed for a verdict.
	crowdSamples = 12
	// crowdWorth is from which factor on the last slots are left empty. With exact
	// figures that would pay from 1.25 on; what the gate finds is too low, since the
	// usual demand has crowded times in it: on servers that slow down by 1.7 some
	// gates found 1.17 to 1.3 after a dozen samples, and 1.0 where nothing slows.
	crowdWorth = 1.12
	// mostCrowded bounds what is believed.
	mostCrowded = 4
)

// crowding tells how full the server was while a request ran.
type crowding int

const (
	// mixed: full for a part of the time, which tells nothing.
	mixed crowding = iota
	roomy
	full
)

// crowd compares demands in a crowd with those outside.
type crowd struct{ roomy, full quantile }

// quantile follows crowdQuantile of what it is given.
type quantile struct {
	value float64
	seen  int
}

func (q *quantile) add(v float64) {
	if q.seen++; q.seen == 1 {
		q.value = v
		return
	}
	if v < q.value {
		q.value -= crowdStep * (1 - crowdQuantile)
	} else {
		q.value += crowdStep * crowdQuantile
	}
}

func (c *crowd) add(ratio float64, crowding crowding) {
	switch crowding {
	case roomy:
		c.roomy.add(ratio)
	case full:
		c.full.add(ratio)
	}
}

// factor is how many times longer work takes in a crowd; 1 until that is known.
func (c *crowd) factor() float64 {
	if c.roomy.seen < crowdSamples || c.full.seen < crowdSamples || c.roomy.value <= 0 {
		return 1
	}
	return min(mostCrowded, max(1, c.full.value/c.roomy.value))
}

// at is the factor when the given number of requests run.
func (c *crowd) at(running, slots int) float64 {
	if isCrowd(running, slots) {
		return c.factor()
	}
	return 1
}

func isCrowd(running, slots int) bool { return float64(running) > crowdShare*float64(slots) }

// useful is how many of the slots are worth filling. The last ones are left empty
// until enough is known of requests outside a crowd: a server that is full from
// its start on would never show the difference.
func (c *crowd) useful(slots int) int {
	if c.roomy.seen >= crowdSamples && c.factor() <= crowdWorth {
		return slots
	}
	return max(1, int(crowdShare*float64(slots)))
}
