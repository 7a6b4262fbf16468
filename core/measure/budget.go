// Package measure limits the rate of load reports to the budget of an institution.
//
// The gates of a service report their load to each other. The budget limits these reports,
// in number and in bytes per second. It is divided equally among the gates, which know the
// load, and does not depend on the number of callers. Each gate stays within its share, so
// the total stays within the budget without coordination.
package measure

import "time"

// window is the length of the sliding window over which the budget holds.
const window = time.Second

// admission is a report admitted in the current window.
type admission struct {
	at    time.Duration
	bytes uint32
}

// Budget is a rate limit: it admits at most a given number of reports and a given number
// of bytes in any period of one second. It uses a sliding window, which records the reports
// admitted in the last second. A token bucket would admit its burst in addition to its
// rate. A Budget is not safe for concurrent use.
type Budget struct {
	reports int
	bytes   int

	ring          []admission
	first         int
	count         int
	bytesInWindow int

	// Admitted and Refused count the reports admitted and refused since the Budget was
	// created.
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

// Set changes the limits. Reports admitted in the last second count towards the new limits.
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
