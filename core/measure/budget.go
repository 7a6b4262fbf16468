// Package measure enforces an institution's budget for load measurement.
//
// Load is measured by reports that the gates of a service send each other. The budget
// is spent by the gates, where the load is known: each may spend an equal share,
// whatever the number of callers. The total therefore stays within the budget without
// coordination.
package measure

import "time"

// window is the length of the sliding window over which the budget holds.
const window = time.Second

// admission is a report admitted in the current window.
type admission struct {
	at    time.Duration
	bytes uint32
}

// Budget admits at most the given number of reports and of bytes in any period of one
// second. It records the reports admitted in the last second, so that no position of
// the sliding window exceeds the limits; a token bucket would admit its rate plus its
// burst. It is not safe for concurrent use.
type Budget struct {
	reports int
	bytes   int

	ring          []admission
	first         int
	count         int
	bytesInWindow int

	// Admitted and Refused are the numbers of admitted and refused reports since the
	// start.
	Admitted, Refused uint64
	// AdmittedBytes is the total size of the admitted reports.
	AdmittedBytes uint64
}

// maxReports limits the memory of one Budget, at 16 bytes per report.
const maxReports = 1 << 14

// NewBudget returns a budget of the given numbers of reports and bytes per second.
func NewBudget(reports, bytes int) *Budget {
	b := &Budget{}
	b.Set(reports, bytes)
	return b
}

// Set changes the limits. Reports admitted in the last second still count.
func (b *Budget) Set(reports, bytes int) {
	b.reports = min(reports, maxReports)
	b.bytes = bytes
	if b.reports > len(b.ring) {
		grown := make([]admission, b.reports)
		for i := range b.count {
			grown[i] = b.ring[(b.first+i)%len(b.ring)]
		}
		b.ring, b.first = grown, 0
	}
}

// GateShare returns the share of a service's budget that one of its gates may spend.
// Rounding down keeps the sum of all shares within the budget.
func GateShare(total uint32, gates int) int {
	return int(total) / max(1, gates)
}

// Allow reports whether a report of the given size may be sent now, and records it if
// so. now must not decrease.
func (b *Budget) Allow(now time.Duration, bytes int) bool {
	b.expire(now)
	if b.count >= b.reports || b.bytesInWindow+bytes > b.bytes {
		b.Refused++
		return false
	}
	b.ring[(b.first+b.count)%len(b.ring)] = admission{now, uint32(bytes)}
	b.count++
	b.bytesInWindow += bytes
	b.Admitted++
	b.AdmittedBytes += uint64(bytes)
	return true
}

// expire removes reports that are older than the window.
func (b *Budget) expire(now time.Duration) {
	for b.count > 0 && now-b.ring[b.first].at >= window {
		b.bytesInWindow -= int(b.ring[b.first].bytes)
		b.first = (b.first + 1) % len(b.ring)
		b.count--
	}
}
