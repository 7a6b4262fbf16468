// Package measure enforces an institution's budget for measuring load.
//
// Load is measured by reports that the gates of a service send each other. The
// budget is spent where load is known, at the gates: each may spend an equal
// share, whatever the number of callers. So the sum stays within the budget
// without anybody having to agree on anything.
package measure

import "time"

// window is the span over which the budget must hold, at any position.
const window = time.Second

// spend is one report in the current window.
type spend struct {
	at    time.Duration
	bytes uint32
}

// Budget admits reports so that in every span of one second at most the given
// number of reports and of bytes pass. It remembers what it admitted in the last
// second, so that no position of the span can exceed the limit; a token bucket
// alone admits its rate plus its burst. Not safe for concurrent use.
type Budget struct {
	reports int
	bytes   int

	ring  []spend
	first int
	count int
	spent int

	// Admitted and Refused count reports since the start.
	Admitted, Refused uint64
	// AdmittedBytes counts their bytes.
	AdmittedBytes uint64
}

// maxReports bounds the memory of one Budget: 16 bytes a report.
const maxReports = 1 << 14

// NewBudget returns a budget of reports and bytes per second.
func NewBudget(reports, bytes int) *Budget {
	b := &Budget{}
	b.Set(reports, bytes)
	return b
}

// Set changes the limits. What was admitted in the last second still counts.
func (b *Budget) Set(reports, bytes int) {
	b.reports = min(reports, maxReports)
	b.bytes = bytes
	if b.reports > len(b.ring) {
		grown := make([]spend, b.reports)
		for i := range b.count {
			grown[i] = b.ring[(b.first+i)%len(b.ring)]
		}
		b.ring, b.first = grown, 0
	}
}

// GateShare is the part of a service's budget that one of its gates may spend.
// Rounding down keeps the sum of all shares within the whole.
func GateShare(total uint32, gates int) int {
	return int(total) / max(1, gates)
}

// Allow tells whether a report of the given size may be sent now, and counts
// it if so. Now must not go back.
func (b *Budget) Allow(now time.Duration, bytes int) bool {
	b.forget(now)
	if b.count >= b.reports || b.spent+bytes > b.bytes {
		b.Refused++
		return false
	}
	b.ring[(b.first+b.count)%len(b.ring)] = spend{now, uint32(bytes)}
	b.count++
	b.spent += bytes
	b.Admitted++
	b.AdmittedBytes += uint64(bytes)
	return true
}

// forget drops what lies a full window back.
func (b *Budget) forget(now time.Duration) {
	for b.count > 0 && now-b.ring[b.first].at >= window {
		b.spent -= int(b.ring[b.first].bytes)
		b.first = (b.first + 1) % len(b.ring)
		b.count--
	}
}
