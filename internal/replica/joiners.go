package replica

import (
	"sync"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// joinLife is how long a request to join counts: a few of its repetitions.
const joinLife = 3 * time.Second

// joiners are the replicas that asked to join lately. Safe for concurrent use.
type joiners struct {
	mu    sync.Mutex
	asked recent[uint64, *apiv1.Member]
}

func newJoiners() *joiners { return &joiners{asked: newRecent[uint64, *apiv1.Member](joinLife)} }

func (j *joiners) put(m *apiv1.Member) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.asked.put(m.Id, m)
}

// waiting lists those that still ask, by id.
func (j *joiners) waiting() []*apiv1.Member {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.asked.list(func(*apiv1.Member) bool { return true })
}
