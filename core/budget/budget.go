// Package budget divides a limited resource among holders whose number and demand are not known in
// advance, such as the memory of a process among its connections.
//
// A holder may take as much as it leaves free, which is the rule of dynamic thresholds for shared
// buffers. Invariant: a holder that wants more than it gets holds at most what is free, so that of n
// such holders each has at least 1/(n+1) of the total, and as much is left for one that comes next.
// What a single holder may take is never more than half.
package budget

// Budget is a resource with a limit. It is not safe for concurrent use.
type Budget struct{ total, used int64 }

// New returns a budget of the given number of units.
func New(total int64) Budget { return Budget{total: total} }

// Total returns the limit in units.
func (b *Budget) Total() int64 { return b.total }

// Used returns what all holders have taken together.
func (b *Budget) Used() int64 { return b.used }

// Part is what one holder has taken of a budget. The zero Part has taken nothing.
type Part struct{ taken int64 }

// Taken returns the units that the holder has taken.
func (p *Part) Taken() int64 { return p.taken }

// MayTake reports whether the holder may have more units.
func (p *Part) MayTake(b *Budget, units int64) bool {
	return p.taken+units <= b.total-b.used-units
}

// Take takes units of the budget if the holder may have them.
func (p *Part) Take(b *Budget, units int64) bool {
	if !p.MayTake(b, units) {
		return false
	}
	p.taken += units
	b.used += units
	return true
}

// Return returns units that were taken before.
func (p *Part) Return(b *Budget, units int64) {
	p.taken -= units
	b.used -= units
}
