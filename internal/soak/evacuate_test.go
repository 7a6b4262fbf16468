package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"cactuspath/internal/operator"
)

const (
	// evacuationTimeLimit is the time from the acknowledgement of an evacuation until it must be in
	// force at an undisturbed node.
	evacuationTimeLimit = 2 * time.Second
	// evacuationDuration is how long an evacuation lasts and evacuationPause is the time between
	// two evacuations.
	evacuationDuration = 4 * time.Second
	evacuationPause    = time.Second
)

// Guards against requests in an evacuated data centre concurrently with the other faults of the
// soak test: kills, pauses, partitions, graceful stops, lost disks and submitted changes.
func TestSoakWithEvacuations(t *testing.T) {
	n := uint64(11)
	if *onlySeed != 0 {
		n = *onlySeed
	}
	run(t, n, defaultDataCenter, "dc-b")
}

// runEvacuations repeatedly evacuates a random data centre until the test ends. No evacuation is in
// force when it returns.
func (s *soak) runEvacuations(dataCenters []string) {
	random := rand.New(rand.NewPCG(s.seed, s.seed+2))
	for {
		evacuated := random.IntN(len(dataCenters))
		acknowledged := s.setEvacuation(dataCenters[evacuated], true)
		if acknowledged {
			s.setEvacuated(evacuated, len(dataCenters), time.Now())
		}
		running := s.sleep(evacuationDuration)
		s.setEvacuated(evacuated, len(dataCenters), time.Time{})
		s.eventually("the end of the evacuation is acknowledged", func() bool { return s.setEvacuation(dataCenters[evacuated], false) })
		if !running || !s.sleep(evacuationPause) {
			return
		}
	}
}

// setEvacuation starts or ends an evacuation and reports whether the change was acknowledged.
func (s *soak) setEvacuation(dataCenter string, evacuated bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	_, err := s.operator.Evacuate(ctx, dataCenter, evacuated, operator.NewChangeID())
	return err == nil
}

// setEvacuated sets the evacuation time at the backend servers of a data centre.
func (s *soak) setEvacuated(dataCenter, dataCenters int, since time.Time) {
	for i, b := range s.backends {
		if i%dataCenters != dataCenter {
			continue
		}
		b.mu.Lock()
		b.evacuatedAt, b.host = since, s.nodes[i]
		b.mu.Unlock()
	}
}

// checkEvacuated records a failure if a request arrives at a server in an evacuated data centre more
// than evacuationTimeLimit after the evacuation, although the server's node has been undisturbed
// since then.
func (r *requestLog) checkEvacuated(b *backend, id string) {
	b.mu.Lock()
	since, host := b.evacuatedAt, b.host
	b.mu.Unlock()
	if since.IsZero() || time.Since(since) < evacuationTimeLimit || !host.onlyGracefulStops(since) || !host.undisturbed(evacuationTimeLimit) {
		return
	}
	r.fail("%s reached server %d, %v after the evacuation of its data centre was acknowledged", id, b.node+1, time.Since(since))
}
