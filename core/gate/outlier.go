package gate

import (
	"sort"
	"time"

	"cactuspath/core/mechanism"
)

const (
	// failureWindow is how many recent requests the failure ratio is based on.
	failureWindow = 20
	// minFailureRatio is the ratio below which a server never counts as failing.
	minFailureRatio = 0.3
	// failureMargin is how far the failure ratio must exceed the siblings' median: when
	// all servers fail alike, the cause is not this server, and moving requests does
	// not help.
	failureMargin = 0.25
	// trialInterval is the interval at which one request is let through to a failing
	// server to detect its recovery.
	trialInterval = 100 * time.Millisecond
)

// outlier detects that this server fails while its siblings do not. A server that fails
// fast looks idle and would attract all requests; its gate sees every response, detects
// the failures within a few responses, and moves requests to siblings before they run.
type outlier struct {
	ratio     float64
	seen      int
	lastTrial time.Duration
}

func (s *outlier) record(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	s.seen = min(s.seen+1, failureWindow)
	s.ratio += (value - s.ratio) / float64(s.seen)
}

// failing reports whether this server fails markedly more often than the median of its
// siblings.
func (g *Gate) failing(now time.Duration) bool {
	s := &g.outlier
	if g.disabled(mechanism.Outlier) || s.seen < failureWindow/4 || s.ratio < minFailureRatio {
		return false
	}
	var others []float64
	for _, sib := range g.siblings.list {
		if sib.known && now-sib.takenAt < time.Second {
			others = append(others, sib.report.Load.FailRatio)
		}
	}
	if len(others) == 0 {
		return false
	}
	sort.Float64s(others)
	return s.ratio > others[len(others)/2]+failureMargin
}

// allowTrial reports whether a request is let through to a failing server now, to
// detect its recovery.
func (s *outlier) allowTrial(now time.Duration) bool {
	if now-s.lastTrial < trialInterval {
		return false
	}
	s.lastTrial = now
	return true
}
