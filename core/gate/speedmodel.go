package gate

import (
	"math"
	"time"

	"cactuspath/core/mechanism"
)

// A backend server whose host is temporarily slow treats its running requests in one of
// two ways. Either their speed follows the host: they run at normal speed again as soon
// as the slow period ends. Or their speed is fixed at their start: a request that
// started in a slow period takes that much longer in total, and one that started before
// it is not slowed at all. The two call for opposite decisions. On the first kind, a
// request that is running when a slow period begins is worth a second attempt elsewhere
// (a hedged request), and one that starts near the end of a slow period loses little.
// On the second kind, no request should occupy a slot by starting in a slow period
// while another server is fast, and a request that started before the slow period needs
// no second attempt. The gate learns which kind its server is from requests that were
// running when the speed changed. The mechanism's name in the settings is "pace".
const (
	// minDurationRatio is how much the durations that the two models predict for a
	// request must differ, as a ratio, for the request to count as evidence. It exceeds
	// the variation of durations within one class.
	minDurationRatio = 1.6
	// maxSpeedEvidence limits the accumulated evidence, so that after this many
	// requests, a change of the server's kind is detected.
	maxSpeedEvidence = 8.0
	// initialSpeedEvidence is the initial evidence, in requests, for a speed fixed at
	// the start. The opposite assumption costs more if it is wrong: on servers with a
	// fixed speed, half of the callers' requests that start in a slow period then reach
	// their deadline.
	initialSpeedEvidence = 2.0
)

// speedModel holds the evidence on which kind of server this is. If it is above 0, the
// speed of a request is assumed to be fixed at its start, otherwise to follow the host.
type speedModel struct{ evidence float64 }

func newSpeedModel() speedModel { return speedModel{evidence: initialSpeedEvidence} }

func (p *speedModel) fixedAtStart() bool { return p.evidence > 0 }

// compare adds the evidence of a completed request. atStart is its demand if its speed
// was fixed at its start, following its demand if its speed followed the host (measured
// on the work clock). The model whose value is closer to meanDemand, the mean demand of
// the request's class, gains evidence.
func (p *speedModel) compare(atStart, following, meanDemand float64) {
	if atStart <= 0 || following <= 0 || meanDemand <= 0 || math.Abs(math.Log(atStart/following)) < math.Log(minDurationRatio) {
		return
	}
	missAtStart, missFollowing := math.Abs(math.Log(atStart/meanDemand)), math.Abs(math.Log(following/meanDemand))
	gain := max(-1, min(missFollowing-missAtStart, 1))
	p.evidence = max(-maxSpeedEvidence, min(p.evidence+gain, maxSpeedEvidence))
}

// speedFixedAtStart reports whether the speed of requests is assumed to be fixed at
// their start.
func (s *speedTracker) speedFixedAtStart() bool {
	return s.speedModel.fixedAtStart() && !s.disabled.Has(mechanism.SpeedModel)
}

// speedAtStart is what is known of the server's speed when a request started.
type speedAtStart struct {
	// factor is the last slowdown reported before the start, next the first one after
	// it. The two differ only if the speed changed near the start.
	factor, next float64
	// confirmed: next has been reported.
	confirmed bool
}

// isCertain reports whether the request is known to have started at factor.
func (p *speedAtStart) isCertain() bool { return p.confirmed && p.next == p.factor }

// slowestFactor is the highest slowdown at which the request may have started.
func (p *speedAtStart) slowestFactor() float64 { return max(p.factor, p.next) }

// confirmStartSpeeds records the first slowdown reported after the start of each
// running request.
func (g *Gate) confirmStartSpeeds(factor float64) {
	for _, it := range g.items {
		if it.state == stateRunning && !it.startSpeed.confirmed {
			it.startSpeed.next, it.startSpeed.confirmed = factor, true
		}
	}
}

// slowPeriods tracks the mean duration of slow periods.
type slowPeriods struct {
	movingMean movingMean
	// since is the start of the current slow period; slow is false outside one.
	since time.Duration
	slow  bool
}

const (
	// slowPeriodRatio is how many times the persistent slowdown the current slowdown
	// must reach for the server to count as temporarily slow.
	slowPeriodRatio = 1.5
	// slowPeriodRemainder is the expected remaining share of a slow period, relative to
	// the mean duration. If it is decided at random each half second whether the server
	// is slow, with a probability of one in four, 0.63 of the mean is left on average;
	// if slow periods may end at any moment (memoryless), all of it is left.
	slowPeriodRemainder = 0.75
	// minSlowPeriods is how many slow periods are needed before their mean is used.
	minSlowPeriods = 3
)

// update records whether the server is slow now.
func (s *slowPeriods) update(now time.Duration, slow bool) {
	switch {
	case slow && !s.slow:
		s.since = now
	case !slow && s.slow:
		s.movingMean.add(float64(now - s.since))
	}
	s.slow = slow
}

// remaining is the expected remaining time of the current slow period.
func (s *slowPeriods) remaining() time.Duration {
	if s.movingMean.seen < minSlowPeriods {
		return defaultSlowPeriod
	}
	return time.Duration(slowPeriodRemainder * s.movingMean.value)
}

// isSlow reports whether the server is temporarily slow, beyond the persistent
// slowdown.
func (s *speedTracker) isSlow() bool { return s.factor >= slowPeriodRatio*s.persistentFactor() }

// timeAfterSlowPeriod is the time for the given demand if the request waits for the end
// of the current slow period and starts then.
func (s *speedTracker) timeAfterSlowPeriod(demand float64) time.Duration {
	return s.slowPeriods.remaining() + s.minTime(demand)
}

// fasterAfterSlowPeriod reports whether a request of the given demand ends sooner if it
// waits for the end of the slow period than if it starts now at a fixed speed.
func (s *speedTracker) fasterAfterSlowPeriod(demand float64) bool {
	return s.speedFixedAtStart() && s.isSlow() && s.timeAfterSlowPeriod(demand) < time.Duration(demand*s.factor)
}
