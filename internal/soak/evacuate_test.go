package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"cactuspath/internal/operator"
)

const (
	// evacuationBound is how long after its acknowledgement an evacuation may take to
	// hold at a node that nothing befalls.
	evacuationBound = 2 * time.Second
	// heldFor is how long an evacuation lasts, and restFor how long none does.
	heldFor = 4 * time.Second
	restFor = time.Second
)

// Guards against requests in an evacuated data centre beside everything that the soak
// does to processes and links: kills, pauses, cuts, planned stops, lost disks, and
// changes that operators submit meanwhile.
func TestSoakWithEvacuations(t *testing.T) {
	n := uint64(11)
	if *onlySeed != 0 {
		n = *onlySeed
	}
	run(t, n, usualCenter, "dc-b")
}

// evacuate orders evacuations of one data centre or the other until the soak ends; none
// holds when it does.
func (s *soak) evacuate(dataCenters []string) {
	random := rand.New(rand.NewPCG(s.seed, s.seed+2))
	for {
		emptied := random.IntN(len(dataCenters))
		acknowledged := s.order(dataCenters[emptied], true)
		if acknowledged {
			s.setEvacuated(emptied, len(dataCenters), time.Now())
		}
		goesOn := s.goesOn(heldFor)
		s.setEvacuated(emptied, len(dataCenters), time.Time{})
		s.eventually("an evacuation ends", func() bool { return s.order(dataCenters[emptied], false) })
		if !goesOn || !s.goesOn(restFor) {
			return
		}
	}
}

// order has an evacuation, or its end, agreed on; false means not now.
func (s *soak) order(dataCenter string, evacuated bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	_, err := s.operator.Evacuate(ctx, dataCenter, evacuated, operator.NewChangeID())
	return err == nil
}

// setEvacuated tells the backend servers of a data centre since when it is evacuated.
func (s *soak) setEvacuated(dataCenter, dataCenters int, since time.Time) {
	for i, b := range s.backends {
		if i%dataCenters != dataCenter {
			continue
		}
		b.mu.Lock()
		b.evacuated, b.host = since, s.nodes[i]
		b.mu.Unlock()
	}
}

// countEvacuated notes a request that came too late after an evacuation, beside a node
// that nothing befell since.
func (r *runs) countEvacuated(b *backend, id string) {
	b.mu.Lock()
	since, host := b.evacuated, b.host
	b.mu.Unlock()
	if since.IsZero() || time.Since(since) < evacuationBound || !host.onlyStopped(since) || !host.calm(evacuationBound) {
		return
	}
	r.complain("%s reached server %d, %v after the evacuation of its data centre was acknowledged", id, b.node+1, time.Since(since))
}
