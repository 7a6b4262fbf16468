package retry

import "time"

// MinRejectedRetryAfter and MaxRejectedRetryAfter bound the time after which the caller of a
// request that servers rejected should come back while gates have free slots. The next server
// may accept the request, so waiting longer only takes from the time in which the answer is
// worth most; callers that are given up together are spread over 40 ms.
const (
	MinRejectedRetryAfter = 20 * time.Millisecond
	MaxRejectedRetryAfter = 60 * time.Millisecond
)

const (
	// returnsMaxAge is the age from which a record no longer counts. Callers come back within
	// a third of the time that they have left, which is less than 3 s for limits below 9 s; a
	// longer time would take more first tries with the same content for later ones.
	returnsMaxAge = 3 * time.Second
	// maxReturns is the number of records kept: 1,365 requests given up per second for
	// returnsMaxAge.
	maxReturns = 4096
	// minReturnsRing is the size of the first ring; it doubles up to maxReturns.
	minReturnsRing = 64
)

// Returns tells the requests of callers that come back: a request with the same content was
// given up shortly before. Each request given up counts for one that comes back, so that of a
// content that many callers send, at most as many requests count as were given up. The zero
// Returns knows nothing.
type Returns struct {
	// ring holds the records from first up to next, the record n at n modulo its length.
	ring        []givenUp
	first, next uint64
	// contents holds the unused records of each content.
	contents map[uint64]givenUpRange
}

// givenUp is the record of a request that was given up. Its content is 0 once it is used up.
type givenUp struct {
	content uint64
	at      time.Duration
	// later is the number of the next record with the same content, if there is one.
	later uint64
}

// givenUpRange names the oldest and newest of the records of a content.
type givenUpRange struct{ oldest, newest uint64 }

// GivenUp records that a request with this content was given up and did not run. Content 0 is
// one that is not known.
func (r *Returns) GivenUp(now time.Duration, content uint64) {
	if content == 0 {
		return
	}
	r.expire(now)
	r.makeRoom()
	n := r.next
	r.next++
	*r.record(n) = givenUp{content: content, at: now}
	same, ok := r.contents[content]
	if ok {
		r.record(same.newest).later = n
	} else {
		same.oldest = n
	}
	same.newest = n
	r.contents[content] = same
}

// CameBack reports whether a request with this content was given up in the last seconds, and
// uses up the record of it.
func (r *Returns) CameBack(now time.Duration, content uint64) bool {
	r.expire(now)
	return r.use(content)
}

func (r *Returns) record(n uint64) *givenUp { return &r.ring[n%uint64(len(r.ring))] }

// use uses up the oldest record of a content, if there is one.
func (r *Returns) use(content uint64) bool {
	same, ok := r.contents[content]
	if !ok {
		return false
	}
	oldest := r.record(same.oldest)
	oldest.content = 0
	if same.oldest == same.newest {
		delete(r.contents, content)
		return true
	}
	same.oldest = oldest.later
	r.contents[content] = same
	return true
}

// expire removes the oldest records that are used up or too old.
func (r *Returns) expire(now time.Duration) {
	for r.first < r.next {
		if oldest := r.record(r.first); oldest.content != 0 && now-oldest.at <= returnsMaxAge {
			return
		}
		r.dropOldest()
	}
}

func (r *Returns) dropOldest() {
	if content := r.record(r.first).content; content != 0 {
		r.use(content)
	}
	r.first++
}

// makeRoom makes room for one more record.
func (r *Returns) makeRoom() {
	held := r.next - r.first
	switch {
	case held < uint64(len(r.ring)):
	case held == maxReturns:
		r.dropOldest()
	case held == 0:
		r.ring, r.contents = make([]givenUp, minReturnsRing), map[uint64]givenUpRange{}
	default:
		grown := make([]givenUp, 2*held)
		for n := r.first; n < r.next; n++ {
			grown[n%uint64(len(grown))] = *r.record(n)
		}
		r.ring = grown
	}
}
