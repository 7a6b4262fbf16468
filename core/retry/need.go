package retry

import "time"

// Need ranks requests by what is lost if they are not retried. The zero Need is First.
type Need int

// Needs, lowest first.
const (
	// First is a request that its caller sends for the first time. The caller usually sends
	// it again, which costs no retry budget.
	First Need = iota
	// CameBack is a request whose caller sends it again after an earlier try of its own, and
	// does not send it once more.
	CameBack
	// Call is a request that a backend server makes for a request that it runs. Nobody sends
	// it again, and its failure wastes what that request has used.
	Call
	needs
)

var needNames = [needs]string{"first", "came-back", "call"}

// String returns the name used in metrics and logs.
func (n Need) String() string { return needNames[n] }

const (
	// needBucket is the resolution of a needWindow: callers come back within a tenth of a
	// second, and what they ask for must count soon after.
	needBucket = 200 * time.Millisecond
	// minNeedBuckets is the number of past buckets that count in any case, two seconds: a
	// wave of rejections lasts some seconds, and the order must follow it.
	minNeedBuckets = 10
	// needBuckets is the number of buckets kept, ten seconds.
	needBuckets = 50
	// minNeedAsked is the number of retries asked for below which older buckets count too. At
	// a request a second, two seconds hold one retry of either need or none, and a lower need
	// would take half of the budget whenever the higher one has not asked in them.
	minNeedAsked = 10
)

// needCounts are the retries that were earned and asked for in a span of time.
type needCounts struct {
	earned float64
	asked  [needs]uint32
}

func (c *needCounts) add(other *needCounts) {
	c.earned += other.earned
	for need := range c.asked {
		c.asked[need] += other.asked[need]
	}
}

// askedAbove returns the number of retries asked for by higher needs.
func (c *needCounts) askedAbove(need Need) (sum uint32) {
	for _, n := range c.asked[need+1:] {
		sum += n
	}
	return sum
}

// askedInAll returns the number of retries asked for by all needs.
func (c *needCounts) askedInAll() uint32 { return c.asked[First] + c.askedAbove(First) }

// needWindow counts the retries earned and asked for in the last seconds.
type needWindow struct {
	buckets [needBuckets]needCounts
	current int
	// elapsed is the age of the current bucket.
	elapsed time.Duration
}

func (w *needWindow) now() *needCounts { return &w.buckets[w.current] }

// advance accounts for elapsed time.
func (w *needWindow) advance(elapsed time.Duration) {
	w.elapsed += elapsed
	for range min(needBuckets, w.elapsed/needBucket) {
		w.current = (w.current + 1) % needBuckets
		w.buckets[w.current] = needCounts{}
	}
	w.elapsed %= needBucket
}

// recent returns the counts of the last two seconds, or of up to ten if few retries were
// asked for. They begin with the first retry asked for: what was earned before a wave of
// rejections says nothing of what its requests need.
func (w *needWindow) recent() (sum needCounts) {
	var quiet needCounts
	for i := range needBuckets {
		if i > minNeedBuckets && sum.askedInAll() >= minNeedAsked {
			break
		}
		bucket := &w.buckets[(w.current-i+needBuckets)%needBuckets]
		quiet.add(bucket)
		if bucket.askedInAll() > 0 {
			sum.add(&quiet)
			quiet = needCounts{}
		}
	}
	return sum
}

// SetByNeed selects the order in which requests get retries while the budget is short: by
// need, or first come, first served, which is the default.
func (b *Budget) SetByNeed(byNeed bool) {
	if b.byNeed != byNeed {
		b.byNeed, b.needs = byNeed, needWindow{}
	}
}

// admitNeed reports whether a request may take from the budget, given its need. A higher need
// may take what there is. A lower one gets the share that the higher ones leave of what is
// available, by a draw. Nothing is held back while no higher need asks.
//
// What is available is what was earned over the span in which the higher needs asked, and what
// is saved up beyond the next retry, which is left to them.
func (b *Budget) admitNeed(need Need) bool {
	if !b.byNeed {
		return true
	}
	b.needs.now().asked[need]++
	recent := b.needs.recent()
	higher := float64(recent.askedAbove(need))
	if higher == 0 {
		return true
	}
	available := recent.earned + max(0, b.earned+b.slack-1)
	if higher < available && b.random != nil && b.random() < 1-higher/available {
		return true
	}
	b.RefusedByNeed++
	return false
}
