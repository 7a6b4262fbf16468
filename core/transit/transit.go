// Package transit estimates how long messages were on their way, including the time that they
// lay unread at the receiver, without synchronized clocks.
//
// Each message carries the time at which it was sent, by a clock of its sender that only moves
// forward. The difference to the receiver's clock is the offset between the clocks plus the
// transit time. The smallest recent difference belongs to a message that was read at once, so
// what a message exceeds it by is the time for which the message was held up.
package transit

import "time"

const (
	// window is how long the smallest difference is used at least; it is forgotten after
	// twice that time. If a sender's clock is suspended with its machine, its messages look
	// held up for that long.
	window = 10 * time.Second
	// maxSenders bounds the memory: an entry takes some 60 bytes.
	maxSenders = 4096
)

// Estimator keeps the smallest recent difference of each sender. It is not safe for
// concurrent use.
type Estimator struct {
	senders map[uint64]*differences
}

// differences are the smallest ones of the current and the previous window.
type differences struct {
	current, previous time.Duration
	// since is when the current window began, by the receiver's clock.
	since time.Duration
}

// NewEstimator returns an estimator that knows no senders.
func NewEstimator() *Estimator { return &Estimator{senders: map[uint64]*differences{}} }

// Observe returns how much longer than the fastest recent message of the same sender a
// message took from being sent, by the sender's clock, until it was read, by the receiver's.
// Known is false for the first message of a sender, which nothing can be compared with.
func (e *Estimator) Observe(sender uint64, sent, read time.Duration) (held time.Duration, known bool) {
	difference := read - sent
	d := e.senders[sender]
	if d == nil {
		if len(e.senders) >= maxSenders {
			clear(e.senders)
		}
		e.senders[sender] = &differences{current: difference, previous: difference, since: read}
		return 0, false
	}
	if read-d.since >= window {
		d.current, d.previous, d.since = difference, d.current, read
	}
	d.current = min(d.current, difference)
	return difference - min(d.current, d.previous), true
}
