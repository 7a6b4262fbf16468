package gate

import (
	"slices"

	"cactuspath/core/mechanism"
)

// Some backend servers slow down as a whole when nearly all of their slots are in use:
// six concurrent requests then take longer than four of them followed by the other two.
// The gate learns whether its server does, and by how much, by comparing the service
// demands of requests that ran at high occupancy with those of requests that did not.
// The mechanism's name in the settings is "crowd".
const (
	// highOccupancyShare is the share of slots in use above which occupancy is high.
	highOccupancyShare = 0.8
	// contentionQuantile is the quantile of the demands that is compared. Requests that
	// wait for calls to other backend servers take longer at high occupancy even
	// without contention here; the shorter requests make no such calls.
	contentionQuantile = 0.15
	// contentionWindow is how many of the newest demands are kept for high and for low
	// occupancy each: enough for the gates of a service together to tell contention
	// from varying demand.
	contentionWindow = 48
	// minContentionSamples is how many demands are needed for high and for low
	// occupancy each before contention is estimated.
	minContentionSamples = 12
	// contentionThreshold is the contention factor above which the last slots are left
	// empty. From 1.25 on, filling the last fifth of the slots adds less throughput
	// than the others lose; the margin above 1.25 allows for factors measured by chance
	// on servers without contention.
	contentionThreshold = 1.28
	// maxContentionFactor caps the estimated factor.
	maxContentionFactor = 4
)

// occupancy classifies how full the server was while a request ran.
type occupancy int

const (
	// mixedOccupancy: the occupancy was high for only part of the time; such requests
	// are not compared.
	mixedOccupancy occupancy = iota
	lowOccupancy
	highOccupancy
)

// contention compares the demands of requests that ran at high occupancy with those of
// requests that ran at low occupancy.
type contention struct {
	lowOccupancy, highOccupancy window
	// ratio is the factor computed from the windows, cached until a window changes.
	ratio float64
}

// window keeps the newest values added to it.
type window struct {
	values [contentionWindow]float64
	seen   int
}

func (w *window) add(v float64) {
	w.values[w.seen%contentionWindow] = v
	w.seen++
}

// quantile is the given quantile of the kept values, of which there must be at least one.
func (w *window) quantile(q float64) float64 {
	sorted := slices.Clone(w.values[:min(w.seen, contentionWindow)])
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)))]
}

func (c *contention) add(ratio float64, occupancy occupancy) {
	switch occupancy {
	case lowOccupancy:
		c.lowOccupancy.add(ratio)
	case highOccupancy:
		c.highOccupancy.add(ratio)
	default:
		return
	}
	if c.known() {
		c.ratio = c.highOccupancy.quantile(contentionQuantile) / max(c.lowOccupancy.quantile(contentionQuantile), minDemandRatio)
	}
}

// minDemandRatio prevents a division by zero; no demand is that far below the mean of
// its class.
const minDemandRatio = 1e-3

// known reports whether there are enough samples at both occupancies.
func (c *contention) known() bool {
	return c.lowOccupancy.seen >= minContentionSamples && c.highOccupancy.seen >= minContentionSamples
}

// localFactor is the contention factor measured at this gate; 0 until it is known.
func (c *contention) localFactor() float64 {
	if !c.known() {
		return 0
	}
	return min(maxContentionFactor, max(1, c.ratio))
}

// contentionFactor is how many times longer requests take at high occupancy. Until it is
// measured, it is that of the service's profile, or 1. The backend servers of a service run
// the same program, so the median of the factors measured by all gates is used: a single
// gate measures 1.0 to 2.2 where the true factor is 1.7, and a gate that has just started
// has no measurement.
func (g *Gate) contentionFactor() float64 {
	if g.disabled(mechanism.Contention) {
		return 1
	}
	if !g.contentionMeasured() {
		return max(1, g.seededContention())
	}
	return g.cachedContention
}

// updateContention recomputes the contention factor after a report or completion that
// may have changed it. The result is cached because it is needed several times per
// event: in a service with 17 gates, a request takes 1.8 us of its gate's time with the
// cache, and 2.7 us if the factor is computed on each use.
func (g *Gate) updateContention() {
	found := g.contentionFactors[:0]
	if localFactor := g.speed.contention.localFactor(); localFactor > 0 {
		found = append(found, localFactor)
	}
	for _, sib := range g.siblings.list {
		if sib.known && sib.report.Load.Contention > 0 {
			found = append(found, sib.report.Load.Contention)
		}
	}
	g.contentionFactors = found
	g.cachedContention = 1
	if len(found) > 0 {
		slices.Sort(found)
		g.cachedContention = found[len(found)/2]
	}
}

// contentionFactorAt is the contention factor with the given number of running
// requests. The number counts only up to the useful slots, since no more requests are
// started: a request that waits on a server whose last slots stay empty will not run at
// high occupancy.
func (g *Gate) contentionFactorAt(running int) float64 {
	if isHighOccupancy(min(running, g.usefulSlots()), g.config.Slots) {
		return g.contentionFactor()
	}
	return 1
}

func isHighOccupancy(running, slots int) bool {
	return float64(running) > highOccupancyShare*float64(slots)
}

// usefulSlots is how many of the slots are worth filling. The last ones are left empty
// until there are enough samples at low occupancy: a server that is full from its start
// would never provide any to compare with. Then they are filled until there are enough
// samples at high occupancy, but not on a cold server, where this measurement would add
// contention while the server is slowest. A profile without contention allows all slots
// until a measurement contradicts it; one with contention keeps the last ones empty until
// the gate measures again.
func (g *Gate) usefulSlots() int {
	slots := g.config.Slots
	if g.disabled(mechanism.Contention) {
		return slots
	}
	if g.fillsBySeed() || g.fillsByMeasurement() {
		return slots
	}
	return max(1, int(highOccupancyShare*float64(slots)))
}

// fillsByMeasurement reports whether all slots are used because measurements show no
// contention, or to provide samples at high occupancy. Only measurements count here: a
// profile with contention would otherwise prevent the samples that could contradict it.
func (g *Gate) fillsByMeasurement() bool {
	c := &g.speed.contention
	if c.lowOccupancy.seen < minContentionSamples || g.speed.isCold() && !c.known() {
		return false
	}
	return !g.contentionMeasured() || g.contentionFactor() <= contentionThreshold
}
