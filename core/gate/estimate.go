package gate

import (
	"math"
	"time"
)

const (
	// estimateWeight is how many recent completions the estimate is based on: each
	// completion reduces the weight of the earlier ones by a factor of
	// 1-1/estimateWeight (EWMA).
	estimateWeight = 4
	// decayServiceTimes is the time constant, in mean service times, of the exponential
	// decay of past observations. Without the decay, a server that was slow and then
	// received no requests would be considered slow for ever.
	decayServiceTimes = 20.0
	// baselineWeight is the weight of the long-term mean in the estimate, as a number
	// of completions.
	baselineWeight = 1.0
	// baselineGain is the weight of one completion in the long-term mean, an EWMA.
	baselineGain  = 0.002
	firstEstimate = 5 * time.Millisecond
)

// estimator tracks a server's mean service time per request: the busy time of the slots
// divided by the number of completed requests. Requests still running count with the
// time they have taken so far, so that a stall shows within a few milliseconds, before
// the stalled requests end.
type estimator struct {
	busy      float64 // slot-nanoseconds, decayed
	completed float64 // requests, decayed
	baseline  float64 // nanoseconds
	seen      int
	running   int
	last      time.Duration
}

func newEstimator() estimator { return estimator{baseline: float64(firstEstimate)} }

// advance accounts for the time since the previous event.
func (e *estimator) advance(now time.Duration) {
	elapsed := float64(now - e.last)
	e.last = now
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / (decayServiceTimes * e.baseline))
	e.busy = e.busy*decay + elapsed*float64(e.running)
	e.completed *= decay
}

func (e *estimator) start(now time.Duration) {
	e.advance(now)
	e.running++
}

func (e *estimator) finish(now time.Duration, took time.Duration) {
	e.advance(now)
	e.running--
	keep := 1 - 1.0/estimateWeight
	e.busy *= keep
	e.completed = e.completed*keep + 1
	e.seen++
	gain := max(baselineGain, 1/float64(e.seen))
	e.baseline += (float64(took) - e.baseline) * gain
	e.baseline = max(e.baseline, float64(time.Microsecond))
}

// abandon removes a running request whose duration says nothing about the server's
// speed.
func (e *estimator) abandon(now time.Duration) {
	e.advance(now)
	e.running--
}

// mean is the estimated service time of one request now.
func (e *estimator) mean(now time.Duration) time.Duration {
	e.advance(now)
	return time.Duration((e.busy + baselineWeight*e.baseline) / (e.completed + baselineWeight))
}
