package replica

import (
	"sort"
	"sync"
	"time"

	apiv1 "cactuspath/api/cactuspath/v1"
)

// joinLife is how long a request to join counts: a few of its repetitions.
const joinLife = 3 * time.Second

// joiners are the replicas that asked to join lately. Safe for concurrent use.
type joiners struct {
	mu   sync.Mutex
	byID map[uint64]joiner
}

type joiner struct {
	member *apiv1.Member
	asked  time.Time
}

func newJoiners() *joiners { return &joiners{byID: map[uint64]joiner{}} }

func (j *joiners) put(m *apiv1.Member) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byID[m.Id] = joiner{m, time.Now()}
}

// waiting lists those that still ask, by id.
func (j *joiners) waiting() []*apiv1.Member {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []*apiv1.Member
	for id, entry := range j.byID {
		if time.Since(entry.asked) > joinLife {
			delete(j.byID, id)
			continue
		}
		list = append(list, entry.member)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Id < list[b].Id })
	return list
}
