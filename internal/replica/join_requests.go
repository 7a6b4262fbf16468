package replica

import (
	"sync"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// joinRequestTTL is how long a request to join is valid. It spans several repetitions of the
// request.
const joinRequestTTL = 3 * time.Second

// joinRequests holds the replicas that recently requested to join. It is safe for concurrent use.
type joinRequests struct {
	mu       sync.Mutex
	requests expiringMap[uint64, *apiv1.Member]
}

func newJoinRequests() *joinRequests {
	return &joinRequests{requests: newExpiringMap[uint64, *apiv1.Member](joinRequestTTL)}
}

func (j *joinRequests) put(m *apiv1.Member) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests.put(m.Id, m)
}

// pending returns the replicas whose requests are still valid, sorted by ID.
func (j *joinRequests) pending() []*apiv1.Member {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.requests.list(func(*apiv1.Member) bool { return true })
}
