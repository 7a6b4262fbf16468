// Package link decides when the chunks of large responses may be written to the link of a
// host, so that short responses do not queue behind them.
//
// The link is modelled as a server that sends large chunks one at a time at a share of its
// bandwidth. Bytes that are written without asking take their time out of that share. Because
// a chunk is released only when the link is expected to have sent the one before it, the
// queue in front of the link stays as short as a chunk, whatever the buffers of the
// connections could hold.
package link

import (
	"slices"
	"time"
)

const (
	// LargeBytes is the length from which a response is large. A shorter one takes at most
	// 24 ms of a link with 11 Mbit/s and is not worth a wait.
	LargeBytes = 32 << 10
	// LargeShare is the share of the bandwidth that large and counted bytes may take together
	// while large ones are sent. The rest covers heads of messages, packet headers and
	// traffic that is not counted.
	LargeShare = 0.9
	// BytesPerMegabit converts a bandwidth in Mbit/s to bytes per second.
	BytesPerMegabit = 1e6 / 8
	// maxChunkBytes and maxChunkTime limit a chunk: a short response may have to wait for
	// one to pass. 5 ms is small against the shortest aims (150 ms), and large enough that a
	// host with a sixth of a core can afford a wake-up for each chunk.
	maxChunkBytes = 8 << 10
	maxChunkTime  = 5 * time.Millisecond
	// minChunkBytes is the smallest chunk on links below 0.8 Mbit/s, where 5 ms are less
	// than a packet.
	minChunkBytes = 512
	// maxEventBytes is the size up to which a piece of a response of unknown length is an event
	// of a stream, after which its source has nothing more to send for now.
	maxEventBytes = 1024
	// minLargeShare is the share that large responses get even while counted bytes take more
	// than the whole link, for example because the bandwidth is set too low. Without it they
	// would wait forever.
	minLargeShare = 0.1
	// maxDebt limits for how long bytes written without asking can keep large responses
	// waiting after the last of them.
	maxDebt = 200 * time.Millisecond
	// stalledAfter is how long after its last chunk a transfer that asks for none still
	// counts in the backlog. Its receiver or its source, not this link, limits it then.
	stalledAfter = 500 * time.Millisecond
	// shareWeight is the number of chunks over which the share of a transfer is averaged. One
	// late write of a receiver that keeps up counts little, and a slow one is known within
	// some 60 KB.
	shareWeight = 8
)

// TransferID identifies the transfer of one large response; 0 is none.
type TransferID uint64

// transfer is one large response that is being sent.
type transfer struct {
	id TransferID
	// left is the number of bytes still to be sent; it is meaningless if the length is
	// unknown.
	left    int64
	unknown bool
	sent    int64
	due     time.Duration
	// asked is the size of the chunk that waits to be sent; 0 if none does.
	asked int
	// event: what waits to be sent is all that the source has for now.
	event bool
	// activeAt is when the transfer began, last asked or last got a chunk.
	activeAt time.Duration
	// grantedAt is when the transfer began or last got a chunk.
	grantedAt time.Duration
	// share is the share of time in which the transfer waited for the link or used it, and not
	// for its receiver or its source.
	share float64
}

// grant records that the chunk that waits may be written, which takes the link the given time.
func (t *transfer) grant(now, took time.Duration) {
	if cycle := now - t.grantedAt; cycle > 0 {
		used := max(now-t.activeAt, took)
		t.share += (min(1, float64(used)/float64(cycle)) - t.share) / shareWeight
	}
	t.sent += int64(t.asked)
	t.left = max(0, t.left-int64(t.asked))
	t.asked, t.activeAt, t.grantedAt = 0, now, now
}

// expectedLeft returns the number of bytes that the transfer is expected to send. A response
// of unknown length is expected to be as long again as it is now, unless an event waits: that
// of a long stream would otherwise wait for as long as other transfers keep the link busy.
func (t *transfer) expectedLeft() int64 {
	switch {
	case t.event:
		return int64(t.asked)
	case t.unknown:
		return max(LargeBytes, t.sent)
	}
	return t.left
}

// backlog returns the number of bytes that count as waiting for the link. An unknown length
// counts as the shortest large one, since a stream without end would otherwise grow forever.
// A transfer counts with its share: a long one to a slow receiver leaves the link to others
// for most of the time, and would have its host's gate refuse downloads that are sent at once.
func (t *transfer) backlog(now time.Duration) int64 {
	switch {
	case t.asked == 0 && now-t.activeAt > stalledAfter:
		return 0
	case t.unknown:
		return int64(t.share * LargeBytes)
	}
	return int64(t.share * float64(t.left))
}

// Scheduler orders the chunks of all large responses of a host. Not safe for concurrent use.
type Scheduler struct {
	bytesPerSecond float64
	chunk          int
	// nextAt is when the link will have sent, at LargeShare of its bandwidth, what was
	// released so far. guaranteedAt is when the next chunk is released at the latest.
	nextAt, guaranteedAt time.Duration
	// transfers are in the order in which they began. A host has at most some hundred, as
	// many as it has large responses in progress.
	transfers []*transfer
	lastID    TransferID
	// before reports whether a chunk of a goes before one of b.
	before func(a, b *transfer) bool
}

