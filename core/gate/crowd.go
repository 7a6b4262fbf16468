package gate

import (
	"slices"

	"cactuspath/core/mechanism"
)

// Some backend servers slow down as a whole when nearly all of their slots are
// taken: six requests then take longer than four and two after them. The gate
// learns whether its server does, and by how much, from the demands of requests
// that ran in a crowd and of those that did not.
const (
	// crowdShare of the slots taken is a crowd.
	crowdShare = 0.8
	// crowdQuantile is which part of the demands is compared. Requests that wait for
	// calls of their own take longer in any crowd; the shorter ones make none.
	crowdQuantile = 0.15
	// crowdWindow is how many of the newest demands of each kind are kept: enough for
	// the gates of a service together to tell a crowd from work that varies.
	crowdWindow = 48
	// crowdSamples is how many demands of each kind are needed for a verdict.
	crowdSamples = 12
	// crowdWorth is from which factor on the last slots are left empty. A fifth of the
	// slots does less than the others lose from 1.25 on; the rest is for what is found
	// by chance where nothing slows.
	crowdWorth = 1.28
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
type crowd struct {
	roomy, full window
	// ratio is the factor that the windows give, kept until one changes.
	ratio float64
}

// window keeps the newest of the values that it is given.
type window struct {
	values [crowdWindow]float64
	seen   int
}

func (w *window) add(v float64) {
	w.values[w.seen%crowdWindow] = v
	w.seen++
}

// quantile is crowdQuantile of what is kept, which must not be nothing.
func (w *window) quantile() float64 {
	sorted := slices.Clone(w.values[:min(w.seen, crowdWindow)])
	slices.Sort(sorted)
	return sorted[int(crowdQuantile*float64(len(sorted)))]
}

func (c *crowd) add(ratio float64, crowding crowding) {
	switch crowding {
	case roomy:
		c.roomy.add(ratio)
	case full:
		c.full.add(ratio)
	default:
		return
	}
	if c.known() {
		c.ratio = c.full.quantile() / max(c.roomy.quantile(), leastRatio)
	}
}

// leastRatio keeps a division from going wrong; a demand is never so far below
// the usual one of its class.
const leastRatio = 1e-3

// known tells whether enough requests ran in a crowd and outside.
func (c *crowd) known() bool { return c.roomy.seen >= crowdSamples && c.full.seen >= crowdSamples }

// own is the factor found here; 0 until that is known.
func (c *crowd) own() float64 {
	if !c.known() {
		return 0
	}
	return min(mostCrowded, max(1, c.ratio))
}

// crowdFactor is how many times longer work takes in a crowd; 1 until that is
// known. The backend servers of a service run the same program, so the median of
// what all gates found counts: a single one finds 1.0 to 2.2 where 1.7 is true,
// and one that has just started knows nothing.
func (g *Gate) crowdFactor() float64 {
	if g.off(mechanism.Crowd) {
		return 1
	}
	return g.crowdCost
}

// weighCrowd works the cost of a crowd out anew, after a report or a completion that
// may have changed it. It is asked for several times an event: worked out each time, a
// request of a service of 17 gates took 2.7 us at its gate, and takes 1.8 us so.
func (g *Gate) weighCrowd() {
	found := g.crowdFound[:0]
	if own := g.slow.crowd.own(); own > 0 {
		found = append(found, own)
	}
	for _, sib := range g.siblings.list {
		if sib.known && sib.report.Load.Crowd > 0 {
			found = append(found, sib.report.Load.Crowd)
		}
	}
	g.crowdFound = found
	g.crowdCost = 1
	if len(found) > 0 {
		slices.Sort(found)
		g.crowdCost = found[len(found)/2]
	}
}

// crowdAt is the factor when the given number of requests run. More than the
// useful slots are not filled: a request that waits on a server whose last slots
// stay empty does not run in a crowd.
func (g *Gate) crowdAt(running int) float64 {
	if isCrowd(min(running, g.usefulSlots()), g.config.Slots) {
		return g.crowdFactor()
	}
	return 1
}

func isCrowd(running, slots int) bool { return float64(running) > crowdShare*float64(slots) }

// usefulSlots is how many of the slots are worth filling. The last ones are left
// empty until enough is known of requests outside a crowd: a server that is full
// from its start on would never show the difference. Then they are filled until
// enough is known of requests in one; not on a cold server, where finding out would
// come on top of the slowest time there is.
func (g *Gate) usefulSlots() int {
	slots := g.config.Slots
	if g.off(mechanism.Crowd) {
		return slots
	}
	if g.slow.crowd.roomy.seen >= crowdSamples && g.crowdFactor() <= crowdWorth && !(g.slow.isCold() && !g.slow.crowd.known()) {
		return slots
	}
	return max(1, int(crowdShare*float64(slots)))
}
