package gate

import (
	"sort"
	"time"

	"cactuspath/core/mechanism"
)

const (
	// failWeight is how many recent answers the failure ratio rests on.
	failWeight = 20
	// failFloor is a ratio below which a server is never held to be failing.
	failFloor = 0.3
	// failMargin is how far its ratio must lie above its siblings' median: when
	// all fail alike, the cause is not this server and moving helps nobody.
	failMargin = 0.25
	// trialInterval lets one request through now and then, so that a server
	// that recovered is found out.
	trialInterval = 100 * time.Millisecond
)

// outlier judges whether this server fails where its siblings do not. A
// server that fails fast looks idle and would draw all the work; its gate sees
// every answer, so it notices within a few, and moves requests to siblings
// before they run.
type outlier struct {
	ratio     float64
	seen      int
	lastTrial time.Duration
}

func (s *outlier) answer(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	s.seen = min(s.seen+1, failWeight)
	s.ratio += (value - s.ratio) / float64(s.seen)
}

// failing compares this server's ratio with its siblings'.
func (g *Gate) failing(now time.Duration) bool {
	s := &g.outlier
	if g.off(mechanism.Outlier) || s.seen < failWeight/4 || s.ratio < failFloor {
		return false
	}
	var others []float64
	for _, sib := range g.siblings.list {
		if sib.known && now-sib.taken < time.Second {
			others = append(others, sib.report.Load.FailRatio)
		}
	}
	if len(others) == 0 {
		return false
	}
	sort.Float64s(others)
	return s.ratio > others[len(others)/2]+failMargin
}

// trial tells whether a request is let through to a failing server.
func (s *outlier) trial(now time.Duration) bool {
	if now-s.lastTrial < trialInterval {
		return false
	}
	s.lastTrial = now
	return true
}