// New returns the scheduler of a link with the given bandwidth, which is above 0.
func New(bytesPerSecond float64) *Scheduler {
	chunk := min(maxChunkBytes, max(minChunkBytes, bytesPerSecond*maxChunkTime.Seconds()))
	return &Scheduler{bytesPerSecond: bytesPerSecond, chunk: int(chunk), before: fewestBytesLeft}
}

// fewestBytesLeft lets the transfer that is expected to end soonest go first, which completes
// the most responses by any time. Transfers of the same length go in the order of their times.
func fewestBytesLeft(a, b *transfer) bool {
	if left, other := a.expectedLeft(), b.expectedLeft(); left != other {
		return left < other
	}
	return a.due < b.due
}

// Chunk returns the largest number of bytes that a transfer may ask for at once.
func (s *Scheduler) Chunk() int { return s.chunk }

// Sent records bytes that were written without asking.
func (s *Scheduler) Sent(now time.Duration, bytes int) {
	before := s.nextAt
	s.charge(now, bytes)
	s.nextAt = max(before, min(s.nextAt, now+maxDebt))
}

// Begin starts the transfer of a response with the given number of bytes, or an unknown one
// if it is negative, that its receiver expects by due.
func (s *Scheduler) Begin(now time.Duration, bytes int64, due time.Duration) TransferID {
	if len(s.transfers) == 0 {
		// An idle link has no late chunks to make up for.
		s.nextAt = max(s.nextAt, now)
	}
	s.lastID++
	s.transfers = append(s.transfers, &transfer{id: s.lastID, left: max(0, bytes), unknown: bytes < 0, due: due, activeAt: now, grantedAt: now, share: 1})
	return s.lastID
}

// Ask requests that a transfer may write its next chunk, of at most Chunk bytes.
func (s *Scheduler) Ask(now time.Duration, id TransferID, bytes int) {
	if t := s.find(id); t != nil {
		t.asked, t.activeAt = min(max(1, bytes), s.chunk), now
		t.event = t.unknown && t.asked <= maxEventBytes && t.asked < s.chunk
	}
}

// Next returns the transfer that may write its chunk now. If there is none, ok is false, and
// at is when to call Next again, or 0 if no transfer waits.
func (s *Scheduler) Next(now time.Duration) (id TransferID, ok bool, at time.Duration) {
	first := s.first()
	if first == nil {
		return 0, false, 0
	}
	if at := min(s.nextAt, s.guaranteedAt); at > now {
		return 0, false, at
	}
	bytes := first.asked
	s.charge(now, bytes)
	s.guaranteedAt = now + s.duration(float64(bytes), minLargeShare)
	first.grant(now, s.duration(float64(bytes), LargeShare))
	return first.id, true, 0
}

// End ends a transfer, whether or not all of it was sent.
func (s *Scheduler) End(_ time.Duration, id TransferID) {
	s.transfers = slices.DeleteFunc(s.transfers, func(t *transfer) bool { return t.id == id })
}

// Backlog returns how long the link needs for the remaining bytes of all large transfers, as
// far as it limits them.
func (s *Scheduler) Backlog(now time.Duration) time.Duration {
	bytes := int64(0)
	for _, t := range s.transfers {
		bytes += t.backlog(now)
	}
	if bytes == 0 {
		return 0
	}
	return max(0, s.nextAt-now) + s.duration(float64(bytes), LargeShare)
}

// charge adds released bytes to what the link has to send. Time that has passed unused is lost
// except for that of one chunk or maxChunkTime, so that after a late timer at most two chunks
// or 5 ms of the link go at once. On a fast link, a chunk takes less time than timers are late
// by: with the time of one chunk only, 1 Gbit/s was used at 18 MB/s.
func (s *Scheduler) charge(now time.Duration, bytes int) {
	unused := now - max(maxChunkTime, s.duration(float64(s.chunk), LargeShare))
	s.nextAt = max(s.nextAt, unused) + s.duration(float64(bytes), LargeShare)
}

// duration returns the time that a share of the link needs for bytes.
func (s *Scheduler) duration(bytes, share float64) time.Duration {
	return time.Duration(bytes / (s.bytesPerSecond * share) * float64(time.Second))
}

// first returns the transfer whose chunk goes next, or nil if none waits.
func (s *Scheduler) first() *transfer {
	var first *transfer
	for _, t := range s.transfers {
		if t.asked > 0 && (first == nil || s.before(t, first)) {
			first = t
		}
	}
	return first
}

func (s *Scheduler) find(id TransferID) *transfer {
	for _, t := range s.transfers {
		if t.id == id {
			return t
		}
	}
	return nil
}
