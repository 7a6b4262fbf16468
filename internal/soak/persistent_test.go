package soak

import (
	"testing"
	"time"
)

// Callers that keep using a node until its process has ended, whether it is ready or not.

const (
	// overlapInterval is the time between the requests of a caller whose requests overlap. It is
	// shorter than briefTime, so that there is no moment without a request in progress.
	overlapInterval = 100 * time.Millisecond
	// overlappingRequests is the number of requests that such a caller sends on a connection. They
	// take longer than a graceful stop.
	overlappingRequests = 100
	// slowInterval is the time between the requests of a caller that sends slow ones.
	slowInterval = 800 * time.Millisecond
)

// Guards against graceful stops that interrupt requests: of callers that always have a further
// request in progress on their connection, and of callers that send slow requests until the end.
func TestSoakWithPersistentCallers(t *testing.T) {
	n := uint64(51)
	if *onlySeed != 0 {
		n = *onlySeed
	}
	runWithFaults(t, n, extraFaults{persistentCallers: true}, defaultDataCenter)
}

func (s *soak) startPersistentCallers() {
	for node := range s.callerAddresses {
		s.workers.Go(func() { s.runOverlappingCaller(node) })
		s.workers.Go(func() { s.runSlowCaller(node) })
	}
}

// newCall returns a request without a body.
func (s *soak) newCall(kind string, node int, m mode) *upload {
	return &upload{request: newRequest(kind, node, s.ids.Add(1), m, 0), abortAt: -1, bodyReleased: make(chan struct{})}
}

// runOverlappingCaller sends requests on a connection, each before the response to the one before,
// and opens another connection only when that has ended.
func (s *soak) runOverlappingCaller(node int) {
	for s.sleepBetweenRequests() {
		u := &uploader{soak: s, node: node, sendInterval: overlapInterval}
		if !u.dial() {
			continue
		}
		for open := true; open && s.sleepBetweenRequests(); {
			batch := make([]*upload, overlappingRequests)
			for i := range batch {
				batch[i] = s.newCall(kindRead, node, modeBrief)
			}
			open = u.exchange(batch)
		}
		_ = u.conn.Close()
	}
}

// runSlowCaller sends slow requests that may be executed only once, each on its own connection.
func (s *soak) runSlowCaller(node int) {
	for s.sleep(slowInterval) {
		s.workers.Go(func() {
			u := &uploader{soak: s, node: node}
			if !u.dial() {
				return
			}
			u.exchange([]*upload{s.newCall(kindSlow, node, modeSlow)})
			_ = u.conn.Close()
		})
	}
}
