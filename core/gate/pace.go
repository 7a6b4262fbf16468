package gate

import (
	"math"
	"time"

	"cactuspath/core/mechanism"
)

// A backend server whose host is slow for the moment may do one of two things to the
// requests that run. Their work may follow the host: it goes on at the usual speed as
// soon as the slow time is over. Or it may keep the pace of its start: what began in a
// slow time takes all of that longer, what began before it is not slowed at all. The
// two ask for opposite decisions. On the first kind a request that is caught by a slow
// time is worth a second attempt, and one that starts late in it loses little; on the
// second kind no start in a slow time is worth its slot while another server is fast,
// and a request that started in time needs nothing. The gate learns which kind its
// server is from requests during which the speed changed.
const (
	// paceDiffers is by how many times the two kinds must predict another duration for
	// a request to tell them apart: more than work of one class varies by itself.
	paceDiffers = 1.6
	// mostPaceEvidence bounds what is kept, so that a changed server is found out after
	// as many requests.
	mostPaceEvidence = 8.0
	// firstPaceEvidence is what a gate believes at first, in requests that speak for
	// kept paces. The wrong belief costs more the other way: on servers that keep the
	// pace, half of the callers' requests that began in a slow time reached their
	// deadline.
	firstPaceEvidence = 2.0
)

// pace is the evidence that requests keep the pace of their start: above 0 they do.
type pace struct{ evidence float64 }

func newPace() pace { return pace{evidence: firstPaceEvidence} }

func (p *pace) kept() bool { return p.evidence > 0 }

// compare takes in a completed request: how long it took at the pace of its start and
// on the clock that follows the server, both at the usual speed, and what its class
// usually takes.
func (p *pace) compare(atStart, following, usual float64) {
	if atStart <= 0 || following <= 0 || usual <= 0 || math.Abs(math.Log(atStart/following)) < math.Log(paceDiffers) {
		return
	}
	missAtStart, missFollowing := math.Abs(math.Log(atStart/usual)), math.Abs(math.Log(following/usual))
	gain := max(-1, min(missFollowing-missAtStart, 1))
	p.evidence = max(-mostPaceEvidence, min(p.evidence+gain, mostPaceEvidence))
}

// keepsPace tells whether requests are taken to keep the pace of their start.
func (s *slowdown) keepsPace() bool { return s.pace.kept() && !s.off.Has(mechanism.Pace) }

// startPace is what is known of the speed at which a request started.
type startPace struct {
	// factor is the figure that was known at the start, after the next one; both are
	// the same unless the speed changed near the start.
	factor, after float64
	// confirmed: the figure after the start is known.
	confirmed bool
}

// sure tells whether the request is known to have started at factor.
func (p *startPace) sure() bool { return p.confirmed && p.after == p.factor }

// worst is the slowest pace at which it may have started.
func (p *startPace) worst() float64 { return max(p.factor, p.after) }

// confirm notes the first figure after the starts of requests that run.
func (g *Gate) confirm(factor float64) {
	for _, it := range g.items {
		if it.state == stateRunning && !it.pace.confirmed {
			it.pace.after, it.pace.confirmed = factor, true
		}
	}
}

// spells follows how long slow times last.
type spells struct {
	mean mean
	// since is when the present one began; slow is false outside one.
	since time.Duration
	slow  bool
}

const (
	// slowRatio is from how many times the lasting slowdown on a time counts as slow.
	slowRatio = 1.5
	// restOfSpell is the part of a whole slow time that is left at any moment of one,
	// in the mean. Slow times that are drawn anew each half second with one chance in
	// four have 0.63 of their mean left, those that end at random all of it.
	restOfSpell = 0.75
	// fewestSpells is how many slow times are seen before their mean counts.
	fewestSpells = 3
)

// tell takes in whether the server is slow now.
func (s *spells) tell(now time.Duration, slow bool) {
	switch {
	case slow && !s.slow:
		s.since = now
	case !slow && s.slow:
		s.mean.add(float64(now - s.since))
	}
	s.slow = slow
}

// left is how much longer a slow time is expected to last.
func (s *spells) left() time.Duration {
	if s.mean.seen < fewestSpells {
		return spell
	}
	return time.Duration(restOfSpell * s.mean.value)
}

// isSlow tells whether the server is slow for the moment, beyond what lasts.
func (s *slowdown) isSlow() bool { return s.factor >= slowRatio*s.lastingFactor() }

// afterSpell is the time that work of the demand takes if it waits for the end of the
// present slow time and starts then.
func (s *slowdown) afterSpell(demand float64) time.Duration {
	return s.spells.left() + s.atBest(demand)
}

// waitsForSpeed tells whether work of the demand ends sooner if it waits for the end
// of the slow time than if it starts now and keeps this pace.
func (s *slowdown) waitsForSpeed(demand float64) bool {
	return s.keepsPace() && s.isSlow() && s.afterSpell(demand) < time.Duration(demand*s.factor)
}
